// Looks up the route and the workspace of a request in one configuration.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// An index over one configuration. Immutable and thread safe.
class RouteTable {
 public:
  explicit RouteTable(FleetConfig config);

  /// Returns the route of `host` with the longest prefix of `path`, or null.
  /// `host` may include a port.
  const Route* Match(std::string_view host, std::string_view path) const;
  /// Returns the workspace that holds `key`, or null.
  const FleetWorkspace* FindKey(std::string_view key) const;
  /// Returns the service for a request of `route`; `random_value`, uniform in
  /// [0, 1), divides the requests of a split route by weight.
  const std::string& ChooseService(const Route& route,
                                   double random_value) const;
  /// Whether requests need a key.
  bool needs_keys() const { return !config_.workspaces.empty(); }
  const FleetService* FindService(const std::string& name) const;
  /// Returns the priority of a request among those of its service, 0 first: the
  /// workspace's own priority goes before the route's, and requests that are
  /// equal in it are ordered by their routes. `workspace` may be null.
  static int CombinedPriority(const Route& route,
                              const FleetWorkspace* workspace);
  /// Returns the combined priorities of a service's requests with the shortest
  /// latency target of each; at least one for a service with a route.
  std::map<int, Milliseconds> PrioritiesOf(const std::string& service) const;
  const FleetConfig& config() const { return config_; }

 private:
  FleetConfig config_;
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
  std::unordered_map<std::string, const FleetWorkspace*> by_key_;
};

}  // namespace primrosecove
