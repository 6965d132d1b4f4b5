// The router of a prepared deployment: takes callers' requests on an entry host
// and sends them straight to upstreams.
#pragma once

#include <memory>
#include <string>

#include "Core/Control/metrics.h"
#include "Core/Fleet/deployment_watcher.h"
#include "Core/Fleet/fleet_messages.h"
#include "Core/Net/http1_server.h"
#include "Core/Net/udp_socket.h"
#include "Core/Router/fleet_state.h"

namespace primrosecove {

/// What an operator may choose for a fleet's router.
struct FleetRouterOptions {
  std::string settings_path;
  std::string placement = "expected-wait";
};

/// One process. Construct and run it on one thread.
class FleetRouter {
 public:
  /// Precondition: `loop` outlives this object.
  FleetRouter(EventLoop* loop, FleetRouterOptions options,
              HostSettings settings);
  ~FleetRouter();
  /// Opens its addresses; fails with kUnavailable or kInvalidArgument.
  Result<void> Start();
  /// Serves until SIGTERM, obeys SIGHUP, and returns the exit code.
  int Run();
  /// Lets requests end and then stops the loop.
  void BeginStop();
  const FleetCounters& counters() const { return state_.counters; }
  const UpstreamRegistry& registry() const { return state_.registry; }
  bool Ready() const;

 private:
  void AddMetrics();
  void TakeRequest(std::shared_ptr<Http1Exchange> exchange);
  void AnswerReady(std::shared_ptr<Http1Exchange> exchange);
  void TakeChange(const DeploymentChange& change);
  void TakeConfig(const FleetConfig& config);
  void TakeCurrent(BootTime requested_at, uint64_t revision);
  void TakeReachable(bool reachable);
  void TakeDatagram(std::string_view bytes);
  void SendNotices();
  std::vector<DeploymentUpdate> MakeNotices();
  void CheckRequests();
  void CheckCrashes(MonotonicTime now);
  void Reload();
  void CheckStop();

  FleetRouterOptions options_;
  EventLoop* loop_;
  FleetState state_;
  Metrics metrics_;
  std::unique_ptr<DeploymentSource> source_;
  std::unique_ptr<DeploymentWatcher> follower_;
  std::unique_ptr<Http1Server> callers_;
  std::unique_ptr<Http1Server> ready_;
  std::unique_ptr<Http1Server> metrics_server_;
  std::unique_ptr<UdpSocket> peers_;
  bool first_read_done_ = false;
  bool notice_due_ = false;
  bool was_ready_ = false;
  MonotonicTime reachable_since_{0};
  MonotonicTime stop_begun_{0};
  MonotonicTime last_busy_{0};  ///< While stopping.
  Timer notice_timer_;
  Timer check_timer_;
  Timer stop_timer_;
  Timer log_timer_;
};

}  // namespace primrosecove
