// The table of requests that were running when an upstream crashed.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace primrosecove {

/// Observation that a request was running at an upstream when that upstream
/// crashed or, if `completed`, that it ran to its end.
struct CrashObservation {
  uint64_t request = 0;   ///< Fingerprint of the request's content.
  uint64_t upstream = 0;  ///< Hash of the upstream's name.
  bool as_suspect =
      false;  ///< The request ran as the only suspect at the upstream.
  int64_t expires_ms =
      0;  ///< Unix time in ms at which the observation expires.
  /// Distinguishes the crashes of an upstream that restarts under its name.
  uint64_t incarnation = 0;
  bool completed = false;

  bool operator==(const CrashObservation&) const = default;
};

/// Classification of a request by the crash observations.
enum class SuspectVerdict {
  kClear,
  kSuspect,  ///< The request was running at a crash; it may run at an upstream
             ///< that runs no other suspect.
  kBlocked,  ///< The request was running when two upstreams crashed, at the
             ///< second one as the only suspect, or at kCrashesToBlock crashes.
};

/// Crash observations of all processes, as far as they have been received.
/// Adding is commutative and idempotent. Not thread safe.
class SuspectTable {
 public:
  /// Crashes after which a request is blocked even if other suspects were
  /// running at each of them.
  static constexpr size_t kCrashesToBlock = 3;
  /// Time in ms for which an observation is valid.
  static constexpr int64_t kLifetimeMs = 600'000;
  /// Maximum number of observations; beyond it the one that expires first is
  /// dropped.
  static constexpr size_t kMaxObservations = 4096;

  /// Adds an observation; returns whether it changed the table. A completed
  /// execution voids the observations of crashes that expire no later than it.
  /// Times are Unix ms.
  bool Add(const CrashObservation& observation, int64_t now_ms);
  SuspectVerdict Classify(uint64_t request, int64_t now_ms) const;
  /// Unix time in ms at which a blocked request may be retried.
  int64_t BlockedUntil(uint64_t request) const;
  /// Digest of the valid observations, independent of their order and expiry.
  uint64_t Digest(int64_t now_ms) const;
  /// Number of observations, including expired ones not removed yet.
  size_t size() const { return by_request_.size(); }
  /// All observations that have not expired.
  std::vector<CrashObservation> List(int64_t now_ms) const;

 private:
  using ByRequest = std::multimap<uint64_t, CrashObservation>;

  void RemoveExpired(int64_t now_ms);
  bool IsKnownOrVoid(const CrashObservation& observation) const;

  ByRequest by_request_;
};

/// Fingerprint of a request's content; a resent request has the same one.
/// Thread safe.
uint64_t RequestFingerprint(std::string_view workspace, std::string_view target,
                            std::string_view body);

}  // namespace primrosecove
