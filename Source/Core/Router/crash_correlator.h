// Correlates lost connections with upstream crashes to detect requests that
// crash every upstream that executes them.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "Core/Fleet/upstream_registry.h"
#include "Core/Membership/suspect_table.h"
#include "Core/Router/prompt_part_screen.h"

namespace primrosecove {

/// Counters that the metrics endpoint exports.
struct CrashCounters {
  uint64_t crashes = 0;           ///< Detected crashes of upstreams.
  uint64_t lost_connections = 0;  ///< Attempts that ended without a response.
  uint64_t uncorrelated_losses = 0;    ///< Of these, without a known crash.
  uint64_t reported_losses = 0;        ///< Lost attempts of other routers.
  uint64_t repeated_observations = 0;  ///< Observations known already.
};

/// An attempt that ended without a response: its connection was lost or its
/// upstream was silent.
struct LostAttempt {
  uint64_t request = 0;  ///< Fingerprint of the request's content.
  std::string upstream_id;
  /// It was this router's only active suspect at that upstream.
  bool as_suspect = false;
  MonotonicTime sent_at{0};
  /// Fingerprints of the parts of its prompt.
  std::vector<uint64_t> prompt_parts;
  /// How long its response had been arriving; empty if it had not begun.
  std::optional<Milliseconds> responding_time;
};

/// Crash observations of one router and those received from other routers. A
/// connection can be lost for many reasons, so a loss counts only if its
/// upstream crashed while the request was running there. Handles the load in
/// which one request is sent repeatedly and crashes an upstream each time. Not
/// thread safe; callers pass the current time.
class CrashCorrelator {
 public:
  /// Maximum number of lost connections that await the detection of a crash;
  /// beyond it the oldest one is dropped.
  static constexpr size_t kMaxLostConnections = 4096;

  /// `max_detection_time`: the longest time from a crash to its detection while
  /// the store is reachable.
  explicit CrashCorrelator(Milliseconds max_detection_time = Milliseconds(4000),
                           PromptPartScreen prompt_part_screen =
                               PromptPartScreen(0, Milliseconds(10'000)));

  void OnConnectionLost(const LostAttempt& attempt, MonotonicTime now);
  /// Records the crash of an upstream. Attempts that were running there become
  /// crash observations, whether their loss is already known or not.
  void OnUpstreamCrash(const UpstreamCrash& crash, MonotonicTime now);
  /// Removes the lost connections whose upstreams would be known to have
  /// crashed by now. While the store is unreachable (`store_reachable_since` is
  /// empty), crashes stay undetected, so none is removed.
  void RemoveExpired(MonotonicTime now,
                     std::optional<MonotonicTime> store_reachable_since);
  /// Returns the observations made since the last call, for other routers.
  std::vector<CrashObservation> PopNewObservations();
  /// Records that a suspect ran to its end, so that it crashed no upstream.
  void OnCompleted(uint64_t request, MonotonicTime now);
  /// Records that an execution with these parts of a prompt is sound: it has
  /// ended, or has been responding for kSoundExecutionTime since
  /// `response_began_at`. It voids the parts' crashes until then.
  void OnSoundExecution(std::span<const uint64_t> prompt_parts,
                        MonotonicTime response_began_at, MonotonicTime now);
  /// Returns reports of the connections lost since the last call whose
  /// upstreams are not known to have crashed, for other routers.
  std::vector<LossReport> PopNewLosses(MonotonicTime now);
  /// Adds the lost attempts of another router, which may restart before it
  /// detects the crash. Copies of a report are ignored.
  void AddRemoteLosses(const LossReport& report, MonotonicTime now);
  /// Adds an observation that another router made.
  void AddRemoteObservation(const CrashObservation& observation,
                            MonotonicTime now);

  /// Whether any observation exists. Without one, requests need no fingerprint.
  bool HasObservations() const { return has_observations_; }
  SuspectVerdict Classify(uint64_t subject, MonotonicTime now) const {
    return table_.Classify(subject, now.count());
  }
  /// Returns the time until a blocked request is accepted again.
  Milliseconds BlockedTimeLeft(uint64_t request, MonotonicTime now) const {
    return Milliseconds(table_.BlockedUntil(request)) - now;
  }

  /// Decides about a request with these parts of its prompt.
  PromptPartDecision CheckPromptParts(std::span<const uint64_t> parts,
                                      MonotonicTime now) const {
    return prompt_part_screen_.Check(table_, parts, now);
  }
  PromptPartScreen& prompt_part_screen() { return prompt_part_screen_; }

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
    LostAttempt attempt;
    MonotonicTime at{0};
    uint64_t id = 0;
    bool is_remote = false;
  };

  struct DetectedCrash {
    uint64_t incarnation = 0;
    MonotonicTime at{0};
  };

  // Correlates a loss with a known crash, or keeps it until one is detected.
  // Returns whether it is kept.
  bool AddLoss(LostConnection lost_connection, MonotonicTime now);
  // Returns whether the observation of the request is new.
  bool RecordObservation(const LostConnection& lost_connection,
                         uint64_t incarnation, MonotonicTime now);
  // Returns whether the observation is new.
  bool AddObservation(const CrashObservation& observation, MonotonicTime now);
  // Voids the crashes of a part that a sound execution clears.
  void ClearPromptPart(uint64_t part, MonotonicTime sound_at,
                       MonotonicTime now);
  void DropLostConnection(const LostConnection& lost_connection,
                          MonotonicTime now);

  Milliseconds max_detection_time_;
  SuspectTable table_;
  PromptPartScreen prompt_part_screen_;
  CrashCounters counters_;
  bool has_observations_ = false;
  /// Those without a known crash, in the order of their time.
  std::deque<LostConnection> lost_connections_;
  std::map<std::string, DetectedCrash> last_crashes_;  ///< By upstream.
  std::map<std::string, int> active_suspects_;         ///< Count by upstream.
  std::vector<CrashObservation> new_observations_;
  std::vector<LostConnection> new_losses_;
  uint64_t last_loss_id_;
  /// Ids of other routers' losses, by the time of their arrival.
  std::map<uint64_t, MonotonicTime> remote_losses_;
};

}  // namespace primrosecove
