#include "Core/Agent/version_reconciler.h"

#include <algorithm>
#include <utility>

#include "Core/Common/log.h"
#include "Core/Rollout/rollout_order.h"

namespace primrosecove {
namespace {

// Interval at which the engine is read, to detect and repair a crash or a load
// order that another process sent.
constexpr Milliseconds kEngineReadPeriod{500};
// Failed loads of one version after which the agent restores the old one.
constexpr uint32_t kMaxFailedLoads = 2;
constexpr Milliseconds kLoadRetryDelay{1000};
constexpr Milliseconds kStoppedRetryDelay{15'000};

}  // namespace

const char* PhaseName(ReconcilePhase phase) {
  switch (phase) {
    case ReconcilePhase::kIdle:
      return "idle";
    case ReconcilePhase::kFetching:
      return "fetching";
    case ReconcilePhase::kWaiting:
      return "waiting";
    case ReconcilePhase::kDraining:
      return "draining";
    case ReconcilePhase::kLoading:
      return "loading";
    case ReconcilePhase::kStopped:
      return "stopped";
  }
  return "";
}

VersionReconciler::VersionReconciler(EventLoop* loop, Gossip* gossip,
                                     Swarm* swarm, AdmissionGate* gate,
                                     EngineClient* engine, std::string upstream,
                                     Endpoint weights_source)
    : loop_(loop),
      gossip_(gossip),
      swarm_(swarm),
      gate_(gate),
      engine_(engine),
      upstream_(std::move(upstream)),
      weights_source_(std::move(weights_source)) {}

void VersionReconciler::Start() {
  read_timer_ = loop_->Every(kEngineReadPeriod, [this] { ReadEngine(); });
  gate_->OnIdle([this] { Reconcile(); });
  ReadEngine();
}

void VersionReconciler::Stop() { shutting_down_ = true; }

void VersionReconciler::OnConfig(const Configuration* config) {
  config_ = config;
  Reconcile();
}

void VersionReconciler::OnTransferFailed(const Digest& manifest,
                                         const Error& error) {
  last_error_ = error.message;
  failed_manifest_ = manifest.Prefix64();
  gossip_->UpdateSelf(
      [&](HostRecord* it) { it->failed_manifest = failed_manifest_; });
  Reconcile();
}

void VersionReconciler::SetPhase(ReconcilePhase phase) {
  if (std::exchange(phase_, phase) != phase)
    PC_INFO(kRollout, "phase is now " << PhaseName(phase));
}

std::optional<VersionReconciler::Target> VersionReconciler::FindTarget(
    const std::vector<ModelPlacement>& placement) const {
  const Model* model = FindAssignedModel(placement, upstream_);
  if (model == nullptr) return std::nullopt;
  return Target{model->name, model->CurrentVersion(), model->adapters};
}

// Fetches the target's weights, and keeps those of the served version until the
// engine is confirmed to run the target.
void VersionReconciler::UpdateHeldWeights(const std::optional<Target>& target) {
  std::set<Digest> needed;
  if (target) {
    needed.insert(target->version.manifest);
    for (const Adapter& it : target->adapters) needed.insert(it.manifest);
  }
  bool converged = target && EngineRuns(*target);
  if (!converged && last_served_weights_)
    needed.insert(last_served_weights_->manifest);
  for (const Digest& it : swarm_->KnownManifests()) {
    if (!needed.contains(it)) swarm_->Remove(it);
  }
  if (!target) return;
  swarm_->StartFetch(target->version.manifest);
  for (const Adapter& it : target->adapters) swarm_->StartFetch(it.manifest);
}

void VersionReconciler::ReadEngine() {
  if (read_in_flight_) {
    reread_needed_ = true;
    return;
  }
  read_in_flight_ = true;
  engine_->ReadState(
      [this](Result<EngineState> state) { OnEngineState(std::move(state)); });
}

void VersionReconciler::OnEngineState(Result<EngineState> state) {
  read_in_flight_ = false;
  if (state) {
    engine_state_ = std::move(state).value();
    ConfirmLoad();
  } else {
    engine_state_.reset();
    last_error_ = state.error().message;
  }
  if (std::exchange(reread_needed_, false)) ReadEngine();
  Reconcile();
}

bool VersionReconciler::EngineRuns(const Target& target) const {
  return engine_state_ && engine_state_->model == target.model &&
         engine_state_->manifest == target.version.manifest;
}

void VersionReconciler::Reconcile() {
  if (shutting_down_ || config_ == nullptr) return;
  auto placement = PlaceModels(*config_, gossip_->view());
  std::optional<Target> target = FindTarget(placement);
  UpdateHeldWeights(target);
  if (!engine_state_) {
    if (gate_->is_open()) StopServing("the engine does not answer");
    return;
  }
  // Only weights that were read back are served; if the engine runs anything
  // else, serving stops at once.
  if (gate_->is_open() && last_served_weights_ &&
      engine_state_->manifest != last_served_weights_->manifest) {
    ++repairs_;
    PC_WARN(kRollout, "the engine runs other weights than this agent ordered");
    StopServing("the engine's weights are being repaired");
  }
  if (!target) {
    if (gate_->is_open()) StopServing("no model is assigned");
    return SetPhase(ReconcilePhase::kIdle);
  }
  if (order_in_flight_) return;
  if (EngineRuns(*target)) {
    draining_target_.reset();
    failed_manifest_ = 0;
    failed_loads_ = 0;
    Admit(*target);
    return ReconcileAdapters(*target);
  }
  ReconcileModel(*target, placement);
}

void VersionReconciler::Admit(const Target& target) {
  AdmittedVersion version{target.version.manifest.Prefix64(), {}};
  std::vector<std::string> adapters;
  for (const Adapter& it : target.adapters) {
    auto loaded = engine_state_->adapters.find(it.name);
    if (loaded == engine_state_->adapters.end() ||
        loaded->second != it.manifest)
      continue;
    version.adapters[it.name] = it.manifest.Prefix64();
    adapters.push_back(it.name);
  }
  if (!gate_->is_open())
    PC_INFO(kRollout, "serving " << target.model << " " << target.version.name);
  gate_->Open(std::move(version));
  last_served_weights_ = EngineWeights{target.model, target.version.name, "",
                                       target.version.manifest};
  gossip_->UpdateSelf([&](HostRecord* it) {
    it->serving = {target.model, target.version.name,
                   target.version.manifest.Prefix64(), adapters};
    it->failed_manifest = failed_manifest_;
    it->transfer_percent = 100;
  });
}

void VersionReconciler::StopServing(const std::string& reason) {
  gate_->Close(reason);
  gossip_->UpdateSelf([](HostRecord* it) { it->serving = {}; });
}

// Precondition: the engine runs other weights than the target, or none.
void VersionReconciler::ReconcileModel(
    const Target& target, const std::vector<ModelPlacement>& placement) {
  uint64_t prefix = target.version.manifest.Prefix64();
  if (failed_manifest_ != 0 && failed_manifest_ != prefix) {
    failed_manifest_ = 0;
    failed_loads_ = 0;
    gossip_->UpdateSelf([](HostRecord* it) { it->failed_manifest = 0; });
  }
  if (failed_manifest_ == prefix) {
    SetPhase(ReconcilePhase::kStopped);
    if (last_served_weights_) return RestorePrevious();
    // There is no other version to serve, so the load is retried periodically.
    if (EventLoop::Now() < retry_at_ + kStoppedRetryDelay) return;
  }
  if (!swarm_->IsComplete(target.version.manifest)) {
    SetPhase(ReconcilePhase::kFetching);
    gossip_->UpdateSelf([&](HostRecord* it) {
      // Progress is rounded down to 25% steps, so that gossip carries few
      // updates per transfer instead of one per chunk.
      constexpr uint8_t kStepPercent = 25;
      it->transfer_percent = static_cast<uint8_t>(
          swarm_->PercentComplete(target.version.manifest) / kStepPercent *
          kStepPercent);
    });
    // The target changed during the drain, and the engine still holds the old
    // version.
    if (draining_target_ &&
        draining_target_->version.manifest != target.version.manifest)
      RestorePrevious();
    return;
  }
  bool serves_previous = gate_->is_open() || !gate_->idle();
  if (serves_previous && !draining_target_) {
    auto placed = std::find_if(placement.begin(), placement.end(),
                               [&](const ModelPlacement& it) {
                                 return it.model->name == target.model;
                               });
    ReloadVerdict verdict = CheckReload(*placed, upstream_, gossip_->view());
    if (verdict == ReloadVerdict::kFailed)
      return SetPhase(ReconcilePhase::kStopped);
    if (verdict != ReloadVerdict::kAllowed)
      return SetPhase(ReconcilePhase::kWaiting);
    draining_target_ = target;
    StopServing("changing to version " + target.version.name);
  }
  if (!gate_->idle()) return SetPhase(ReconcilePhase::kDraining);
  if (EventLoop::Now() < retry_at_) return;
  Load({target.model, target.version.name, "", target.version.manifest});
}

// Loads and unloads adapters while their base model continues to serve.
void VersionReconciler::ReconcileAdapters(const Target& target) {
  for (const Adapter& it : target.adapters) {
    auto loaded = engine_state_->adapters.find(it.name);
    if (loaded != engine_state_->adapters.end() &&
        loaded->second == it.manifest)
      continue;
    if (!swarm_->IsComplete(it.manifest)) {
      SetPhase(ReconcilePhase::kFetching);
      continue;
    }
    if (EventLoop::Now() < retry_at_) return;
    return Load({target.model, target.version.name, it.name, it.manifest});
  }
  for (const auto& [name, manifest] : engine_state_->adapters) {
    bool configured =
        std::any_of(target.adapters.begin(), target.adapters.end(),
                    [&, n = name](const Adapter& it) { return it.name == n; });
    if (configured) continue;
    order_in_flight_ = true;
    ++orders_sent_;
    engine_->UnloadAdapter(name, NextFencingToken(),
                           [this](const Result<void>&) {
                             order_in_flight_ = false;
                             ReadEngine();
                           });
    return;
  }
  bool all_loaded = std::all_of(
      target.adapters.begin(), target.adapters.end(), [&](const Adapter& it) {
        return engine_state_->adapters.contains(it.name);
      });
  if (all_loaded) SetPhase(ReconcilePhase::kIdle);
}

// Increases with each order, and across restarts with the process's
// incarnation. An agent that was replaced while it was paused has a smaller
// incarnation, so the engine refuses its orders.
uint64_t VersionReconciler::NextFencingToken() const {
  constexpr uint64_t kOrdersPerIncarnation = 1000;
  return gossip_->self().incarnation * kOrdersPerIncarnation +
         std::min(orders_sent_, kOrdersPerIncarnation - 1);
}

void VersionReconciler::Load(const EngineWeights& weights) {
  if (weights.adapter.empty()) SetPhase(ReconcilePhase::kLoading);
  order_in_flight_ = true;
  ++orders_sent_;
  PC_INFO(kRollout, "ordering the engine to load " << weights.model << " "
                                                   << weights.version << " "
                                                   << weights.adapter);
  engine_->Load(
      weights, NextFencingToken(), weights_source_,
      [this, weights](const Result<void>& it) { OnLoaded(weights, it); });
}

void VersionReconciler::OnLoaded(const EngineWeights& weights,
                                 const Result<void>& result) {
  order_in_flight_ = false;
  // The next step depends only on the state that is read back, not on the
  // result of the order.
  engine_state_.reset();
  if (result) {
    unconfirmed_weights_ = weights;
  } else {
    RecordFailedLoad(weights, result.error().message);
  }
  ReadEngine();
}

void VersionReconciler::RecordFailedLoad(const EngineWeights& weights,
                                         const std::string& why) {
  last_error_ = why;
  PC_WARN(kRollout, last_error_);
  retry_at_ = EventLoop::Now() + kLoadRetryDelay;
  if (!weights.adapter.empty() || ++failed_loads_ < kMaxFailedLoads) return;
  failed_manifest_ = weights.manifest.Prefix64();
  gossip_->UpdateSelf(
      [&](HostRecord* it) { it->failed_manifest = failed_manifest_; });
}

// Detects an engine that reported a load as done but runs other weights.
void VersionReconciler::ConfirmLoad() {
  if (!unconfirmed_weights_ || !engine_state_) return;
  EngineWeights weights = *std::exchange(unconfirmed_weights_, std::nullopt);
  auto adapter = engine_state_->adapters.find(weights.adapter);
  bool confirmed = weights.adapter.empty()
                       ? engine_state_->manifest == weights.manifest
                       : adapter != engine_state_->adapters.end() &&
                             adapter->second == weights.manifest;
  if (!confirmed)
    RecordFailedLoad(
        weights, "the engine reported the load as done but runs other weights");
}

// Restores the old version, because the target failed or changed before it was
// loaded.
void VersionReconciler::RestorePrevious() {
  draining_target_.reset();
  if (!last_served_weights_ || gate_->is_open()) return;
  Target previous{
      last_served_weights_->model,
      {last_served_weights_->version, last_served_weights_->manifest},
      {}};
  if (EngineRuns(previous)) return Admit(previous);
  if (EventLoop::Now() < retry_at_ ||
      !swarm_->IsComplete(previous.version.manifest))
    return;
  Load(*last_served_weights_);
}

}  // namespace primrosecove
