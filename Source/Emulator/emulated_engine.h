// Simulated inference engine with continuous batching. The cost model of its
// service (EngineProfile) gives the duration of each batch iteration.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "Core/Fleet/deployment.h"
#include "Emulator/event_queue.h"

namespace primrosecove {

/// One request at an engine.
struct EngineJob {
  uint64_t id = 0;
  int64_t prompt_tokens = 0;
  int output_tokens = 1;
  int priority = 5;  ///< Lower values are admitted first.
};

/// Callbacks of an engine about one job.
struct EngineJobCallbacks {
  /// The engine generated tokens; `last` is set with the final ones.
  std::function<void(bool last)> on_tokens;
  /// The engine crashed; `output_started` is set if it had generated a token.
  std::function<void(bool output_started)> on_aborted;
};

/// An engine with a wait queue and a batch of running jobs. Not thread safe.
class EmulatedEngine {
 public:
  /// `queue` must outlive this object. `profile` holds the cost model and the
  /// number of slots; `queue_limit` bounds the number of waiting jobs.
  EmulatedEngine(EventQueue* queue, EngineProfile profile, int queue_limit);

  /// Queues a job. Returns false if the wait queue is full, the engine is down
  /// or has no weights, or the job exceeds the KV cache.
  bool Submit(const EngineJob& job, EngineJobCallbacks callbacks);
  /// Cancels a job. A waiting job is removed at once, a running one at the end
  /// of the current batch iteration; neither gets further callbacks.
  void Cancel(uint64_t id);
  /// Aborts all jobs. The engine rejects jobs until Restart().
  void Crash();
  /// Starts the engine with weights of `version`; 0: no weights.
  void Restart(uint64_t version);
  /// Stops admitting jobs to the batch, waits until the running ones finish,
  /// and serves `version` after another `warm_up_ms`. Waiting jobs stay queued.
  /// No effect if the engine is down, already reloads, or serves `version`.
  void Reload(uint64_t version, double warm_up_ms);
  /// Stands still for `ms`: the batch iteration in progress takes that much
  /// longer, and none starts before. Later calls extend the time.
  void Stall(double ms);
  /// Multiplies the duration of batch iterations by `slowdown`.
  void SetSlowdown(double slowdown) { slowdown_ = slowdown; }

  bool is_up() const { return is_up_; }
  bool is_stalled() const { return queue_->now() < stalled_until_; }
  /// End of the last stall, milliseconds.
  double stalled_until() const { return stalled_until_; }
  bool is_reloading() const { return pending_version_ != 0; }
  uint64_t version() const { return version_; }
  int running() const { return static_cast<int>(running_.size()); }
  int waiting() const { return static_cast<int>(waiting_.size()); }
  double slowdown() const { return slowdown_; }
  /// Total duration of the batch iterations so far, milliseconds.
  double busy_ms() const { return busy_ms_; }

 private:
  struct JobState {
    EngineJob job;
    EngineJobCallbacks callbacks;
    int64_t unprocessed = 0;  // prompt tokens
    int generated = 0;
    bool cancelled = false;
  };

  void AdmitWaiting();
  void StartIteration();
  void FinishIteration();
  // Runs `step` of the current iteration after `ms` and the stalls until then.
  void ScheduleStep(double ms, void (EmulatedEngine::*step)());
  // Processes up to one prefill chunk of prompt tokens over all running jobs
  // and returns its duration, milliseconds.
  double ProcessPrompts();
  // Duration of one iteration's decode steps, milliseconds.
  double DecodeMs() const;
  int64_t KvTokensInUse() const;
  void FinishReloadWhenIdle();

  EventQueue* queue_;
  EngineProfile profile_;
  int queue_limit_;
  bool is_up_ = true;
  bool in_iteration_ = false;
  uint64_t incarnation_ = 0;  // a crash increments it, to void older timers
  uint64_t version_ = 1;
  uint64_t pending_version_ = 0;
  double warm_up_ms_ = 0;
  bool warming_up_ = false;
  double slowdown_ = 1;
  double stalled_until_ = 0;
  double step_delay_ms_ = 0;  // stalls since the current step was scheduled
  double busy_ms_ = 0;
  std::deque<JobState> waiting_;
  std::vector<JobState> running_;
};

}  // namespace primrosecove
