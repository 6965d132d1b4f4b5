#include "Core/Fleet/deployment_watcher.h"

#include <algorithm>
#include <utility>

#include "Core/Common/log.h"

namespace primrosecove {
namespace {

// Upstreams register themselves about once a second each, so that a watch
// returns at once in a fleet of a few dozen; watches closer together than this
// would cost calls and bring nothing that is due sooner.
constexpr Milliseconds kWatchPeriod{400};
// An answer without changes proves that the configuration is still the newest;
// this many fit into the bound, so that a lost one does no harm.
constexpr int kProofsPerBound = 5;
constexpr Milliseconds kLongestWait{1000};
constexpr Milliseconds kShortestWait{100};
constexpr Milliseconds kFirstRetry{50};
constexpr Milliseconds kLongestRetry{400};

}  // namespace

DeploymentWatcher::DeploymentWatcher(EventLoop* loop, DeploymentSource* source,
                                     Milliseconds proof_bound, Events events)
    : loop_(loop),
      source_(source),
      events_(std::move(events)),
      watch_wait_(std::clamp(proof_bound / kProofsPerBound, kShortestWait,
                             kLongestWait)),
      watch_period_(std::min(kWatchPeriod, watch_wait_)) {}

void DeploymentWatcher::ReadPage(const std::string& page) {
  asked_at_ = BootNow();
  if (page.empty()) {
    snapshot_at_ = asked_at_;
    page_upstreams_.clear();
    revision_ = 0;
  }
  source_->ReadPage(
      page, [this](SourceResult answer) { TakePage(std::move(answer)); });
}

void DeploymentWatcher::TakePage(SourceResult answer) {
  if (answer.status != SourceStatus::kOk) {
    return Retry(answer.why, [this] { ReadPage(""); });
  }
  NoteReachable();
  // Pages are no snapshot: the watch goes on from the first page's revision, so
  // that changes between pages are seen.
  if (revision_ == 0) revision_ = answer.revision;
  for (const DeploymentChange& change : answer.changes) {
    if (const auto* it = std::get_if<UpstreamChange>(&change)) {
      page_upstreams_.insert(it->id);
    }
    Report(change);
  }
  if (!answer.next_page.empty()) return ReadPage(answer.next_page);
  EndSnapshot();
  Watch();
}

void DeploymentWatcher::EndSnapshot() {
  std::set<std::string> gone;
  std::set_difference(upstreams_.begin(), upstreams_.end(),
                      page_upstreams_.begin(), page_upstreams_.end(),
                      std::inserter(gone, gone.end()));
  for (const std::string& id : gone) Report(UpstreamChange{id, {}, ""});
  PC_INFO(kConfig, "event=deployment_read revision="
                       << revision_ << " upstreams=" << page_upstreams_.size());
  events_.on_synced(snapshot_at_, revision_);
}

void DeploymentWatcher::Watch() {
  asked_at_ = BootNow();
  call_begun_ = EventLoop::Now();
  source_->Watch(revision_, watch_wait_, [this](SourceResult answer) {
    TakeChanges(std::move(answer));
  });
}

void DeploymentWatcher::TakeChanges(SourceResult answer) {
  if (answer.status == SourceStatus::kRevisionCompacted) {
    PC_WARN(kConfig, "event=history_gone revision=" << revision_);
    NoteReachable();
    return ReadPage("");
  }
  if (answer.status != SourceStatus::kOk) {
    return Retry(answer.why, [this] { Watch(); });
  }
  NoteReachable();
  for (const DeploymentChange& change : answer.changes) Report(change);
  revision_ = std::max(revision_, answer.revision);
  events_.on_synced(asked_at_, revision_);
  auto passed =
      std::chrono::duration_cast<Milliseconds>(EventLoop::Now() - call_begun_);
  timer_ = loop_->After(std::max(watch_period_ - passed, Milliseconds(0)),
                        [this] { Watch(); });
}

void DeploymentWatcher::Report(const DeploymentChange& change) {
  if (const auto* it = std::get_if<UpstreamChange>(&change)) {
    if (it->record || !it->unusable_reason.empty()) {
      upstreams_.insert(it->id);
    } else {
      upstreams_.erase(it->id);
    }
  }
  events_.on_change(change);
}

void DeploymentWatcher::Retry(const std::string& why,
                              std::function<void()> again) {
  ++failures_;
  if (reachable_) {
    reachable_ = false;
    PC_WARN(kConfig, "event=store_lost revision=" << revision_ << " why=\""
                                                  << why << "\"");
    events_.on_reachable(false);
  }
  Milliseconds delay = std::min(kFirstRetry * failures_, kLongestRetry);
  timer_ = loop_->After(delay, std::move(again));
}

void DeploymentWatcher::NoteReachable() {
  failures_ = 0;
  if (reachable_) return;
  reachable_ = true;
  PC_INFO(kConfig, "event=store_regained revision=" << revision_);
  events_.on_reachable(true);
}

}  // namespace primrosecove
