// A router whose requests differ in priority. Guards against requests that
// reach their upstream without their priority, and against callers that set
// one themselves.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "../test_support.h"
#include "fleet_router_fixture.h"

namespace primrosecove {
namespace {

TEST_CASE("upstreams learn the priority of requests that differ in it",
          "[fleet][priority]") {
  struct Row {
    const char* name;
    std::map<std::string, int> route_priorities;  // By path.
    std::optional<int> workspace_priority;
    const char* path;
    const char* priority;  // "": none.
  };
  const Row rows[] = {
      {"equal priorities", {{"/once/", 1}, {"/safe/", 1}}, {}, "/once/1", ""},
      {"the more urgent", {{"/once/", 0}, {"/safe/", 2}}, {}, "/once/1", "0"},
      {"the less urgent", {{"/once/", 0}, {"/safe/", 2}}, {}, "/safe/1", "1"},
      {"another service", {{"/once/", 0}, {"/safe/", 2}}, {}, "/stream/1", ""},
      {"the workspace's, equal for all",
       {{"/once/", 0}, {"/safe/", 2}},
       1,
       "/safe/1",
       "1"},
      {"far apart", {{"/once/", 0}, {"/safe/", 70}}, {}, "/safe/1", "1"},
  };
  RouterFixture fixture(124);
  uint64_t version = 1;
  for (const Row& row : rows) {
    INFO(row.name);
    auto config = RouterFixture::MakeConfigJson(++version);
    for (auto& it : config["routes"]) {
      auto entry = row.route_priorities.find(it["prefix"]);
      if (entry != row.route_priorities.end()) it["priority"] = entry->second;
    }
    if (row.workspace_priority)
      config["tenants"][0]["priority"] = *row.workspace_priority;
    fixture.store.Put("op/config", config.dump());
    RunUntil(&fixture.loop,
             [&] { return fixture.router->config_version() == version; });
    std::map<std::string, size_t> runs;
    for (auto& [id, it] : fixture.engines) runs[id] = it->runs().size();
    CallResult result =
        fixture.SendAndWait(row.path, kApiKey, {{"Request-Priority", "7"}});
    REQUIRE(result.head->status == 200);
    for (auto& [id, it] : fixture.engines) {
      if (it->runs().size() > runs[id])
        CHECK(it->runs().back().priority == row.priority);
    }
  }
}

}  // namespace
}  // namespace primrosecove
