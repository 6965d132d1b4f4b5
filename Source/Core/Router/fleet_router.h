// The router of a prepared deployment: accepts callers' requests on an entry
// host and forwards them directly to upstreams.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "Core/Control/metrics.h"
#include "Core/Fleet/deployment_watcher.h"
#include "Core/Fleet/fleet_messages.h"
#include "Core/Fleet/fleet_ports.h"
#include "Core/Fleet/relay_choice.h"
#include "Core/Net/http1_server.h"
#include "Core/Net/udp_socket.h"
#include "Core/Router/fleet_state.h"

namespace primrosecove {

/// Command-line options of a fleet router.
struct FleetRouterOptions {
  std::string settings_path;
  std::string placement = "expected-wait";
};

/// One router process. Construct and run it on one thread.
class FleetRouter {
 public:
  /// Precondition: `loop` outlives this object.
  FleetRouter(EventLoop* loop, FleetRouterOptions options,
              HostSettings settings);
  ~FleetRouter();
  /// Binds its addresses and starts the timers. Fails with kUnavailable or
  /// kInvalidArgument.
  Result<void> Start();
  /// Serves until SIGTERM, reloads settings on SIGHUP, and returns the exit
  /// code.
  int Run();
  /// Reads the settings file again and applies its bounds. A file that can't be
  /// read changes nothing.
  void ReloadSettings();
  /// Starts a graceful shutdown: drains requests, then stops the loop.
  void BeginStop();
  /// Returns the version of the configuration in force; 0 without one.
  uint64_t config_version() const {
    return state_.routes == nullptr ? 0 : state_.routes->config().version;
  }
  /// Returns how often the store was found to be restored from a copy.
  uint64_t store_restores() const {
    return watcher_ == nullptr ? 0 : watcher_->restores();
  }
  /// Returns how often the store held changes beyond those of its last response
  /// to a watch.
  uint64_t store_backlogs() const {
    return watcher_ == nullptr ? 0 : watcher_->backlogs();
  }
  const FleetCounters& counters() const { return state_.counters; }
  /// Returns the bytes of responses that requests in progress hold.
  size_t held_response_bytes() const { return state_.HeldResponseBytes(); }
  const UpstreamRegistry& registry() const { return state_.registry; }
  /// Address for datagrams from agents.
  Endpoint peer_endpoint() const {
    return PeerEndpoint(state_.settings, state_.settings.ip);
  }
  const UpstreamRateLimits& rate_limits() const { return state_.rate_limits; }
  const CrashCorrelator& crash_correlator() const {
    return state_.crash_correlator;
  }
  /// Address of the metrics, and of questions about placements.
  Endpoint metrics_endpoint() const { return MetricsEndpoint(state_.settings); }
  bool IsReady() const;

 private:
  void AddMetrics();
  void AddCrashMetrics();
  void AddRateLimitMetrics();
  void AddCandidateMetrics();
  void AddConnectionMetrics();
  void HandleRequest(std::shared_ptr<Http1Exchange> exchange);
  void HandleReadiness(std::shared_ptr<Http1Exchange> exchange);
  // Serves the metrics endpoint.
  void HandleMetrics(std::shared_ptr<Http1Exchange> exchange);
  void ApplyChange(const DeploymentChange& change);
  void ApplyConfig(const FleetConfig& config);
  void OnDeploymentConfirmed(BootTime confirmed_at);
  void OnSynced();
  // Returns whether the restored store lacks the configuration in force.
  bool IsStoreBehind();
  void OnStoreRestored();
  void OnStoreReachable(bool reachable);
  void HandleDatagram(std::string_view bytes, const Endpoint& from);
  void SendDeploymentDigests(bool to_all_zones);
  void SendDeploymentUpdate(const DeploymentRequest& request,
                            const Endpoint& to);
  std::vector<DeploymentUpdate> MakeDeploymentUpdates();
  void CheckRequests();
  void ExcuseOwnStall(MonotonicTime now);
  void ReportCrashes(MonotonicTime now);
  void SendToRelays(const FleetMessage& message);
  void SendCrashDigest();
  void ReportRateLimits(MonotonicTime now);
  void WarnOfUnknownRegions(const FleetConfig& config) const;
  void SetBounds(const FleetBounds& bounds);
  void CheckStop();

  FleetRouterOptions options_;
  EventLoop* loop_;
  FleetState state_;
  Metrics metrics_;
  std::unique_ptr<DeploymentSource> source_;
  std::unique_ptr<DeploymentWatcher> watcher_;
  std::unique_ptr<Http1Server> caller_server_;
  std::unique_ptr<Http1Server> readiness_server_;
  std::unique_ptr<Http1Server> metrics_server_;
  std::unique_ptr<UdpSocket> peer_socket_;
  RelayChoice relay_choice_;
  /// Version of the configuration that the restored store holds, 0 if it holds
  /// none. Empty once the store holds the one in force again.
  std::optional<uint64_t> restored_config_version_;
  bool update_due_ = false;         ///< For the agents of the own zone.
  bool remote_update_due_ = false;  ///< For all agents.
  bool was_ready_ = false;
  MonotonicTime last_store_return_{0};
  std::optional<MonotonicTime> store_reachable_since_{MonotonicTime(0)};
  MonotonicTime stop_started_at_{0};
  MonotonicTime last_busy_at_{
      0};  ///< Last time with unfinished responses while stopping.
  Timer deployment_digest_timer_;
  Timer crash_digest_timer_;
  Timer rate_limit_report_timer_;
  Timer rate_limit_log_timer_;
  Timer request_check_timer_;
  MonotonicTime last_check_at_{0};
  Timer stop_check_timer_;
  Timer log_flush_timer_;
};

}  // namespace primrosecove
