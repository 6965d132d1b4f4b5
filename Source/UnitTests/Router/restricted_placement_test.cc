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

// A retry, or a stream that goes on at another upstream, must not leave the
// allowed regions either.
TEST_CASE("retries and resumed streams stay in the allowed regions",
          "[fleet][regions]") {
  RouterFixture fixture(127);
  auto config = RouterFixture::MakeConfigJson(2);
  for (auto& it : config["routes"]) it["allowed_regions"] = {"r1"};
  fixture.store.Put("op/config", config.dump());
  // Other regions, or none known, are not allowed.
  for (const char* service : {"llm", "desk"}) {
    bool is_engine = std::string(service) == "llm";
    EngineStandIn::Options options;
    options.id = std::string("far-") + service;
    options.service = service;
    options.zone = "z2";
    options.endpoint = fixture.EndpointAt(is_engine ? 6 : 7);
    options.model = is_engine ? "m" : "";
    options.version = is_engine ? 1 : 0;
    auto engine =
        std::make_unique<EngineStandIn>(&fixture.loop, &fixture.store, options);
    REQUIRE(engine->Start());
    fixture.engines[options.id] = std::move(engine);
  }
  RunUntil(&fixture.loop, [&] {
    return fixture.router->config_version() == 2 &&
           fixture.router->registry().all().size() == 6;
  });
  for (int i = 0; i < 6; ++i) {
    for (auto& [id, it] : fixture.engines)
      it->SetFault(EngineFault::kTruncateEvent, 1);
    fixture.SendAndWait("/stream/1");
    for (auto& [id, it] : fixture.engines) it->SetFault(EngineFault::kReset, 1);
    fixture.SendAndWait("/safe/1");
  }
  CHECK(fixture.engines["far-llm"]->runs().empty());
  CHECK(fixture.engines["far-desk"]->runs().empty());
  CHECK(fixture.ExecutionCount() > 0);
}

// Guards against a router that ignores the rate while nothing tells it how many
// others there are.
TEST_CASE("a router keeps to its share of a cold upstream's rate",
          "[fleet][cold-start]") {
  RouterFixture fixture(128);
  auto config = RouterFixture::MakeConfigJson(2);
  config["services"][1]["cold_start_s"] = 60;
  config["services"][1]["cold_per_s"] = 1;
  fixture.store.Put("op/config", config.dump());
  RunUntil(&fixture.loop,
           [&] { return fixture.router->config_version() == 2; });
  size_t runs = fixture.ExecutionCount();
  constexpr int kRequests = 10;
  int refused = 0;
  for (int i = 0; i < kRequests; ++i) {
    CallResult result = fixture.SendAndWait("/once/1");
    if (result.head->status != 503) continue;
    ++refused;
    CHECK(result.head->headers.Find("Retry-After").has_value());
  }
  // Two upstreams, and at most one request of this router at each.
  CHECK(refused >= kRequests - 2);
  CHECK(fixture.ExecutionCount() - runs == size_t(kRequests - refused));
  // Another service has no such rate.
  CHECK(StatusOf(&fixture, "/stream/1") == 200);
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
