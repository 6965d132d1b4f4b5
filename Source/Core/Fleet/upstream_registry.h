// What a router believes of each upstream: its registration in the store, the
// status that the agent beside it sends, and how its answers went.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Core/Fleet/deployment.h"
#include "Core/Fleet/fleet_messages.h"
#include "Core/Fleet/request_fields.h"

namespace primrosecove {

/// Time since the process's start, as handed in by callers.
using MonotonicTime = Milliseconds;

/// One upstream as a router sees it.
struct FleetUpstream {
  UpstreamRecord record;
  /// Its registration ended while the store was away; work stops then.
  std::optional<MonotonicTime> lapses_at;
  /// From the agent beside it, if that is heard.
  std::optional<UpstreamStatus> status;
  MonotonicTime status_received_at{0};
  /// When it is to be ordered to load other weights, if that is planned.
  std::optional<MonotonicTime> reload_at;
  int local_in_flight = 0;
  /// Own requests at the time of the last report of its load.
  int own_at_report = 0;
  int reported_load = 0;  ///< Running and waiting, of all routers.
  MonotonicTime load_reported_at{-1'000'000};
  int router_count = 1;  ///< That send to it, as its agent last counted.
  // Failures since the last success, and until when it gets no work for them.
  int failures_in_row = 0;
  MonotonicTime ejected_until{-1'000'000};
  MonotonicTime last_success{-1'000'000};
  /// When it last sent anything to this router, or got its first request.
  MonotonicTime last_progress{-1'000'000};

  /// Requests at it, as far as known: the last report, corrected by what this
  /// router has sent and seen end since.
  int ExpectedLoad(MonotonicTime now) const;
};

/// Holds the upstreams of all services. Not thread safe; time is handed in.
class UpstreamRegistry {
 public:
  /// How long a registration that lapsed while the store was away may take to
  /// come back after the store did.
  static constexpr Milliseconds kLapseGrace{1800};
  /// A status older than this says nothing any more.
  static constexpr Milliseconds kStatusLifetime{1500};

  /// Takes one change from the store, which can be reached since
  /// `reachable_since`: until kLapseGrace after that, a registration that has
  /// ended may still return.
  void Apply(const UpstreamChange& change, MonotonicTime reachable_since,
             MonotonicTime now);
  void RecordStatus(const UpstreamStatus& status, MonotonicTime now);
  void RecordResponseLoad(const std::string& id, const UpstreamLoad& load,
                          MonotonicTime now);
  void OnSent(const std::string& id, MonotonicTime now);
  /// Bytes of an answer came.
  void OnProgress(const std::string& id, MonotonicTime now);
  /// A request ended; `ok` is whether the upstream answered it properly.
  void OnEnded(const std::string& id, bool ok, MonotonicTime now);
  /// The upstream refused a request without running it.
  void OnRefused(const std::string& id, MonotonicTime now);
  /// Upstreams that are known to have crashed since the last call: they have
  /// started anew, vanished without leaving, or stopped answering.
  std::vector<std::string> PopCrashed();
  /// Drops the upstreams whose grace is over.
  void Expire(MonotonicTime now);

  /// The upstreams of a service that may get new work at `now`.
  std::vector<FleetUpstream*> Usable(const std::string& service,
                                     MonotonicTime now);
  FleetUpstream* Find(const std::string& id);
  const std::map<std::string, FleetUpstream>& all() const { return upstreams_; }

  /// The version of a model that an upstream serves whole, or 0.
  static uint64_t ServedVersion(const FleetUpstream& upstream,
                                const std::string& model, MonotonicTime now);

 private:
  std::map<std::string, FleetUpstream> upstreams_;
  std::vector<std::string> crashed_;
};

}  // namespace primrosecove
