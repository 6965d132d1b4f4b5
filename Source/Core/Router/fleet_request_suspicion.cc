// Whether a FleetRequest, or a part of its prompt, is suspected of crashing
// upstreams, and what its attempts show about that.
#include <algorithm>
#include <string>

#include "Core/Common/log.h"
#include "Core/Fleet/retry_after.h"
#include "Core/Router/fleet_request.h"

namespace primrosecove {

uint64_t FleetRequest::Fingerprint() {
  if (!fingerprint_) {
    const HttpRequest& request = exchange_->request();
    fingerprint_ = RequestFingerprint(workspace_, request.target, request.body);
  }
  return *fingerprint_;
}

bool FleetRequest::CheckSuspect() {
  if (!state_->crash_correlator.HasObservations()) return true;
  switch (state_->crash_correlator.Classify(Fingerprint(), arrived_at_)) {
    case SuspectVerdict::kClear:
      return true;
    case SuspectVerdict::kSuspect:
      is_suspect_ = true;
      return true;
    case SuspectVerdict::kBlocked:
      break;
  }
  ++state_->counters.suspects_refused;
  PC_INFO(kRouter,
          "event=suspect_refused id="
              << fields_.request_id << " request=" << Fingerprint()
              << " observations=" << state_->crash_correlator.table().size());
  Refuse("an identical request has crashed upstreams",
         state_->crash_correlator.BlockedTimeLeft(Fingerprint(), arrived_at_));
  return false;
}

std::string FleetRequest::PromptPartsForLog() const {
  constexpr size_t kMaxLoggedParts = 4;
  constexpr size_t kMaxLoggedIdBytes = 20;
  std::string out;
  size_t n = std::min(fields_.prompt_parts.size(), kMaxLoggedParts);
  for (size_t i = 0; i < n; ++i) {
    if (i > 0) out += ',';
    out += fields_.prompt_parts[i].substr(0, kMaxLoggedIdBytes);
  }
  return out.empty() ? "-" : out;
}

bool FleetRequest::CheckPromptParts() {
  if (!state_->crash_correlator.HasObservations()) return true;
  PromptPartDecision decision = state_->crash_correlator.CheckPromptParts(
      prompt_part_fingerprints_, arrived_at_);
  switch (decision.action) {
    case PromptPartAction::kRun:
      return true;
    case PromptPartAction::kRunAsSuspect:
      is_suspect_ = true;
      return true;
    case PromptPartAction::kTest:
      is_suspect_ = true;
      tested_prompt_part_ = decision.part;
      state_->crash_correlator.prompt_part_screen().BeginTest(decision.part);
      ++state_->counters.prompt_part_tests;
      PC_INFO(kRouter, "event=prompt_part_tested id="
                           << fields_.request_id << " part=" << decision.part
                           << " crashes=" << decision.crashes
                           << " parts=" << PromptPartsForLog());
      return true;
    case PromptPartAction::kRefuse:
      break;
  }
  ++state_->counters.prompt_parts_refused;
  PC_INFO(kRouter, "event=prompt_part_refused id="
                       << fields_.request_id << " part=" << decision.part
                       << " crashes=" << decision.crashes
                       << " retry_after_ms=" << decision.retry_after.count()
                       << " parts=" << PromptPartsForLog());
  Refuse("a part of the prompt has crashed upstreams",
         ComputeRetryAfter(decision.retry_after, state_->RandomFraction()));
  return false;
}

// The observations that block a request may arrive while it runs.
bool FleetRequest::IsBlocked() {
  CrashCorrelator& correlator = state_->crash_correlator;
  if (!correlator.HasObservations()) return false;
  MonotonicTime now = state_->Now();
  if (correlator.Classify(Fingerprint(), now) == SuspectVerdict::kBlocked) {
    return true;
  }
  if (is_sound_) return false;
  // A test may have crashed its upstream, which is detected later.
  if (tested_prompt_part_) return MayHaveExecuted();
  auto action =
      correlator.CheckPromptParts(prompt_part_fingerprints_, now).action;
  return action == PromptPartAction::kTest ||
         action == PromptPartAction::kRefuse;
}

void FleetRequest::RecordSoundExecution(const FleetAttempt& attempt) {
  MonotonicTime now = state_->Now();
  is_sound_ = true;
  state_->crash_correlator.OnSoundExecution(
      prompt_part_fingerprints_, attempt.response_began_at.value_or(now), now);
  EndPromptPartTest();
}

void FleetRequest::EndPromptPartTest() {
  if (!tested_prompt_part_) return;
  bool may_have_crashed = !is_sound_ && attempts_ > 0 &&
                          execution_state_ != ExecutionState::kRefused;
  state_->crash_correlator.prompt_part_screen().EndTest(
      *tested_prompt_part_, may_have_crashed, state_->Now());
  tested_prompt_part_.reset();
}

}  // namespace primrosecove
