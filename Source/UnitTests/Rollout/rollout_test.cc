#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

#include "Core/Rollout/placement.h"
#include "Core/Rollout/rollout_order.h"

namespace primrosecove {
namespace {

constexpr int kDomains = 3;

Configuration MakeConfig(int upstreams, uint32_t replicas,
                         uint32_t max_unavailable) {
  Configuration out;
  for (int i = 0; i < kDomains; ++i) {
    std::string name = "place-" + std::to_string(i);
    out.places.push_back({name, "region", name});
  }
  out.services.push_back({.name = "llm", .kind = ServiceKind::kEngine});
  for (int i = 0; i < upstreams; ++i) {
    out.upstreams.push_back({"llm-" + std::to_string(i), "llm",
                             "place-" + std::to_string(i % kDomains)});
  }
  Model model;
  model.name = "chat";
  model.service = "llm";
  model.version = "new";
  model.versions = {{"old", Sha256("old")}, {"new", Sha256("new")}};
  model.replicas = replicas;
  model.max_unavailable = max_unavailable;
  out.models.push_back(model);
  return out;
}

HostRecord ServingRecord(const std::string& name, const char* version) {
  HostRecord out;
  out.name = name;
  out.incarnation = 1;
  out.role = Role::kAgent;
  if (*version != 0)
    out.serving = {"chat", version, Sha256(version).Prefix64(), {}};
  return out;
}

HostRecord DeadRecord(const std::string& name) {
  HostRecord out = ServingRecord(name, "");
  out.liveness = Liveness::kDead;
  return out;
}

}  // namespace

TEST_CASE(
    "a model is placed on the required number of upstreams over all domains",
    "[rollout]") {
  Configuration config = MakeConfig(12, 6, 1);
  HostView view;
  auto placed = PlaceModels(config, view);
  REQUIRE(placed.size() == 1);
  REQUIRE(placed[0].upstreams.size() == 6);
  std::map<std::string, int> by_place;
  for (const std::string& it : placed[0].upstreams)
    ++by_place[config.FindUpstream(it)->place];
  for (const auto& [place, n] : by_place) CHECK(n == 2);
}

TEST_CASE("a dead host moves its own replica and at most one more",
          "[rollout]") {
  Configuration config = MakeConfig(12, 6, 1);
  HostView view;
  auto before = PlaceModels(config, view)[0].upstreams;
  std::string removed = before[GENERATE(range(size_t{0}, size_t{6}))];
  view.Merge(DeadRecord(removed));
  auto after = PlaceModels(config, view)[0].upstreams;
  CHECK(after.size() == 6);
  std::set<std::string> kept(after.begin(), after.end());
  int moved = 0;
  for (const std::string& it : before) {
    if (it != removed && !kept.contains(it)) ++moved;
  }
  // A dead host may change the balance between domains, so one more replica may
  // move.
  CHECK(moved <= 1);
}

TEST_CASE("two models of a service never share an upstream", "[rollout]") {
  Configuration config = MakeConfig(9, 5, 1);
  config.models.push_back(config.models[0]);
  config.models[1].name = "second";
  HostView view;
  auto placed = PlaceModels(config, view);
  std::set<std::string> assigned;
  for (const ModelPlacement& it : placed)
    assigned.insert(it.upstreams.begin(), it.upstreams.end());
  CHECK(placed[0].upstreams.size() == 5);
  CHECK(placed[1].upstreams.size() == 4);
  CHECK(assigned.size() == 9);
}

TEST_CASE("an upstream waits for upstreams before it in the order",
          "[rollout]") {
  Configuration config = MakeConfig(5, 5, 2);
  HostView view;
  auto placed = PlaceModels(config, view)[0];
  for (const std::string& it : placed.upstreams)
    view.Merge(ServingRecord(it, "old"));
  CHECK(CheckReload(placed, placed.upstreams[0], view) ==
        ReloadVerdict::kAllowed);
  CHECK(CheckReload(placed, placed.upstreams[1], view) ==
        ReloadVerdict::kAllowed);
  CHECK(CheckReload(placed, placed.upstreams[2], view) == ReloadVerdict::kWait);
  CHECK(CheckReload(placed, "unassigned", view) == ReloadVerdict::kNotAssigned);
  HostRecord first = ServingRecord(placed.upstreams[0], "new");
  first.counter = 1;
  view.Merge(first);
  CHECK(CheckReload(placed, placed.upstreams[2], view) ==
        ReloadVerdict::kAllowed);
  CHECK(CheckReload(placed, placed.upstreams[3], view) == ReloadVerdict::kWait);
  CHECK(CountServing(placed, view) == 1);
}

TEST_CASE("a version that cannot be loaded stops the rollout", "[rollout]") {
  Configuration config = MakeConfig(5, 5, 2);
  HostView view;
  auto placed = PlaceModels(config, view)[0];
  for (const std::string& it : placed.upstreams) {
    HostRecord record = ServingRecord(it, "old");
    bool failed = it == placed.upstreams[0] || it == placed.upstreams[1];
    if (failed) record.failed_manifest = Sha256("new").Prefix64();
    view.Merge(record);
  }
  CHECK(CheckReload(placed, placed.upstreams[2], view) ==
        ReloadVerdict::kFailed);
}

// Each upstream decides on its own view, which may lack any part of the latest
// changes. For any order of steps and updates, at most max_unavailable
// upstreams are out of service at once.
TEST_CASE(
    "no interleaving has more than max_unavailable out of service at once",
    "[rollout][property]") {
  CHECK(rc::check([] {
    const int n = *rc::gen::inRange(2, 8);
    const auto max_unavailable = *rc::gen::inRange<uint32_t>(1, 4);
    Configuration config =
        MakeConfig(n, static_cast<uint32_t>(n), max_unavailable);
    auto placed = PlaceModels(config, HostView())[0];
    std::vector<HostRecord> truth;
    for (const std::string& it : placed.upstreams)
      truth.push_back(ServingRecord(it, "old"));
    std::vector<HostView> views(truth.size());
    for (HostView& view : views) {
      for (const HostRecord& it : truth) view.Merge(it);
    }
    auto count_out_of_service = [&] {
      return static_cast<uint32_t>(std::count_if(
          truth.begin(), truth.end(),
          [](const auto& it) { return it.serving.model.empty(); }));
    };
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        60, rc::gen::pair(rc::gen::inRange(0, n), rc::gen::inRange(0, n + 1)));
    for (const auto& [index, action] : steps) {
      HostRecord& self = truth[static_cast<size_t>(index)];
      HostView& view = views[static_cast<size_t>(index)];
      if (action < n) {
        view.Merge(truth[static_cast<size_t>(action)]);  // An update arrives.
      } else if (self.serving.model.empty()) {
        self = ServingRecord(self.name, "new");
        self.counter = 2;
      } else if (self.serving.version == "old" &&
                 CheckReload(placed, self.name, view) ==
                     ReloadVerdict::kAllowed) {
        self.serving = {};
        self.counter = 1;
      }
      RC_ASSERT(count_out_of_service() <= max_unavailable);
    }
  }));
}

}  // namespace primrosecove
