#include "Core/Agent/weight_stager.h"

#include <algorithm>
#include <utility>

#include "Core/Common/log.h"

namespace primrosecove {
namespace {

constexpr Milliseconds kRefreshPeriod{250};
// A load order that has had no effect is retried after this time.
constexpr Milliseconds kOrderRetryDelay{1200};
// An order whose response was lost may still be executed, with the chunks that
// are staged by then, so chunks of other versions are not staged for this long.
constexpr Milliseconds kOrderUncertainty{3000};
// An update from an older position of the store is accepted after this time
// without a newer one, because a router that is behind is better than none.
constexpr Milliseconds kUpdateLifetime{5000};
// An older copy that is finished first may have lost its sources.
constexpr Milliseconds kMaxOlderCopyDelay{2500};
// Complete copies that are kept for new members and for peers that still fetch
// the older version.
constexpr size_t kMaxKeptCopies = 2;

}  // namespace

WeightStager::WeightStager(EventLoop* loop, Http1Client* client,
                           platform::LocalEngineClient* engine,
                           HostSettings settings)
    : engine_(engine),
      settings_(std::move(settings)),
      chunk_server_(loop, settings_.link_bytes_per_second,
                    [this](uint64_t version) { return FindCopy(version); }),
      update_received_at_(EventLoop::Now()),
      ordered_at_(EventLoop::Now() - kOrderUncertainty),
      order_uncertain_until_(EventLoop::Now()) {
  context_.loop = loop;
  context_.client = client;
  context_.settings = &settings_;
  context_.self = &own_id_;
  context_.pacer = &fetch_pacer_;
  context_.counters = &transfer_counters_;
  refresh_timer_ = loop->Every(kRefreshPeriod, [this] { Refresh(); });
}

WeightStager::~WeightStager() = default;

Milliseconds WeightStager::TargetAge(const VersionState& target) const {
  return std::chrono::duration_cast<Milliseconds>(EventLoop::Now() -
                                                  target.targeted_at);
}

bool WeightStager::ApplyUpdate(const DeploymentUpdate& update) {
  if (update.service != settings_.service) return false;
  SteadyTime now = EventLoop::Now();
  bool is_stale = update_ && (update.store_position < update_->store_position ||
                              update.target_weights_version <
                                  update_->target_weights_version);
  if (is_stale && now - update_received_at_ < kUpdateLifetime) return false;
  update_ = update;
  update_received_at_ = now;
  context_.update = &*update_;
  if (settings_.link_bytes_per_second > 0) {
    constexpr double kMsPerSecond = 1000;
    fetch_pacer_.SetChunkTime(Milliseconds(static_cast<int64_t>(
        update.chunk_bytes / settings_.link_bytes_per_second * kMsPerSecond)));
  }
  for (const FleetMember& it : update.members) {
    if (it.upstream == settings_.upstream_endpoint) own_id_ = it.id;
  }
  if (!own_id_.empty()) {
    AddTarget(update.target_weights_version,
              Milliseconds(update.target_age_ms));
  }
  return true;
}

void WeightStager::ApplyTarget(uint64_t version, Milliseconds age) {
  if (!update_) return;
  if (version > update_->target_weights_version) {
    update_->target_weights_version = version;
    update_received_at_ = EventLoop::Now();
  }
  if (!own_id_.empty()) AddTarget(version, age);
}

void WeightStager::AddTarget(uint64_t version, Milliseconds age) {
  if (!versions_.empty() && versions_.rbegin()->first >= version) return;
  versions_[version].targeted_at = EventLoop::Now() - age;
  target_times_[version] = EventLoop::Now() - age;
  Advance();
}

void WeightStager::StartTransfer(uint64_t version, VersionState* target) {
  PC_INFO(kWeights, "event=copy_begun model="
                        << update_->model << " version=" << version
                        << " named_age_ms=" << TargetAge(*target).count()
                        << " members=" << update_->members.size());
  WeightTransfer::Events events;
  events.on_chunk = [this, version](uint32_t n) { OnChunk(version, n); };
  events.on_complete = [this, version] { OnCopyComplete(version); };
  target->started_at = EventLoop::Now();
  target->transfer = std::make_unique<WeightTransfer>(
      context_, update_->model, version, std::exchange(read_engine_, false),
      std::move(events));
  target->transfer->Start();
}

void WeightStager::Advance() {
  StartNewestTransfer();
  ResumeNewestTransfer();
  DropUnneededCopies();
  ChooseStaging();
}

void WeightStager::StartNewestTransfer() {
  auto& [newest, target] = *versions_.rbegin();
  if (target.transfer != nullptr) return;
  for (auto& [version, older] : versions_) {
    if (older.transfer == nullptr || older.transfer->copy().complete()) {
      continue;
    }
    if (ShouldFinish(older)) {
      PC_INFO(kWeights, "event=copy_finished_first version="
                            << version << " newer=" << newest
                            << " held=" << older.transfer->copy().held_count()
                            << " named_age_ms=" << TargetAge(older).count());
      older_copy_until_ = EventLoop::Now() + kMaxOlderCopyDelay;
      continue;
    }
    PC_INFO(kWeights, "event=copy_dropped version="
                          << version << " newer=" << newest
                          << " held=" << older.transfer->copy().held_count()
                          << " named_age_ms=" << TargetAge(older).count());
    if (staging_ != nullptr && &staging_->copy() == &older.transfer->copy()) {
      staging_.reset();
    }
    older.transfer.reset();
  }
  StartTransfer(newest, &target);
  if (older_copy_until_) target.transfer->SetUsesPeers(false);
}

bool WeightStager::ShouldFinish(const VersionState& older) const {
  const WeightCopy& copy = older.transfer->copy();
  if (copy.size() == 0) return false;
  IncompleteCopy state;
  state.held_share =
      static_cast<double>(copy.held_count()) / static_cast<double>(copy.size());
  state.elapsed = std::chrono::duration_cast<Milliseconds>(EventLoop::Now() -
                                                           older.started_at);
  state.target_age = TargetAge(older);
  state.newer_age = TargetAge(versions_.rbegin()->second);
  state.version_bound = Milliseconds(update_->version_bound_ms);
  return ShouldFinishCopy(state);
}

void WeightStager::ResumeNewestTransfer() {
  if (!older_copy_until_ || versions_.empty()) return;
  auto& [newest, target] = *versions_.rbegin();
  bool waits = std::any_of(
      versions_.begin(), versions_.end(), [newest = newest](const auto& it) {
        return it.first < newest && it.second.transfer != nullptr &&
               !it.second.transfer->copy().complete();
      });
  if (waits && EventLoop::Now() < *older_copy_until_) return;
  older_copy_until_.reset();
  if (target.transfer != nullptr) target.transfer->SetUsesPeers(true);
}

void WeightStager::DropUnneededCopies() {
  size_t complete = 0;
  uint64_t oldest = versions_.rbegin()->first;
  for (auto it = versions_.rbegin(); it != versions_.rend(); ++it) {
    auto& transfer = it->second.transfer;
    if (transfer == nullptr) continue;
    bool needed = transfer->copy().complete() ? complete++ < kMaxKeptCopies
                                              : complete == 0;
    if (needed) {
      oldest = it->first;
      continue;
    }
    if (staging_ != nullptr && &staging_->copy() == &transfer->copy()) {
      staging_.reset();
    }
    transfer.reset();
  }
  chunk_server_.EndFeedsBelow(oldest);
  // Versions without a copy that are older than one with a copy will not be
  // fetched.
  std::erase_if(versions_, [oldest](const auto& it) {
    return it.first < oldest && it.second.transfer == nullptr;
  });
}

// Stages the newest complete copy or, without one, the oldest copy in transfer,
// which will be complete first.
void WeightStager::ChooseStaging() {
  SteadyTime now = EventLoop::Now();
  // Before the first status it is not known which version the engine serves.
  if (!status_received_ || order_in_flight_ || now < order_uncertain_until_)
    return;
  if (staging_ != nullptr && staging_->verifying()) return;
  WeightTransfer* chosen = nullptr;
  for (auto& [version, target] : versions_) {
    WeightTransfer* it = target.transfer.get();
    if (it == nullptr || version <= EngineVersion()) continue;
    if (chosen == nullptr || it->copy().complete()) chosen = it;
  }
  if (chosen == nullptr) return;
  if (staging_ != nullptr && &staging_->copy() == &chosen->copy()) return;
  staging_ = std::make_unique<ChunkStaging>(
      context_.client, settings_.upstream_endpoint, &chosen->copy());
  for (uint32_t n = 0; n < chosen->copy().size(); ++n) {
    if (chosen->copy().Has(n)) staging_->AddChunk(n);
  }
}

uint64_t WeightStager::EngineVersion() const {
  bool loads = engine_status_.loading ||
               EventLoop::Now() - ordered_at_ < kOrderRetryDelay;
  return loads ? std::max(served_version_, ordered_version_) : served_version_;
}

void WeightStager::OnChunk(uint64_t version, uint32_t n) {
  chunk_server_.AnnounceChunk(version, n);
  if (staging_ != nullptr && staging_->copy().version() == version) {
    staging_->AddChunk(n);
  }
}

void WeightStager::OnCopyComplete(uint64_t version) {
  VersionState& target = versions_[version];
  target.completion_age = TargetAge(target);
  PC_INFO(kWeights, "event=copy_complete version="
                        << version
                        << " named_age_ms=" << target.completion_age->count()
                        << " origin_bytes=" << transfer_counters_.origin_bytes
                        << " peer_bytes=" << transfer_counters_.peer_bytes);
  ResumeNewestTransfer();
}

void WeightStager::OnEngineStatus(const EngineStatus& status) {
  engine_status_ = status;
  status_received_ = true;
  if (versions_.empty()) return;
  served_version_ = 0;
  for (const LoadedWeights& it : status.weights) {
    if (it.model == update_->model && it.fully_loaded)
      served_version_ = it.version;
  }
  std::erase_if(target_times_,
                [this](const auto& it) { return it.first <= served_version_; });
  Advance();
  if (staging_ == nullptr) {
    staged_version_ = served_version_;
    return;
  }
  staging_->Resume();
  LoadIfDue();
}

// Precondition: `staging_` is set.
ReloadState WeightStager::MakeReloadState() const {
  const WeightCopy& copy = staging_->copy();
  const VersionState& target = versions_.at(copy.version());
  ReloadState out;
  out.target_version = copy.version();
  out.served_version = served_version_;
  out.loading = engine_status_.loading;
  out.idle = engine_status_.running == 0 && engine_status_.waiting == 0;
  out.copy_complete = copy.complete() && staging_->done();
  out.target_age = TargetAge(target);
  double bytes = static_cast<double>(update_->chunks) * update_->chunk_bytes;
  Milliseconds typical =
      TypicalCopyTime(bytes, settings_.link_bytes_per_second);
  out.copy_complete_age =
      target.completion_age.value_or(std::max(typical, out.target_age));
  out.version_bound = Milliseconds(update_->version_bound_ms);
  // The first version after the one that the engine serves ends its use.
  auto next = target_times_.upper_bound(served_version_);
  if (next != target_times_.end() && next->first < copy.version()) {
    out.served_until_age =
        out.version_bound + std::chrono::duration_cast<Milliseconds>(
                                next->second - target.targeted_at);
  }
  out.reload_slot = ReloadSlot(*update_, own_id_);
  return out;
}

std::optional<Milliseconds> WeightStager::TimeUntilLoad() const {
  if (staging_ == nullptr || served_version_ == 0) return std::nullopt;
  ReloadState reload_state = MakeReloadState();
  bool planned = reload_state.served_version < reload_state.target_version &&
                 EngineVersion() < reload_state.target_version;
  if (!planned) return std::nullopt;
  return std::max(PlannedReloadAge(reload_state) - reload_state.target_age,
                  Milliseconds(0));
}

void WeightStager::LoadIfDue() {
  uint64_t version = staging_->copy().version();
  ReloadState reload_state = MakeReloadState();
  if (!ShouldReload(reload_state) || staging_->verifying() ||
      order_in_flight_) {
    return;
  }
  if (EventLoop::Now() - ordered_at_ < kOrderRetryDelay) return;
  staging_->Verify([this, version] { SendLoadOrder(version); });
}

void WeightStager::SendLoadOrder(uint64_t version) {
  staged_version_ = version;
  order_in_flight_ = true;
  ordered_at_ = EventLoop::Now();
  ++counters_.orders;
  auto done = [this, version](platform::OrderResult result) {
    order_in_flight_ = false;
    if (result == platform::OrderResult::kUnknown) {
      order_uncertain_until_ = EventLoop::Now() + kOrderUncertainty;
    }
    if (result == platform::OrderResult::kInProgress) {
      ordered_version_ = version;
      if (on_loading_) on_loading_();
    }
    PC_INFO(kRollout, "event=load_ordered version="
                          << version << " answer=" << static_cast<int>(result)
                          << " running=" << engine_status_.running);
  };
  engine_->OrderLoad(update_->model, version, done);
}

void WeightStager::Refresh() {
  for (auto& [version, target] : versions_) {
    if (target.transfer != nullptr) target.transfer->Refresh();
  }
  chunk_server_.RemoveFinishedFeeds();
}

const WeightCopy* WeightStager::FindCopy(uint64_t version) const {
  auto it = versions_.find(version);
  if (it == versions_.end() || it->second.transfer == nullptr) return nullptr;
  return &it->second.transfer->copy();
}

}  // namespace primrosecove
