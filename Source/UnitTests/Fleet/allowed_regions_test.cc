// Guards against requests in regions that their route or workspace forbids.
#include "Core/Fleet/allowed_regions.h"

#include <catch2/catch.hpp>

namespace primrosecove {
namespace {

TEST_CASE("a region must be allowed by the route and by the workspace") {
  using Regions = std::vector<std::string>;
  struct Row {
    const char* name;
    Regions route;
    std::optional<Regions> workspace;  // Empty: a request without a key.
    const char* region;
    bool allowed;
  };
  const Row rows[] = {
      {"no restriction", {}, Regions{}, "r1", true},
      {"no restriction, unknown region", {}, Regions{}, "", true},
      {"no key", {"r1"}, std::nullopt, "r1", true},
      {"no key, other region", {"r1"}, std::nullopt, "r2", false},
      {"by the route", {"r1", "r2"}, Regions{}, "r2", true},
      {"by the workspace", {}, Regions{"r1"}, "r1", true},
      {"forbidden by the workspace", {}, Regions{"r1"}, "r2", false},
      {"allowed by both", {"r1", "r2"}, Regions{"r2", "r3"}, "r2", true},
      {"by the route alone", {"r1", "r2"}, Regions{"r2", "r3"}, "r1", false},
      {"by the workspace alone", {"r1"}, Regions{"r2"}, "r2", false},
      {"nothing in common", {"r1"}, Regions{"r2"}, "r3", false},
      {"unknown region", {"r1"}, Regions{}, "", false},
      {"a region without a name", {""}, Regions{}, "", false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    Route route;
    route.allowed_regions = row.route;
    FleetWorkspace workspace;
    if (row.workspace) workspace.allowed_regions = *row.workspace;
    AllowedRegions regions(&route, row.workspace ? &workspace : nullptr);
    CHECK(regions.Allows(row.region) == row.allowed);
  }
}

}  // namespace
}  // namespace primrosecove
