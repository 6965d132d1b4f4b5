// Admission where callers of several priorities, or of uneven workspaces,
// compete for too few slots. Guards against less urgent requests that are
// served in place of more urgent ones, and against refusals while slots are
// free.
#include "Core/Fleet/priority_demand.h"

#include <catch2/catch.hpp>

#include "Core/Fleet/admission.h"
#include "Core/Fleet/retry_after.h"
#include "Core/Fleet/route_table.h"

namespace primrosecove {
namespace {

using Ms = Milliseconds;

constexpr int kSlots = 12;
const std::map<int, Ms> kTargets = {{0, Ms(400)}, {1, Ms(400)}, {2, Ms(1000)}};

// Requests a second of each priority, of one workspace, for ten seconds.
PriorityDemand MakeDemand(const std::vector<int>& per_second) {
  PriorityDemand out;
  out.SetTargets(kTargets);
  for (int64_t at = 0; at < 10'000; at += 100) {
    for (size_t priority = 0; priority < per_second.size(); ++priority) {
      for (int n = 0; n < per_second[priority] / 10; ++n)
        out.OnSent(static_cast<int>(priority), "w", Ms(1100), Ms(at));
    }
  }
  return out;
}

struct Fixture {
  FleetUpstream upstream;
  Route route;
  FleetService service;
  PlacementRequest request;

  Fixture() {
    upstream.record.slots = kSlots;
    upstream.load_reported_at = Ms(0);
    EngineProfile engine;
    engine.slots = kSlots;
    engine.step_ms = 9.27;
    engine.steps_per_iteration = 5;
    engine.prefill_tokens_per_s = 20'700;
    service.engine = engine;
    request.route = &route;
    request.service = &service;
    request.prompt_tokens = 900;
    request.mean_service_time = Ms(1100);
  }

