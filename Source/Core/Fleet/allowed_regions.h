// Regions whose upstreams may get a request.
#pragma once

#include <string>

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// The regions that the route and the workspace of a request allow. Refers to
/// both, which have to outlive it. Thread safe.
class AllowedRegions {
 public:
  AllowedRegions() = default;
  /// `workspace` is null for a request without a workspace.
  AllowedRegions(const Route* route, const FleetWorkspace* workspace);

  /// Returns whether some region may be forbidden.
  bool is_restricted() const { return by_route_ || by_workspace_; }
  /// Returns whether a region is allowed by the route and by the workspace. An
  /// unknown region, named "", is allowed only if there is no restriction.
  bool Allows(const std::string& region) const;

 private:
  const std::vector<std::string>* by_route_ = nullptr;
  const std::vector<std::string>* by_workspace_ = nullptr;
};

/// Returns the region of a zone, or "" if the zone is unknown. Thread safe.
const std::string& RegionOfZone(const HostSettings& settings,
                                const std::string& zone);

}  // namespace primrosecove
