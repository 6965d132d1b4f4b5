// A model engine in simulated time: it reads prompts and writes tokens in
// passes over its batch, by the formula that its service publishes.
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
  int answer_tokens = 1;
  int priority = 5;  ///< Lower ones are admitted first.
};

/// What an engine tells of a job.
struct EngineJobEvents {
  /// Tokens were written; `last` with the last ones.
  std::function<void(bool last)> on_tokens;
  /// The engine has gone; `begun` when a token had been written.
  std::function<void(bool begun)> on_broken;
};

/// Not thread safe.
class EmulatedEngine {
 public:
  /// `queue` outlives this object; `profile` gives the speed and the slots, and
  /// `queue_limit` the requests that may wait.
  EmulatedEngine(EventQueue* queue, EngineProfile profile, int queue_limit);

  /// Takes a job; false when the queue is full or the engine is down.
  bool Submit(const EngineJob& job, EngineJobEvents events);
  /// The job's caller has left.
  void Cancel(uint64_t id);
  /// Ends all jobs; nothing is taken until Restart().
  void Crash();
  /// Comes back with weights of `version`, 0 for none.
  void Restart(uint64_t version);
  /// Takes nothing more, lets what runs end, and serves `version` after
  /// `warm_up` ms.
  void Load(uint64_t version, double warm_up);
  /// Steps take `pace` times as long.
  void SetPace(double pace) { pace_ = pace; }

  bool is_up() const { return is_up_; }
  bool is_loading() const { return loading_version_ != 0; }
  uint64_t version() const { return version_; }
  int running() const { return static_cast<int>(running_.size()); }
  int waiting() const { return static_cast<int>(waiting_.size()); }
  double pace() const { return pace_; }
  /// Simulated time that passes took so far, milliseconds.
  double busy_ms() const { return busy_ms_; }

 private:
  struct Running {
    EngineJob job;
    EngineJobEvents events;
    int64_t unread = 0;  // prompt tokens
    int written = 0;
    bool cancelled = false;
  };

  void AdmitWaiting();
  void BeginPass();
  void EndPass();
  // Takes prompt tokens from those that read, up to the chunk; the time.
  double ReadPrompts();
  // The time of the steps of those that write.
  double WriteMs() const;
  int64_t MemoryInUse() const;
  void FinishLoadWhenIdle();

  EventQueue* queue_;
  EngineProfile profile_;
  int queue_limit_;
  bool is_up_ = true;
  bool in_pass_ = false;
  uint64_t life_ = 0;  // outdates what was planned before a crash
  uint64_t version_ = 1;
  uint64_t loading_version_ = 0;
  double warm_up_ms_ = 0;
  bool warming_ = false;
  double pace_ = 1;
  double busy_ms_ = 0;
  std::deque<Running> waiting_;
  std::vector<Running> running_;
};

}  // namespace primrosecove
