// Which versions of weights a new request may still begin on.
#pragma once

#include <map>
#include <string>

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// Remembers when each version was named and from when on older ones may begin
/// nothing more. Not thread safe; time is handed in.
class MinimumVersion {
 public:
  explicit MinimumVersion(Milliseconds bound) : bound_(bound) {}

  /// Learns that `version` is to be served. `first_read` is set for what was
  /// named before this process began to read: it can't tell how long ago, so
  /// it allows only what a host that has just started may.
  void SetTarget(const std::string& model, uint64_t version, bool first_read,
                 Milliseconds now);
  /// The lowest version that a request may begin on.
  uint64_t MinimumToSend(const std::string& model, Milliseconds now) const;
  /// The lowest version on which a request that was sent earlier and has not
  /// begun may be left to begin.
  uint64_t MinimumToStart(const std::string& model, Milliseconds now) const;
  /// The newest named version, or 0.
  uint64_t NewestTarget(const std::string& model) const;
  /// How long ago the newest version was learnt of.
  Milliseconds NewestTargetAge(const std::string& model,
                               Milliseconds now) const;

 private:
  struct Named {
    uint64_t version;
    Milliseconds learnt;
    Milliseconds binding;  // from when on nothing is sent to older versions
    Milliseconds bound;    // from when on nothing begins on older versions
  };
  template <typename Member>
  uint64_t LowestBy(const std::string& model, Milliseconds now,
                    Member member) const;

  Milliseconds bound_;
  std::map<std::string, std::vector<Named>> by_model_;
};

}  // namespace primrosecove
