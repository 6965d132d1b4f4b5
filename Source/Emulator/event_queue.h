// Event queue of a discrete-event simulation.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace primrosecove {

/// Runs actions in the order of their simulated times, in milliseconds. Actions
/// with equal times run in the order in which they were scheduled, so that runs
/// are reproducible. Not thread safe.
class EventQueue {
 public:
  /// Current simulated time, milliseconds.
  double now() const { return now_; }
  /// Schedules `action` at `time`, or at the current time if `time` is past.
  void ScheduleAt(double time, std::function<void()> action);
  /// Schedules `action` after `delay` milliseconds.
  void ScheduleAfter(double delay, std::function<void()> action) {
    ScheduleAt(now_ + delay, std::move(action));
  }
  /// Runs all actions with times up to and including `end`, also those that
  /// these actions schedule, and sets the current time to at least `end`.
  void RunUntil(double end);

 private:
  struct Entry {
    double time;
    uint64_t sequence;
    std::function<void()> action;
    bool operator>(const Entry& other) const {
      return time != other.time ? time > other.time : sequence > other.sequence;
    }
  };

  double now_ = 0;
  uint64_t next_sequence_ = 0;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> entries_;
};

}  // namespace primrosecove
