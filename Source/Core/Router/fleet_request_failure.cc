// Attempts of a FleetRequest that fail, fall silent, or end without a response:
// retries on other upstreams, and what is recorded about the lost ones.
#include <algorithm>
#include <string>
#include <utility>

#include "Core/Common/log.h"
#include "Core/Router/fleet_request.h"

namespace primrosecove {
namespace {

// A sound upstream may be silent for a second or two. A second attempt beside
// the first costs another execution, so it starts after kMinSilence only at an
// upstream with half of its slots free, and elsewhere after kLongSilence.
constexpr Milliseconds kMinSilence{900};
constexpr Milliseconds kLongSilence{2200};
// Share of a service's engines above which a silence is not the upstream's own:
// moving its requests would only load the others.
constexpr double kMaxSilentShare = 0.25;
// Silence after which an upstream that refuses connections is considered gone.
constexpr Milliseconds kUnreachableSilenceTimeout{350};
// Time without data after which a request with no first event is cancelled at a
// silent engine if no retry is possible.
constexpr Milliseconds kUnstartedRequestTimeout{2600};
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

bool FleetRequest::MayHaveExecuted() const {
  return execution_state_ == ExecutionState::kMayHaveExecuted ||
         !in_flight_.empty();
}

void FleetRequest::OnAttemptFailure(FleetAttempt* attempt, const char* why) {
  PC_INFO(kRouter, "event=attempt_failed id="
                       << fields_.request_id
                       << " upstream=" << attempt->upstream_id
                       << " events=" << event_count_ << " why=\"" << why << "\""
                       << " other_attempts=" << in_flight_.size() - 1);
  RecordConnectionLoss(attempt);
  RemoveAttempt(*attempt, UpstreamVerdict::kFailed);
  execution_state_ = ExecutionState::kMayHaveExecuted;
  ContinueOrFail(why);
}

void FleetRequest::OnUnusableResponse(FleetAttempt* attempt, const char* why) {
  PC_INFO(kRouter, "event=response_unusable id="
                       << fields_.request_id
                       << " upstream=" << attempt->upstream_id
                       << " events=" << event_count_ << " why=\"" << why << "\""
                       << " other_attempts=" << in_flight_.size() - 1);
  RemoveAttempt(*attempt, UpstreamVerdict::kFailed);
  execution_state_ = ExecutionState::kMayHaveExecuted;
  ContinueOrFail(why);
}

void FleetRequest::RecordConnectionLoss(FleetAttempt* attempt) {
  if (std::exchange(attempt->is_loss_recorded, true)) return;
  MonotonicTime now = state_->Now();
  auto responding_time = attempt->RespondingTime();
  if (!responding_time) ++state_->counters.losses_before_response;
  PC_INFO(kRouter, "event=attempt_lost id="
                       << fields_.request_id << " request=" << Fingerprint()
                       << " upstream=" << attempt->upstream_id
                       << " sent_ago_ms=" << (now - attempt->sent_at).count()
                       << " responding_ms="
                       << (responding_time ? responding_time->count() : -1)
                       << " parts=" << PromptPartsForLog());
  state_->crash_correlator.OnConnectionLost(
      {Fingerprint(), attempt->upstream_id, attempt->sent_as_suspect,
       attempt->sent_at, prompt_part_fingerprints_, responding_time},
      now);
  is_suspect_ =
      is_suspect_ || state_->crash_correlator.Classify(Fingerprint(), now) !=
                         SuspectVerdict::kClear;
}

// An attempt that this router ends counts as lost if its upstream has crashed.
// The upstream's silence on all connections distinguishes this from an attempt
// that was merely slow.
void FleetRequest::RecordLossIfSilent(FleetAttempt* attempt) {
  const FleetUpstream* upstream = state_->registry.Find(attempt->upstream_id);
  MonotonicTime last_sign =
      upstream == nullptr ? attempt->last_data_at
                          : std::max(upstream->last_progress, attempt->sent_at);
  if (state_->Now() - last_sign > kUnreachableSilenceTimeout)
    RecordConnectionLoss(attempt);
}

std::optional<Placement> FleetRequest::TryPlaceRetry(RetryUrgency urgency) {
  if (attempts_ >= route_->max_attempts ||
      failed_connections_ >= kMaxFailedConnections) {
    return std::nullopt;
  }
  if (MayHaveExecuted() && !route_->IsRetryable()) return std::nullopt;
  if (TimeLeft() <= Milliseconds(0) || !FitsBeforeStop() || IsBlocked())
    return std::nullopt;
  MonotonicTime now = state_->Now();
  Placement placement = ChoosePlacement(now);
  if (placement.upstream == nullptr) return std::nullopt;
  if (urgency == RetryUrgency::kIfHalfIdle &&
      (!placement.upstream->IsHalfIdle(now) ||
       state_->registry.SilentShare(service_->name) > kMaxSilentShare)) {
    return std::nullopt;
  }
  // The budget is charged only if an upstream is available.
  if (!state_->RetryBudgetFor(service_->name).TryRetry(now))
    return std::nullopt;
  ++state_->counters.retries;
  if (event_count_ > 0) ++state_->counters.resumed_streams;
  return placement;
}

void FleetRequest::ContinueOrFail(const char* why) {
  if (!in_flight_.empty()) return;
  if (auto placement = TryPlaceRetry(RetryUrgency::kUrgent))
    return StartAttempt(*placement);
  GiveUp(why, kRetryElsewhereDelay);
}

void FleetRequest::ReleaseSuspect(FleetAttempt* attempt) {
  if (!std::exchange(attempt->counted_as_suspect, false)) return;
  state_->crash_correlator.RemoveActiveSuspect(attempt->upstream_id);
}

void FleetRequest::RemoveAttempt(const FleetAttempt& attempt,
                                 UpstreamVerdict verdict) {
  auto it = std::find_if(
      in_flight_.begin(), in_flight_.end(),
      [&attempt](const auto& other) { return other.get() == &attempt; });
  if (it == in_flight_.end()) return;
  std::shared_ptr<FleetAttempt> removed = std::move(*it);
  in_flight_.erase(it);
  removed->call.reset();
  ReleaseSuspect(removed.get());
  UpstreamRegistry& registry = state_->registry;
  MonotonicTime now = state_->Now();
  switch (verdict) {
    case UpstreamVerdict::kSound:
      return registry.OnEnded(removed->upstream_id, true, now);
    case UpstreamVerdict::kFailed:
      return registry.OnEnded(removed->upstream_id, false, now);
    case UpstreamVerdict::kSilent:
      return registry.OnEndedSilent(removed->upstream_id, now);
    case UpstreamVerdict::kRefused:
      return registry.OnRefused(removed->upstream_id, now);
    case UpstreamVerdict::kMisdirected:
      return registry.OnMisdirected(removed->upstream_id, now);
    case UpstreamVerdict::kUnknown:
      return registry.OnCancelled(removed->upstream_id);
  }
}

void FleetRequest::KeepOnly(const FleetAttempt& attempt) {
  last_upstream_ = attempt.upstream_id;
  if (in_flight_.size() < 2) return;
  auto others = in_flight_;
  for (const auto& it : others) {
    if (it.get() == &attempt) continue;
    const FleetUpstream* upstream = state_->registry.Find(it->upstream_id);
    bool is_silent = upstream == nullptr || upstream->silent_since.has_value();
    PC_INFO(kRouter, "event=attempt_superseded id="
                         << fields_.request_id << " upstream="
                         << it->upstream_id << " by=" << attempt.upstream_id
                         << " quiet_ms=" << it->QuietTime(state_->Now()).count()
                         << " upstream_silent=" << is_silent);
    RecordLossIfSilent(it.get());
    RemoveAttempt(
        *it, is_silent ? UpstreamVerdict::kSilent : UpstreamVerdict::kUnknown);
    execution_state_ = ExecutionState::kMayHaveExecuted;
  }
}

std::optional<FleetRequest::RetryReason> FleetRequest::FindRetryReason(
    const FleetAttempt& attempt, MonotonicTime now) const {
  const FleetUpstream* upstream = state_->registry.Find(attempt.upstream_id);
  if (upstream == nullptr) {
    // An upstream that is no longer registered still completes its requests.
    if (attempt.QuietTime(now) <= kUnregisteredSilenceTimeout)
      return std::nullopt;
    return RetryReason{"upstream is unregistered and silent",
                       RetryUrgency::kUrgent};
  }
  Milliseconds quiet = now - std::max(upstream->last_progress, attempt.sent_at);
  bool has_status = upstream->status && now - upstream->status_received_at <
                                            UpstreamRegistry::kStatusLifetime;
  // A draining upstream accepts no new connections, not even its agent's, but
  // still completes its requests.
  if (has_status && !upstream->status->reachable) {
    if (quiet <= kUnreachableSilenceTimeout) return std::nullopt;
    return RetryReason{"upstream is unreachable and silent",
                       RetryUrgency::kUrgent};
  }
  if (IsQueuedAtReloadingEngine(attempt, *upstream, now))
    return RetryReason{"engine is loading weights", RetryUrgency::kUrgent};
  if (service_->engine) {
    if (quiet > kLongSilence)
      return RetryReason{"upstream is silent for long", RetryUrgency::kUrgent};
    if (quiet > kMinSilence)
      return RetryReason{"upstream is silent", RetryUrgency::kIfHalfIdle};
    return std::nullopt;
  }
  if (route_->kind != RequestKind::kIdempotent) return std::nullopt;
  auto mean = static_cast<double>(MeanServiceTime().count());
  auto overdue_time =
      std::max(kMinOverdueTime,
               Milliseconds(static_cast<int64_t>(kOverdueFactor * mean)));
  if (attempt.Age(now) <= overdue_time) return std::nullopt;
  return RetryReason{"response is overdue", RetryUrgency::kUrgent};
}

void FleetRequest::CheckUpstream(MonotonicTime now) {
  if (ended_ || in_flight_.empty()) return;
  auto attempts = in_flight_;
  for (const auto& it : attempts) {
    if (!is_sound_ &&
        it->RespondingTime() >= PromptPartScreen::kSoundExecutionTime) {
      RecordSoundExecution(*it);
    }
    if (IsQueuedOnExpiringWeights(*it, now)) {
      AbandonAttempt(it.get(), "weights too old to start on");
      if (ended_) return;
    }
  }
  if (in_flight_.size() != 1 || !route_->IsRetryable() ||
      attempts_ >= route_->max_attempts) {
    return;
  }
  std::shared_ptr<FleetAttempt> attempt = in_flight_.front();
  auto reason = FindRetryReason(*attempt, now);
  if (!reason) return;
  if (auto placement = TryPlaceRetry(reason->urgency))
    return StartSecondAttempt(*attempt, *reason, *placement, now);
  // The caller can still try another router. A stopped engine would execute
  // the request after that caller has left.
  bool is_stuck = route_->kind == RequestKind::kStream && service_->engine &&
                  event_count_ == 0 && !exchange_->started() &&
                  attempt->QuietTime(now) > kUnstartedRequestTimeout;
  if (is_stuck) AbandonAttempt(attempt.get(), reason->why);
}

// The first attempt goes on, because the second one may be refused, and a
// silent upstream may continue at any time.
void FleetRequest::StartSecondAttempt(const FleetAttempt& first,
                                      const RetryReason& reason,
                                      const Placement& placement,
                                      MonotonicTime now) {
  PC_INFO(kRouter,
          "event=second_attempt id="
              << fields_.request_id << " upstream=" << first.upstream_id
              << " second=" << placement.upstream->record.id << " events="
              << event_count_ << " quiet_ms=" << first.QuietTime(now).count()
              << " why=\"" << reason.why << "\"");
  ++state_->counters.second_attempts;
  StartAttempt(placement);
}

void FleetRequest::ExcuseSilence(Milliseconds time) {
  for (const auto& it : in_flight_) {
    it->own_stall += time;
    it->own_stall_since_data += time;
  }
}

void FleetRequest::OnUpstreamCrash(const std::string& upstream_id) {
  for (const auto& it : in_flight_) {
    if (it->upstream_id == upstream_id) RecordLossIfSilent(it.get());
  }
}

// An engine that reloads weights starts no request until its running requests
// have ended and the weights are loaded, which takes seconds. A request that
// was sent just before the load order waits for both.
bool FleetRequest::IsQueuedAtReloadingEngine(const FleetAttempt& attempt,
                                             const FleetUpstream& upstream,
                                             MonotonicTime now) const {
  return event_count_ == 0 && upstream.status && upstream.status->loading &&
         now - upstream.status_received_at <
             UpstreamRegistry::kStatusLifetime &&
         attempt.Age(now) > kMaxImmediateStartTime;
}

// Whether the request is still queued at an engine whose weights are about to
// be too old to start on.
bool FleetRequest::IsQueuedOnExpiringWeights(const FleetAttempt& attempt,
                                             MonotonicTime now) const {
  if (attempt.weights_version == 0 || event_count_ > 0) return false;
  return attempt.weights_version <
         state_->minimum_versions.MinimumToStart(fields_.model, now);
}

void FleetRequest::AbandonAttempt(FleetAttempt* attempt, const char* why) {
  PC_INFO(kRouter, "event=attempt_abandoned id="
                       << fields_.request_id << " upstream="
                       << attempt->upstream_id << " events=0 quiet_ms="
                       << attempt->QuietTime(state_->Now()).count() << " why=\""
                       << why << "\"");
  RecordLossIfSilent(attempt);
  RemoveAttempt(*attempt, UpstreamVerdict::kUnknown);
  execution_state_ = ExecutionState::kMayHaveExecuted;
  ContinueOrFail(why);
}

void FleetRequest::CancelAttempts(UpstreamVerdict verdict) {
  auto attempts = in_flight_;
  for (const auto& it : attempts) {
    RecordLossIfSilent(it.get());
    RemoveAttempt(*it, verdict);
    execution_state_ = ExecutionState::kMayHaveExecuted;
  }
}

void FleetRequest::HandleTimeout() {
  if (ended_) return;
  CancelAttempts(service_->engine ? UpstreamVerdict::kUnknown
                                  : UpstreamVerdict::kFailed);
  bool by_stop = state_->responses_due_at == deadline_;
  const char* why =
      by_stop ? "router is stopping" : "request deadline exceeded";
  if (!exchange_->started() &&
      execution_state_ == ExecutionState::kMayHaveExecuted) {
    return Fail(504, "Gateway Timeout", why);
  }
  GiveUp(why, kRetryElsewhereDelay);
}

void FleetRequest::HandleDisconnect() {
  if (ended_) return;
  ++state_->counters.caller_disconnects;
  CancelAttempts(UpstreamVerdict::kUnknown);
  Finish("caller_gone", 0, "");
}

}  // namespace primrosecove
