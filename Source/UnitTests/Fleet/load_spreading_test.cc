// Choice among upstreams whose loads are known from old reports, while many
// routers choose at the same moment. Guards against routers that all choose
// the same upstream, which is overloaded while others are idle.
#include "Core/Fleet/load_spreading.h"

#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "Core/Fleet/placement_policy.h"

namespace primrosecove {
namespace {

constexpr int kSlots = 12;

// An upstream with `load` requests: 5 ms for each, and 100 ms for each one that
// waits for a slot.
SpreadCandidate WithLoad(double load) {
  double waiting = load < kSlots ? 0 : load - kSlots + 1;
  return {load * 5 + waiting * 100, std::max(kSlots - load, 0.0), 5, 100};
}

std::vector<SpreadCandidate> WithLoads(const std::vector<double>& loads) {
  std::vector<SpreadCandidate> out;
  out.reserve(loads.size());
  for (double it : loads) out.push_back(WithLoad(it));
  return out;
}

TEST_CASE("water filling gives each upstream what makes all equal") {
  struct Row {
    const char* name;
    std::vector<double> loads;
    double requests;
    std::vector<double> rooms;
  };
  const Row rows[] = {
      {"one upstream takes all", {3}, 5, {5}},
      {"one full upstream", {12}, 3, {3}},
      {"equal upstreams", {4, 4, 4, 4}, 8, {2, 2, 2, 2}},
      {"one became empty", {0, 9, 9, 9}, 6, {6, 0, 0, 0}},
      {"one became empty, many requests",
       {0, 9, 9, 9},
       15,
       {10.5, 1.5, 1.5, 1.5}},
      {"free slots before a queue", {10, 15}, 2, {2, 0}},
      {"all full", {12, 12}, 6, {3, 3}},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    auto candidates = WithLoads(row.loads);
    double level = WaterLevel(candidates, row.requests);
    for (size_t i = 0; i < candidates.size(); ++i) {
      INFO("upstream " << i);
      CHECK(candidates[i].RoomUpTo(level) == Approx(row.rooms[i]).margin(0.05));
    }
  }
}

TEST_CASE("each choice favors upstreams with room") {
  constexpr int kDraws = 4000;
  auto candidates = WithLoads({0, 6, 9, 14});
  double level = WaterLevel(candidates, 12);
  std::mt19937_64 random(1);
  std::vector<int> by_room(4);
  std::vector<int> by_slots(4);
  std::vector<int> of_two(4);
  for (int i = 0; i < kDraws; ++i) {
    ++by_room[DrawByRoom(candidates, level, &random)];
    ++by_slots[DrawByFreeSlots(candidates, &random)];
    ++of_two[LessCostlyOfTwo(candidates, &random)];
  }
  // 12 requests raise the first two to 9.
  CHECK(by_room[0] == Approx(kDraws * 9 / 12).epsilon(0.1));
  CHECK(by_room[1] == Approx(kDraws * 3 / 12).epsilon(0.1));
  CHECK(by_room[3] == 0);
  CHECK(by_slots[0] == Approx(kDraws * 12 / 21).epsilon(0.1));
  CHECK(by_slots[3] == 0);
  CHECK(of_two[0] == Approx(kDraws * 7 / 16).epsilon(0.1));
  CHECK(of_two[3] == Approx(kDraws * 1 / 16).epsilon(0.2));
  CHECK(LeastCost(candidates) == 0);
  // Nothing is left to draw by.
  auto full = WithLoads({15, 13, 14});
  CHECK(DrawByFreeSlots(full, &random) == 1);
  CHECK(DrawByRoom(full, 0, &random) == 1);
}

// Routers with the same reports choose at the same moment; each sees only its
// own requests.
class Routers {
 public:
  // Each knows of `known_routers` from the agents' statuses.
  Routers(int routers, int known_routers, const std::vector<int>& loads,
          int64_t age_ms) {
    route_.latency_target = Milliseconds(400);
    EngineProfile engine;
    engine.slots = kSlots;
    engine.step_ms = 9.27;
    engine.steps_per_iteration = 5;
    engine.prefill_tokens_per_s = 20'700;
    service_.engine = engine;
    service_.name = "s";
    request_.route = &route_;
    request_.service = &service_;
    request_.home_zone = "z";
    request_.home_region = "r";
    request_.region_of_zone = &regions_;
    request_.prompt_tokens = 900;
    request_.mean_service_time = Milliseconds(1100);
    now_ = MonotonicTime(10'000);
    for (int r = 0; r < routers; ++r) {
      auto seed = static_cast<uint64_t>(r) + 1;
      policies_.push_back(MakePlacementPolicy("even-load", seed));
      std::vector<FleetUpstream> upstreams;
      for (int load : loads) {
        FleetUpstream it;
        it.record.id = std::to_string(upstreams.size());
        it.record.zone = "z";
        it.record.slots = kSlots;
        it.reported_load = load;
        it.load_reported_at = now_ - Milliseconds(age_ms);
        it.router_count = known_routers;
        upstreams.push_back(it);
      }
      views_.push_back(std::move(upstreams));
    }
  }

  // Each router sends `n` requests. Returns those sent to each upstream.
  std::map<std::string, int> Send(int n) {
    std::map<std::string, int> out;
    for (int i = 0; i < n; ++i) {
      for (size_t r = 0; r < policies_.size(); ++r) {
        std::vector<FleetUpstream*> candidates;
        for (FleetUpstream& it : views_[r]) candidates.push_back(&it);
        Placement placement = policies_[r]->Choose(candidates, request_, now_);
        if (placement.upstream == nullptr) {
          ++out["refused"];
          continue;
        }
        ++placement.upstream->local_in_flight;
        ++out[placement.upstream->record.id];
      }
    }
    return out;
  }

 private:
  Route route_;
  FleetService service_;
  std::map<std::string, std::string> regions_ = {{"z", "r"}};
  PlacementRequest request_;
  MonotonicTime now_{0};
  std::vector<std::unique_ptr<PlacementPolicy>> policies_;
  std::vector<std::vector<FleetUpstream>> views_;
};

TEST_CASE("routers that choose at the same moment load upstreams evenly") {
  struct Row {
    const char* name;
    int routers;
    int known_routers;
    int64_t age_ms;
    std::vector<int> loads;
    int sent_each;
    int most;  // Sent to one upstream.
  };
  const std::vector<int> idle(45, 0);
  const std::vector<int> half(45, 6);
  const Row rows[] = {
      {"14 routers, the first requests of an idle fleet", 14, 14, 50, idle, 1,
       4},
      {"60 routers, the first requests of an idle fleet", 60, 60, 50, idle, 1,
       7},
      {"340 routers, the first requests of an idle fleet", 340, 340, 500, idle,
       1, 20},
      {"14 routers, equal loads", 14, 14, 200, half, 10, 12},
      {"60 routers have just started", 60, 1, 4000, idle, 1, 7},
      {"no report for 4 s", 14, 14, 4000, half, 1, 4},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    Routers routers(row.routers, row.known_routers, row.loads, row.age_ms);
    auto sent = routers.Send(row.sent_each);
    CHECK(sent["refused"] == 0);
    for (const auto& [id, n] : sent) {
      INFO("upstream " << id);
      CHECK(n <= row.most);
    }
  }
}

// An idle upstream is the only one with room in the reports.
TEST_CASE("an upstream that became empty gets what it can take") {
  for (int64_t age_ms : {50, 500, 2000}) {
    INFO("reports are " << age_ms << " ms old");
    std::vector<int> loads(10, 20);
    loads[3] = 0;
    Routers routers(14, 14, loads, age_ms);
    auto sent = routers.Send(1);
    CHECK(sent["3"] > 0);
    CHECK(sent["3"] <= 14);
  }
}

TEST_CASE("a single router always takes the least expected wait") {
  Routers routers(1, 1, {4, 2, 2, 7}, 500);
  auto sent = routers.Send(4);
  CHECK(sent["0"] == 0);
  CHECK(sent["1"] == 2);
  CHECK(sent["2"] == 2);
}

}  // namespace
}  // namespace primrosecove
