// A planned stop of a router under requests that last longer than its grace
// period. Guards against connections that the end of the process closes without
// a response: the caller of a request that may not be repeated then doesn't
// know whether it has run.
#include <catch2/catch.hpp>

#include "../test_support.h"
#include "fleet_router_fixture.h"

namespace primrosecove {
namespace {

// New connections are served for 2.6 s of it.
constexpr Milliseconds kGrace{3600};
constexpr Milliseconds kLate{2300};

TEST_CASE("a request that outlasts a planned stop gets a response before it",
          "[fleet][stop]") {
  struct Row {
    const char* name;
    const char* path;
    EngineFault fault;
    Milliseconds sent_after;  // The beginning of the stop.
    int status;               // 0: the response is visibly incomplete.
    size_t runs;
  };
  const Row rows[] = {
      {"unsafe, running at the stop", "/once/1", EngineFault::kNoResponse,
       Milliseconds(-100), 504, 1},
      {"unsafe, late in the grace", "/once/1", EngineFault::kNoResponse, kLate,
       504, 1},
      {"safe, late in the grace", "/safe/1", EngineFault::kNoResponse, kLate,
       504, 2},
      {"unsafe, late, refused by all upstreams", "/once/1",
       EngineFault::kRefuse, kLate, 503, 0},
      {"stream, running at the stop", "/stream/1", EngineFault::kNone,
       Milliseconds(-100), 0, 1},
      {"stream that would outlast the grace", "/stream/1", EngineFault::kNone,
       kLate, 503, 0},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    RouterFixture fixture(117, Milliseconds(8000), kGrace);
    fixture.caller_deadline_ms = "20000";
    fixture.SetFault(row.fault, 9);
    for (auto& [id, engine] : fixture.engines) engine->SetEvents(5000);
    std::optional<CallResult> result;
    std::unique_ptr<Http1Call> call;
    auto send = [&] {
      call = fixture.StartRequest(row.path, kApiKey, {}, &result);
    };
    if (row.sent_after < Milliseconds(0)) {
      send();
      RunUntil(&fixture.loop, [&] { return fixture.ExecutionCount() > 0; });
    }
    SteadyTime stopped = EventLoop::Now();
    fixture.router->BeginStop();
    if (call == nullptr) {
      RunUntil(&fixture.loop,
               [&] { return EventLoop::Now() - stopped > row.sent_after; });
      send();
    }
    RunUntil(&fixture.loop, [&] { return result.has_value(); });
    CHECK(EventLoop::Now() - stopped < kGrace);
    if (row.status == 0) {
      CHECK(result->end == CallEnd::kConnectionLost);
    } else {
      REQUIRE(result->end == CallEnd::kComplete);
      CHECK(result->head->status == row.status);
    }
    CHECK(fixture.ExecutionCount() == row.runs);
  }
}

}  // namespace
}  // namespace primrosecove
