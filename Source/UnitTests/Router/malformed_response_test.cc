// Upstreams whose responses break the grammar of HTTP/1.1. Guards against such
// a response that reaches a caller, in part or as a whole, and against a
// request that waits for its deadline though its response is known to be
// malformed.
#include "raw_upstreams.h"

namespace primrosecove {
namespace {

constexpr char kEvent[] = "id: 1\ndata: a\n\n";
constexpr char kSound[] =
    "HTTP/1.1 200 OK\r\nServer-Signature: s\r\nContent-Length: 15\r\n\r\n"
    "id: 1\ndata: a\n\n";

// Checks what callers get from upstreams that send `malformed` on routes of all
// kinds. Half of the callers' deadline of 2 s is the most that any may take.
void CheckCallers(const std::string& malformed) {
  struct Row {
    const char* path;
    int upstreams;
    int status;
    const char* body;
    int requests;
  };
  const Row rows[] = {
      {"/raw-once/1", 1, 502, "", 1},   {"/raw/1", 1, 502, "", 1},
      {"/raw-once/1", 2, 502, "", 1},   {"/raw-twice/1", 2, 200, kEvent, 2},
      {"/raw-stream/1", 1, 502, "", 1}, {"/raw-resumed/1", 2, 200, kEvent, 2},
  };
  for (const Row& row : rows) {
    INFO(row.path << ", upstreams " << row.upstreams);
    RawUpstreams upstreams(60, static_cast<size_t>(row.upstreams));
    upstreams.servers[0]->Add({malformed});
    upstreams.servers[0]->Add({kSound});
    SteadyTime start = EventLoop::Now();
    CallResult result = upstreams.fixture.SendAndWait(row.path);
    CHECK(EventLoop::Now() - start < Milliseconds(1000));
    REQUIRE(result.head);
    CHECK(result.head->status == row.status);
    CHECK(result.body == row.body);
    CHECK(upstreams.Requests() == row.requests);
  }
}

TEST_CASE("a response with a malformed field name reaches no caller",
          "[fleet][malformed-response]") {
  const std::string head = "HTTP/1.1 200 OK\r\nServer-Signature: s\r\n";
  const std::string body = "Content-Length: 9\r\n\r\nmalformed";
  const std::string malformed[] = {
      head + "X Field: 1\r\n" + body,
      head + "X-Field : 1\r\n" + body,
      head + "X-\x01-Field: 1\r\n" + body,
      head + "Content-Length : 3\r\n\r\nmalformed",
      head + "Transfer-Encoding : chunked\r\n\r\n3\r\nmal\r\n0\r\n\r\n",
  };
  for (const std::string& it : malformed) {
    INFO(it);
    CheckCallers(it);
  }
}

TEST_CASE("a response with a malformed status line reaches no caller",
          "[fleet][malformed-response]") {
  const std::string rest =
      "\r\nServer-Signature: s\r\nContent-Length: 9\r\n\r\nmalformed";
  const std::string lines[] = {
      "HTTP/1.1 000 Unknown", "HTTP/1.1 0 Unknown",
      "HTTP/1.1 099 Unknown", "HTTP/1.1 20 OK",
      "HTTP/1.1 0200 OK",     "HTTP/1.1 600 Unknown",
      "HTTP/1.1 999 Unknown", "HTTP/1.1 101 Switching Protocols",
      "HTTP/0.9 200 OK",      "HTTP/2.0 200 OK",
      "HTTP/1.1 200 O\x01K"};
  for (const std::string& it : lines) {
    INFO(it);
    CheckCallers(it + rest);
  }
}

// Guards against a field whose blanks hide what an upstream states: a response
// of the request's own counted as that of another one until the deadline, and a
// leaving upstream went on getting requests.
TEST_CASE("blanks around a value are not part of it",
          "[fleet][malformed-response]") {
  RawUpstreams upstreams(60, 1);
  upstreams.servers[0]->Add(
      {"HTTP/1.1 200 OK\r\nServer-Signature: s\r\nRequest-Id: \t req-1 \t\r\n"
       "Server-Leaving: 1 \r\nContent-Length: 5 \r\n\r\nsound"});
  CallResult result = upstreams.fixture.SendAndWait("/raw/1");
  CHECK(result.body == "sound");
  CHECK(upstreams.fixture.SendAndWait("/raw/1").head->status == 503);
  CHECK(upstreams.Requests() == 1);
}

}  // namespace
}  // namespace primrosecove
