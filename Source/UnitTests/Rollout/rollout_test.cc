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

HostRecord Serving(const std::string& name, const char* version) {
  HostRecord out;
  out.name = name;
  out.incarnation = 1;
  out.role = Role::kAgent;
  if (*version != 0)
    out.serving = {"chat", version, Sha256(version).Prefix64(), {}};
  return out;
}

HostRecord Dead(const std::string& name) {
  HostRecord out = Serving(name, "");
  out.liveness = Liveness::kDead;
  return out;
}

}  // namespace

TEST_CASE("models are placed on the required number, spread over domains",
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

TEST_CASE("a host that goes moves only its own replica", "[rollout]") {
  Configuration config = MakeConfig(12, 6, 1);
  HostView view;
  auto before = PlaceModels(config, view)[0].upstreams;
  std::string gone = before[GENERATE(range(size_t{0}, size_t{6}))];
  view.Merge(Dead(gone));
  auto after = PlaceModels(config, view)[0].upstreams;
  CHECK(after.size() == 6);
  std::set<std::string> kept(after.begin(), after.end());
  int moved = 0;
  for (const std::string& it : before) {
    if (it != gone && !kept.contains(it)) ++moved;
  }
  // A death may shift the balance between domains, so one more replica may
  // move.
  CHECK(moved <= 1);
}

TEST_CASE("two models of a service never share an upstream", "[rollout]") {
  Configuration config = MakeConfig(9, 5, 1);
  config.models.push_back(config.models[0]);
  config.models[1].name = "second";
  HostView view;
  auto placed = PlaceModels(config, view);
  std::set<std::string> all;
  for (const ModelPlacement& it : placed)
    all.insert(it.upstreams.begin(), it.upstreams.end());
  CHECK(placed[0].upstreams.size() == 5);
  CHECK(placed[1].upstreams.size() == 4);
  CHECK(all.size() == 9);
}

TEST_CASE("an upstream waits for those before it", "[rollout]") {
  Configuration config = MakeConfig(5, 5, 2);
  HostView view;
  auto placed = PlaceModels(config, view)[0];
  for (const std::string& it : placed.upstreams) view.Merge(Serving(it, "old"));
  CHECK(MaySwap(placed, placed.upstreams[0], view) == SwapVerdict::kGo);
  CHECK(MaySwap(placed, placed.upstreams[1], view) == SwapVerdict::kGo);
  CHECK(MaySwap(placed, placed.upstreams[2], view) == SwapVerdict::kWait);
  CHECK(MaySwap(placed, "stranger", view) == SwapVerdict::kNotOurs);
  HostRecord first = Serving(placed.upstreams[0], "new");
  first.counter = 1;
  view.Merge(first);
  CHECK(MaySwap(placed, placed.upstreams[2], view) == SwapVerdict::kGo);
  CHECK(MaySwap(placed, placed.upstreams[3], view) == SwapVerdict::kWait);
  CHECK(CountServing(placed, view) == 1);
}

TEST_CASE("a version that cannot be loaded stops the rollout", "[rollout]") {
  Configuration config = MakeConfig(5, 5, 2);
  HostView view;
  auto placed = PlaceModels(config, view)[0];
  for (const std::string& it : placed.upstreams) {
    HostRecord record = Serving(it, "old");
    bool failed = it == placed.upstreams[0] || it == placed.upstreams[1];
    if (failed) record.failed_manifest = Sha256("new").Prefix64();
    view.Merge(record);
  }
  CHECK(MaySwap(placed, placed.upstreams[2], view) == SwapVerdict::kFailed);
}

// Each upstream acts on its own view, which lags behind the truth by an
// arbitrary part of the changes. Whatever the order of steps and news, no more
// than max_out are out at once.
TEST_CASE("no interleaving takes more than max_out out at once",
          "[rollout][property]") {
  CHECK(rc::check([] {
    const int n = *rc::gen::inRange(2, 8);
    const auto max_unavailable = *rc::gen::inRange<uint32_t>(1, 4);
    Configuration config =
        MakeConfig(n, static_cast<uint32_t>(n), max_unavailable);
    auto placed = PlaceModels(config, HostView())[0];
    std::vector<HostRecord> truth;
    for (const std::string& it : placed.upstreams)
      truth.push_back(Serving(it, "old"));
    std::vector<HostView> views(truth.size());
    for (HostView& view : views) {
      for (const HostRecord& it : truth) view.Merge(it);
    }
    auto out_now = [&] {
      return static_cast<uint32_t>(std::count_if(
          truth.begin(), truth.end(),
          [](const auto& it) { return it.serving.model.empty(); }));
    };
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        60, rc::gen::pair(rc::gen::inRange(0, n), rc::gen::inRange(0, n + 1)));
    for (const auto& [who, what] : steps) {
      HostRecord& self = truth[static_cast<size_t>(who)];
      HostView& view = views[static_cast<size_t>(who)];
      if (what < n) {
        view.Merge(truth[static_cast<size_t>(what)]);  // News arrives.
      } else if (self.serving.model.empty()) {
        self = Serving(self.name, "new");
        self.counter = 2;
      } else if (self.serving.version == "old" &&
                 MaySwap(placed, self.name, view) == SwapVerdict::kGo) {
        self.serving = {};
        self.counter = 1;
      }
      RC_ASSERT(out_now() <= max_unavailable);
    }
  }));
}

}  // namespace primrosecove
