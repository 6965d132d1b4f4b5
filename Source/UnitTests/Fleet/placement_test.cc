// Placement under the loads that it answers.
#include <catch2/catch.hpp>

#include "Core/Fleet/placement_policy.h"

namespace primrosecove {
namespace {

constexpr int kSlots = 16;

struct Bench {
  std::vector<FleetUpstream> upstreams;
  Route route;
  FleetService service;
  std::map<std::string, std::string> regions = {{"z1", "r1"}, {"z2", "r2"}};
  PlacementRequest request;

  Bench(std::vector<int> loads, int routers) {
    for (size_t i = 0; i < loads.size(); ++i) {
      FleetUpstream it;
      it.record.id = "u" + std::to_string(i);
      it.record.zone = i % 2 == 0 ? "z1" : "z2";
      it.record.slots = kSlots;
      it.reported_load = loads[i];
      it.load_reported_at = MonotonicTime(0);
      it.router_count = routers;
      upstreams.push_back(it);
    }
    route.latency_target = Milliseconds(500);
    EngineProfile engine;
    engine.slots = kSlots;
    engine.step_ms = 9.27;
    engine.steps_per_iteration = 5;
    engine.prefill_tokens_per_s = 20'700;
    engine.attention_ms_per_million_pairs = 1.18;
    service.engine = engine;
    request.route = &route;
    request.service = &service;
    request.home_zone = "z1";
    request.home_region = "r1";
    request.region_of_zone = &regions;
    request.prompt_tokens = 1000;
    request.mean_service_time = Milliseconds(2000);
  }

  Placement Choose(PlacementPolicy* policy) {
    std::vector<FleetUpstream*> candidates;
    for (FleetUpstream& it : upstreams) candidates.push_back(&it);
    return policy->Choose(candidates, request, MonotonicTime(0));
  }
};

TEST_CASE("the least expected wait is taken, near before far") {
  struct Row {
    const char* name;
    std::vector<int> loads;  // u0, u2 in the own zone, u1, u3 in another region
    const char* chosen;      // null: refused
  };
  const Row rows[] = {
      {"all idle", {0, 0, 0, 0}, "u0"},
      {"the emptier one near", {9, 0, 4, 0}, "u2"},
      {"near ones full", {16, 3, 17, 2}, "u3"},
      {"a short wait anywhere is over in time", {17, 16, 17, 17}, "u1"},
      {"all far over their slots", {30, 30, 30, 30}, nullptr},
      {"none", {}, nullptr},
  };
  auto policy = MakePlacementPolicy("expected-wait");
  for (const Row& row : rows) {
    INFO(row.name);
    Bench bench(row.loads, 1);
    Placement placement = bench.Choose(policy.get());
    REQUIRE((placement.upstream != nullptr) == (row.chosen != nullptr));
    if (row.chosen != nullptr)
      CHECK(placement.upstream->record.id == row.chosen);
  }
}

// The load: an engine comes back empty and all routers see it at once.
TEST_CASE("routers together send no more than an empty engine has room for") {
  for (int routers : {1, 4, 5, 16}) {
    INFO(routers << " routers");
    auto policy = MakePlacementPolicy("expected-wait");
    int sent = 0;
    for (int router = 0; router < routers; ++router) {
      Bench bench({0}, routers);
      while (bench.Choose(policy.get()).upstream != nullptr) {
        ++bench.upstreams[0].local_in_flight;
        ++sent;
      }
    }
    // Two for one is what a queue of the usual length still serves.
    CHECK(sent >= kSlots);
    CHECK(sent <= 2 * kSlots + routers);
  }
}

// The load: callers that were refused come back while others come for the first
// time, and there is not enough room for all.
TEST_CASE("requests that are late already leave slots to those in time") {
  struct Row {
    const char* name;
    std::vector<int> loads;
    int64_t waited_ms;
    bool begun;
    bool served;
  };
  const Row rows[] = {
      {"in time, one slot left", {15, 15}, 0, false, true},
      {"late, one slot left", {15, 15}, 900, false, false},
      {"late, a quarter of the slots left", {16, 12}, 900, false, false},
      {"late, more than a quarter left", {16, 11}, 900, false, true},
      {"late, but the caller has a part of it", {15, 15}, 900, true, true},
  };
  auto policy = MakePlacementPolicy("expected-wait");
  for (const Row& row : rows) {
    INFO(row.name);
    Bench bench(row.loads, 1);
    bench.request.waited = Milliseconds(row.waited_ms);
    bench.request.response_started = row.begun;
    CHECK((bench.Choose(policy.get()).upstream != nullptr) == row.served);
  }
}

// The load: engines load new weights in turns, each after its last answer.
TEST_CASE("long answers keep away from engines that load soon") {
  struct Row {
    const char* name;
    int64_t expected_ms;
    std::optional<int64_t> first_loads_at_ms;
    std::vector<int> loads;
    const char* chosen;
  };
  const Row rows[] = {
      {"no load planned", 3000, std::nullopt, {0, 16, 8, 16}, "u0"},
      {"a short answer ends before", 400, 500, {0, 16, 8, 16}, "u0"},
      {"a long one would hold the load up", 3000, 500, {0, 16, 8, 16}, "u2"},
      {"but isn't refused for that", 3000, 500, {0, 30, 30, 30}, "u0"},
  };
  auto policy = MakePlacementPolicy("expected-wait");
  for (const Row& row : rows) {
    INFO(row.name);
    Bench bench(row.loads, 1);
    bench.request.expected_service_time = Milliseconds(row.expected_ms);
    if (row.first_loads_at_ms) {
      bench.upstreams[0].reload_at = MonotonicTime(*row.first_loads_at_ms);
    }
    Placement placement = bench.Choose(policy.get());
    REQUIRE(placement.upstream != nullptr);
    CHECK(placement.upstream->record.id == row.chosen);
  }
}

TEST_CASE("what has been begun is placed even where the target is missed") {
  auto policy = MakePlacementPolicy("expected-wait");
  Bench bench({30, 24}, 1);
  CHECK(bench.Choose(policy.get()).upstream == nullptr);
  bench.request.response_started = true;
  Placement placement = bench.Choose(policy.get());
  REQUIRE(placement.upstream != nullptr);
  CHECK(placement.upstream->record.id == "u1");
}

TEST_CASE("a refusal says when there should be room") {
  auto policy = MakePlacementPolicy("expected-wait");
  Bench bench({24, 30}, 1);
  Placement placement = bench.Choose(policy.get());
  REQUIRE(placement.upstream == nullptr);
  // Nine ends away, each 2000 / 16 ms apart.
  CHECK(placement.retry_after == Milliseconds(1125));
}

TEST_CASE("baselines keep a fixed queue") {
  for (const char* name : {"least-in-flight", "round-robin"}) {
    INFO(name);
    auto policy = MakePlacementPolicy(name);
    REQUIRE(policy != nullptr);
    Bench bench({23, 30}, 1);
    REQUIRE(bench.Choose(policy.get()).upstream != nullptr);
    CHECK(bench.Choose(policy.get()).upstream->record.id == "u0");
    Bench full({24, 30}, 1);
    CHECK(full.Choose(policy.get()).upstream == nullptr);
  }
  CHECK(MakePlacementPolicy("by-wish") == nullptr);
}

}  // namespace
}  // namespace primrosecove
