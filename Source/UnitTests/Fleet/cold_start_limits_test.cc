// Guards against the crash of a cold upstream that all routers take for idle
// and send to at the same moment.
#include "Core/Fleet/cold_start_limits.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

namespace primrosecove {
namespace {

using Ms = Milliseconds;

constexpr int64_t kUnixMs = 1'700'000'000'000;
constexpr double kColdRate = 26;

FleetBounds MakeBounds() {
  FleetBounds out;
  out.cold_overage = 1.5;
  out.cold_slack = 5;
  return out;
}

FleetService MakeService() {
  FleetService out;
  out.cold_start = Ms(3000);
  out.cold_start_rate = kColdRate;
  return out;
}

TEST_CASE("an upstream that is not known to be warm counts as cold") {
  struct Row {
    const char* name;
    int64_t cold_until_ms;
    int64_t registered_at_ms;
    int64_t start_age_ms;  // At 100 s; -1: unknown.
    std::optional<int64_t> evacuated_until_ms;
    bool may_be_cold;  // At 100 s.
  };
  const Row rows[] = {
      {"warm", 0, 0, 90'000, {}, false},
      {"states that it is cold", 100'001, 0, 90'000, {}, true},
      {"was cold until now", 100'000, 0, 90'000, {}, false},
      {"just registered", 0, 98'000, -1, {}, true},
      {"registered for longer than a start", 0, 97'000, -1, {}, false},
      {"just registered, just started", 0, 99'000, 1000, {}, true},
      {"first seen by a router that has just started",
       0,
       99'000,
       60'000,
       {},
       false},
      {"its host's clock may be wrong", 0, 99'000, 7000, {}, true},
      {"started again under the same id", 0, 0, 500, {}, true},
      {"its evacuation has just ended", 0, 0, 90'000, 98'000, true},
      {"its evacuation ended long ago", 0, 0, 90'000, 97'000, false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    FleetUpstream upstream;
    upstream.record.zone = "z1";
    upstream.cold_until = Ms(row.cold_until_ms);
    upstream.registered_at = Ms(row.registered_at_ms);
    if (row.start_age_ms >= 0)
      upstream.record.start_time_ms = kUnixMs - row.start_age_ms;
    ZoneEvacuations evacuations;
    if (row.evacuated_until_ms) {
      evacuations.Apply({"z1", true}, Ms(0));
      evacuations.Apply({"z1", false}, Ms(*row.evacuated_until_ms));
    }
    CHECK(ColdStartLimits::MayBeCold(upstream, MakeService(), evacuations,
                                     Ms(100'000), kUnixMs) == row.may_be_cold);
  }
}

// A router with its own clocks that sends to one upstream whenever it may.
struct Router {
  ColdStartLimits limits;
  int64_t started_at_ms;
  int64_t clock_error_ms;
};

struct Load {
  const char* name;
  int routers;
  int reported_routers;  // 0: none has been reported yet.
  int restarts;          // Of each router.
  bool known_to_be_cold;
};

// Returns the most sends of all routers in one second.
size_t MostSendsInOneSecond(const Load& load, uint32_t seed) {
  constexpr int64_t kEndMs = 30'000;
  constexpr int64_t kStepMs = 10;
  constexpr int64_t kSecondMs = 1000;
  std::minstd_rand random(seed);
  FleetService service = MakeService();
  FleetUpstream upstream;
  upstream.record.id = "u1";
  upstream.record.start_time_ms = kUnixMs - 60'000;
  ZoneEvacuations evacuations;
  auto make_router = [&](uint64_t id, int64_t at_ms, int64_t clock_error_ms) {
    Router out{ColdStartLimits(MakeBounds(), id, Ms(0)), at_ms, clock_error_ms};
    return out;
  };
  std::vector<Router> routers;
  routers.reserve(load.routers);
  for (int i = 0; i < load.routers; ++i) {
    routers.push_back(make_router(i, -20'000, random() % 400));
  }
  std::vector<int64_t> sends;
  for (int64_t at = 0; at < kEndMs; at += kStepMs) {
    for (size_t i = 0; i < routers.size(); ++i) {
      bool restarts =
          load.restarts > 0 &&
          random() % (kEndMs / kStepMs) < static_cast<uint32_t>(load.restarts);
      if (restarts) routers[i] = make_router(i, at, routers[i].clock_error_ms);
      Router& it = routers[i];
      Ms now(at - it.started_at_ms);
      if (load.reported_routers > 0)
        it.limits.SetRouterCount(load.reported_routers, now);
      upstream.registered_at = Ms(-60'000);
      upstream.cold_until = load.known_to_be_cold ? now + Ms(1000) : Ms(-1);
      for (;;) {
        std::vector<FleetUpstream*> candidates = {&upstream};
        it.limits.RemoveLimited(&candidates, service, evacuations, now,
                                kUnixMs + at + it.clock_error_ms);
        if (candidates.empty()) break;
        it.limits.OnSent(upstream, service, now);
        sends.push_back(at);
        if (sends.size() > 1'000'000) return sends.size();
      }
    }
  }
  size_t most = 0;
  size_t first = 0;
  for (size_t i = 0; i < sends.size(); ++i) {
    while (sends[i] - sends[first] >= kSecondMs) ++first;
    most = std::max(most, i - first + 1);
  }
  return most;
}

TEST_CASE("all routers together keep within what a cold upstream bears") {
  constexpr size_t kBound = 44;  // 26 x 1.5 + 5
  const Load loads[] = {
      {"one router", 1, 1, 0, true},
      {"14 routers", 14, 14, 0, true},
      {"14 routers, half of them unknown to the agents", 14, 7, 0, true},
      {"14 routers that restart", 14, 14, 3, true},
      {"20 routers", 20, 20, 0, true},
      {"60 routers", 60, 60, 0, true},
      {"340 routers", 340, 340, 0, true},
      {"340 routers that know no number", 340, 0, 0, true},
      {"14 routers, cold unnoticed", 14, 14, 0, false},
      {"14 routers that restart, cold unnoticed", 14, 14, 3, false},
      {"14 routers without a number, cold unnoticed", 14, 0, 0, false},
  };
  for (const Load& load : loads) {
    INFO(load.name);
    for (uint32_t seed = 1; seed <= 5; ++seed) {
      size_t most = MostSendsInOneSecond(load, seed);
      CHECK(most <= kBound);
      CHECK(most > 0);
    }
  }
}

TEST_CASE("a service without a cold-start rate is not limited") {
  FleetService service = MakeService();
  service.cold_start_rate = 0;
  ColdStartLimits limits(MakeBounds(), 1, Ms(0));
  FleetUpstream upstream;
  upstream.cold_until = Ms(10'000);
  std::vector<FleetUpstream*> candidates = {&upstream};
  for (int i = 0; i < 100; ++i) limits.OnSent(upstream, service, Ms(100));
  CHECK_FALSE(limits
                  .RemoveLimited(&candidates, service, ZoneEvacuations(),
                                 Ms(100), kUnixMs)
                  .has_value());
  CHECK(candidates.size() == 1);
}

TEST_CASE("the time until a limited upstream may get a request is stated") {
  ColdStartLimits limits(MakeBounds(), 1, Ms(0));
  FleetService service = MakeService();
  FleetUpstream upstream;
  upstream.record.id = "u1";
  upstream.cold_until = Ms(60'000);
  ZoneEvacuations evacuations;
  // One request a second each.
  for (int64_t at : {17'000, 20'000}) limits.SetRouterCount(26, Ms(at));
  auto time_at = [&](int64_t at_ms) -> std::optional<int64_t> {
    std::vector<FleetUpstream*> candidates = {&upstream};
    auto time = limits.RemoveLimited(&candidates, service, evacuations,
                                     Ms(at_ms), kUnixMs);
    if (!time) return std::nullopt;
    return time->count();
  };
  CHECK_FALSE(time_at(20'000).has_value());
  limits.OnSent(upstream, service, Ms(20'000));
  CHECK(time_at(20'300) == 800);
  CHECK_FALSE(time_at(21'100).has_value());
}

}  // namespace
}  // namespace primrosecove
