// Requests that were running when an upstream crashed.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace primrosecove {

/// One request was running at one upstream when that upstream broke off.
struct CrashObservation {
  uint64_t request = 0;     ///< Fingerprint of the request's content.
  uint64_t upstream = 0;    ///< Hash of the upstream's name.
  bool as_suspect = false;  ///< It ran as the only suspect there.
  int64_t expires_ms = 0;   ///< Unix time at which the sighting is forgotten.

  bool operator==(const CrashObservation&) const = default;
};

/// What the sightings say of a request.
enum class SuspectVerdict {
  kClear,
  kSuspect,  ///< It was running at a crash; it may run where no other suspect
             ///< does.
  kBlocked,  ///< It was running at crashes of two upstreams, at the second as
             ///< the only suspect.
};

/// Sightings of all processes, as far as news has come. Adding is commutative
/// and idempotent. Not thread safe.
class SuspectTable {
 public:
  /// How long a sighting counts.
  static constexpr int64_t kLifetimeMs = 600'000;
  /// Sightings kept; beyond them the one that expires first is dropped.
  static constexpr size_t kMaxSightings = 4096;

  /// Adds a sighting; returns whether it was new.
  bool Add(const CrashObservation& sighting, int64_t now_ms);
  SuspectVerdict Classify(uint64_t request, int64_t now_ms) const;
  /// Unix time at which a blocked request may be tried again.
  int64_t BlockedUntil(uint64_t request) const;
  /// All sightings that have not expired.
  std::vector<CrashObservation> List(int64_t now_ms) const;

 private:
  void Expire(int64_t now_ms);

  std::multimap<uint64_t, CrashObservation> by_request_;
};

/// Fingerprint of a request's content: equal for a resend. Thread safe.
uint64_t RequestFingerprint(std::string_view workspace, std::string_view target,
                            std::string_view body);

}  // namespace primrosecove
