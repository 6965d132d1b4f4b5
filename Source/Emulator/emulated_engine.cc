#include "Emulator/emulated_engine.h"

#include <algorithm>
#include <utility>

#include "Core/Fleet/placement_policy.h"

namespace primrosecove {
namespace {

constexpr double kThousand = 1000;

}  // namespace

EmulatedEngine::EmulatedEngine(EventQueue* queue, EngineProfile profile,
                               int queue_limit)
    : queue_(queue), profile_(std::move(profile)), queue_limit_(queue_limit) {}

bool EmulatedEngine::Submit(const EngineJob& job, EngineJobEvents events) {
  bool too_large =
      profile_.kv_cache_tokens > 0 &&
      job.prompt_tokens + job.answer_tokens > profile_.kv_cache_tokens;
  if (!is_up_ || version_ == 0 || waiting() >= queue_limit_ || too_large) {
    return false;
  }
  auto later = [&job](const Running& it) {
    return it.job.priority > job.priority;
  };
  auto at = std::find_if(waiting_.begin(), waiting_.end(), later);
  waiting_.insert(at, {job, std::move(events), job.prompt_tokens});
  if (!in_pass_) {
    // Others that arrive at the same moment share the pass.
    in_pass_ = true;
    queue_->After(0, [this, life = life_] {
      if (life == life_) BeginPass();
    });
  }
  return true;
}

void EmulatedEngine::Cancel(uint64_t id) {
  std::erase_if(waiting_, [id](const Running& it) { return it.job.id == id; });
  // A pass that has begun ends with all its jobs.
  for (Running& it : running_) {
    if (it.job.id == id) it.cancelled = true;
  }
}

void EmulatedEngine::Crash() {
  ++life_;
  is_up_ = false;
  in_pass_ = false;
  version_ = 0;
  loading_version_ = 0;
  warming_ = false;
  std::vector<Running> lost = std::exchange(running_, {});
  for (Running& it : waiting_) lost.push_back(std::move(it));
  waiting_.clear();
  for (Running& it : lost) {
    if (!it.cancelled) it.events.on_broken(it.written > 0);
  }
}

void EmulatedEngine::Restart(uint64_t version) {
  is_up_ = true;
  version_ = version;
}

void EmulatedEngine::Load(uint64_t version, double warm_up) {
  if (!is_up_ || is_loading() || version == version_) return;
  loading_version_ = version;
  warm_up_ms_ = warm_up;
  FinishLoadWhenIdle();
}

void EmulatedEngine::FinishLoadWhenIdle() {
  if (!is_loading() || warming_ || !running_.empty()) return;
  warming_ = true;
  queue_->After(warm_up_ms_, [this, life = life_] {
    if (life != life_) return;
    version_ = std::exchange(loading_version_, 0);
    warming_ = false;
    if (!in_pass_ && !waiting_.empty()) {
      in_pass_ = true;
      BeginPass();
    }
  });
}

int64_t EmulatedEngine::MemoryInUse() const {
  int64_t out = 0;
  for (const Running& it : running_) {
    out += it.job.prompt_tokens + it.job.answer_tokens;
  }
  return out;
}

void EmulatedEngine::AdmitWaiting() {
  int64_t memory = MemoryInUse();
  while (!waiting_.empty() && running() < profile_.slots && !is_loading()) {
    const EngineJob& next = waiting_.front().job;
    memory += next.prompt_tokens + next.answer_tokens;
    if (profile_.kv_cache_tokens > 0 && memory > profile_.kv_cache_tokens)
      return;
    running_.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }
}

double EmulatedEngine::ReadPrompts() {
  int64_t budget = profile_.prefill_chunk_tokens > 0
                       ? profile_.prefill_chunk_tokens
                       : INT64_MAX;
  double out = 0;
  for (Running& it : running_) {
    int64_t n = std::min(it.unread, budget);
    if (n <= 0) continue;
    // Attention pairs each token that is read now with all earlier ones.
    int64_t before = it.job.prompt_tokens - it.unread;
    out += PrefillMs(profile_, before + n) - PrefillMs(profile_, before);
    it.unread -= n;
    budget -= n;
  }
  return out;
}

double EmulatedEngine::WriteMs() const {
  double context = 0;
  int writers = 0;
  for (const Running& it : running_) {
    if (it.written == 0) continue;
    ++writers;
    context += static_cast<double>(it.job.prompt_tokens + it.written);
  }
  if (writers == 0) return profile_.step_ms;
  double step = profile_.step_ms + profile_.sequence_ms * writers +
                profile_.context_ms_per_k * context / kThousand;
  return step * std::max(profile_.steps_per_iteration, 1);
}

void EmulatedEngine::BeginPass() {
  AdmitWaiting();
  if (running_.empty()) {
    in_pass_ = false;
    FinishLoadWhenIdle();
    return;
  }
  double ms = (WriteMs() + ReadPrompts()) * pace_;
  busy_ms_ += ms;
  queue_->After(ms, [this, life = life_] {
    if (life == life_) EndPass();
  });
}

void EmulatedEngine::EndPass() {
  std::vector<EngineJobEvents> ended;
  std::vector<EngineJobEvents> wrote;
  for (Running& it : running_) {
    if (it.unread > 0) continue;
    // The pass that reads the last of a prompt writes the first token.
    int n = it.written == 0 ? 1 : std::max(profile_.steps_per_iteration, 1);
    it.written += n;
    if (it.cancelled) continue;
    (it.written >= it.job.answer_tokens ? ended : wrote).push_back(it.events);
  }
  std::erase_if(running_, [](const Running& it) {
    return it.cancelled || it.written >= it.job.answer_tokens;
  });
  for (const EngineJobEvents& it : wrote) it.on_tokens(false);
  for (const EngineJobEvents& it : ended) it.on_tokens(true);
  BeginPass();
}

}  // namespace primrosecove
