// Tests when a router sends requests again to an upstream that has asked for
// rest.
#include "Core/Fleet/upstream_rests.h"

#include <catch2/catch.hpp>

namespace primrosecove {
namespace {

constexpr int64_t kStartTime = 1000;
constexpr MonotonicTime kAskedAt{50'000};

FleetUpstream MakeUpstream(int64_t start_time_ms) {
  FleetUpstream out;
  out.record.id = "u1";
  out.record.start_time_ms = start_time_ms;
  return out;
}

ResponseFields MakeResponse(std::optional<int64_t> rest_ms) {
  ResponseFields out;
  if (rest_ms) out.rest = Milliseconds(*rest_ms);
  return out;
}

// Time until the upstream may get a request, `after_ms` after the first
// statement; nothing if it may get one now.
std::optional<Milliseconds> RestLeft(const UpstreamRests& rests,
                                     FleetUpstream* upstream,
                                     int64_t after_ms) {
  std::vector<FleetUpstream*> candidates = {upstream};
  return rests.RemoveResting(&candidates, kAskedAt + Milliseconds(after_ms));
}

// Guards against sends during a rest that is shortened, or forgotten, by later
// responses of the same process, and against a rest that binds its successor.
TEST_CASE("a rest binds one process until the longest of its ends") {
  struct Statement {
    int64_t after_ms;
    int64_t start_time_ms;
    std::optional<int64_t> rest_ms;
    int64_t sent_after_ms;  // The request that it responds to.
  };
  struct Row {
    const char* name;
    std::vector<Statement> statements;  // After a rest of 3 s.
    int64_t upstream_start_time_ms;
    int64_t at_ms;
    bool rests;
  };
  const Row rows[] = {
      {"during the rest", {}, kStartTime, 2999, true},
      {"after it", {}, kStartTime, 3000, false},
      {"a longer one", {{1000, kStartTime, 4000, 0}}, kStartTime, 4999, true},
      {"a shorter one", {{1000, kStartTime, 500, 0}}, kStartTime, 2999, true},
      {"a response to an earlier request",
       {{1000, kStartTime, std::nullopt, -500}},
       kStartTime,
       2999,
       true},
      {"a response to a request sent meanwhile",
       {{1000, kStartTime, std::nullopt, 500}},
       kStartTime,
       2999,
       true},
      {"a new process", {}, kStartTime + 1, 100, false},
      {"a process of unknown start", {}, 0, 100, true},
      {"a late response of an earlier process",
       {{1000, kStartTime - 1, std::nullopt, 0}},
       kStartTime,
       2999,
       true},
      {"a rest of the new process",
       {{1000, kStartTime + 1, 5000, 900}},
       kStartTime + 1,
       5999,
       true},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    UpstreamRests rests;
    rests.OnResponse("u1", kStartTime, MakeResponse(3000), kAskedAt, 0,
                     kAskedAt);
    for (const Statement& it : row.statements) {
      rests.OnResponse("u1", it.start_time_ms, MakeResponse(it.rest_ms),
                       kAskedAt + Milliseconds(it.sent_after_ms), 0,
                       kAskedAt + Milliseconds(it.after_ms));
    }
    FleetUpstream upstream = MakeUpstream(row.upstream_start_time_ms);
    CHECK(RestLeft(rests, &upstream, row.at_ms).has_value() == row.rests);
  }
}

// Guards against all requests that have waited for the end of a rest arriving
// at once.
TEST_CASE("after a rest a single request is sent until it is not turned away") {
  UpstreamRests rests;
  FleetUpstream upstream = MakeUpstream(kStartTime);
  auto at = [](int64_t ms) { return kAskedAt + Milliseconds(ms); };
  rests.OnResponse("u1", kStartTime, MakeResponse(3000), kAskedAt, 1, kAskedAt);
  CHECK(RestLeft(rests, &upstream, 3000) == Milliseconds(300));
  CHECK_FALSE(RestLeft(rests, &upstream, 3300));
  rests.OnSent(upstream, at(3300));
  CHECK(RestLeft(rests, &upstream, 3301));
  // Its response is lost.
  CHECK_FALSE(RestLeft(rests, &upstream, 4300));
  rests.OnSent(upstream, at(4300));
  rests.OnResponse("u1", kStartTime, MakeResponse(std::nullopt), at(4300), 0,
                   at(4310));
  CHECK_FALSE(RestLeft(rests, &upstream, 4310));
  CHECK(rests.size() == 0);
}

TEST_CASE("rests of upstreams that get no more requests are forgotten") {
  UpstreamRests rests;
  for (int i = 0; i < 100; ++i) {
    rests.OnResponse("u" + std::to_string(i), kStartTime, MakeResponse(1000),
                     kAskedAt, 0, kAskedAt);
  }
  rests.RemoveExpired(kAskedAt + Milliseconds(1000));
  CHECK(rests.size() == 100);
  rests.RemoveExpired(kAskedAt + Milliseconds(120'000));
  CHECK(rests.size() == 0);
}

}  // namespace
}  // namespace primrosecove
