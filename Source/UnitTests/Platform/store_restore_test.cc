// The store may be restored from a copy that is some seconds old. Revisions are
// then assigned again, so a watch from a revision of before is answered as
// though nothing were missing. Guards against changes that are never read
// because of that, and against state that the copy makes go back.
#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "../raw_server.h"
#include "../test_support.h"
#include "Core/Fleet/deployment_watcher.h"
#include "platform/store_source.h"
#include "platform/testing/store_stand_in.h"

namespace primrosecove {
namespace {

using nlohmann::json;
using platform::StoreFault;
using platform::StoreSource;
using platform::StoreStandIn;

constexpr int kGroup = 62;
constexpr Milliseconds kMaxConfigAge{500};

std::string ConfigText(uint64_t version) {
  return json{{"version", version},
              {"routes", json::array()},
              {"services", json::array()}}
      .dump();
}

std::string TargetText(uint64_t version) {
  return json{{"model", "m"}, {"version", version}}.dump();
}

std::string UpstreamText(int n) {
  return json{{"service", "s"},
              {"address", "10.0.0.1:80"},
              {"zone", "z"},
              {"slots", n},
              {"state", "ready"}}
      .dump();
}

// A watcher and what it knows of the store.
struct WatchedStore {
  EventLoop loop;
  StoreStandIn store{&loop};
  Http1Client client{&loop};
  StoreSource source{&client, TestEndpoint(kGroup, 1)};
  std::unique_ptr<DeploymentWatcher> watcher;
  uint64_t config_version = 0;
  uint64_t target_version = 0;
  std::map<std::string, int> upstreams;  // Slots by id.
  StorePosition synced;
  int syncs = 0;

  WatchedStore() {
    if (!store.Listen(TestEndpoint(kGroup, 1))) FAIL("listen");
    store.Put("op/config", ConfigText(1));
  }

  void Start() {
    DeploymentWatcher::Events events;
    events.on_change = [this](const DeploymentChange& it) { Apply(it); };
    events.on_confirmed = [](BootTime) {};
    events.on_synced = [this](const StorePosition& it) {
      synced = it;
      ++syncs;
    };
    events.on_restored = [] {};
    events.on_reachable = [](bool) {};
    watcher = std::make_unique<DeploymentWatcher>(&loop, &source, kMaxConfigAge,
                                                  std::move(events));
    watcher->Start();
    RunUntil(&loop, [this] { return syncs > 0; });
  }

  void Apply(const DeploymentChange& change) {
    if (const auto* config = std::get_if<FleetConfig>(&change)) {
      config_version = config->version;
    } else if (const auto* target = std::get_if<TargetVersion>(&change)) {
      target_version = target->version;
    } else if (const auto* it = std::get_if<UpstreamChange>(&change)) {
      if (it->record) {
        upstreams[it->id] = it->record->slots;
      } else {
        upstreams.erase(it->id);
      }
    }
  }

  // Whether the watcher knows what the store holds.
  bool IsCurrent() const {
    uint64_t stored_config = 0;
    uint64_t stored_target = 0;
    std::map<std::string, int> stored;
    for (const auto& [key, item] : store.items()) {
      json value = json::parse(item.value);
      if (key == "op/config") {
        stored_config = value["version"];
      } else if (key.starts_with("op/version/")) {
        stored_target = value["version"];
      } else {
        stored[key.substr(std::string("servers/").size())] = value["slots"];
      }
    }
    // An item that the copy lacks altogether leaves what is known of it.
    return (stored_config == 0 || stored_config == config_version) &&
           (stored_target == 0 || stored_target == target_version) &&
           stored == upstreams;
  }

