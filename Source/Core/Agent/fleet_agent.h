// Agent of a fleet deployment: runs beside an engine, sends its status to
// routers, and brings the target weights to it.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "Core/Agent/weight_stager.h"
#include "Core/Control/metrics.h"
#include "Core/Fleet/update_source.h"
#include "Core/Membership/crash_exchange.h"
#include "Core/Membership/rate_limit_relay.h"
#include "Core/Net/http1_server.h"
#include "Core/Net/udp_socket.h"
#include "platform/engine_and_origin_client.h"

namespace primrosecove {

/// Agent process. Construct and run it on one thread.
class FleetAgent {
 public:
  /// Precondition: `loop` outlives this object.
  FleetAgent(EventLoop* loop, HostSettings settings);
  /// Binds its addresses; fails with kUnavailable.
  Result<void> Start();
  /// Runs until SIGTERM and returns the exit code.
  int Run();

 private:
  void AddMetrics();
  void OnDatagram(std::string_view bytes, const Endpoint& from);
  // Sends a datagram to all routers but the one that it came from.
  void ForwardToRouters(std::string_view datagram, const Endpoint& sender);
  void AnnounceRelay();
  void PollEngine();
  void RecordResponding(bool responding);
  void OnEngineStatus(Result<EngineStatus> status);
  void SendStatus();
  bool IsRemoteStatusDue(UpstreamStatus content, SteadyTime now);
  void OnDeploymentDigest(const DeploymentDigest& digest, const Endpoint& from);
  void RecordRouter(const Endpoint& router);

  HostSettings settings_;
  EventLoop* loop_;
  Metrics metrics_;
  std::unique_ptr<Http1Client> client_;
  std::unique_ptr<platform::LocalEngineClient> engine_;
  std::unique_ptr<WeightStager> stager_;
  std::unique_ptr<Http1Server> chunk_server_;
  std::unique_ptr<Http1Server> metrics_server_;
  std::unique_ptr<UdpSocket> peer_socket_;
  /// Time of the last datagram from each.
  std::map<Endpoint, SteadyTime> routers_;
  UpdateSource update_source_;
  CrashRelay crash_relay_;
  RateLimitRelay rate_limit_relay_;
  UpstreamStatus status_;
  std::string last_sent_status_;  ///< Last sent status, encoded without its
                                  ///< sequence number.
  SteadyTime last_sent_at_;
  /// Last status sent to routers in other zones, without the load.
  std::string remote_state_;
  SteadyTime sent_to_remote_at_{};
  int missed_polls_ = 0;
  bool poll_in_flight_ = false;
  SteadyTime poll_sent_at_;
  Timer poll_timer_;
  Timer announcement_timer_;
  Timer log_timer_;
};

}  // namespace primrosecove
