// An upstream that sends bytes without end to many requests at once. Guards
// against a router that keeps them all: each response has a limit, but together
// they would exceed the memory, and the process would end with the requests of
// all callers.
#include "raw_upstreams.h"

namespace primrosecove {
namespace {

constexpr uint64_t kMemoryBytes = 8 << 20;
constexpr int kRequests = 12;

// Sends requests whose responses have no end, and others beside them. Returns
// the most bytes of responses that the router held.
size_t LoadRouter(RawUpstreams* upstreams, const char* path,
                  bool callers_read) {
  RouterFixture& fixture = upstreams->fixture;
  std::vector<std::optional<CallResult>> results(kRequests);
  std::vector<std::unique_ptr<Http1Call>> calls;
  calls.reserve(results.size());
  for (auto& result : results) {
    calls.push_back(fixture.StartRequest(path, kApiKey, {}, &result));
  }
  size_t most = 0;
  std::optional<CallResult> sound;
  auto sound_call = fixture.StartRequest("/safe/1", kApiKey, {}, &sound);
  RunUntil(&fixture.loop, [&] {
    most = std::max(most, fixture.router->held_response_bytes());
    if (!callers_read) {
      for (const auto& it : calls) it->SetReading(false);
    }
    // The router's deadline ends responses that their callers don't read.
    return fixture.router->counters().failed +
               fixture.router->counters().aborted >=
           kRequests;
  });
  RunUntil(&fixture.loop, [&] { return sound.has_value(); });
  CHECK(sound->head->status == 200);
  CHECK(fixture.router->counters().responses_dropped > 0);
  return most;
}

TEST_CASE("responses without end don't exceed a share of the memory",
          "[fleet]") {
  struct Row {
    const char* name;
    const char* path;
    std::string head;
    std::string repeated;
    bool callers_read;
  };
  const std::string head = "HTTP/1.1 200 OK\r\nServer-Signature: s\r\n";
  const std::string block(16 << 10, 'x');
  const Row rows[] = {
      {"a body", "/raw/1", head + "\r\n", block, true},
      {"chunks", "/raw-once/1", head + "Transfer-Encoding: chunked\r\n\r\n",
       "4000\r\n" + block + "\r\n", true},
      {"one event", "/raw-stream/1", head + "\r\n", block, true},
      {"events that callers don't read", "/raw-stream/1", head + "\r\n",
       "data: " + block + "\n\n", false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    RawUpstreams upstreams(59, 1, kMemoryBytes);
    for (int n = 0; n < kRequests; ++n) {
      upstreams.servers[0]->Add(
          {row.head, RawServer::End::kKeepOpen, row.repeated});
    }
    size_t most = LoadRouter(&upstreams, row.path, row.callers_read);
    // Each response may grow by a read before the limit is checked.
    constexpr size_t kMaxReads = kRequests * (32 << 10);
    CHECK(most <= kMemoryBytes / 4 + kMaxReads);
  }
}

}  // namespace
}  // namespace primrosecove