  void RunUntilCurrent() {
    RunUntil(&loop, [this] {
      return IsCurrent() && synced.era == store.era() &&
             synced.revision == store.revision();
    });
  }
};

TEST_CASE("changes beside a restore of the store are read", "[store-restore]") {
  struct Row {
    const char* name;
    std::function<void(StoreStandIn*)> lost;   // Before the restore.
    std::function<void(StoreStandIn*)> after;  // Right after it.
  };
  auto fill = [](StoreStandIn* it) {
    for (int n = 1; n < 12; ++n) it->Put("servers/b", UpstreamText(n));
  };
  const Row rows[] = {
      {"nothing lost", [](auto*) {},
       [](auto* it) { it->Put("op/config", ConfigText(2)); }},
      {"the revision of the change is below the one that was read", fill,
       [](auto* it) { it->Put("op/config", ConfigText(2)); }},
      {"revisions have passed the one that was read", fill,
       [&](auto* it) {
         it->Put("op/config", ConfigText(2));
         fill(it);
         fill(it);
       }},
      {"revisions end at the one that was read", fill,
       [&](auto* it) {
         it->Put("op/config", ConfigText(2));
         for (int n = 1; n < 11; ++n) it->Put("servers/c", UpstreamText(n));
       }},
      {"a target version", fill,
       [&](auto* it) {
         it->Put("op/version/m", TargetText(2));
         fill(it);
         fill(it);
       }},
      {"an upstream registers", fill,
       [&](auto* it) {
         it->Put("servers/new", UpstreamText(1));
         fill(it);
         fill(it);
       }},
      {"an upstream leaves", fill,
       [&](auto* it) {
         it->Remove("servers/a");
         fill(it);
         fill(it);
       }},
      {"an upstream registered in the lost span is gone",
       [&](auto* it) {
         it->Put("servers/lost", UpstreamText(1));
         fill(it);
       },
       [&](auto* it) {
         fill(it);
         fill(it);
       }},
  };
  for (const Row& row : rows) {
    for (bool was_away : {true, false}) {
      INFO(row.name << ", away " << was_away);
      WatchedStore it;
      it.store.Put("servers/a", UpstreamText(1));
      it.Start();
      it.store.TakeCopy();
      row.lost(&it.store);
      it.RunUntilCurrent();
      if (was_away) {
        it.store.SetFault(StoreFault::kReset);
        it.store.CutWatches();
        RunUntil(&it.loop, [&] { return !it.watcher->reachable(); });
      }
      it.store.RestoreCopy();
      it.store.SetFault(StoreFault::kNone);
      row.after(&it.store);
      it.RunUntilCurrent();
      CHECK(it.watcher->restores() == 1);
    }
  }
}

// Draws what is written, when, and restores at any moment: while a watch waits,
// between the pages of a snapshot, and before the last restore has been read.
TEST_CASE("random histories with restores end in the store's state",
          "[store-restore]") {
  for (uint32_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    WatchedStore it;
    it.store.SetPageSize(2);
    it.Start();
    it.store.TakeCopy();
    uint64_t version = 1;
    for (int step = 0; step < 40; ++step) {
      std::string upstream = "servers/" + std::to_string(random() % 6);
      switch (random() % 8) {
        case 0:
          it.store.Put("op/config", ConfigText(++version));
          break;
        case 1:
          it.store.Put("op/version/m", TargetText(++version));
          break;
        case 2:
          it.store.Remove(upstream);
          break;
        case 3:
          it.store.TakeCopy();
          break;
        case 4:
          if (random() % 2 == 0) it.store.RestoreCopy();
          break;
        case 5:
          it.store.SetFault(random() % 2 == 0 ? StoreFault::kBusy
                                              : StoreFault::kReset);
          it.store.CutWatches();
          break;
        default:
          it.store.SetFault(StoreFault::kNone);
          it.store.Put(upstream, UpstreamText(step));
      }
      for (uint32_t n = random() % 4; n > 0; --n)
        it.loop.RunOnce(Milliseconds(random() % 3));
    }
    it.store.SetFault(StoreFault::kNone);
    it.store.Put("op/config", ConfigText(++version));
    it.RunUntilCurrent();
  }
}

TEST_CASE("a store that states no era is followed as before",
          "[store-restore]") {
  WatchedStore it;
  it.store.SetEra(std::nullopt);
  it.Start();
  it.store.Put("op/config", ConfigText(2));
  it.RunUntilCurrent();
  CHECK(it.watcher->restores() == 0);
  // From here on it states one, and whether it was restored is not known.
  it.store.SetEra(1);
  it.store.Put("op/config", ConfigText(3));
  it.RunUntilCurrent();
  CHECK(it.watcher->restores() == 1);
}

std::string StoreResponse(const std::string& era, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nStore-Era: " + era +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Guards against a response that the store gave before it was restored and that
// arrives late: it must not confirm that the deployment is current.
TEST_CASE("a response of an earlier or unreadable era confirms nothing",
          "[store-restore]") {
  const std::string page = R"({"entries":[],"has_more":false,"as_of":9})";
  const std::string none = R"({"events":[],"as_of":9})";
  for (const char* era : {"1", "-1", "two", "99999999999999999999999"}) {
    INFO(era);
    EventLoop loop;
    RawServer server(&loop, TestEndpoint(kGroup, 2));
    Http1Client client(&loop);
    StoreSource source(&client, TestEndpoint(kGroup, 2));
    int syncs = 0;
    int confirmations = 0;
    DeploymentWatcher::Events events;
    events.on_change = [](const DeploymentChange&) {};
    events.on_confirmed = [&](BootTime) { ++confirmations; };
    events.on_synced = [&](const StorePosition&) { ++syncs; };
    events.on_restored = [] {};
    events.on_reachable = [](bool) {};
    DeploymentWatcher watcher(&loop, &source, kMaxConfigAge, std::move(events));
    server.Add({StoreResponse("2", page)});
    server.Add({StoreResponse(era, none)});
    watcher.Start();
    RunUntil(&loop, [&] { return syncs == 1; });
    RunUntil(&loop, [&] { return !watcher.reachable(); });
    CHECK(syncs == 1);
    CHECK(confirmations == 1);
    CHECK(watcher.restores() == 0);
  }
}

}  // namespace
}  // namespace primrosecove
