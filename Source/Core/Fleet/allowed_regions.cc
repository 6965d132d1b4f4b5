#include "Core/Fleet/allowed_regions.h"

#include <algorithm>

namespace primrosecove {
namespace {

bool Contains(const std::vector<std::string>* regions,
              const std::string& region) {
  return regions == nullptr ||
         std::find(regions->begin(), regions->end(), region) != regions->end();
}

}  // namespace

AllowedRegions::AllowedRegions(const Route* route,
                               const FleetWorkspace* workspace) {
  if (route != nullptr && !route->allowed_regions.empty())
    by_route_ = &route->allowed_regions;
  if (workspace != nullptr && !workspace->allowed_regions.empty())
    by_workspace_ = &workspace->allowed_regions;
}

bool AllowedRegions::Allows(const std::string& region) const {
  if (!is_restricted()) return true;
  return !region.empty() && Contains(by_route_, region) &&
         Contains(by_workspace_, region);
}

const std::string& RegionOfZone(const HostSettings& settings,
                                const std::string& zone) {
  static const std::string kUnknown;
  auto it = settings.region_of_zone.find(zone);
  return it == settings.region_of_zone.end() ? kUnknown : it->second;
}

}  // namespace primrosecove
