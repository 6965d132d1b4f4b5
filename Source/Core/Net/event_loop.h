// A single-threaded event loop with timers and signal handlers.
#pragma once

#include <event2/event.h>

#include <chrono>
#include <deque>
#include <functional>
#include <list>
#include <memory>

namespace primrosecove {

using Milliseconds = std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

/// A one-shot or repeating callback; destroying the timer cancels it. Use it on
/// its loop's thread only.
class Timer {
 public:
  Timer() = default;
  /// Returns whether the callback is scheduled to run.
  bool pending() const;
  /// Cancels and destroys the callback.
  void Cancel();

 private:
  friend class EventLoop;
  struct State;
  std::shared_ptr<State> state_;
};

/// A single-threaded loop over libevent. Every method but Stop must be called
/// on the thread that runs the loop; tasks of one loop need no locks and
/// communicate by posting callbacks.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs callbacks until Stop is called.
  void Run();
  /// Runs the ready callbacks once, waiting at most `limit` for the first.
  void RunOnce(Milliseconds limit);
  /// Makes Run return after the current callback.
  void Stop();
  /// Runs `callback` in a later loop iteration, after the functions on the
  /// stack have returned. Callbacks that are still queued when the loop is
  /// destroyed are destroyed without being run.
  void Post(std::function<void()> callback);
  /// Runs `callback` once after `delay`, unless the timer is destroyed first.
  [[nodiscard]] Timer After(Milliseconds delay, std::function<void()> callback);
  /// Runs `callback` every `period`, for the first time after one period.
  [[nodiscard]] Timer Every(Milliseconds period,
                            std::function<void()> callback);
  /// Runs `callback` at each delivery of `signal_number` until the loop is
  /// destroyed.
  void OnSignal(int signal_number, std::function<void()> callback);

  event_base* base() { return base_; }
  /// Returns the current monotonic time.
  static SteadyTime Now() { return std::chrono::steady_clock::now(); }

 private:
  struct SignalHandler;
  Timer Schedule(Milliseconds delay, bool repeat,
                 std::function<void()> callback);

  void RunPosted();

  event_base* base_;
  event* posted_event_;
  std::deque<std::function<void()>> posted_;
  std::list<std::unique_ptr<SignalHandler>> signals_;
};

/// Returns the milliseconds since the Unix epoch, for values that are compared
/// across processes.
int64_t WallClockMs();

}  // namespace primrosecove
