// What a router's requests share on a prepared deployment.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "Core/Control/metrics.h"
#include "Core/Fleet/caller_wait_estimator.h"
#include "Core/Fleet/deployment.h"
#include "Core/Fleet/fleet_retry_budget.h"
#include "Core/Fleet/freshness.h"
#include "Core/Fleet/minimum_version.h"
#include "Core/Fleet/placement_policy.h"
#include "Core/Fleet/route_table.h"
#include "Core/Fleet/upstream_registry.h"
#include "Core/Net/http1_client.h"
#include "Core/Router/crash_watch.h"

namespace primrosecove {

class FleetRequest;

/// Counts that the metrics page shows.
struct FleetCounters {
  uint64_t requests = 0;
  uint64_t answered = 0;
  uint64_t refused = 0;
  uint64_t denied = 0;
  uint64_t failed = 0;
  uint64_t broken_off = 0;
  uint64_t callers_gone = 0;
  uint64_t repeats = 0;
  uint64_t resumed = 0;
  uint64_t crash_sightings = 0;  ///< Of this router's own.
};

/// One loop's shared state; use it on that loop's thread only.
struct FleetState {
  EventLoop* loop = nullptr;
  HostSettings settings;
  std::unique_ptr<Http1Client> client;
  std::shared_ptr<const RouteTable> routes;  ///< Null until one is known.
  ConfigFreshness freshness{FleetBounds{}};
  UpstreamRegistry registry;
  CrashWatch crashes;
  MinimumVersion versions{Milliseconds(0)};
  std::unique_ptr<PlacementPolicy> policy;
  CallerWaitEstimator earlier_wait;
  std::map<std::string, FleetRetryBudget> allowances;  ///< By service.
  /// Mean time of a request at each service, a moving average.
  std::map<std::string, double> mean_time_ms;
  std::unordered_map<FleetRequest*, std::shared_ptr<FleetRequest>> requests;
  FleetCounters counters;
  prometheus::Histogram* answer_seconds = nullptr;
  prometheus::Histogram* first_event_seconds = nullptr;
  std::mt19937_64 random;
  SteadyTime started = EventLoop::Now();
  bool stopping = false;
  /// No new request is begun; the process ends soon.
  bool closing = false;

  /// Time since this process's start.
  MonotonicTime Now() const {
    return std::chrono::duration_cast<MonotonicTime>(EventLoop::Now() -
                                                     started);
  }
  FleetRetryBudget& AllowanceOf(const std::string& service);
  /// The moving average of a service's time, or `fallback`.
  Milliseconds MeanTime(const std::string& service, Milliseconds fallback);
  void TakeTime(const std::string& service, Milliseconds time);
  double Draw();
};

}  // namespace primrosecove
