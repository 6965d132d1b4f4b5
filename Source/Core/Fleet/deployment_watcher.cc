#include "Core/Fleet/deployment_watcher.h"

#include <algorithm>
#include <utility>

#include "Core/Common/digest.h"
#include "Core/Common/log.h"

namespace primrosecove {
namespace {

// Each upstream registers itself about once a second, so in a fleet of a few
// dozen a watch returns at once. Watches at a shorter interval cost calls
// without delivering anything that is needed sooner.
constexpr Milliseconds kWatchInterval{400};
// A watch that returns no changes confirms that the deployment is current; in a
// busy fleet the store's position does. This many confirmations fit into the
// maximum age, so that losing one does no harm.
constexpr int kConfirmationsPerMaxAge = 5;
constexpr Milliseconds kMaxWatchTimeout{1000};
// Leaves time for the read itself.
constexpr double kMaxUnconfirmedShare = 0.85;
// Shortest wait of a watch that is to confirm the deployment soon.
constexpr Milliseconds kMinConfirmingTimeout{20};
constexpr Milliseconds kMinWatchTimeout{100};
// A confirmation is logged if the one before is this many times as old as it
// should be.
constexpr int kLoggedAgeFactor = 2;
constexpr Milliseconds kInitialRetryDelay{50};
constexpr Milliseconds kMaxRetryDelay{400};
// After a restore of the store all processes read the whole deployment. They
// begin at random times within this one.
constexpr Milliseconds kRestoreReadSpread{200};

// Replaces a response that the store gave before it was restored: it confirms
// nothing.
SourceResult MakeLateResult() {
  SourceResult out;
  out.why = "response of an earlier era";
  return out;
}

std::set<std::string> Difference(const std::set<std::string>& from,
                                 const std::set<std::string>& removed) {
  std::set<std::string> out;
  std::set_difference(from.begin(), from.end(), removed.begin(), removed.end(),
                      std::inserter(out, out.end()));
  return out;
}

}  // namespace

DeploymentWatcher::DeploymentWatcher(EventLoop* loop, DeploymentSource* source,
                                     Milliseconds max_config_age, Events events)
    : loop_(loop),
      source_(source),
      events_(std::move(events)),
      random_(RandomU64()) {
  SetMaxConfigAge(max_config_age);
}

void DeploymentWatcher::SetMaxConfigAge(Milliseconds max_config_age) {
  watch_timeout_ = std::clamp(max_config_age / kConfirmationsPerMaxAge,
                              kMinWatchTimeout, kMaxWatchTimeout);
  watch_interval_ = std::min(kWatchInterval, watch_timeout_);
  confirmation_limit_ = watch_timeout_ + watch_interval_;
}

void DeploymentWatcher::SetUnrestrictedAge(Milliseconds unrestricted_age) {
  confirmation_limit_ = std::chrono::duration_cast<Milliseconds>(
      unrestricted_age * kMaxUnconfirmedShare);
}

DeploymentWatcher::EraOrder DeploymentWatcher::RecordEra(
    const SourceResult& result) {
  const std::optional<uint64_t>& era = result.position.era;
  if (!era || era == era_) return EraOrder::kSame;
  if (era < era_) {
    PC_WARN(kConfig,
            "event=store_response_late era=" << *era << " current=" << *era_);
    return EraOrder::kEarlier;
  }
  bool has_read = snapshot_position_.has_value();
  std::optional<uint64_t> before = std::exchange(era_, era);
  if (!has_read) return EraOrder::kSame;
  ++restores_;
  PC_WARN(kConfig, "event=store_restored era="
                       << *era << " before=" << (before ? *before : 0)
                       << " revision=" << result.position.revision
                       << " read_up_to=" << position_.revision);
  events_.on_restored();
  return EraOrder::kNew;
}

void DeploymentWatcher::ReadAgain(const SourceResult& result) {
  bool has_failed = result.status == SourceStatus::kUnavailable ||
                    result.status == SourceStatus::kUnreadable;
  if (has_failed) return ScheduleRetry(result.why, [this] { ReadPage(""); });
  MarkReachable();
  Milliseconds delay(random_() % kRestoreReadSpread.count());
  timer_ = loop_->After(delay, [this] { ReadPage(""); });
}

void DeploymentWatcher::ReadPage(const std::string& page) {
  newest_.reset();
  requested_at_ = BootNow();
  if (page.empty()) {
    snapshot_requested_at_ = requested_at_;
    snapshot_upstreams_.clear();
    snapshot_evacuations_.clear();
  }
  bool is_first = page.empty();
  source_->ReadPage(page, [this, is_first](SourceResult result) {
    OnPage(is_first, std::move(result));
  });
}

void DeploymentWatcher::OnPage(bool is_first, SourceResult result) {
  EraOrder order = RecordEra(result);
  if (order == EraOrder::kEarlier) result = MakeLateResult();
  // Pages of two eras make no snapshot.
  if (order == EraOrder::kNew && !is_first) return ReadAgain(result);
  if (result.status != SourceStatus::kOk) {
    return ScheduleRetry(result.why, [this] { ReadPage(""); });
  }
  MarkReachable();
  // Pages are not read atomically. The watch starts at the revision of the
  // first page, so that changes between pages are delivered.
  if (is_first) snapshot_position_ = {era_, result.position.revision};
  for (const DeploymentChange& change : result.changes) {
    if (const auto* it = std::get_if<UpstreamChange>(&change)) {
      snapshot_upstreams_.insert(it->id);
    } else if (const auto* it = std::get_if<ZoneEvacuation>(&change)) {
      snapshot_evacuations_.insert(it->zone);
    }
    Publish(change);
  }
  if (!result.next_page.empty()) return ReadPage(result.next_page);
  CompleteSnapshot();
  Watch();
}

void DeploymentWatcher::CompleteSnapshot() {
  for (const std::string& id :
       Difference(known_upstreams_, snapshot_upstreams_))
    Publish(UpstreamChange{id, {}, ""});
  for (const std::string& zone :
       Difference(known_evacuations_, snapshot_evacuations_)) {
    Publish(ZoneEvacuation{zone, false, true});
  }
  position_ = *snapshot_position_;
  PC_INFO(kConfig, "event=deployment_read revision="
                       << position_.revision
                       << " era=" << position_.era.value_or(0)
                       << " upstreams=" << snapshot_upstreams_.size());
  Confirm(snapshot_requested_at_, "snapshot");
  events_.on_synced(position_);
}

void DeploymentWatcher::Confirm(BootTime confirmed_at, const char* proof) {
  // Confirmations that come in time are too frequent to be logged.
  BootTime now = BootNow();
  if (now - confirmed_at_ > kLoggedAgeFactor * confirmation_limit_) {
    auto ms = [now](BootTime at) {
      return std::chrono::duration_cast<Milliseconds>(now - at).count();
    };
    PC_INFO(kConfig,
            "event=deployment_confirmed proof="
                << proof << " revision=" << position_.revision
                << " age_ms=" << ms(confirmed_at) << " before_ms="
                << (confirmed_at_ == BootTime(0) ? -1 : ms(confirmed_at_)));
  }
  confirmed_at_ = std::max(confirmed_at_, confirmed_at);
  events_.on_confirmed(confirmed_at);
}

void DeploymentWatcher::Watch() {
  requested_at_ = BootNow();
  watch_started_ = EventLoop::Now();
  Milliseconds timeout = watch_timeout_;
  // Without changes, the watch confirms the deployment only when it ends.
  if (!was_empty_) {
    auto left = std::chrono::duration_cast<Milliseconds>(
        confirmation_limit_ - (requested_at_ - confirmed_at_));
    timeout = std::clamp(left, kMinConfirmingTimeout, watch_timeout_);
  }
  source_->Watch(position_, timeout,
                 [this](SourceResult result) { OnChanges(std::move(result)); });
}

void DeploymentWatcher::OnChanges(SourceResult result) {
  EraOrder order = RecordEra(result);
  // Changes after the position of another era are not those that were missed.
  if (order == EraOrder::kNew) return ReadAgain(result);
  if (order == EraOrder::kEarlier) result = MakeLateResult();
  if (result.status == SourceStatus::kRevisionCompacted) {
    PC_WARN(kConfig, "event=history_gone revision=" << position_.revision);
    MarkReachable();
    return ReadPage("");
  }
  if (result.status == SourceStatus::kUnreadable) {
    // The same changes would be unreadable again, but a later state may not be.
    return ScheduleRetry(result.why, [this] { ReadPage(""); });
  }
  if (result.status != SourceStatus::kOk) {
    return ScheduleRetry(result.why, [this] { Watch(); });
  }
  MarkReachable();
  for (const DeploymentChange& change : result.changes) Publish(change);
  position_ = std::max(position_, {era_, result.position.revision});
  was_empty_ = result.is_empty;
  // A result with changes may end anywhere in a backlog.
  if (result.is_empty) {
    newest_.reset();
    Confirm(requested_at_, "empty_watch");
  } else if (newest_ && position_ >= newest_->position) {
    PC_INFO(kConfig, "event=backlog_read revision=" << position_.revision);
    Confirm(std::exchange(newest_, std::nullopt)->at, "backlog_read");
  }
  events_.on_synced(position_);
  Continue();
}

void DeploymentWatcher::Continue() {
  if (newest_) return Watch();
  // A later read would follow the next watch.
  if (BootNow() - confirmed_at_ + watch_interval_ >= confirmation_limit_)
    return ReadNewestPosition();
  auto elapsed = std::chrono::duration_cast<Milliseconds>(EventLoop::Now() -
                                                          watch_started_);
  timer_ = loop_->After(std::max(watch_interval_ - elapsed, Milliseconds(0)),
                        [this] { Watch(); });
}

void DeploymentWatcher::ReadNewestPosition() {
  requested_at_ = BootNow();
  source_->ReadNewestPosition(
      [this](SourceResult result) { OnNewestPosition(std::move(result)); });
}

void DeploymentWatcher::OnNewestPosition(SourceResult result) {
  EraOrder order = RecordEra(result);
  if (order == EraOrder::kNew) return ReadAgain(result);
  if (order == EraOrder::kEarlier) result = MakeLateResult();
  if (result.status != SourceStatus::kOk) {
    return ScheduleRetry(result.why, [this] { Watch(); });
  }
  StorePosition newest{era_, result.position.revision};
  if (newest == position_) {
    Confirm(requested_at_, "position");
    return Continue();
  }
  // A position before the one that was read confirms nothing; the next watch
  // shows what has become of the changes in between.
  if (newest > position_) {
    ++backlogs_;
    PC_INFO(kConfig,
            "event=backlog revision=" << position_.revision
                                      << " newest=" << newest.revision);
    newest_ = {newest, requested_at_};
  }
  Watch();
}

void DeploymentWatcher::Publish(const DeploymentChange& change) {
  if (const auto* it = std::get_if<UpstreamChange>(&change)) {
    if (it->record || !it->unusable_reason.empty()) {
      known_upstreams_.insert(it->id);
    } else {
      known_upstreams_.erase(it->id);
    }
  } else if (const auto* it = std::get_if<ZoneEvacuation>(&change)) {
    if (it->evacuated) {
      known_evacuations_.insert(it->zone);
    } else {
      known_evacuations_.erase(it->zone);
    }
  }
  events_.on_change(change);
}

void DeploymentWatcher::ScheduleRetry(const std::string& why,
                                      std::function<void()> operation) {
  ++failures_;
  if (reachable_) {
    reachable_ = false;
    PC_WARN(kConfig, "event=store_lost revision=" << position_.revision
                                                  << " why=\"" << why << "\"");
    events_.on_reachable(false);
  }
  Milliseconds delay = std::min(kInitialRetryDelay * failures_, kMaxRetryDelay);
  timer_ = loop_->After(delay, std::move(operation));
}

void DeploymentWatcher::MarkReachable() {
  failures_ = 0;
  if (reachable_) return;
  reachable_ = true;
  PC_INFO(kConfig, "event=store_regained revision=" << position_.revision);
  events_.on_reachable(true);
}

}  // namespace primrosecove
