// Agent process that runs beside one upstream.
#pragma once

#include <memory>
#include <string>

#include "Core/Agent/admission_gate.h"
#include "Core/Agent/version_reconciler.h"
#include "Core/Control/daemon.h"
#include "Core/Platform/origin.h"
#include "Core/Weights/swarm.h"

namespace primrosecove {

/// Agent settings that are not shared with the other processes.
struct AgentSettings {
  Endpoint upstream;  ///< Engine or plain service on this host.
  Endpoint origin;    ///< Weight origin, or a store in front of it.
  uint64_t weights_memory_bytes = 1ULL << 30;
  std::string transfer_policy = "swarm";
  Milliseconds origin_timeout{30'000};
  Milliseconds load_timeout{300'000};
  /// How long the ids of requests that run at most once are remembered.
  Milliseconds dedup_window{600'000};
};

/// Admits and forwards the upstream's requests, transfers weights, and is the
/// only process that orders the engine to load. Use it on one thread.
class Agent {
 public:
  Agent(DaemonSettings daemon_settings, AgentSettings settings, KeyRing keys);
  ~Agent();
  Result<void> Start();
  int Run() { return daemon_.Run(); }

 private:
  void OnConfig();
  void OnView();
  void OnStop();
  void RecordStart();
  bool IsEngine() const;
  std::vector<SwarmMember> FindMembers() const;
  std::string StatusJson() const;
  void AddMetrics();

  AgentSettings settings_;
  Daemon daemon_;
  std::unique_ptr<Origin> origin_;
  std::unique_ptr<EngineClient> engine_;
  AdmissionGate gate_;
  Swarm swarm_;
  VersionReconciler reconciler_;
  HttpServer server_;
  // The reconciler holds a pointer into it.
  std::shared_ptr<const ActiveConfig> config_;
  bool reconciler_started_ = false;
  uint64_t charged_bytes_ = 0;
  Timer charge_timer_;
  Timer dedup_window_timer_;
};

}  // namespace primrosecove
