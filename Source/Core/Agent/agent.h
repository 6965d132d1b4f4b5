// The process beside an upstream.
#pragma once

#include <memory>
#include <string>

#include "Core/Agent/admission_gate.h"
#include "Core/Agent/version_reconciler.h"
#include "Core/Control/daemon.h"
#include "Core/Platform/origin.h"
#include "Core/Weights/swarm.h"

namespace primrosecove {

/// Settings of an agent besides those of every process.
struct AgentSettings {
  Endpoint upstream;  ///< The engine or plain service beside this agent.
  Endpoint origin;    ///< The origin of weights or the store before it.
  uint64_t weights_memory_bytes = 1ULL << 30;
  std::string transfer_policy = "swarm";
  Milliseconds origin_timeout{30'000};
  Milliseconds load_timeout{300'000};
  Milliseconds dedup_window{
      600'000};  ///< How long ids of requests that run once are kept.
};

/// Gate for the upstream's requests, mover of weights and the only giver of
/// orders. Use it on one thread.
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
  Gate gate_;
  Swarm swarm_;
  VersionKeeper keeper_;
  HttpServer server_;
  // Kept while the keeper reads it.
  std::shared_ptr<const ActiveConfig> config_;
  bool keeper_started_ = false;
  uint64_t charged_bytes_ = 0;
  Timer charge_timer_;
  Timer ledger_timer_;
};

}  // namespace primrosecove
