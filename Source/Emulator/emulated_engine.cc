#include "Emulator/emulated_engine.h"

#include <algorithm>
#include <utility>

#include "Core/Fleet/admission.h"

namespace primrosecove {
namespace {

constexpr double kTokensPerK = 1000;

}  // namespace

EmulatedEngine::EmulatedEngine(EventQueue* queue, EngineProfile profile,
                               int queue_limit)
    : queue_(queue), profile_(std::move(profile)), queue_limit_(queue_limit) {}

bool EmulatedEngine::Submit(const EngineJob& job,
                            EngineJobCallbacks callbacks) {
  bool too_large =
      profile_.kv_cache_tokens > 0 &&
      job.prompt_tokens + job.output_tokens > profile_.kv_cache_tokens;
  if (!is_up_ || version_ == 0 || waiting() >= queue_limit_ || too_large) {
    return false;
  }
  auto admitted_later = [&job](const JobState& it) {
    return it.job.priority > job.priority;
  };
  auto at = std::find_if(waiting_.begin(), waiting_.end(), admitted_later);
  waiting_.insert(at, {job, std::move(callbacks), job.prompt_tokens});
  if (!in_iteration_) {
    // Jobs that arrive at the same time share the batch iteration.
    in_iteration_ = true;
    ScheduleStep(std::max(stalled_until_ - queue_->now(), 0.0),
                 &EmulatedEngine::StartIteration);
  }
  return true;
}

void EmulatedEngine::Stall(double ms) {
  double end = std::max(stalled_until_, queue_->now()) + ms;
  stalled_until_ = end;
  if (in_iteration_) step_delay_ms_ += ms;
}

void EmulatedEngine::ScheduleStep(double ms, void (EmulatedEngine::*step)()) {
  step_delay_ms_ = 0;
  queue_->ScheduleAfter(ms, [this, step, incarnation = incarnation_] {
    if (incarnation != incarnation_) return;
    if (step_delay_ms_ > 0) return ScheduleStep(step_delay_ms_, step);
    (this->*step)();
  });
}

void EmulatedEngine::Cancel(uint64_t id) {
  std::erase_if(waiting_, [id](const JobState& it) { return it.job.id == id; });
  // A batch iteration in progress keeps its jobs until its end.
  for (JobState& it : running_) {
    if (it.job.id == id) it.cancelled = true;
  }
}

void EmulatedEngine::Crash() {
  ++incarnation_;
  is_up_ = false;
  in_iteration_ = false;
  version_ = 0;
  pending_version_ = 0;
  warming_up_ = false;
  std::vector<JobState> aborted = std::exchange(running_, {});
  for (JobState& it : waiting_) aborted.push_back(std::move(it));
  waiting_.clear();
  for (JobState& it : aborted) {
    if (!it.cancelled) it.callbacks.on_aborted(it.generated > 0);
  }
}

void EmulatedEngine::Restart(uint64_t version) {
  is_up_ = true;
  version_ = version;
}

void EmulatedEngine::Reload(uint64_t version, double warm_up_ms) {
  if (!is_up_ || is_reloading() || version == version_) return;
  pending_version_ = version;
  warm_up_ms_ = warm_up_ms;
  FinishReloadWhenIdle();
}

void EmulatedEngine::FinishReloadWhenIdle() {
  if (!is_reloading() || warming_up_ || !running_.empty()) return;
  warming_up_ = true;
  queue_->ScheduleAfter(warm_up_ms_, [this, incarnation = incarnation_] {
    if (incarnation != incarnation_) return;
    version_ = std::exchange(pending_version_, 0);
    warming_up_ = false;
    if (!in_iteration_ && !waiting_.empty()) {
      in_iteration_ = true;
      ScheduleStep(std::max(stalled_until_ - queue_->now(), 0.0),
                   &EmulatedEngine::StartIteration);
    }
  });
}

int64_t EmulatedEngine::KvTokensInUse() const {
  int64_t out = 0;
  for (const JobState& it : running_) {
    out += it.job.prompt_tokens + it.job.output_tokens;
  }
  return out;
}

void EmulatedEngine::AdmitWaiting() {
  int64_t kv_tokens = KvTokensInUse();
  while (!waiting_.empty() && running() < profile_.slots && !is_reloading()) {
    const EngineJob& next = waiting_.front().job;
    kv_tokens += next.prompt_tokens + next.output_tokens;
    if (profile_.kv_cache_tokens > 0 && kv_tokens > profile_.kv_cache_tokens)
      return;
    running_.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }
}

double EmulatedEngine::ProcessPrompts() {
  int64_t chunk_left = profile_.prefill_chunk_tokens > 0
                           ? profile_.prefill_chunk_tokens
                           : INT64_MAX;
  double out = 0;
  for (JobState& it : running_) {
    int64_t n = std::min(it.unprocessed, chunk_left);
    if (n <= 0) continue;
    // Attention pairs each token of the chunk with all earlier tokens.
    int64_t processed = it.job.prompt_tokens - it.unprocessed;
    out += PrefillMs(profile_, processed + n) - PrefillMs(profile_, processed);
    it.unprocessed -= n;
    chunk_left -= n;
  }
  return out;
}

double EmulatedEngine::DecodeMs() const {
  double context = 0;
  int decoding = 0;
  for (const JobState& it : running_) {
    if (it.generated == 0) continue;
    ++decoding;
    context += static_cast<double>(it.job.prompt_tokens + it.generated);
  }
  if (decoding == 0) return profile_.step_ms;
  double step = profile_.step_ms + profile_.sequence_ms * decoding +
                profile_.context_ms_per_k * context / kTokensPerK;
  return step * std::max(profile_.steps_per_iteration, 1);
}

void EmulatedEngine::StartIteration() {
  AdmitWaiting();
  if (running_.empty()) {
    in_iteration_ = false;
    FinishReloadWhenIdle();
    return;
  }
  double ms = (DecodeMs() + ProcessPrompts()) * slowdown_;
  busy_ms_ += ms;
  ScheduleStep(ms, &EmulatedEngine::FinishIteration);
}

void EmulatedEngine::FinishIteration() {
  std::vector<EngineJobCallbacks> finished;
  std::vector<EngineJobCallbacks> continuing;
  for (JobState& it : running_) {
    if (it.unprocessed > 0) continue;
    // The iteration that completes a prompt generates its first token.
    int n = it.generated == 0 ? 1 : std::max(profile_.steps_per_iteration, 1);
    it.generated += n;
    if (it.cancelled) continue;
    (it.generated >= it.job.output_tokens ? finished : continuing)
        .push_back(it.callbacks);
  }
  std::erase_if(running_, [](const JobState& it) {
    return it.cancelled || it.generated >= it.job.output_tokens;
  });
  for (const EngineJobCallbacks& it : continuing) it.on_tokens(false);
  for (const EngineJobCallbacks& it : finished) it.on_tokens(true);
  StartIteration();
}

}  // namespace primrosecove
