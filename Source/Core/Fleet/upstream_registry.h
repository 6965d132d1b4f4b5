// State of each upstream as a router knows it: its registration in the store,
// the status that its agent sends, and the outcome of its requests.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Fleet/deployment.h"
#include "Core/Fleet/fleet_messages.h"
#include "Core/Fleet/request_fields.h"

namespace primrosecove {

/// Time since the process started, as supplied by callers.
using MonotonicTime = Milliseconds;

/// One upstream as a router sees it.
struct FleetUpstream {
  UpstreamRecord record;
  MonotonicTime registered_at{0};  ///< When its registration was first seen.
  /// The time at which the upstream is removed. Set if its registration ended
  /// while the store was unreachable.
  std::optional<MonotonicTime> registration_expires_at;
  /// When the start of its present process was first seen.
  MonotonicTime start_seen_at{-1'000'000};
  /// Until when it is cold, by its registration and its responses.
  MonotonicTime cold_until{-1'000'000};
  /// The last status from its agent; empty until one has arrived.
  std::optional<UpstreamStatus> status;
  MonotonicTime status_received_at{0};
  /// The time at which its engine is to be ordered to load other weights, if a
  /// reload is planned.
  std::optional<MonotonicTime> reload_at;
  /// Requests that this router has in flight at the upstream.
  int local_in_flight = 0;
  /// `local_in_flight` when its load was last reported.
  int local_in_flight_at_report = 0;
  int reported_load = 0;  ///< Running and waiting, of all routers.
  MonotonicTime load_reported_at{-1'000'000};
  /// Time that work takes on its host, 100 as usual, by its last response that
  /// states it.
  int stated_slowdown_percent = 100;
  MonotonicTime slowdown_stated_at{-1'000'000};
  bool has_logged_malformed_load = false;
  int router_count = 1;  ///< Routers that use it, by its agent's last status.
  // Failures since the last success, and the end of the ejection they caused.
  int consecutive_failures = 0;
  MonotonicTime ejected_until{-1'000'000};
  bool failed_by_silence = false;  ///< Data from it ends the ejection.
  MonotonicTime last_success{-1'000'000};
  bool refuses_connections = false;  ///< Since it last sent data.
  /// Its process has stated in a response that it is leaving.
  bool states_leaving = false;
  /// Until when another process is taken to be at its address.
  MonotonicTime absent_until{-1'000'000};
  /// The time at which the upstream last sent data to this router, or got a
  /// request while this router had no other request in flight there.
  MonotonicTime last_progress{-1'000'000};
  /// Since when its engine has been silent, by its requests or its agent.
  /// Silence is no evidence that its process has ended.
  std::optional<MonotonicTime> silent_since;

  /// Returns whether it gets no new requests because its process is leaving,
  /// by its registration or its responses.
  bool IsLeaving() const { return record.leaving || states_leaving; }
  /// Returns the Unix time in ms at which its process started, by its
  /// registration or its agent's status; 0 if unknown.
  int64_t StartTimeMs() const;
  /// Estimates the number of requests at it: the last reported load, corrected
  /// by the requests of this router that started and ended since.
  int ExpectedLoad(MonotonicTime now) const;
  /// Returns how many times as long as usual work takes on its host at this
  /// moment, at least 1.
  double Slowdown(MonotonicTime now) const;
  /// Returns whether its responses have ever stated how slow its host is.
  bool StatesSlowdown() const { return slowdown_stated_at.count() >= 0; }
  /// Returns whether at least half of its slots are free, by its expected load.
  bool IsHalfIdle(MonotonicTime now) const {
    return 2 * ExpectedLoad(now) <= record.slots;
  }
};

/// How the crash of an upstream was detected.
enum class CrashEvidence {
  kRegistrationEnded,  ///< It disappeared from the store without leaving first.
  kRestarted,          ///< Its registration or status has a new start time.
  kUnreachable,        ///< Its agent can't reach it.
  kRefusesConnections,  ///< No process listens at its address.
  kReplaced,            ///< A later process has its address.
};

/// One detected crash of an upstream.
struct UpstreamCrash {
  std::string id;
  int64_t start_time_ms = 0;  ///< Of the process that crashed; 0 if unknown.
  CrashEvidence evidence = CrashEvidence::kRegistrationEnded;
};

/// Holds the upstreams of all services. Not thread safe; the caller supplies
/// the time.
class UpstreamRegistry {
 public:
  /// A registration ends after this many heartbeats without renewal.
  static constexpr int kHeartbeatsToExpire = 3;
  /// From the end of a registration to its removal here: the store's lag, the
  /// interval of watches, and kRegistrationGrace after an outage.
  static constexpr Milliseconds kMaxWatchDelay{3000};
  /// How long after the store has become reachable again a registration that
  /// ended in the meantime may return.
  static constexpr Milliseconds kRegistrationGrace{1800};
  /// Returns the longest time from an upstream's crash to its detection while
  /// the store is reachable.
  static constexpr Milliseconds MaxDetectionTime(Milliseconds heartbeat) {
    return kHeartbeatsToExpire * heartbeat + kMaxWatchDelay;
  }
  /// An older status is ignored.
  static constexpr Milliseconds kStatusLifetime{1500};

