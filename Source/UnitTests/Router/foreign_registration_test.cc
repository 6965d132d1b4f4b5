// Registrations of another writer at the addresses of upstreams. Guards against
// one entry's text that decides about another entry: routers removed all
// upstreams, and nothing returned them.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "../test_support.h"
#include "fleet_router_fixture.h"

namespace primrosecove {
namespace {

constexpr int kStatusOk = 200;

struct Row {
  const char* name;
  const char* service;  // Empty: that of the upstream.
  int64_t start_time_ms;
  bool leaving;
};

constexpr int64_t kFuture = 4'000'000'000'000;

const Row kRows[] = {
    {"unknown service", "inventory", 0, false},
    {"unknown service, start in the future", "inventory", kFuture, false},
    {"unknown service, leaving", "inventory", kFuture, true},
    {"service of the upstream", "", 0, false},
    {"service of the upstream, start in the future", "", kFuture, false},
    {"service of the upstream, leaving", "", kFuture, true},
    {"another service of the configuration", "raw", kFuture, false},
};

TEST_CASE("registrations of another writer remove no upstream",
          "[foreign-registration]") {
  for (const Row& row : kRows) {
    for (bool deletes_again : {false, true}) {
      INFO(row.name << ", deleted again " << deletes_again);
      RouterFixture fixture(134);
      // The upstreams were registered by an earlier read of the store.
      constexpr Milliseconds kSettled{700};
      SteadyTime begin = EventLoop::Now();
      RunUntil(&fixture.loop,
               [&] { return EventLoop::Now() - begin > kSettled; });
      std::vector<std::string> foreign;
      for (const auto& [id, upstream] : fixture.router->registry().all()) {
        std::string service =
            *row.service == '\0' ? upstream.record.service : row.service;
        foreign.push_back("z-foreign-" + id);
        fixture.store.Put(
            "servers/" + foreign.back(),
            nlohmann::json{{"service", service},
                           {"address", upstream.record.endpoint.ToString()},
                           {"zone", "z1"},
                           {"slots", 4},
                           {"born", row.start_time_ms},
                           {"state", row.leaving ? "draining" : "ready"}}
                .dump());
      }
      RunUntil(&fixture.loop, [&] {
        return fixture.router->registry().all().contains(foreign.back());
      });
      // Who answers at an address is known from the first answers there.
      constexpr int kTries = 8;
      int refused = 0;
      for (int n = 0; n < kTries; ++n) {
        for (const char* path : {"/once/1", "/safe/1", "/stream/1"}) {
          if (fixture.SendAndWait(path).head->status != kStatusOk) ++refused;
        }
      }
      CHECK(refused <= 4);
      if (deletes_again) {
        for (const std::string& it : foreign)
          fixture.store.Remove("servers/" + it);
        RunUntil(&fixture.loop, [&] {
          return !fixture.router->registry().all().contains(foreign.back());
        });
      }
      for (int n = 0; n < kTries; ++n) {
        for (const char* path : {"/once/1", "/safe/1", "/stream/1"})
          CHECK(fixture.SendAndWait(path).head->status == kStatusOk);
      }
      // One whose successor no request is for returns later.
      const auto& known = fixture.router->registry().all();
      RunUntil(&fixture.loop, [&] {
        return known.contains("engine-0") && known.contains("engine-1") &&
               known.contains("plain-0") && known.contains("plain-1");
      });
    }
  }
}

}  // namespace
}  // namespace primrosecove