  bool Accepts(std::span<const PriorityClass> classes, int priority, int load) {
    upstream.reported_load = load;
    request.priorities = classes;
    request.priority = priority;
    route.latency_target = kTargets.at(priority);
    return CanAccept(upstream, request,
                     ExpectedWaitMs(upstream, request, Ms(0)), Ms(0));
  }
};

// The least urgent requests burst to 2.6 times their rate, requests of one
// priority prevail, or a restarted router has measured nothing yet.
TEST_CASE("the least urgent are refused first, and nobody a free slot") {
  struct Row {
    const char* name;
    std::vector<int> per_second;
  };
  const Row rows[] = {
      {"usual demand", {200, 110, 160}},
      {"burst of the least urgent", {200, 110, 420}},
      {"burst of the most urgent", {500, 110, 160}},
      {"hardly any urgent requests", {10, 10, 400}},
      {"nothing measured", {}},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    auto classes = MakeDemand(row.per_second).Classes(Ms(10'000));
    REQUIRE(classes.size() == 3);
    Fixture fixture;
    int last_accepted[3] = {-1, -1, -1};
    for (int load = 0; load < 5 * kSlots; ++load) {
      INFO("load " << load);
      bool accepted[3];
      for (int priority = 0; priority < 3; ++priority) {
        accepted[priority] = fixture.Accepts(classes, priority, load);
        if (accepted[priority]) last_accepted[priority] = load;
        if (load < kSlots) CHECK(accepted[priority]);
      }
      CHECK((accepted[0] || !accepted[1]));
      CHECK((accepted[1] || !accepted[2]));
    }
    // An urgent request waits for few of those that are there already.
    CHECK(last_accepted[0] > kSlots);
    CHECK(last_accepted[0] > last_accepted[2]);
  }
}

TEST_CASE("requests of a single priority are admitted as without priorities") {
  PriorityDemand demand;
  demand.SetTargets({{1, Ms(400)}});
  demand.OnSent(1, "w", Ms(1100), Ms(0));
  auto classes = demand.Classes(Ms(0));
  REQUIRE(classes.size() == 1);
  CHECK(classes[0].more_urgent_share == 0);
  CHECK(classes[0].ahead_share == 1);
}

// Capacity halves and a third of the requests is refused.
TEST_CASE("the wait of a workspace that uses more than its share grows") {
  struct Row {
    const char* name;
    int large_requests;
    int small_requests;  // Of each of three other workspaces.
    int refused;
    double large_factor;
    double small_factor;
  };
  const Row rows[] = {
      {"equal use", 20, 20, 40, 1, 1},
      {"uneven use without refusals", 70, 10, 0, 1, 1},
      {"uneven use, half is refused", 70, 10, 100, 1.9, 1},
      {"uneven use, a tenth is refused", 70, 10, 11, 1.18, 1},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    PriorityDemand demand;
    demand.SetTargets(kTargets);
    for (int i = 0; i < row.large_requests; ++i)
      demand.OnSent(0, "large", Ms(1000), Ms(0));
    for (const char* name : {"s1", "s2", "s3"}) {
      for (int i = 0; i < row.small_requests; ++i)
        demand.OnSent(0, name, Ms(1000), Ms(0));
    }
    for (int i = 0; i < row.refused; ++i) demand.OnRefused(0, Ms(0));
    CHECK(demand.WorkspaceFactor(0, "large", Ms(0)) ==
          Approx(row.large_factor).margin(0.01));
    CHECK(demand.WorkspaceFactor(0, "s1", Ms(0)) ==
          Approx(row.small_factor).margin(0.01));
    CHECK(demand.WorkspaceFactor(0, "unknown", Ms(0)) == 1);
    // Another priority is not under pressure.
    CHECK(demand.WorkspaceFactor(1, "large", Ms(0)) == 1);
    // The use is forgotten.
    demand.RemoveExpired(Ms(60'000));
    CHECK(demand.WorkspaceFactor(0, "large", Ms(60'000)) == 1);
  }
}

TEST_CASE("a large workspace is refused no free slot") {
  Fixture fixture;
  auto classes = MakeDemand({200, 110, 160}).Classes(Ms(10'000));
  fixture.request.workspace_factor = 20;
  CHECK(fixture.Accepts(classes, 0, kSlots - 1));
  // Requests of others that are less urgent do not fit either.
  CHECK_FALSE(fixture.Accepts(classes, 0, 3 * kSlots));
}

// Refused callers of the most urgent kind return late, among first attempts of
// the least urgent.
TEST_CASE("a late request is refused no free slot") {
  Fixture fixture;
  auto classes = MakeDemand({200, 110, 420}).Classes(Ms(10'000));
  fixture.request.waited = Ms(900);
  for (int load = 0; load < kSlots; ++load)
    CHECK(fixture.Accepts(classes, 0, load));
  CHECK_FALSE(fixture.Accepts(classes, 0, kSlots));
}

// A large workspace under refusals must not fall behind less urgent requests.
TEST_CASE("the share of its workspace does not reverse a request's priority") {
  auto classes = MakeDemand({200, 110, 160}).Classes(Ms(10'000));
  for (double factor : {1.5, 3.0, 20.0}) {
    for (int64_t prompt : {100, 900, 5000}) {
      for (int load = 0; load < 5 * kSlots; ++load) {
        INFO("factor " << factor << ", prompt " << prompt << ", load " << load);
        Fixture fixture;
        fixture.request.workspace_factor = factor;
        bool urgent = fixture.Accepts(classes, 0, load);
        fixture.request.workspace_factor = 1;
        fixture.request.prompt_tokens = prompt;
        CHECK((urgent || !fixture.Accepts(classes, 2, load)));
      }
    }
  }
}

TEST_CASE("a route without a latency target holds back no other request") {
  PriorityDemand demand;
  demand.SetTargets({{0, Ms(0)}, {2, Ms(1000)}});
  auto classes = demand.Classes(Ms(0));
  Fixture fixture;
  CHECK(fixture.Accepts(classes, 2, kSlots));
}

// Refused callers of all priorities would otherwise return together.
TEST_CASE("refused callers return in the order of their priorities") {
  for (double random_value : {0.0, 0.5, 0.99}) {
    Ms before(0);
    for (size_t rank = 0; rank < 3; ++rank) {
      Ms delay = ComputeRetryAfter(Ms(100), random_value, rank, 3);
      CHECK(delay > before);
      CHECK(delay <= Ms(1900));
      before = delay;
    }
  }
  CHECK(ComputeRetryAfter(Ms(100), 0.99, 0, 3) <=
        ComputeRetryAfter(Ms(100), 0, 1, 3));
  CHECK(ComputeRetryAfter(Ms(100), 0.4, 0, 1) ==
        ComputeRetryAfter(Ms(100), 0.4));
}

TEST_CASE("a workspace's priority competes with those of the routes") {
  auto make_route = [](const char* prefix, int priority, int64_t target_ms) {
    Route out;
    out.prefix = prefix;
    out.priority = priority;
    out.latency_target = Ms(target_ms);
    out.services = {{"s", 1}};
    return out;
  };
  FleetConfig config;
  config.routes = {make_route("/a/", 1, 400), make_route("/b/", 1, 300),
                   make_route("/c/", 2, 1000)};
  config.workspaces = {{"w1", {"k1"}, std::nullopt, {}}, {"w2", {"k2"}, 0, {}}};
  // Workspace w1 has the routes' priorities, w2 its own.
  auto priorities = RouteTable(config).PrioritiesOf("s");
  CHECK(priorities ==
        std::map<int, Ms>{
            {1, Ms(300)}, {2, Ms(1000)}, {101, Ms(300)}, {202, Ms(1000)}});
  // Equal priorities of all workspaces leave the order to the routes.
  config.workspaces[0].priority = 0;
  priorities = RouteTable(config).PrioritiesOf("s");
  CHECK(priorities == std::map<int, Ms>{{1, Ms(300)}, {2, Ms(1000)}});
  CHECK(RouteTable(config).PrioritiesOf("unknown").empty());
}

}  // namespace
}  // namespace primrosecove
