// Reconciles the weights of the engine on this host with the configuration.
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

/// Phase of the reconciliation, for status and logs.
enum class ReconcilePhase {
  kIdle,      ///< No model is assigned, or the engine runs its target.
  kFetching,  ///< Weights are being transferred.
  kWaiting,   ///< Other upstreams must reload first.
  kDraining,  ///< Requests to the old version are finishing.
  kLoading,   ///< The engine is loading.
  kStopped,   ///< The rollout is stopped, because the target could not be
              ///< loaded.
};

const char* PhaseName(ReconcilePhase phase);

/// Decides locally, from configuration and membership view, which weights to
/// hold, when to stop serving and which load orders to send. Reads back what
/// the engine runs before it admits requests, and periodically afterwards. Use
/// it on its loop's thread only; objects passed by pointer must outlive it.
class VersionReconciler {
 public:
  VersionReconciler(EventLoop* loop, Gossip* gossip, Swarm* swarm,
                    AdmissionGate* gate, EngineClient* engine,
                    std::string upstream, Endpoint weights_source);
  void Start();
  /// Applies a new revision. `config` stays valid until the next call.
  void OnConfig(const Configuration* config);
  /// Reconciles after a membership change, the end of a transfer, or a response
  /// of the engine from other weights.
  void OnChange() { Reconcile(); }
  void OnTransferFailed(const Digest& manifest, const Error& error);
  /// Sends no more orders; the process is shutting down.
  void Stop();
  ReconcilePhase phase() const { return phase_; }
  const std::string& last_error() const { return last_error_; }
  uint64_t orders_sent() const { return orders_sent_; }
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
  void Reconcile();
  void UpdateHeldWeights(const std::optional<Target>& target);
  void ReadEngine();
  void OnEngineState(Result<EngineState> state);
  bool EngineRuns(const Target& target) const;
  void Admit(const Target& target);
  void ReconcileModel(const Target& target,
                      const std::vector<ModelPlacement>& placement);
  void StopServing(const std::string& reason);
  void ReconcileAdapters(const Target& target);
  void Load(const EngineWeights& weights);
  void OnLoaded(const EngineWeights& weights, const Result<void>& result);
  void RecordFailedLoad(const EngineWeights& weights, const std::string& why);
  void ConfirmLoad();
  void RestorePrevious();
  void SetPhase(ReconcilePhase phase);
  uint64_t NextFencingToken() const;

  EventLoop* loop_;
  Gossip* gossip_;
  Swarm* swarm_;
  AdmissionGate* gate_;
  EngineClient* engine_;
  std::string upstream_;
  Endpoint weights_source_;
  const Configuration* config_ = nullptr;
  // Last state read; empty if the engine could not be read.
  std::optional<EngineState> engine_state_;
  bool order_in_flight_ = false;
  bool read_in_flight_ = false;
  bool reread_needed_ = false;
  // Weights that the engine reported as loaded and that have not been read back
  // yet.
  std::optional<EngineWeights> unconfirmed_weights_;
  bool shutting_down_ = false;
  std::optional<Target> draining_target_;
  uint32_t failed_loads_ = 0;
  uint64_t failed_manifest_ = 0;
  SteadyTime retry_at_;
  // Restored if the target cannot be loaded.
  std::optional<EngineWeights> last_served_weights_;
  ReconcilePhase phase_ = ReconcilePhase::kIdle;
  std::string last_error_;
  uint64_t orders_sent_ = 0;
  uint64_t repairs_ = 0;
  Timer read_timer_;
};

}  // namespace primrosecove
