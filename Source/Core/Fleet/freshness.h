// Tracks the age of a process's configuration and which decisions that age
// still allows.
#pragma once

#include <chrono>
#include <ctime>
#include <optional>
#include <span>

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// Time since the host booted, including time in suspend: after a resume the
/// configuration must count as old.
using BootTime = std::chrono::nanoseconds;

/// Reads a clock; returns std::nullopt if the system does not have it. Thread
/// safe.
std::optional<BootTime> ReadClock(clockid_t clock);
/// Returns the first of `clocks` that can be read. Precondition: there is one.
/// Thread safe.
clockid_t FirstReadableClock(std::span<const clockid_t> clocks);
/// Returns the clock that BootNow reads: CLOCK_BOOTTIME or, on systems without
/// it, CLOCK_MONOTONIC, which does not count the time in suspend. Thread safe.
clockid_t BootClock();
/// Reads BootClock(). Thread safe.
BootTime BootNow();

/// Records when the store last confirmed that no newer configuration existed.
/// Not thread safe; the caller supplies the time.
class ConfigFreshness {
 public:
  explicit ConfigFreshness(const FleetBounds& bounds) { SetBounds(bounds); }

  /// Sets the bounds for all decisions from now on.
  void SetBounds(const FleetBounds& bounds) {
    revoke_bound_ = bounds.revoke;
    config_apply_bound_ = bounds.config_apply;
    strict_ = bounds.strict_revoke;
  }

  /// Records that the current configuration was the newest at `confirmed_at`.
  /// Ignores older confirmations.
  void Confirm(BootTime confirmed_at);
  /// Returns the age of the latest confirmation, if there was one.
  std::optional<Milliseconds> Age(BootTime now) const;
  /// Whether a request may run on its key: a key revoked right after the latest
  /// confirmation must still be within its bound.
  bool MayUseKeys(BootTime now) const;
  /// Whether a request may be refused because the configuration has no such
  /// route or key; a stale configuration may lack a new one.
  bool MayDenyUnknown(BootTime now) const;
  /// Returns the age from which on some decision is restricted.
  Milliseconds UnrestrictedAge() const;
  /// Whether this host should be offered new callers.
  bool MayAcceptCallers(BootTime now) const;

 private:
  Milliseconds revoke_bound_;
  Milliseconds config_apply_bound_;
  bool strict_;
  std::optional<BootTime> confirmed_at_;
};

}  // namespace primrosecove
