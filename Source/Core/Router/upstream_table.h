// One router's statistics of all upstreams, and the selection among them.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Core/Config/configuration.h"
#include "Core/Membership/host_view.h"
#include "Core/Router/caller_request.h"
#include "Core/Routing/picker.h"

namespace primrosecove {

/// Holds statistics by upstream and selects the upstream of a request. Not
/// thread safe.
class UpstreamTable {
 public:
  explicit UpstreamTable(std::unique_ptr<Picker> picker)
      : picker_(std::move(picker)) {}

  /// Chooses an upstream for a request among those that accept work, serve an
  /// accepted version of its model and are not in `tried`. Returns null if
  /// there is none. The record is valid until the view changes.
  const HostRecord* Choose(const Configuration& config, const HostView& view,
                           const CallerRequest& request,
                           const std::set<std::string>& tried);
  /// Returns the statistics of an upstream, and creates them if needed. The
  /// pointer is valid until Prune removes them.
  UpstreamStats* StatsFor(const std::string& name) { return &stats_[name]; }
  /// Removes the statistics of upstreams that are not in the configuration and
  /// have no requests in flight.
  void Prune(const Configuration& config);

 private:
  const HostRecord* ChooseHomeUpstream(const Configuration& config,
                                       const HostView& view,
                                       const CallerRequest& request) const;

  std::unique_ptr<Picker> picker_;
  std::map<std::string, UpstreamStats> stats_;
};

/// Whether an upstream accepts such a request according to its agent's record.
/// Thread safe.
bool ServesRequest(const HostRecord& record, const CallerRequest& request);

}  // namespace primrosecove
