// The zones whose upstreams get no requests because the operator has evacuated
// them.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// State of all evacuations that a router knows. Not thread safe; callers pass
/// the time since the process's start.
class ZoneEvacuations {
 public:
  /// A store that is restored from a copy may lack evacuations until the
  /// operator has written them again, which takes less.
  static constexpr Milliseconds kRestoreSettleTime{10'000};

  /// Applies a change from the store. An end that is inferred from a read of a
  /// store that was restored recently takes effect after kRestoreSettleTime,
  /// unless the evacuation is seen again before.
  /// Returns whether the zone is evacuated by this change.
  bool Apply(const ZoneEvacuation& change, Milliseconds now);
  /// Records that the store has been restored from a copy.
  void OnStoreRestored(Milliseconds now);

  bool IsEvacuated(const std::string& zone, Milliseconds now) const;
  /// Returns the time since the last evacuation of a zone ended, or nothing if
  /// it lasts or none is known.
  std::optional<Milliseconds> TimeSinceEnd(const std::string& zone,
                                           Milliseconds now) const;
  /// Returns the number of zones that are evacuated.
  size_t Count(Milliseconds now) const;

 private:
  // When the evacuation of a zone ends or has ended; empty while it lasts.
  std::map<std::string, std::optional<Milliseconds>> ends_;
  std::optional<Milliseconds> restored_at_;
};

}  // namespace primrosecove
