// Correlates lost connections with upstream crashes to detect requests that
// crash every upstream that executes them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Core/Fleet/upstream_registry.h"
#include "Core/Membership/suspect_table.h"

namespace primrosecove {

/// Counters that the metrics endpoint exports.
struct CrashCounters {
  uint64_t crashes = 0;           ///< Detected crashes of upstreams.
  uint64_t lost_connections = 0;  ///< Attempts that ended without a response.
  uint64_t uncorrelated_losses = 0;    ///< Of these, without a known crash.
  uint64_t repeated_observations = 0;  ///< Observations known already.
};

/// Crash observations of one router and those received from other routers. A
/// connection can be lost for many reasons, so a loss counts only if its
/// upstream crashed at about the same time. Handles the load in which one
/// request is sent repeatedly and crashes an upstream each time. Not thread
/// safe; callers pass the current time.
class CrashCorrelator {
 public:
  /// Records an attempt that ended because its upstream was silent or its
  /// connection was lost. `as_suspect`: it was this router's only active
  /// suspect at that upstream.
  void OnConnectionLost(uint64_t request, const std::string& upstream_id,
                        bool as_suspect, MonotonicTime now);
  /// Records the crash of an upstream. Connections to it that were lost shortly
  /// before or after become crash observations.
  void OnUpstreamCrash(const std::string& upstream_id, MonotonicTime now);
  /// Removes lost connections and crashes that can't be correlated any more.
  void RemoveExpired(MonotonicTime now);
  /// Returns the observations made since the last call, for other routers.
  std::vector<CrashObservation> PopNewObservations();
  /// Adds an observation that another router made.
  void AddRemoteObservation(const CrashObservation& observation,
                            MonotonicTime now);

  /// Whether any observation exists. Without one, requests need no fingerprint.
  bool HasObservations() const { return has_observations_; }
  SuspectVerdict ClassifyRequest(uint64_t request, MonotonicTime now) const {
    return table_.Classify(request, now.count());
  }
  /// Returns the time until a blocked request is accepted again.
  Milliseconds BlockedTimeLeft(uint64_t request, MonotonicTime now) const {
    return Milliseconds(table_.BlockedUntil(request)) - now;
  }

  const CrashCounters& counters() const { return counters_; }
  const SuspectTable& table() const { return table_; }

  /// Counts this router's suspects in flight at an upstream.
  void AddActiveSuspect(const std::string& upstream_id) {
    ++active_suspects_[upstream_id];
  }
  void RemoveActiveSuspect(const std::string& upstream_id);
  bool HasActiveSuspect(const std::string& upstream_id) const {
    return active_suspects_.contains(upstream_id);
  }

 private:
  struct LostConnection {
    uint64_t request = 0;
    std::string upstream_id;
    bool as_suspect = false;
    MonotonicTime at{0};
  };

  void RecordObservation(const LostConnection& lost_connection,
                         MonotonicTime now);

  SuspectTable table_;
  CrashCounters counters_;
  bool has_observations_ = false;
  std::vector<LostConnection> lost_connections_;  ///< Without a known crash.
  std::map<std::string, MonotonicTime> recent_crashes_;  ///< Time by upstream.
  std::map<std::string, int> active_suspects_;           ///< Count by upstream.
  std::vector<CrashObservation> new_observations_;
};

}  // namespace primrosecove
