// How old this process's configuration may be, and what it may still decide
// with it.
#pragma once

#include <chrono>
#include <optional>

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// Time since the machine's start, with the time that it was suspended: a
/// suspended machine must not believe that its configuration is still young.
using BootTime = std::chrono::nanoseconds;

/// Reads CLOCK_BOOTTIME. Thread safe.
BootTime BootNow();

/// Remembers when the store last proved that no newer configuration existed.
/// Not thread safe; every method takes the time from its caller.
class ConfigFreshness {
 public:
  explicit ConfigFreshness(const FleetBounds& bounds)
      : revoke_(bounds.revoke),
        config_apply_(bounds.config_apply),
        strict_(bounds.strict_revoke) {}

  /// The configuration at hand was the newest at `requested_at`, the time at
  /// which the question was sent. Earlier proofs than the last are ignored.
  void Confirm(BootTime requested_at);
  /// How old the last proof is; nothing when there was none.
  std::optional<Milliseconds> Age(BootTime now) const;
  /// Whether a request may run by its key: a key taken right after the last
  /// proof must still be within its bound.
  bool MayUseKeys(BootTime now) const;
  /// Whether a request may be refused because the configuration at hand knows
  /// no such route or key; a stale one may just have missed it.
  bool MayDenyUnknown(BootTime now) const;
  /// Whether this host should be offered new callers.
  bool MayAcceptCallers(BootTime now) const;

 private:
  Milliseconds revoke_;
  Milliseconds config_apply_;
  bool strict_;
  std::optional<BootTime> proved_;
};

}  // namespace primrosecove
