// Attempts of a FleetRequest that fail, or end without a response: retries on
// other upstreams, and what is recorded about the lost ones.
#include <algorithm>
#include <span>
#include <string>
#include <utility>

#include "Core/Common/log.h"
#include "Core/Router/fleet_request.h"

namespace primrosecove {
namespace {

// An engine with running requests sends events several times a second, so one
// that sends nothing on any connection for this long has stopped.
constexpr Milliseconds kSilenceTimeout{900};
// Silence after which an upstream that its agent can't reach either is
// considered gone.
constexpr Milliseconds kUnreachableSilenceTimeout{350};
// Time without data after which a request with no first event is cancelled at a
// silent engine if no retry is possible.
constexpr Milliseconds kUnstartedRequestTimeout{1600};
// An engine that starts a request immediately sends its first event within this
// time.
constexpr Milliseconds kMaxImmediateStartTime{350};
// An unregistered upstream has no status, so only the silence of the request's
// own connection counts.
constexpr Milliseconds kUnregisteredSilenceTimeout{2000};
// An idempotent request is retried after this multiple of its service's mean
// time, but not before kMinOverdueTime.
constexpr double kOverdueFactor = 4;
constexpr Milliseconds kMinOverdueTime{220};

}  // namespace

void FleetRequest::OnAttemptFailure(const char* why) {
  PC_INFO(kRouter, "event=attempt_failed id=" << fields_.request_id
                                              << " upstream=" << upstream_id_
                                              << " events=" << event_count_
                                              << " why=\"" << why << "\"");
  RecordConnectionLoss();
  ReleaseUpstream(false);
  execution_state_ = ExecutionState::kMayHaveExecuted;
  RetryOrFail(why);
}

std::optional<Milliseconds> FleetRequest::RespondingTime() const {
  if (!response_began_at_) return std::nullopt;
  return std::max(last_data_at_ - *response_began_at_, Milliseconds(0));
}

void FleetRequest::RecordConnectionLoss() {
  MonotonicTime now = state_->Now();
  auto responding_time = RespondingTime();
  if (!responding_time) ++state_->counters.losses_before_response;
  PC_INFO(kRouter, "event=attempt_lost id="
                       << fields_.request_id << " request=" << Fingerprint()
                       << " upstream=" << upstream_id_ << " sent_ago_ms="
                       << (now - sent_at_).count() << " responding_ms="
                       << (responding_time ? responding_time->count() : -1)
                       << " parts=" << PromptPartsForLog());
  state_->crash_correlator.OnConnectionLost(
      {Fingerprint(), upstream_id_, sent_as_suspect_, sent_at_,
       prompt_part_fingerprints_, responding_time},
      now);
  is_suspect_ =
      is_suspect_ || state_->crash_correlator.Classify(Fingerprint(), now) !=
                         SuspectVerdict::kClear;
}

// An attempt that this router ends counts as lost if its upstream has crashed.
// The upstream's silence on all connections distinguishes this from an attempt
// that was merely slow.
void FleetRequest::RecordLossIfSilent() {
  if (call_ == nullptr) return;
  const FleetUpstream* upstream = state_->registry.Find(upstream_id_);
  MonotonicTime last_sign = upstream == nullptr
                                ? last_data_at_
                                : std::max(upstream->last_progress, sent_at_);
  if (state_->Now() - last_sign > kUnreachableSilenceTimeout)
    RecordConnectionLoss();
}

std::optional<Placement> FleetRequest::TryPlaceRetry() {
  if (attempts_ >= route_->max_attempts) return std::nullopt;
  if (execution_state_ == ExecutionState::kMayHaveExecuted &&
      !route_->IsRetryable())
    return std::nullopt;
  if (TimeLeft() <= Milliseconds(0) || IsBlocked()) return std::nullopt;
  // The budget is charged only if an upstream is available.
  Placement placement = ChoosePlacement(state_->Now());
  if (placement.upstream == nullptr) return std::nullopt;
  if (!state_->RetryBudgetFor(service_->name).TryRetry(state_->Now())) {
    return std::nullopt;
  }
  ++state_->counters.retries;
  if (event_count_ > 0) ++state_->counters.resumed_streams;
  return placement;
}

void FleetRequest::RetryOrFail(const char* why) {
  if (auto placement = TryPlaceRetry()) return StartAttempt(*placement);
  GiveUp(why, kRetryElsewhereDelay);
}

void FleetRequest::ReleaseSuspect() {
  if (!std::exchange(counted_as_suspect_, false)) return;
  state_->crash_correlator.RemoveActiveSuspect(upstream_id_);
}

void FleetRequest::ReleaseUpstream(bool ok) {
  if (upstream_id_.empty()) return;
  ReleaseSuspect();
  state_->registry.OnEnded(upstream_id_, ok, state_->Now());
  upstream_id_.clear();
}

void FleetRequest::CheckUpstream(MonotonicTime now) {
  if (ended_ || call_ == nullptr) return;
  if (!is_sound_ && RespondingTime() >= PromptPartScreen::kSoundExecutionTime) {
    RecordSoundExecution();
  }
  if (IsQueuedOnExpiringWeights(now))
    return CancelAttempt("weights too old to start on");
  if (!route_->IsRetryable() || attempts_ >= route_->max_attempts) return;
  const FleetUpstream* upstream = state_->registry.Find(upstream_id_);
  bool lost = false;
  const char* why = "upstream is silent";
  if (upstream == nullptr) {
    // An upstream that is no longer registered still completes its requests.
    lost = now - last_data_at_ > kUnregisteredSilenceTimeout;
  } else if (upstream->status && !upstream->status->reachable &&
             now - upstream->status_received_at <
                 UpstreamRegistry::kStatusLifetime) {
    // A draining upstream accepts no new connections, not even its agent's, but
    // still completes its requests. Silence alone shows that it is gone.
    lost = now - std::max(upstream->last_progress, sent_at_) >
           kUnreachableSilenceTimeout;
    why = "upstream is unreachable and silent";
  } else if (IsQueuedAtReloadingEngine(*upstream, now)) {
    lost = true;
    why = "engine is loading weights";
  } else if (service_->engine) {
    lost = now - std::max(upstream->last_progress, sent_at_) > kSilenceTimeout;
  } else if (route_->kind == RequestKind::kIdempotent) {
    Milliseconds mean = MeanServiceTime();
    auto overdue_time =
        std::max(kMinOverdueTime,
                 Milliseconds(static_cast<int64_t>(
                     kOverdueFactor * static_cast<double>(mean.count()))));
    lost = now - sent_at_ > overdue_time;
    why = "response is overdue";
  }
  if (!lost) return;
  ExecutionState previous =
      std::exchange(execution_state_, ExecutionState::kMayHaveExecuted);
  auto placement = TryPlaceRetry();
  if (!placement) {
    execution_state_ = previous;
    // The caller can still try another router. A stopped engine would execute
    // the request after that caller has left.
    bool should_cancel = service_->engine && event_count_ == 0 &&
                         !exchange_->started() &&
                         now - last_data_at_ > kUnstartedRequestTimeout;
    if (should_cancel) CancelAttempt(why);
    return;
  }
  PC_INFO(kRouter, "event=attempt_abandoned id="
                       << fields_.request_id << " upstream=" << upstream_id_
                       << " events=" << event_count_
                       << " quiet_ms=" << (now - last_data_at_).count()
                       << " why=\"" << why << "\"");
  call_.reset();
  RecordConnectionLoss();
  ReleaseUpstream(false);
  StartAttempt(*placement);
}

// An engine that reloads weights starts no request until its running requests
// have ended and the weights are loaded, which takes seconds. A request that
// was sent just before the load order waits for both.
bool FleetRequest::IsQueuedAtReloadingEngine(const FleetUpstream& upstream,
                                             MonotonicTime now) const {
  return event_count_ == 0 && upstream.status && upstream.status->loading &&
         now - upstream.status_received_at <
             UpstreamRegistry::kStatusLifetime &&
         now - sent_at_ > kMaxImmediateStartTime;
}

// Whether the request is still queued at an engine whose weights are about to
// be too old to start on.
bool FleetRequest::IsQueuedOnExpiringWeights(MonotonicTime now) const {
  if (attempt_weights_version_ == 0 || event_count_ > 0) return false;
  return attempt_weights_version_ <
         state_->minimum_versions.MinimumToStart(fields_.model, now);
}

void FleetRequest::CancelAttempt(const char* why) {
  PC_INFO(kRouter, "event=attempt_abandoned id="
                       << fields_.request_id << " upstream=" << upstream_id_
                       << " events=0 why=\"" << why << "\"");
  RecordLossIfSilent();
  call_.reset();
  ReleaseUpstream(true);
  execution_state_ = ExecutionState::kMayHaveExecuted;
  RetryOrFail(why);
}

void FleetRequest::HandleTimeout() {
  if (ended_) return;
  if (call_ != nullptr) execution_state_ = ExecutionState::kMayHaveExecuted;
  RecordLossIfSilent();
  call_.reset();
  ReleaseUpstream(service_->engine.has_value());
  if (!exchange_->started() &&
      execution_state_ == ExecutionState::kMayHaveExecuted) {
    return Fail(504, "Gateway Timeout", "request deadline exceeded");
  }
  GiveUp("request deadline exceeded", kRetryElsewhereDelay);
}

void FleetRequest::HandleDisconnect() {
  if (ended_) return;
  ++state_->counters.caller_disconnects;
  RecordLossIfSilent();
  call_.reset();
  ReleaseUpstream(true);
  Finish("caller_gone", 0, "");
}

}  // namespace primrosecove
