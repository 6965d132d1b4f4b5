// A configuration changes the limits on callers while their connections are
// open. Guards against limits that are copied when a connection is accepted:
// proper requests on kept connections were rejected by a limit that was no
// longer in force.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "../raw_caller.h"
#include "../test_support.h"
#include "fleet_router_fixture.h"

namespace primrosecove {
namespace {

using nlohmann::json;

// Longer than the period of the server's sweep and than kShort together.
constexpr Milliseconds kPause{900};
constexpr int kShortMs = 300;
constexpr int kLongMs = 60'000;

// Parts of a request; a pause separates them.
std::vector<std::string> RequestParts(size_t header_bytes, size_t body_bytes) {
  return {"POST /once/1 HTTP/1.1\r\nHost: h.example\r\n",
          "Request-Id: r1\r\nDeadline-Ms: 2000\r\nAuthorization: Bearer " +
              std::string(kApiKey) +
              "\r\nNote: " + std::string(header_bytes, 'n') +
              "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
              std::string(body_bytes, 'b')};
}

class LimitsFixture : public RouterFixture {
 public:
  LimitsFixture(int group, const json& limits) : RouterFixture(group) {
    SetLimits(2, limits);
  }

  void SetLimits(uint64_t version, const json& limits) {
    json config = MakeConfigJson(version);
    config["limits"] = limits;
    store.Put("op/config", config.dump());
    RunUntil(&loop, [&] { return router->config_version() == version; });
  }

  void Wait(Milliseconds time) {
    SteadyTime since = EventLoop::Now();
    RunUntil(&loop, [&] { return EventLoop::Now() - since > time; });
  }

  // Sends a request and returns its status; 0 if the connection was closed.
  int Exchange(RawCaller* caller, const std::vector<std::string>& parts,
               Milliseconds pause) {
    size_t before = caller->received().size();
    for (const std::string& it : parts) {
      std::string_view rest(it);
      RunUntil(&loop, [&] {
        rest.remove_prefix(caller->SendSome(rest));
        return rest.empty() || caller->ended();
      });
      if (&it != &parts.back()) Wait(pause);
    }
    RunUntil(&loop, [&] {
      return caller->ended() || caller->received().size() > before;
    });
    std::string_view response(caller->received());
    response.remove_prefix(before);
    constexpr size_t kStatusAt = 9;
    if (response.size() < kStatusAt + 3) return 0;
    return std::stoi(std::string(response.substr(kStatusAt, 3)));
  }
};

TEST_CASE("changed limits apply to the next request of a kept connection",
          "[fleet][caller-limits]") {
  struct Row {
    const char* name;
    json before;
    json after;
    size_t header_bytes;
    size_t body_bytes;
    Milliseconds idle_time;  // Of the connection, after the change.
    Milliseconds pause;      // Within the head.
    int status;
  };
  constexpr Milliseconds kNone{0};
  const Row rows[] = {
      {"larger head",
       {{"max_header_bytes", 500}},
       {{"max_header_bytes", 9000}},
       6000,
       1,
       kNone,
       kNone,
       200},
      {"smaller head",
       {{"max_header_bytes", 9000}},
       {{"max_header_bytes", 500}},
       6000,
       1,
       kNone,
       kNone,
       431},
      {"head beyond the default of the HTTP library",
       {{"max_header_bytes", 9000}},
       {{"max_header_bytes", 200'000}},
       100'000,
       1,
       kNone,
       kNone,
       200},
      {"larger body",
       {{"max_body_bytes", 100}},
       {{"max_body_bytes", 9000}},
       1,
       6000,
       kNone,
       kNone,
       200},
      {"smaller body",
       {{"max_body_bytes", 9000}},
       {{"max_body_bytes", 100}},
       1,
       6000,
       kNone,
       kNone,
       413},
      {"longer time for the head",
       {{"header_timeout_ms", kShortMs}},
       {{"header_timeout_ms", kLongMs}},
       1,
       1,
       kNone,
       kPause,
       200},
      {"shorter time for the head",
       {{"header_timeout_ms", kLongMs}},
       {{"header_timeout_ms", kShortMs}},
       1,
       1,
       kNone,
       kPause,
       408},
      {"longer idle time",
       {{"idle_timeout_ms", kShortMs}},
       {{"idle_timeout_ms", kLongMs}},
       1,
       1,
       kPause,
       kNone,
       200},
      // The caller may have relied on the longer time.
      {"shorter idle time",
       {{"idle_timeout_ms", kLongMs}},
       {{"idle_timeout_ms", kShortMs}},
       1,
       1,
       kPause,
       kNone,
       200},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    LimitsFixture fixture(116, row.before);
    RawCaller kept(fixture.callers);
    REQUIRE(fixture.Exchange(&kept, RequestParts(1, 1), kNone) == 200);
    fixture.SetLimits(3, row.after);
    if (row.idle_time > kNone) fixture.Wait(row.idle_time);
    auto parts = RequestParts(row.header_bytes, row.body_bytes);
    CHECK(fixture.Exchange(&kept, parts, row.pause) == row.status);
    RawCaller fresh(fixture.callers);
    CHECK(fixture.Exchange(&fresh, parts, row.pause) == row.status);
  }
}

}  // namespace
}  // namespace primrosecove
