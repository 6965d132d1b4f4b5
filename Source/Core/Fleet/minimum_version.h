// Tracks the lowest version of weights that a new request may run on.
#pragma once

#include <map>
#include <string>

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// Records when each target version was set and from when on requests may no
/// longer run on older ones. Not thread safe; the caller supplies the time.
class MinimumVersion {
 public:
  explicit MinimumVersion(Milliseconds bound) : bound_(bound) {}

  /// Sets the bound, also for the versions that are known.
  void SetBound(Milliseconds bound) { bound_ = bound; }

  /// Records that `version` is to be served. `initial_read` is set if the
  /// version was set before this process began to watch: its age is unknown
  /// then, and older versions are allowed only for as long as a newly started
  /// host may use them.
  void SetTarget(const std::string& model, uint64_t version, bool initial_read,
                 Milliseconds now);
  /// Returns the lowest version that a request may be sent to.
  uint64_t MinimumToSend(const std::string& model, Milliseconds now) const;
  /// Returns the lowest version on which a request that was sent earlier may
  /// still start.
  uint64_t MinimumToStart(const std::string& model, Milliseconds now) const;
  /// Returns the newest target version, or 0.
  uint64_t NewestTarget(const std::string& model) const;
  /// Returns the time since this process learned of the newest target version.
  Milliseconds NewestTargetAge(const std::string& model,
                               Milliseconds now) const;

 private:
  struct Target {
    uint64_t version;
    Milliseconds learned_at;
    bool initial_read;
  };
  // Returns the time from which on no request may start on older versions.
  Milliseconds StartCutoff(const Target& target) const;
  // Returns the newest version whose start cutoff is at or before `time`.
  uint64_t NewestWithCutoff(const std::string& model, Milliseconds time) const;

  Milliseconds bound_;
  std::map<std::string, std::vector<Target>> by_model_;
};

}  // namespace primrosecove
