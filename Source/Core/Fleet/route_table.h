// Finds the route and the workspace of a request in one configuration.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// An index over one configuration. Immutable, so any thread may use it.
class RouteTable {
 public:
  explicit RouteTable(FleetConfig config);

  /// The route with the longest prefix that begins `path` among those of
  /// `host`, or null. `host` may carry a port.
  const Route* Match(std::string_view host, std::string_view path) const;
  /// The workspace that holds `key`, or null.
  const FleetWorkspace* FindKey(std::string_view key) const;
  /// The service that a request of `route` goes to; `draw` is uniform in
  /// [0, 1) and divides a split route's requests by weight.
  const std::string& ChooseService(const Route& route, double draw) const;
  /// Whether requests need a key at all.
  bool needs_keys() const { return !config_.workspaces.empty(); }
  const FleetService* FindService(const std::string& name) const;
  const FleetConfig& config() const { return config_; }

 private:
  FleetConfig config_;
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
  std::unordered_map<std::string, const FleetWorkspace*> by_key_;
};

}  // namespace primrosecove
