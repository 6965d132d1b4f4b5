#include "Core/Agent/version_reconciler.h"

#include <algorithm>
#include <utility>

#include "Core/Common/log.h"
#include "Core/Rollout/rollout_order.h"

namespace primrosecove {
namespace {

// The engine is read this often, so that a crash of it, or an order that is not
// this agent's, is found and repaired.
constexpr Milliseconds kReadPeriod{500};
// Loads of one version that may fail before the agent goes back to the old one.
constexpr uint32_t kMaxFailedLoads = 2;
constexpr Milliseconds kRetryLoadAfter{1000};
constexpr Milliseconds kRetryStoppedAfter{15'000};

}  // namespace

const char* PhaseName(KeeperPhase phase) {
  switch (phase) {
    case KeeperPhase::kIdle:
      return "idle";
    case KeeperPhase::kFetching:
      return "fetching";
    case KeeperPhase::kWaiting:
      return "waiting";
    case KeeperPhase::kDraining:
      return "draining";
    case KeeperPhase::kLoading:
      return "loading";
    case KeeperPhase::kStopped:
      return "stopped";
  }
  return "";
}

VersionKeeper::VersionKeeper(EventLoop* loop, Gossip* gossip, Swarm* swarm,
                             Gate* gate, EngineClient* engine,
                             std::string upstream, Endpoint weights_source)
    : loop_(loop),
      gossip_(gossip),
      swarm_(swarm),
      gate_(gate),
      engine_(engine),
      upstream_(std::move(upstream)),
      weights_source_(std::move(weights_source)) {}

void VersionKeeper::Start() {
  read_timer_ = loop_->Every(kReadPeriod, [this] { ReadEngine(); });
  gate_->OnIdle([this] { Step(); });
  ReadEngine();
}

void VersionKeeper::Stop() { stopped_ = true; }

void VersionKeeper::OnConfig(const Configuration* config) {
  config_ = config;
  Step();
}

void VersionKeeper::OnTransferFailed(const Digest& manifest,
                                     const Error& error) {
  last_error_ = error.message;
  failed_manifest_ = manifest.Prefix64();
  gossip_->UpdateSelf(
      [&](HostRecord* it) { it->failed_manifest = failed_manifest_; });
  Step();
}

void VersionKeeper::SetPhase(KeeperPhase phase) {
  if (std::exchange(phase_, phase) != phase)
    PC_INFO(kRollout, "now " << PhaseName(phase));
}

std::optional<VersionKeeper::Target> VersionKeeper::FindTarget(
    const std::vector<ModelPlacement>& placement) const {
  const Model* model = FindAssignedModel(placement, upstream_);
  if (model == nullptr) return std::nullopt;
  return Target{model->name, model->CurrentVersion(), model->adapters};
}

// Wants the target's weights, and keeps those of the version served until the
// target is confirmed.
void VersionKeeper::HoldWeights(const std::optional<Target>& target) {
  std::set<Digest> keep;
  if (target) {
    keep.insert(target->version.manifest);
    for (const Adapter& it : target->adapters) keep.insert(it.manifest);
  }
  bool settled = target && EngineRuns(*target);
  if (!settled && last_served_) keep.insert(last_served_->manifest);
  for (const Digest& it : swarm_->KnownManifests()) {
    if (!keep.contains(it)) swarm_->Remove(it);
  }
  if (!target) return;
  swarm_->StartFetch(target->version.manifest);
  for (const Adapter& it : target->adapters) swarm_->StartFetch(it.manifest);
}

void VersionKeeper::ReadEngine() {
  if (read_under_way_) {
    reread_needed_ = true;
    return;
  }
  read_under_way_ = true;
  engine_->ReadState(
      [this](Result<EngineState> state) { OnEngineState(std::move(state)); });
}

void VersionKeeper::OnEngineState(Result<EngineState> state) {
  read_under_way_ = false;
  if (state) {
    engine_state_ = std::move(state).value();
    CheckUnconfirmed();
  } else {
    engine_state_.reset();
    last_error_ = state.error().message;
  }
  if (std::exchange(reread_needed_, false)) ReadEngine();
  Step();
}

bool VersionKeeper::EngineRuns(const Target& target) const {
  return engine_state_ && engine_state_->model == target.model &&
         engine_state_->manifest == target.version.manifest;
}

void VersionKeeper::Step() {
  if (stopped_ || config_ == nullptr) return;
  auto placement = PlaceModels(*config_, gossip_->view());
  std::optional<Target> target = FindTarget(placement);
  HoldWeights(target);
  if (!engine_state_) {
    if (gate_->is_open()) StopServing("the engine does not answer");
    return;
  }
  // What is served is what was read back; anything else stops at once.
  if (gate_->is_open() && last_served_ &&
      engine_state_->manifest != last_served_->manifest) {
    ++repairs_;
    PC_WARN(kRollout, "the engine runs other weights than this agent ordered");
    StopServing("the engine's weights are being repaired");
  }
  if (!target) {
    if (gate_->is_open()) StopServing("no model is assigned");
    return SetPhase(KeeperPhase::kIdle);
  }
  if (order_under_way_) return;
  if (EngineRuns(*target)) {
    draining_for_.reset();
    failed_manifest_ = 0;
    failed_loads_ = 0;
    Admit(*target);
    return StepAdapters(*target);
  }
  StepTowards(*target, placement);
}

void VersionKeeper::Admit(const Target& target) {
  GateVersion version{target.version.manifest.Prefix64(), {}};
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
  last_served_ = EngineWeights{target.model, target.version.name, "",
                               target.version.manifest};
  gossip_->UpdateSelf([&](HostRecord* it) {
    it->serving = {target.model, target.version.name,
                   target.version.manifest.Prefix64(), adapters};
    it->failed_manifest = failed_manifest_;
    it->transfer_percent = 100;
  });
}

void VersionKeeper::StopServing(const std::string& reason) {
  gate_->Close(reason);
  gossip_->UpdateSelf([](HostRecord* it) { it->serving = {}; });
}

// The engine runs something else than the target, or nothing.
void VersionKeeper::StepTowards(const Target& target,
                                const std::vector<ModelPlacement>& placement) {
  uint64_t tag = target.version.manifest.Prefix64();
  if (failed_manifest_ != 0 && failed_manifest_ != tag) {
    failed_manifest_ = 0;
    failed_loads_ = 0;
    gossip_->UpdateSelf([](HostRecord* it) { it->failed_manifest = 0; });
  }
  if (failed_manifest_ == tag) {
    SetPhase(KeeperPhase::kStopped);
    if (last_served_) return FallBack();
    // Nothing else to serve: the engine is tried again now and then.
    if (EventLoop::Now() < retry_at_ + kRetryStoppedAfter) return;
  }
  if (!swarm_->IsComplete(target.version.manifest)) {
    SetPhase(KeeperPhase::kFetching);
    gossip_->UpdateSelf([&](HostRecord* it) {
      // Coarse steps, so that progress is news a few times a transfer and not
      // at each chunk.
      constexpr uint8_t kStep = 25;
      it->transfer_percent = static_cast<uint8_t>(
          swarm_->PercentComplete(target.version.manifest) / kStep * kStep);
    });
    // A target that changed while requests drained: the old version is still in
    // the engine.
    if (draining_for_ &&
        draining_for_->version.manifest != target.version.manifest)
      FallBack();
    return;
  }
  bool serves_old = gate_->is_open() || !gate_->idle();
  if (serves_old && !draining_for_) {
    auto placed = std::find_if(placement.begin(), placement.end(),
                               [&](const ModelPlacement& it) {
                                 return it.model->name == target.model;
                               });
    SwapVerdict verdict = MaySwap(*placed, upstream_, gossip_->view());
    if (verdict == SwapVerdict::kFailed) return SetPhase(KeeperPhase::kStopped);
    if (verdict != SwapVerdict::kGo) return SetPhase(KeeperPhase::kWaiting);
    draining_for_ = target;
    StopServing("changing to version " + target.version.name);
  }
  if (!gate_->idle()) return SetPhase(KeeperPhase::kDraining);
  if (EventLoop::Now() < retry_at_) return;
  Load({target.model, target.version.name, "", target.version.manifest});
}

// Adapters change while their base goes on serving.
void VersionKeeper::StepAdapters(const Target& target) {
  for (const Adapter& it : target.adapters) {
    auto loaded = engine_state_->adapters.find(it.name);
    if (loaded != engine_state_->adapters.end() &&
        loaded->second == it.manifest)
      continue;
    if (!swarm_->IsComplete(it.manifest)) {
      SetPhase(KeeperPhase::kFetching);
      continue;
    }
    if (EventLoop::Now() < retry_at_) return;
    return Load({target.model, target.version.name, it.name, it.manifest});
  }
  for (const auto& [name, manifest] : engine_state_->adapters) {
    bool wanted =
        std::any_of(target.adapters.begin(), target.adapters.end(),
                    [&, n = name](const Adapter& it) { return it.name == n; });
    if (wanted) continue;
    order_under_way_ = true;
    ++orders_given_;
    engine_->UnloadAdapter(name, NextFencing(), [this](const Result<void>&) {
      order_under_way_ = false;
      ReadEngine();
    });
    return;
  }
  bool all_loaded = std::all_of(
      target.adapters.begin(), target.adapters.end(), [&](const Adapter& it) {
        return engine_state_->adapters.contains(it.name);
      });
  if (all_loaded) SetPhase(KeeperPhase::kIdle);
}

// Grows with each order, and across restarts with the process's incarnation; an
// agent that was replaced while paused has a smaller incarnation, so that its
// orders are refused.
uint64_t VersionKeeper::NextFencing() const {
  constexpr uint64_t kOrdersPerIncarnation = 1000;
  return gossip_->self().incarnation * kOrdersPerIncarnation +
         std::min(orders_given_, kOrdersPerIncarnation - 1);
}

void VersionKeeper::Load(const EngineWeights& weights) {
  if (weights.adapter.empty()) SetPhase(KeeperPhase::kLoading);
  order_under_way_ = true;
  ++orders_given_;
  PC_INFO(kRollout, "ordering " << weights.model << " " << weights.version
                                << " " << weights.adapter);
  engine_->Load(
      weights, NextFencing(), weights_source_,
      [this, weights](const Result<void>& it) { OnLoaded(weights, it); });
}

void VersionKeeper::OnLoaded(const EngineWeights& weights,
                             const Result<void>& result) {
  order_under_way_ = false;
  // Whatever the answer, the next step goes by what is read back.
  engine_state_.reset();
  if (result) {
    unconfirmed_ = weights;
  } else {
    NoteFailedLoad(weights, result.error().message);
  }
  ReadEngine();
}

void VersionKeeper::NoteFailedLoad(const EngineWeights& weights,
                                   const std::string& why) {
  last_error_ = why;
  PC_WARN(kRollout, last_error_);
  retry_at_ = EventLoop::Now() + kRetryLoadAfter;
  if (!weights.adapter.empty() || ++failed_loads_ < kMaxFailedLoads) return;
  failed_manifest_ = weights.manifest.Prefix64();
  gossip_->UpdateSelf(
      [&](HostRecord* it) { it->failed_manifest = failed_manifest_; });
}

// An engine may say that it has loaded and run something else.
void VersionKeeper::CheckUnconfirmed() {
  if (!unconfirmed_ || !engine_state_) return;
  EngineWeights weights = *std::exchange(unconfirmed_, std::nullopt);
  auto adapter = engine_state_->adapters.find(weights.adapter);
  bool confirmed = weights.adapter.empty()
                       ? engine_state_->manifest == weights.manifest
                       : adapter != engine_state_->adapters.end() &&
                             adapter->second == weights.manifest;
  if (!confirmed)
    NoteFailedLoad(weights, "the engine says loaded and runs other weights");
}

// Serves the old version again: the target failed, or changed before it was
// loaded.
void VersionKeeper::FallBack() {
  draining_for_.reset();
  if (!last_served_ || gate_->is_open()) return;
  Target old{
      last_served_->model, {last_served_->version, last_served_->manifest}, {}};
  if (EngineRuns(old)) return Admit(old);
  if (EventLoop::Now() < retry_at_ || !swarm_->IsComplete(old.version.manifest))
    return;
  Load(*last_served_);
}

}  // namespace primrosecove
