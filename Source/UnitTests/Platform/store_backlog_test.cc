// A store whose responses to watches end before its newest change. Guards
// against a deployment that is reported as current although the store holds
// later changes.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

#include "../test_support.h"
#include "Core/Fleet/deployment_watcher.h"
#include "platform/store_source.h"
#include "platform/testing/store_stand_in.h"

namespace primrosecove {
namespace {

using platform::StoreFault;
using platform::StoreSource;
using platform::StoreStandIn;

constexpr int kGroup = 65;
constexpr Milliseconds kMaxConfigAge{500};

// A watcher that checks each confirmation against what was written when.
struct CheckedWatcher {
  EventLoop loop;
  StoreStandIn store{&loop};
  Http1Client client{&loop};
  StoreSource source{&client, TestEndpoint(kGroup, 1)};
  std::unique_ptr<DeploymentWatcher> watcher;
  std::vector<BootTime> written_at;  // By the configuration's version - 1.
  uint64_t version = 0;              // That the watcher has delivered.
  BootTime confirmed_at{0};

  CheckedWatcher() {
    if (!store.Listen(TestEndpoint(kGroup, 1))) FAIL("listen");
    Write();
    DeploymentWatcher::Events events;
    events.on_change = [this](const DeploymentChange& it) {
      if (const auto* config = std::get_if<FleetConfig>(&it))
        version = config->version;
    };
    events.on_confirmed = [this](BootTime at) {
      confirmed_at = std::max(confirmed_at, at);
      // The next version was written after that time.
      if (version < written_at.size()) CHECK(written_at[version] >= at);
    };
    events.on_synced = [](const StorePosition&) {};
    events.on_restored = [] {};
    events.on_reachable = [](bool) {};
    watcher = std::make_unique<DeploymentWatcher>(&loop, &source, kMaxConfigAge,
                                                  std::move(events));
    watcher->Start();
    RunUntilConfirmed();
  }

  void Write() {
    nlohmann::json config = {{"version", written_at.size() + 1},
                             {"routes", nlohmann::json::array()},
                             {"services", nlohmann::json::array()}};
    store.Put("op/config", config.dump());
    written_at.push_back(BootNow());
  }

  void RunUntilConfirmed() {
    BootTime since = BootNow();
    RunUntil(&loop, [&] { return confirmed_at >= since; });
    CHECK(version == written_at.size());
  }
};

TEST_CASE("random absences from a store end in confirmed changes",
          "[store-backlog]") {
  uint64_t backlogs = 0;
  for (uint32_t seed = 1; seed <= 30; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    CheckedWatcher it;
    it.store.SetWatchSize(1 + random() % 3);
    for (int step = 0; step < 30; ++step) {
      constexpr StoreFault kFaults[] = {StoreFault::kNone, StoreFault::kBusy,
                                        StoreFault::kReset,
                                        StoreFault::kLoseResponse};
      switch (random() % 6) {
        case 0:
          it.store.SetFault(kFaults[random() % std::size(kFaults)]);
          it.store.CutWatches();
          break;
        case 1:
          it.store.Put("servers/a", std::to_string(step));
          break;
        case 2:
          if (random() % 4 == 0) it.store.Compact();
          break;
        default:
          it.Write();
      }
      for (uint32_t n = random() % 4; n > 0; --n)
        it.loop.RunOnce(Milliseconds(random() % 20));
    }
    it.store.SetFault(StoreFault::kNone);
    it.RunUntilConfirmed();
    backlogs += it.watcher->backlogs();
  }
  CHECK(backlogs > 0);
}

}  // namespace
}  // namespace primrosecove
