// Brings the engine beside this agent to the version that the configuration
// asks for.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "Core/Agent/admission_gate.h"
#include "Core/Config/configuration.h"
#include "Core/Membership/gossip.h"
#include "Core/Platform/engine_client.h"
#include "Core/Rollout/placement.h"
#include "Core/Weights/swarm.h"

namespace primrosecove {

/// What the keeper is doing, for status and logs.
enum class KeeperPhase {
  kIdle,      ///< Nothing is assigned, or all is as it should be.
  kFetching,  ///< Weights are on their way.
  kWaiting,   ///< Others must change first.
  kDraining,  ///< Requests of the old version finish.
  kLoading,   ///< The engine loads.
  kStopped,   ///< The rollout is stopped, because the target could not be
              ///< loaded.
};

const char* PhaseName(KeeperPhase phase);

/// Decides by itself, from configuration and view, which weights to hold, when
/// to go out of service and what to order; reads back what the engine runs
/// before it lets requests in, and again and again. Use it on its loop's thread
/// only; objects passed by pointer must outlive it.
class VersionKeeper {
 public:
  VersionKeeper(EventLoop* loop, Gossip* gossip, Swarm* swarm, Gate* gate,
                EngineClient* engine, std::string upstream,
                Endpoint weights_source);
  void Start();
  /// A revision has come into force. `config` stays valid until the next call.
  void OnConfig(const Configuration* config);
  /// Membership has changed, a transfer has ended, or the engine answered with
  /// other weights.
  void OnChange() { Step(); }
  void OnTransferFailed(const Digest& manifest, const Error& error);
  /// No more orders: the process is leaving.
  void Stop();
  KeeperPhase phase() const { return phase_; }
  const std::string& last_error() const { return last_error_; }
  uint64_t orders_given() const { return orders_given_; }
  uint64_t repairs() const { return repairs_; }

 private:
  /// What the engine should run.
  struct Target {
    std::string model;
    ModelVersion version;
    std::vector<Adapter> adapters;
  };
  std::optional<Target> FindTarget(
      const std::vector<ModelPlacement>& placement) const;
  void Step();
  void HoldWeights(const std::optional<Target>& target);
  void ReadEngine();
  void OnEngineState(Result<EngineState> state);
  bool EngineRuns(const Target& target) const;
  void Admit(const Target& target);
  void StepTowards(const Target& target,
                   const std::vector<ModelPlacement>& placement);
  void StopServing(const std::string& reason);
  void StepAdapters(const Target& target);
  void Load(const EngineWeights& weights);
  void OnLoaded(const EngineWeights& weights, const Result<void>& result);
  void NoteFailedLoad(const EngineWeights& weights, const std::string& why);
  void CheckUnconfirmed();
  void FallBack();
  void SetPhase(KeeperPhase phase);
  uint64_t NextFencing() const;

  EventLoop* loop_;
  Gossip* gossip_;
  Swarm* swarm_;
  Gate* gate_;
  EngineClient* engine_;
  std::string upstream_;
  Endpoint weights_source_;
  const Configuration* config_ = nullptr;
  std::optional<EngineState>
      engine_state_;  // As last read; none when it cannot be read.
  bool order_under_way_ = false;
  bool read_under_way_ = false;
  bool reread_needed_ = false;
  std::optional<EngineWeights>
      unconfirmed_;  // Loaded, as the engine says; not read back yet.
  bool stopped_ = false;
  std::optional<Target> draining_for_;
  uint32_t failed_loads_ = 0;
  uint64_t failed_manifest_ = 0;
  SteadyTime retry_at_;
  std::optional<EngineWeights>
      last_served_;  // To go back to when the target cannot be loaded.
  KeeperPhase phase_ = KeeperPhase::kIdle;
  std::string last_error_;
  uint64_t orders_given_ = 0;
  uint64_t repairs_ = 0;
  Timer read_timer_;
};

}  // namespace primrosecove
