#include "Core/Agent/weight_stager.h"

#include <algorithm>
#include <utility>

#include "Core/Common/log.h"

namespace primrosecove {
namespace {

constexpr Milliseconds kRefreshPeriod{250};
// An order without any effect in this time is given again.
constexpr Milliseconds kOrderAgain{1200};
// An order without an answer may still be taken, with what lies at the engine
// then, so that other weights are kept away for so long.
constexpr Milliseconds kOrderSettles{3000};
// A notice of an older state of the store is heeded when none of a newer one
// has come for so long: a store restored from a backup starts lower.
constexpr Milliseconds kNoticeLifetime{5000};
// Complete copies that are kept for newcomers and for peers that still bring
// the older one.
constexpr size_t kKeptCopies = 2;

}  // namespace

WeightStager::WeightStager(EventLoop* loop, Http1Client* client,
                           platform::LocalEngineClient* engine,
                           HostSettings settings)
    : engine_(engine),
      settings_(std::move(settings)),
      server_(loop, settings_.link_bytes_per_second,
              [this](uint64_t version) { return CopyOf(version); }),
      notice_at_(EventLoop::Now()),
      ordered_at_(EventLoop::Now() - kOrderSettles),
      settled_at_(EventLoop::Now()) {
  context_.loop = loop;
  context_.client = client;
  context_.settings = &settings_;
  context_.self = &self_;
  context_.pacer = &fetch_pacer_;
  context_.counters = &transfer_counters_;
  refresh_timer_ = loop->Every(kRefreshPeriod, [this] { Refresh(); });
}

WeightStager::~WeightStager() = default;

Milliseconds WeightStager::AgeOf(const Target& target) const {
  return std::chrono::duration_cast<Milliseconds>(EventLoop::Now() -
                                                  target.named_at);
}

void WeightStager::TakeNotice(const DeploymentUpdate& notice) {
  if (notice.service != settings_.service) return;
  SteadyTime now = EventLoop::Now();
  bool older = notice_ && (notice.store_revision < notice_->store_revision ||
                           notice.target_weights_version <
                               notice_->target_weights_version);
  if (older && now - notice_at_ < kNoticeLifetime) return;
  notice_ = notice;
  notice_at_ = now;
  context_.notice = &*notice_;
  for (const FleetMember& it : notice.members) {
    if (it.upstream == settings_.upstream_endpoint) self_ = it.id;
  }
  if (self_.empty()) return;
  if (!targets_.empty() &&
      targets_.rbegin()->first >= notice.target_weights_version) {
    return;
  }
  targets_[notice.target_weights_version].named_at =
      now - Milliseconds(notice.target_age_ms);
  Advance();
}

void WeightStager::Begin(uint64_t version, Target* target) {
  PC_INFO(kWeights, "event=copy_begun model="
                        << notice_->model << " version=" << version
                        << " named_age_ms=" << AgeOf(*target).count()
                        << " members=" << notice_->members.size());
  WeightTransfer::Events events;
  events.on_piece = [this, version](uint32_t n) { TakePiece(version, n); };
  events.on_complete = [this, version] { TakeComplete(version); };
  target->transfer = std::make_unique<WeightTransfer>(
      context_, notice_->model, version, std::exchange(reads_engine_, false),
      std::move(events));
  target->transfer->Start();
}

void WeightStager::Advance() {
  BeginNewest();
  DropNeedless();
  ChooseStaging();
}

void WeightStager::BeginNewest() {
  auto& [newest, target] = *targets_.rbegin();
  if (target.transfer != nullptr) return;
  for (auto& [version, older] : targets_) {
    if (older.transfer == nullptr || older.transfer->copy().complete()) {
      continue;
    }
    PC_INFO(kWeights, "event=copy_dropped version="
                          << version << " newer=" << newest
                          << " held=" << older.transfer->copy().held_count()
                          << " named_age_ms=" << AgeOf(older).count());
    if (staging_ != nullptr && &staging_->copy() == &older.transfer->copy()) {
      staging_.reset();
    }
    older.transfer.reset();
  }
  Begin(newest, &target);
}

void WeightStager::DropNeedless() {
  size_t complete = 0;
  uint64_t oldest = targets_.rbegin()->first;
  for (auto it = targets_.rbegin(); it != targets_.rend(); ++it) {
    auto& transfer = it->second.transfer;
    if (transfer == nullptr) continue;
    bool needed =
        transfer->copy().complete() ? complete++ < kKeptCopies : complete == 0;
    if (needed) {
      oldest = it->first;
      continue;
    }
    if (staging_ != nullptr && &staging_->copy() == &transfer->copy()) {
      staging_.reset();
    }
    transfer.reset();
  }
  server_.DropBelow(oldest);
  // Versions without a copy in front of one with a copy won't be brought.
  std::erase_if(targets_, [oldest](const auto& it) {
    return it.first < oldest && it.second.transfer == nullptr;
  });
}

// The newest whole copy goes to the engine; without one, the oldest under way,
// which will be whole first.
void WeightStager::ChooseStaging() {
  SteadyTime now = EventLoop::Now();
  // Before the first report it isn't known what the engine serves.
  if (!reported_ || order_under_way_ || now < settled_at_) return;
  if (staging_ != nullptr && staging_->verifying()) return;
  WeightTransfer* chosen = nullptr;
  for (auto& [version, target] : targets_) {
    WeightTransfer* it = target.transfer.get();
    if (it == nullptr || version <= VersionAtEngine()) continue;
    if (chosen == nullptr || it->copy().complete()) chosen = it;
  }
  if (chosen == nullptr) return;
  if (staging_ != nullptr && &staging_->copy() == &chosen->copy()) return;
  staging_ = std::make_unique<EngineStaging>(
      context_.client, settings_.upstream_endpoint, &chosen->copy());
  for (uint32_t n = 0; n < chosen->copy().size(); ++n) {
    if (chosen->copy().Has(n)) staging_->Add(n);
  }
}

uint64_t WeightStager::VersionAtEngine() const {
  bool loads = report_.loading || EventLoop::Now() - ordered_at_ < kOrderAgain;
  return loads ? std::max(served_version_, ordered_version_) : served_version_;
}

void WeightStager::TakePiece(uint64_t version, uint32_t n) {
  server_.Tell(version, n);
  if (staging_ != nullptr && staging_->copy().version() == version) {
    staging_->Add(n);
  }
}

void WeightStager::TakeComplete(uint64_t version) {
  Target& target = targets_[version];
  target.completed_age = AgeOf(target);
  PC_INFO(kWeights, "event=copy_complete version="
                        << version
                        << " named_age_ms=" << target.completed_age->count()
                        << " origin_bytes=" << transfer_counters_.origin_bytes
                        << " peer_bytes=" << transfer_counters_.peer_bytes);
}

void WeightStager::TakeReport(const EngineStatus& report) {
  report_ = report;
  reported_ = true;
  if (targets_.empty()) return;
  served_version_ = 0;
  for (const LoadedWeights& it : report.weights) {
    if (it.model == notice_->model && it.fully_loaded)
      served_version_ = it.version;
  }
  Advance();
  if (staging_ == nullptr) {
    staged_version_ = served_version_;
    return;
  }
  staging_->Continue();
  LoadIfDue();
}

// Precondition: something is chosen to lie at the engine.
ReloadState WeightStager::Situation() const {
  const WeightCopy& copy = staging_->copy();
  const Target& target = targets_.at(copy.version());
  ReloadState out;
  out.target_version = copy.version();
  out.served_version = served_version_;
  out.loading = report_.loading;
  out.idle = report_.running == 0 && report_.waiting == 0;
  out.copy_complete = copy.complete() && staging_->done();
  out.target_age = AgeOf(target);
  double bytes = static_cast<double>(notice_->chunks) * notice_->chunk_bytes;
  Milliseconds usual = TypicalCopyTime(bytes, settings_.link_bytes_per_second);
  out.copy_complete_age =
      target.completed_age.value_or(std::max(usual, out.target_age));
  out.version_bound = Milliseconds(notice_->version_bound_ms);
  out.reload_slot = ReloadSlot(*notice_, self_);
  return out;
}

std::optional<Milliseconds> WeightStager::LoadsIn() const {
  if (staging_ == nullptr || served_version_ == 0) return std::nullopt;
  ReloadState situation = Situation();
  bool planned = situation.served_version < situation.target_version &&
                 VersionAtEngine() < situation.target_version;
  if (!planned) return std::nullopt;
  return std::max(PlannedReloadAge(situation) - situation.target_age,
                  Milliseconds(0));
}

void WeightStager::LoadIfDue() {
  uint64_t version = staging_->copy().version();
  ReloadState situation = Situation();
  if (!ShouldReload(situation) || staging_->verifying() || order_under_way_) {
    return;
  }
  if (EventLoop::Now() - ordered_at_ < kOrderAgain) return;
  staging_->Verify([this, version] { Order(version); });
}

void WeightStager::Order(uint64_t version) {
  staged_version_ = version;
  order_under_way_ = true;
  ordered_at_ = EventLoop::Now();
  ++counters_.orders;
  auto done = [this, version](platform::OrderResult answer) {
    order_under_way_ = false;
    if (answer == platform::OrderResult::kUnknown) {
      settled_at_ = EventLoop::Now() + kOrderSettles;
    }
    if (answer == platform::OrderResult::kInProgress) {
      ordered_version_ = version;
      if (on_loading_) on_loading_();
    }
    PC_INFO(kRollout, "event=load_ordered version="
                          << version << " answer=" << static_cast<int>(answer)
                          << " running=" << report_.running);
  };
  engine_->OrderLoad(notice_->model, version, done);
}

void WeightStager::Refresh() {
  for (auto& [version, target] : targets_) {
    if (target.transfer != nullptr) target.transfer->Refresh();
  }
  server_.ForgetFinished();
}

const WeightCopy* WeightStager::CopyOf(uint64_t version) const {
  auto it = targets_.find(version);
  if (it == targets_.end() || it->second.transfer == nullptr) return nullptr;
  return &it->second.transfer->copy();
}

}  // namespace primrosecove
