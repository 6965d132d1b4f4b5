// A router whose settings file changes while it runs. Guards against bounds
// that its parts copied when they were made and keep after a reload.
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "../test_support.h"
#include "fleet_router_fixture.h"

namespace primrosecove {
namespace {

TEST_CASE("a reloaded bound for revoked keys is in force at once",
          "[fleet][reload]") {
  struct Row {
    const char* name;
    int revoke_ms;  // 1500 before.
    Milliseconds outage;
    int status;
  };
  const Row rows[] = {
      {"longer", 60'000, Milliseconds(2500), 200},
      {"shorter", 700, Milliseconds(900), 503},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    RouterFixture fixture(119);
    std::ofstream(fixture.SettingsPath())
        << "node_name: again\nip: 127.0.0.1\nplatform: {address: '127.0.0.1:1'}"
        << "\nbounds: {strict_revoke: true, revoke_ms: " << row.revoke_ms
        << ", grace_s: 8}\n";
    fixture.router->ReloadSettings();
    std::filesystem::remove(fixture.SettingsPath());
    CHECK(fixture.SendAndWait("/once/1").head->status == 200);
    fixture.store.SetFault(StoreFault::kNoResponse);
    SteadyTime since = EventLoop::Now();
    RunUntil(&fixture.loop,
             [&] { return EventLoop::Now() - since > row.outage; });
    CHECK(fixture.SendAndWait("/once/1").head->status == row.status);
  }
}

}  // namespace
}  // namespace primrosecove