  /// Applies one change from the store, which has been reachable since
  /// `reachable_since`. Until kRegistrationGrace after that time, a
  /// registration that has ended may still return.
  void Apply(const UpstreamChange& change, MonotonicTime reachable_since,
             MonotonicTime now);
  /// Sets the services that the configuration names. A registration of another
  /// service says nothing about other upstreams. Until the first call, all
  /// services count as named.
  void SetServices(std::set<std::string> services, MonotonicTime now);
  /// Records that the store has been restored from a copy. For a while the
  /// store may return registrations that are older than what is known here;
  /// they are ignored.
  void OnStoreRestored(MonotonicTime now) { store_restored_at_ = now; }
  void RecordStatus(const UpstreamStatus& status, MonotonicTime now);
  void RecordResponseLoad(const std::string& id, const UpstreamLoad& load,
                          MonotonicTime now);
  /// Records how much longer the process of an upstream is cold, as stated in a
  /// response; `start_time_ms` is 0 if unknown.
  void RecordColdStart(const std::string& id, int64_t start_time_ms,
                       Milliseconds remaining, MonotonicTime now);
  /// Records that a response stated a load that can't be used.
  void RecordMalformedLoad(const std::string& id);
  void OnSent(const std::string& id, MonotonicTime now);
  /// Records that response data arrived.
  void OnProgress(const std::string& id, MonotonicTime now);
  /// Records the end of a request; `ok` is whether its response was valid.
  void OnEnded(const std::string& id, bool ok, MonotonicTime now);
  /// Records the end of a request that its silent upstream has not completed.
  void OnEndedSilent(const std::string& id, MonotonicTime now);
  /// Records the end of a request that shows nothing about the upstream.
  void OnCancelled(const std::string& id);
  /// Records that no process listens at the upstream's address.
  void OnConnectionRefused(const std::string& id);
  /// Records that the upstream refused a request without running it.
  void OnRefused(const std::string& id, MonotonicTime now);
  /// Records that another process has answered at the upstream's address.
  void OnMisdirected(const std::string& id, MonotonicTime now);
  /// Records that a process of an upstream has stated in a response that it is
  /// leaving; `start_time_ms` is 0 if unknown. The statement outlives the
  /// upstream's registration, which may lapse and return.
  void OnStatedLeaving(const std::string& id, int64_t start_time_ms,
                       MonotonicTime now);
  /// Returns the upstreams of a service whose addresses other processes have
  /// registered to use, for a service without another one: a process that is
  /// not the one that a request is for does not run it. Returns whether there
  /// were any.
  bool RestoreReplaced(const std::string& service, MonotonicTime now);
  /// Returns the crashes that were detected since the last call.
  std::vector<UpstreamCrash> PopCrashes();
  /// Removes the upstreams whose registration grace is over, and old statements
  /// of processes that have left. Returns replaced upstreams to use that are
  /// registered still.
  void Expire(MonotonicTime now);

  /// Determines which upstreams are silent. Call it periodically.
  void UpdateSilence(MonotonicTime now);
  /// Does not count `time` as silence, because this process has not read from
  /// its connections meanwhile.
  void ExcuseSilence(Milliseconds time, MonotonicTime now);
  /// Returns the share of a service's upstreams that are silent.
  double SilentShare(const std::string& service) const;
  /// Returns how often an upstream has fallen silent.
  uint64_t silences() const { return silences_; }
  /// Returns the number of responses that stated an unusable load.
  uint64_t malformed_loads() const { return malformed_loads_; }

