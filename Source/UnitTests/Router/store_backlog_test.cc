// A router that reads what it missed of the store in several responses. Guards
// against a part of the backlog that is taken for the store's newest state: the
// router accepted a key that a later part takes away, and denied one that a
// later part adds.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "../test_support.h"
#include "fleet_router_fixture.h"

namespace primrosecove {
namespace {

constexpr char kNewKey[] = "another";
// RouterFixture's bound of a revocation.
constexpr Milliseconds kRevokeBound{1500};
constexpr int kStatusOk = 200;
constexpr int kStatusDenied = 401;

std::string ConfigWithKeys(uint64_t version, const nlohmann::json& keys) {
  auto out = RouterFixture::MakeConfigJson(version);
  out["tenants"][0]["api_keys"] = keys;
  return out.dump();
}

struct Row {
  const char* name;
  StoreFault fault;
  int absences;
  const char* filler;  // Key that is written between the configurations.
};

const Row kRows[] = {
    {"refused", StoreFault::kBusy, 1, nullptr},
    {"reset", StoreFault::kReset, 1, nullptr},
    {"silent", StoreFault::kNoResponse, 1, nullptr},
    {"twice", StoreFault::kBusy, 2, nullptr},
    {"entries of servers", StoreFault::kBusy, 1, "servers/marker"},
    {"entries that no process of the system uses", StoreFault::kBusy, 1,
     "foreign/marker"},
};

TEST_CASE("a part of a backlog confirms no key", "[store-backlog]") {
  for (const Row& row : kRows) {
    INFO(row.name);
    RouterFixture fixture(129);
    fixture.store.SetWatchSize(1);
    uint64_t version = 1;
    for (int n = 0; n < row.absences; ++n) {
      fixture.store.SetFault(row.fault);
      fixture.store.CutWatches();
      auto write = [&](const nlohmann::json& keys) {
        fixture.store.Put("op/config", ConfigWithKeys(++version, keys));
        for (int i = 0; row.filler != nullptr && i < 2; ++i)
          fixture.store.Put(row.filler, "{}");
      };
      for (int i = 0; i < 4; ++i) write({kApiKey});
      bool is_last = n + 1 == row.absences;
      write({is_last ? kNewKey : kApiKey});
      SteadyTime acknowledged = EventLoop::Now();
      RunUntil(&fixture.loop, [&] {
        return EventLoop::Now() - acknowledged > kRevokeBound &&
               !fixture.router->IsReady();
      });
      fixture.store.SetFault(StoreFault::kNone);
      size_t runs = fixture.ExecutionCount();
      while (is_last && fixture.router->config_version() < version) {
        int revoked = fixture.SendAndWait("/once/1").head->status;
        int added = fixture.SendAndWait("/once/1", kNewKey).head->status;
        if (fixture.router->config_version() == version) break;
        CHECK(revoked != kStatusOk);
        CHECK(added != kStatusDenied);
        CHECK(fixture.ExecutionCount() == runs);
        CHECK_FALSE(fixture.router->IsReady());
      }
    }
    RunUntil(&fixture.loop, [&] {
      return fixture.SendAndWait("/once/1", kNewKey).head->status == kStatusOk;
    });
    CHECK(fixture.SendAndWait("/once/1").head->status == kStatusDenied);
  }
}

// In a large fleet hardly a watch is empty, as servers register all the time.
TEST_CASE("a store that changes all the time confirms the configuration",
          "[store-backlog]") {
  RouterFixture fixture(130);
  fixture.store.SetWatchSize(3);
  int written = 0;
  Timer writer = fixture.loop.Every(Milliseconds(5), [&] {
    fixture.store.Put("servers/marker", std::to_string(++written));
  });
  uint64_t calls = fixture.store.calls();
  SteadyTime begin = EventLoop::Now();
  RunUntil(&fixture.loop, [&] {
    CHECK(fixture.router->IsReady());
    CHECK(fixture.SendAndWait("/once/1").head->status == kStatusOk);
    return EventLoop::Now() - begin > 2 * kRevokeBound;
  });
  // Three changes a call are delivered, and the position is read at times.
  CHECK(fixture.store.calls() - calls <
        static_cast<uint64_t>(written) / 2 + 20);
}

}  // namespace
}  // namespace primrosecove
