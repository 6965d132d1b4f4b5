// The agent of a prepared deployment: stands beside an engine, tells routers
// its state, and brings named weights to it.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "Core/Agent/weight_stager.h"
#include "Core/Control/metrics.h"
#include "Core/Net/http1_server.h"
#include "Core/Net/udp_socket.h"
#include "platform/engine_and_origin_client.h"

namespace primrosecove {

/// One process. Construct and run it on one thread.
class FleetAgent {
 public:
  /// Precondition: `loop` outlives this object.
  FleetAgent(EventLoop* loop, HostSettings settings);
  /// Opens its addresses; fails with kUnavailable.
  Result<void> Start();
  /// Runs until SIGTERM and returns the exit code.
  int Run();

 private:
  void AddMetrics();
  void TakeDatagram(std::string_view bytes, const Endpoint& from);
  void AskEngine();
  void TakeReport(Result<EngineStatus> report);
  void SendStatus();

  HostSettings settings_;
  EventLoop* loop_;
  Metrics metrics_;
  std::unique_ptr<Http1Client> client_;
  std::unique_ptr<platform::LocalEngineClient> engine_;
  std::unique_ptr<WeightStager> stager_;
  std::unique_ptr<Http1Server> pieces_;
  std::unique_ptr<Http1Server> metrics_server_;
  std::unique_ptr<UdpSocket> peers_;
  std::map<Endpoint, SteadyTime> routers_;  ///< When each was last heard.
  UpstreamStatus status_;
  std::string last_sent_;  ///< The status without its sequence.
  SteadyTime last_sent_at_;
  int missed_reports_ = 0;
  bool asking_ = false;
  Timer ask_timer_;
  Timer log_timer_;
};

}  // namespace primrosecove
