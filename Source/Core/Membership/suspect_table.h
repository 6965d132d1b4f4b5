// The table of requests, and of parts of their prompts, that were running when
// an upstream crashed.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace primrosecove {

/// Observation that a subject, which is a request or a part of its prompt, was
/// running at an upstream when that upstream crashed or, if `completed`, that
/// it ran without crashing it.
struct CrashObservation {
  uint64_t subject = 0;   ///< RequestFingerprint or PromptPartFingerprint.
  uint64_t upstream = 0;  ///< Hash of the upstream's name.
  bool as_suspect =
      false;  ///< The request ran as the only suspect at the upstream.
  int64_t expires_ms =
      0;  ///< Unix time in ms at which the observation expires.
  /// Distinguishes the crashes of an upstream that restarts under its name.
  uint64_t incarnation = 0;
  bool completed = false;
  /// The request may not have been executing yet.
  bool may_have_been_queued = false;

  bool operator==(const CrashObservation&) const = default;
};

/// Classification of a subject by the crash observations.
enum class SuspectVerdict {
  kClear,
  kSuspect,  ///< The subject was running at a crash; it may run at an upstream
             ///< that runs no other suspect.
  kBlocked,  ///< The subject was running when two upstreams crashed, at the
             ///< second one as the only suspect, or at kCrashesToBlock crashes.
};

/// The crashes at which a subject was running.
struct CrashCount {
  size_t crashes = 0;
  int64_t last_at_ms = 0;  ///< Unix time in ms of the last one.
};

/// Crash observations of all processes, as far as they have been received.
/// Adding is commutative and idempotent. Not thread safe.
class SuspectTable {
 public:
  /// Crashes after which a request is blocked even if other suspects were
  /// running at each of them.
  static constexpr size_t kCrashesToBlock = 3;
  /// The same, counting crashes at which the subject may have been queued.
  static constexpr size_t kCrashesToBlockIfQueued = 5;
  /// Time in ms for which an observation is valid.
  static constexpr int64_t kLifetimeMs = 600'000;
  /// Maximum number of observations; beyond it the one that expires first is
  /// dropped.
  static constexpr size_t kMaxObservations = 4096;

  /// Adds an observation; returns whether it changed the table. A completed
  /// execution voids the observations of crashes that expire no later than it.
  /// Times are Unix ms.
  bool Add(const CrashObservation& observation, int64_t now_ms);
  SuspectVerdict Classify(uint64_t subject, int64_t now_ms) const;
  CrashCount CountCrashes(uint64_t subject, int64_t now_ms) const;
  /// Unix time in ms at which a blocked request may be retried.
  int64_t BlockedUntil(uint64_t subject) const;
  /// Digest of the valid observations, independent of their order and expiry.
  uint64_t Digest(int64_t now_ms) const;
  /// Number of observations, including expired ones not removed yet.
  size_t size() const { return by_subject_.size(); }
  /// All observations that have not expired.
  std::vector<CrashObservation> List(int64_t now_ms) const;

 private:
  using BySubject = std::multimap<uint64_t, CrashObservation>;

  void RemoveExpired(int64_t now_ms);
  bool IsKnownOrVoid(const CrashObservation& observation) const;

  BySubject by_subject_;
  int64_t earliest_expiry_ms_ = INT64_MAX;  // Or earlier.
};

/// Fingerprint of a request's content; a resent request has the same one.
/// Thread safe.
uint64_t RequestFingerprint(std::string_view workspace, std::string_view target,
                            std::string_view body);

/// Fingerprint of a part of a prompt, equal for all requests that share it.
/// Thread safe.
uint64_t PromptPartFingerprint(std::string_view part_id);

}  // namespace primrosecove
