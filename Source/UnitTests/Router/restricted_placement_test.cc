// A router whose requests may not go to all upstreams. Guards against requests
// in forbidden regions and evacuated zones, and against refusals after an
// evacuation that has ended unnoticed.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "../test_support.h"
#include "fleet_router_fixture.h"

namespace primrosecove {
namespace {

constexpr char kEvacuation[] = "op/evacuate/z1";

int StatusOf(RouterFixture* fixture, const std::string& path) {
  return fixture->SendAndWait(path).head->status;
}

TEST_CASE("requests stay in the regions of their route and workspace",
          "[fleet][regions]") {
  using Regions = std::vector<std::string>;
  struct Row {
    const char* name;
    Regions route;
    Regions workspace;
    int status;
  };
  // All upstreams are in region r1.
  const Row rows[] = {
      {"no restriction", {}, {}, 200},
      {"allowed", {"r1"}, {"r1", "r2"}, 200},
      {"another region by the route", {"r2"}, {}, 503},
      {"another region by the workspace", {}, {"r2"}, 503},
      {"nothing in common", {"r1"}, {"r2"}, 503},
      {"an unknown region", {"nowhere"}, {}, 503},
  };
  RouterFixture fixture(121);
  uint64_t version = 1;
  for (const Row& row : rows) {
    INFO(row.name);
    auto config = RouterFixture::MakeConfigJson(++version);
    for (auto& it : config["routes"]) it["allowed_regions"] = row.route;
    config["tenants"][0]["allowed_regions"] = row.workspace;
    fixture.store.Put("op/config", config.dump());
    RunUntil(&fixture.loop,
             [&] { return fixture.router->config_version() == version; });
    for (const char* path : {"/once/1", "/safe/1", "/stream/1"}) {
      size_t runs = fixture.ExecutionCount();
      CallResult result = fixture.SendAndWait(path);
      CHECK(result.head->status == row.status);
      bool refused = row.status == 503;
      CHECK(result.head->headers.Find("Retry-After").has_value() == refused);
      CHECK(fixture.ExecutionCount() == runs + (refused ? 0 : 1));
    }
  }
}

TEST_CASE("an evacuated zone gets no request until its evacuation ends",
          "[fleet][evacuation]") {
  enum class End { kRemoved, kRemovedUnseen };
  struct Row {
    const char* name;
    End end;
  };
  const Row rows[] = {
      {"removed", End::kRemoved},
      {"removed while the router can't watch", End::kRemovedUnseen}};
  for (const Row& row : rows) {
    INFO(row.name);
    RouterFixture fixture(122);
    REQUIRE(StatusOf(&fixture, "/once/1") == 200);
    fixture.store.Put("op/evacuate/unknown", "not json");
    fixture.store.Put(kEvacuation, "{}");
    RunUntil(&fixture.loop,
             [&] { return StatusOf(&fixture, "/once/1") == 503; });
    size_t runs = fixture.ExecutionCount();
    CHECK(StatusOf(&fixture, "/stream/1") == 503);
    CHECK(fixture.ExecutionCount() == runs);
    if (row.end == End::kRemovedUnseen)
      fixture.store.SetFault(StoreFault::kBusy);
    fixture.store.Remove(kEvacuation);
    fixture.store.Compact();
    fixture.store.SetFault(StoreFault::kNone);
    RunUntil(&fixture.loop,
             [&] { return StatusOf(&fixture, "/once/1") == 200; });
    CHECK(StatusOf(&fixture, "/stream/1") == 200);
  }
}

TEST_CASE("an evacuation outlasts the restore of a copy that lacks it",
          "[fleet][evacuation]") {
  RouterFixture fixture(123);
  fixture.store.TakeCopy();
  fixture.store.Put(kEvacuation, "{}");
  RunUntil(&fixture.loop, [&] { return StatusOf(&fixture, "/once/1") == 503; });
  fixture.store.RestoreCopy();
  RunUntil(&fixture.loop,
           [&] { return fixture.router->store_restores() == 1; });
  size_t runs = fixture.ExecutionCount();
  SteadyTime since = EventLoop::Now();
  RunUntil(&fixture.loop, [&] {
    CHECK(StatusOf(&fixture, "/once/1") == 503);
    return EventLoop::Now() - since > Milliseconds(1500);
  });
  CHECK(fixture.ExecutionCount() == runs);
}

}  // namespace
}  // namespace primrosecove
