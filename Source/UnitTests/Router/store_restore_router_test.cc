// A router whose store is restored from an older copy. Guards against keys,
// routes and registrations of the copy that take the place of later ones.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "../test_support.h"
#include "fleet_router_fixture.h"

namespace primrosecove {
namespace {

constexpr char kNewKey[] = "another";

nlohmann::json ConfigWithKey(uint64_t version, const char* key) {
  auto out = RouterFixture::MakeConfigJson(version);
  out["tenants"][0]["api_keys"] = {key};
  return out;
}

// Writes that carry the store past any revision that the router has read.
void Fill(StoreStandIn* store) {
  for (int n = 0; n < 40; ++n) store->Put("servers/marker", "{}");
}

bool HasReadRestoredStore(const RouterFixture& fixture, uint64_t restores) {
  return fixture.router->store_restores() == restores;
}

TEST_CASE("a key revoked right after a restore of the store is denied",
          "[store-restore]") {
  RouterFixture fixture(109);
  fixture.store.TakeCopy();
  Fill(&fixture.store);
  for (int i = 0; i < 20; ++i) fixture.loop.RunOnce(Milliseconds(20));
  fixture.store.RestoreCopy();
  fixture.store.Put("op/config", ConfigWithKey(2, kNewKey).dump());
  SteadyTime acknowledged = EventLoop::Now();
  Fill(&fixture.store);
  Fill(&fixture.store);
  constexpr Milliseconds kRevokeBound{1500};
  RunUntil(&fixture.loop,
           [&] { return EventLoop::Now() - acknowledged > kRevokeBound; });
  size_t runs = fixture.ExecutionCount();
  CHECK(fixture.SendAndWait("/once/1").head->status != 200);
  CHECK(fixture.ExecutionCount() == runs);
  RunUntil(&fixture.loop, [&] {
    return fixture.SendAndWait("/once/1", kNewKey).head->status == 200;
  });
  CHECK(fixture.SendAndWait("/once/1").head->status == 401);
}

TEST_CASE("a configuration that the copy lacks stays in force",
          "[store-restore]") {
  RouterFixture fixture(110);
  fixture.store.TakeCopy();
  fixture.store.Put("op/config", ConfigWithKey(2, kNewKey).dump());
  RunUntil(&fixture.loop,
           [&] { return fixture.router->config_version() == 2; });
  fixture.store.RestoreCopy();
  Fill(&fixture.store);
  RunUntil(&fixture.loop, [&] { return HasReadRestoredStore(fixture, 1); });
  // The copy does not confirm the newer configuration, and a later one may
  // have revoked its key, too.
  RunUntil(&fixture.loop, [&] {
    CHECK(fixture.SendAndWait("/once/1").head->status != 200);
    return fixture.SendAndWait("/once/1", kNewKey).head->status == 503;
  });
  CHECK(fixture.router->config_version() == 2);
  fixture.store.Put("op/config", ConfigWithKey(2, kNewKey).dump());
  RunUntil(&fixture.loop, [&] {
    return fixture.SendAndWait("/once/1", kNewKey).head->status == 200;
  });
  CHECK(fixture.SendAndWait("/once/1").head->status == 401);
}

// Guards against a router that stops serving because the operator has written
// an older configuration, which it refuses.
TEST_CASE("an older configuration without a restore stops no request",
          "[store-restore]") {
  RouterFixture fixture(120);
  fixture.store.Put("op/config", ConfigWithKey(3, kNewKey).dump());
  RunUntil(&fixture.loop,
           [&] { return fixture.router->config_version() == 3; });
  fixture.store.Put("op/config", ConfigWithKey(2, kApiKey).dump());
  SteadyTime written = EventLoop::Now();
  constexpr Milliseconds kRevokeBound{1500};
  RunUntil(&fixture.loop,
           [&] { return EventLoop::Now() - written > 2 * kRevokeBound; });
  CHECK(fixture.SendAndWait("/once/1", kNewKey).head->status == 200);
  CHECK(fixture.SendAndWait("/once/1").head->status == 401);
}

TEST_CASE("an upstream that has left is not used because of the copy",
          "[store-restore]") {
  struct Row {
    const char* name;
    bool announces_leaving;
    bool unregisters;
  };
  const Row rows[] = {{"leaving", true, false},
                      {"gone after leaving", true, true},
                      {"gone without leaving", false, true}};
  for (const Row& row : rows) {
    INFO(row.name);
    RouterFixture fixture(111);
    fixture.store.TakeCopy();
    EngineStandIn& left = *fixture.engines["plain-0"];
    if (row.announces_leaving) left.Register(true);
    RunUntil(&fixture.loop, [&] {
      return !row.announces_leaving ||
             fixture.router->registry().all().at("plain-0").IsLeaving();
    });
    if (row.unregisters) {
      left.Unregister();
      RunUntil(&fixture.loop, [&] {
        return !fixture.router->registry().all().contains("plain-0");
      });
    }
    fixture.store.RestoreCopy();
    fixture.store.Put("op/config", RouterFixture::MakeConfigJson(2).dump());
    RunUntil(&fixture.loop,
             [&] { return fixture.router->config_version() == 2; });
    size_t runs = left.runs().size();
    for (int i = 0; i < 12; ++i) {
      CHECK(fixture.SendAndWait("/once/1").head->status == 200);
    }
    CHECK(left.runs().size() == runs);
  }
}

TEST_CASE("an upstream that the copy lacks is used until it registers again",
          "[store-restore]") {
  RouterFixture fixture(112);
  fixture.store.TakeCopy();
  fixture.AddUpstream("plain-9", "desk", "", 9);
  RunUntil(&fixture.loop, [&] {
    return fixture.router->registry().all().contains("plain-9");
  });
  fixture.store.RestoreCopy();
  Fill(&fixture.store);
  RunUntil(&fixture.loop, [&] { return HasReadRestoredStore(fixture, 1); });
  for (int i = 0; i < 10; ++i) fixture.loop.RunOnce(Milliseconds(20));
  CHECK(fixture.router->registry().all().contains("plain-9"));
  fixture.engines["plain-9"]->Register();
  SteadyTime registered = EventLoop::Now();
  RunUntil(&fixture.loop, [&] {
    return EventLoop::Now() - registered >
           UpstreamRegistry::kRegistrationGrace + Milliseconds(300);
  });
  CHECK(fixture.router->registry().all().contains("plain-9"));
}

TEST_CASE("an upstream that the copy lacks and that has ended is removed",
          "[store-restore]") {
  RouterFixture fixture(113);
  fixture.store.TakeCopy();
  fixture.AddUpstream("plain-9", "desk", "", 9);
  RunUntil(&fixture.loop, [&] {
    return fixture.router->registry().all().contains("plain-9");
  });
  fixture.engines.erase("plain-9");
  fixture.store.RestoreCopy();
  Fill(&fixture.store);
  RunUntil(&fixture.loop, [&] {
    return !fixture.router->registry().all().contains("plain-9");
  });
  CHECK(HasReadRestoredStore(fixture, 1));
}

// Guards against processes that take all of the store's rate for themselves
// after a restore: a calm watch costs up to five calls in two seconds.
TEST_CASE("a restore of the store costs few calls", "[store-restore]") {
  RouterFixture fixture(114);
  auto calls_in = [&](Milliseconds time) {
    uint64_t before = fixture.store.calls();
    SteadyTime since = EventLoop::Now();
    RunUntil(&fixture.loop, [&] { return EventLoop::Now() - since > time; });
    return fixture.store.calls() - before;
  };
  constexpr Milliseconds kTime{2000};
  uint64_t calm = calls_in(kTime);
  fixture.store.TakeCopy();
  Fill(&fixture.store);
  fixture.store.RestoreCopy();
  uint64_t restored = calls_in(kTime);
  CHECK(HasReadRestoredStore(fixture, 1));
  CHECK(restored <= 2 * calm);
}

}  // namespace
}  // namespace primrosecove
