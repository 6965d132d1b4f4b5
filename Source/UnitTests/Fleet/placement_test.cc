// Placement of requests under different loads.
#include <catch2/catch.hpp>

#include "Core/Fleet/placement_policy.h"

namespace primrosecove {
namespace {

constexpr int kSlots = 16;

struct Fixture {
  std::vector<FleetUpstream> upstreams;
  Route route;
  FleetService service;
  std::map<std::string, std::string> regions = {{"z1", "r1"}, {"z2", "r2"}};
  PlacementRequest request;

  Fixture(std::vector<int> loads, int routers) {
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

TEST_CASE("the upstream with the least expected wait and distance is chosen") {
  struct Row {
    const char* name;
    // u0 and u2 are in the router's zone, u1 and u3 in another region.
    std::vector<int> loads;
    const char* chosen;  // null: refused
  };
  const Row rows[] = {
      {"all idle", {0, 0, 0, 0}, "u0"},
      {"the less loaded local upstream", {9, 0, 4, 0}, "u2"},
      {"local upstreams are full", {16, 3, 17, 2}, "u3"},
      {"a short wait still meets the target", {17, 16, 17, 17}, "u1"},
      {"all far over capacity", {30, 30, 30, 30}, nullptr},
      {"no candidates", {}, nullptr},
  };
  auto policy = MakePlacementPolicy("expected-wait", 1);
  for (const Row& row : rows) {
    INFO(row.name);
    Fixture fixture(row.loads, 1);
    Placement placement = fixture.Choose(policy.get());
    REQUIRE((placement.upstream != nullptr) == (row.chosen != nullptr));
    if (row.chosen != nullptr)
      CHECK(placement.upstream->record.id == row.chosen);
  }
}

// An engine becomes available without requests and all routers see it at once.
TEST_CASE("routers together do not overfill an upstream that became empty") {
  for (int routers : {1, 4, 5, 16}) {
    INFO(routers << " routers");
    auto policy = MakePlacementPolicy("expected-wait", 1);
    int sent = 0;
    for (int router = 0; router < routers; ++router) {
      Fixture fixture({0}, routers);
      while (fixture.Choose(policy.get()).upstream != nullptr) {
        ++fixture.upstreams[0].local_in_flight;
        ++sent;
      }
    }
    // Twice the slots is what a queue of the usual length still serves in time.
    CHECK(sent >= kSlots);
    CHECK(sent <= 2 * kSlots + routers);
  }
}

// Some hosts take longer than usual at this moment, all with as many requests.
TEST_CASE("a slow host is expected to free its slots later") {
  struct Row {
    const char* name;
    int load;
    std::optional<int> slow_percent;  // Of u0, stated at 0 ms.
    const char* chosen;               // null: refused
  };
  const Row rows[] = {
      {"equal hosts", 17, std::nullopt, "u0"},
      {"a slow host", 17, 250, "u2"},
      {"a faster host counts as usual", 17, 50, "u0"},
  };
  auto policy = MakePlacementPolicy("expected-wait", 1);
  for (const Row& row : rows) {
    INFO(row.name);
    Fixture fixture({row.load, 99, row.load, 99}, 1);
    if (row.slow_percent) {
      fixture.upstreams[0].stated_slowdown_percent = *row.slow_percent;
      fixture.upstreams[0].slowdown_stated_at = MonotonicTime(0);
    }
    Placement placement = fixture.Choose(policy.get());
    REQUIRE(placement.upstream != nullptr);
    CHECK(placement.upstream->record.id == row.chosen);
  }
}

// Refused callers retry while others send first attempts, and capacity does not
// suffice for all.
TEST_CASE("late requests leave reserved slots to requests within the target") {
  struct Row {
    const char* name;
    std::vector<int> loads;
    int64_t waited_ms;
    bool started;
    bool accepted;
  };
  const Row rows[] = {
      {"in time, one slot left", {15, 15}, 0, false, true},
      {"late, one slot left", {15, 15}, 900, false, false},
      {"late, a quarter of the slots left", {16, 12}, 900, false, false},
      {"late, more than a quarter left", {16, 11}, 900, false, true},
      {"late, but the response has started", {15, 15}, 900, true, true},
  };
  auto policy = MakePlacementPolicy("expected-wait", 1);
  for (const Row& row : rows) {
    INFO(row.name);
    Fixture fixture(row.loads, 1);
    fixture.request.waited = Milliseconds(row.waited_ms);
    fixture.request.response_started = row.started;
    CHECK((fixture.Choose(policy.get()).upstream != nullptr) == row.accepted);
  }
}

// Engines reload one after another, each after its last response has ended.
TEST_CASE("long responses avoid engines that reload soon") {
  struct Row {
    const char* name;
    int64_t expected_ms;
    std::optional<int64_t> first_reload_at_ms;
    std::vector<int> loads;
    const char* chosen;
  };
  const Row rows[] = {
      {"no reload planned", 3000, std::nullopt, {0, 16, 8, 16}, "u0"},
      {"a short response ends before", 400, 500, {0, 16, 8, 16}, "u0"},
      {"a long response would delay it", 3000, 500, {0, 16, 8, 16}, "u2"},
      {"but is not refused for that", 3000, 500, {0, 30, 30, 30}, "u0"},
  };
  auto policy = MakePlacementPolicy("expected-wait", 1);
  for (const Row& row : rows) {
    INFO(row.name);
    Fixture fixture(row.loads, 1);
    fixture.request.expected_service_time = Milliseconds(row.expected_ms);
    if (row.first_reload_at_ms) {
      fixture.upstreams[0].reload_at = MonotonicTime(*row.first_reload_at_ms);
    }
    Placement placement = fixture.Choose(policy.get());
    REQUIRE(placement.upstream != nullptr);
    CHECK(placement.upstream->record.id == row.chosen);
  }
}

TEST_CASE("a started response is placed even if the target is missed") {
  auto policy = MakePlacementPolicy("expected-wait", 1);
  Fixture fixture({30, 24}, 1);
  CHECK(fixture.Choose(policy.get()).upstream == nullptr);
  fixture.request.response_started = true;
  Placement placement = fixture.Choose(policy.get());
  REQUIRE(placement.upstream != nullptr);
  CHECK(placement.upstream->record.id == "u1");
}

TEST_CASE("a refusal states when a slot should be free") {
  auto policy = MakePlacementPolicy("expected-wait", 1);
  Fixture fixture({24, 30}, 1);
  Placement placement = fixture.Choose(policy.get());
  REQUIRE(placement.upstream == nullptr);
  // After nine requests have ended, one every 2000 / 16 ms.
  CHECK(placement.retry_after == Milliseconds(1125));
}

TEST_CASE("baseline policies keep a queue of fixed length") {
  for (const char* name : {"least-in-flight", "round-robin"}) {
    INFO(name);
    auto policy = MakePlacementPolicy(name, 1);
    REQUIRE(policy != nullptr);
    Fixture fixture({23, 30}, 1);
    REQUIRE(fixture.Choose(policy.get()).upstream != nullptr);
    CHECK(fixture.Choose(policy.get()).upstream->record.id == "u0");
    Fixture full({24, 30}, 1);
    CHECK(full.Choose(policy.get()).upstream == nullptr);
  }
  CHECK(MakePlacementPolicy("by-wish", 1) == nullptr);
}

TEST_CASE("choices of a copied policy do not change those of the original") {
  // An explained request must not take a turn of "round-robin".
  for (const char* name :
       {"expected-wait", "even-load", "least-in-flight", "round-robin"}) {
    INFO(name);
    auto policy = MakePlacementPolicy(name, 1);
    Fixture fixture({0, 0}, 1);
    fixture.Choose(policy.get());
    std::string copied =
        fixture.Choose(policy->Clone().get()).upstream->record.id;
    CHECK(fixture.Choose(policy.get()).upstream->record.id == copied);
  }
}

}  // namespace
}  // namespace primrosecove
