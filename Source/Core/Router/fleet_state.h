// State that the requests of one router share on a prepared deployment.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>

#include "Core/Control/metrics.h"
#include "Core/Fleet/caller_wait_estimator.h"
#include "Core/Fleet/candidate_set.h"
#include "Core/Fleet/cold_start_limits.h"
#include "Core/Fleet/deployment.h"
#include "Core/Fleet/fleet_retry_budget.h"
#include "Core/Fleet/freshness.h"
#include "Core/Fleet/minimum_version.h"
#include "Core/Fleet/placement_policy.h"
#include "Core/Fleet/priority_demand.h"
#include "Core/Fleet/route_table.h"
#include "Core/Fleet/upstream_rate_limits.h"
#include "Core/Fleet/upstream_registry.h"
#include "Core/Fleet/upstream_rests.h"
#include "Core/Fleet/zone_evacuations.h"
#include "Core/Net/http1_client.h"
#include "Core/Router/crash_correlator.h"

namespace primrosecove {

class FleetRequest;

/// Counters that the metrics endpoint exports.
struct FleetCounters {
  uint64_t requests = 0;
  uint64_t responded = 0;
  uint64_t sent = 0;  ///< Requests sent to an upstream, without retries.
  uint64_t refused = 0;
  uint64_t denied = 0;
  uint64_t failed = 0;
  uint64_t aborted = 0;
  uint64_t caller_disconnects = 0;
  uint64_t retries = 0;
  uint64_t resumed_streams = 0;
  uint64_t second_attempts = 0;         ///< Started beside the first one.
  uint64_t crash_observations = 0;      ///< Made by this router itself.
  uint64_t losses_before_response = 0;  ///< Lost before a response began.
  uint64_t suspects_sent = 0;
  uint64_t suspects_refused = 0;
  uint64_t responses_dropped = 0;  ///< To free memory.
  uint64_t rests_asked = 0;  ///< Refusals by which an upstream asks for rest.
  uint64_t prompt_part_tests = 0;
  uint64_t prompt_parts_refused = 0;
  uint64_t explanations = 0;  ///< Questions about placements.
  /// Upstreams that were left out of a choice, by the reason.
  std::array<uint64_t, kExclusionReasons> exclusions{};
};

/// Shared state of one event loop; use it on that loop's thread only.
struct FleetState {
  EventLoop* loop = nullptr;
  HostSettings settings;
  std::unique_ptr<Http1Client> client;
  std::shared_ptr<const RouteTable>
      routes;  ///< Null until a configuration is read.
  ConfigFreshness freshness{FleetBounds{}};
  UpstreamRegistry registry;
  UpstreamRateLimits rate_limits;
  UpstreamRests rests;
  ZoneEvacuations evacuations;
  ColdStartLimits cold_starts{FleetBounds{}, 0, MonotonicTime(0)};
  /// The deployment has been read completely since this process's start.
  bool deployment_read = false;
  CrashCorrelator crash_correlator;
  MinimumVersion minimum_versions{Milliseconds(0)};
  std::unique_ptr<PlacementPolicy> policy;
  /// Used instead of `policy` for services whose upstreams state how slow their
  /// hosts are; null with a placement other than the default.
  std::unique_ptr<PlacementPolicy> even_load_policy;
  CallerWaitEstimator wait_estimator;
  /// Of the services whose requests have several priorities.
  std::map<std::string, PriorityDemand> priority_demands;
  std::map<std::string, FleetRetryBudget> retry_budgets;  ///< By service.
  /// Moving average of the service time of a request, in ms, by service.
  std::map<std::string, double> mean_service_time_ms;
  std::unordered_map<FleetRequest*, std::shared_ptr<FleetRequest>> requests;
  FleetCounters counters;
  prometheus::Histogram* response_seconds = nullptr;
  prometheus::Histogram* first_event_seconds = nullptr;
  std::mt19937_64 random;
  SteadyTime started_at = EventLoop::Now();
  bool stopping = false;
  /// While stopping: when the responses must be complete, before the process
  /// is killed.
  std::optional<MonotonicTime> responses_due_at;
  /// New requests are refused; the process exits soon.
  bool closing = false;

  /// Returns the policy that chooses among candidates.
  PlacementPolicy* PolicyFor(std::span<FleetUpstream* const> candidates) const;
  /// Returns the time since this process's start.
  MonotonicTime Now() const {
    return std::chrono::duration_cast<MonotonicTime>(EventLoop::Now() -
                                                     started_at);
  }
  /// Returns the bytes of responses that all requests hold.
  size_t HeldResponseBytes() const;
  /// Ends the largest responses while all take more than their share of the
  /// host's memory, so that the requests to one faulty upstream don't end the
  /// process. Does nothing if the memory is not known.
  void LimitHeldResponses();
  FleetRetryBudget& RetryBudgetFor(const std::string& service);
  /// Returns the demand for a service, or null if all its requests have the
  /// same priority.
  PriorityDemand* PriorityDemandFor(const std::string& service);
  /// Sets the priorities of all services by the configuration in force.
  void UpdatePriorities();
  /// Returns the moving average of a service's time, or `fallback` without one.
  Milliseconds MeanServiceTime(const std::string& service,
                               Milliseconds fallback);
  void RecordServiceTime(const std::string& service, Milliseconds time);
  double RandomFraction();
};

}  // namespace primrosecove