  /// Returns why an upstream accepts no new requests at `now`, or null if it
  /// accepts them.
  static const char* WhyNotAccepting(const FleetUpstream& upstream,
                                     MonotonicTime now);
  /// Returns the upstreams of a service that accept new requests at `now`, also
  /// those whose requests fail and those that are silent.
  std::vector<FleetUpstream*> Accepting(const std::string& service,
                                        MonotonicTime now);
  /// Removes the upstreams that fail or are silent. If all fail, it keeps those
  /// that fail; if all are silent, the silent ones.
  static void PreferSound(std::vector<FleetUpstream*>* upstreams,
                          MonotonicTime now);
  /// Returns the upstreams that are left of Accepting() after PreferSound().
  std::vector<FleetUpstream*> Usable(const std::string& service,
                                     MonotonicTime now);
  FleetUpstream* Find(const std::string& id);
  const std::map<std::string, FleetUpstream>& all() const { return upstreams_; }

  /// Returns the version of a model that an upstream has fully loaded, or 0.
  static uint64_t ServedVersion(const FleetUpstream& upstream,
                                const std::string& model, MonotonicTime now);

 private:
  void ApplyChange(const UpstreamChange& change, MonotonicTime reachable_since,
                   MonotonicTime now);
  // Records that the agent at an upstream's address reaches another process.
  void RecordOtherStatus(FleetUpstream* upstream, MonotonicTime now);
  // Records a crash unless there is evidence that the process still runs.
  void RecordRegistrationEnd(const FleetUpstream& upstream, MonotonicTime now);
  void RecordCrash(const FleetUpstream& upstream, CrashEvidence evidence);
  // Ends the ejection of an upstream that was only silent.
  static void EndSilentFailures(FleetUpstream* upstream, MonotonicTime now);
  // Counts a failure; enough consecutive ones eject the upstream for a while.
  static void CountFailure(FleetUpstream* upstream, MonotonicTime now);
  // Determines whether the upstream's present process has stated that it is
  // leaving.
  void UpdateStatesLeaving(FleetUpstream* upstream) const;
  // The last write of a registration that has ended.
  struct EndedRegistration {
    int64_t start_time_ms = 0;
    int64_t write_number = 0;
    MonotonicTime ended_at{0};
  };
  // Whether a registration is older than the known one, or not newer than one
  // that has ended.
  bool IsObsolete(const UpstreamRecord& record, MonotonicTime now) const;
  void RecordEnded(const UpstreamRecord& record, MonotonicTime now);
  // An upstream whose address another process has taken, by its registration.
  struct ReplacedUpstream {
    FleetUpstream upstream;
    std::string successor;  // Id.
    MonotonicTime at{0};
    int writes = 0;  // Of its registration since.
  };

  struct LeavingStatement {
    int64_t start_time_ms = 0;  // Of the process; 0 if unknown.
    MonotonicTime made_at{0};
  };

  // Whether a registration names an upstream to use.
  bool IsUsableRecord(const UpstreamRecord& record) const;
  // Removes the upstreams whose process must have ended because that of
  // `record`, which has just been seen, started later at the same address. They
  // return if that turns out to be wrong, as any writer may register anything.
  void RemoveReplaced(const UpstreamRecord& record, MonotonicTime now);
  // Returns the upstreams to use whose successors are not registered as such
  // any more, and those that have been registered beside them for long.
  void RestoreWithoutSuccessor(MonotonicTime now);
  void Restore(const std::string& id, const char* why, MonotonicTime now);
  // Returns whether a registration is a late write of a replaced process.
  bool IsLateWrite(const UpstreamRecord& record, MonotonicTime now);
  // Determines from an agent's status which of the upstreams that are
  // registered at the address of its engine has the running process. Returns
  // its id, or nothing if the status or the registrations don't tell.
  std::optional<std::string> FindRunning(const UpstreamStatus& status,
                                         MonotonicTime now);
  // Records that another process is at the upstream's address.
  void MarkAbsent(FleetUpstream* upstream, const char* why, MonotonicTime now);

  std::map<std::string, FleetUpstream> upstreams_;
  std::map<std::string, ReplacedUpstream> replaced_;  // By id.
  std::optional<std::set<std::string>> services_;
  std::map<std::string, LeavingStatement> leaving_statements_;    // By id.
  std::map<std::string, EndedRegistration> ended_registrations_;  // By id.
  std::optional<MonotonicTime> store_restored_at_;
  std::vector<UpstreamCrash> crashes_;
  uint64_t silences_ = 0;
  uint64_t malformed_loads_ = 0;
};

}  // namespace primrosecove
