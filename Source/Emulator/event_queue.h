// Simulated time: actions that run in the order of their times.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace primrosecove {

/// Runs actions at simulated times, in milliseconds. Actions of the same time
/// run in the order in which they were added, so runs repeat exactly. Not
/// thread safe.
class EventQueue {
 public:
  double now() const { return now_; }
  /// Runs `action` at `time`; a time that has passed counts as now.
  void At(double time, std::function<void()> action);
  void After(double delay, std::function<void()> action) {
    At(now_ + delay, std::move(action));
  }
  /// Runs everything up to and including `end`, also what is added meanwhile.
  void RunUntil(double end);

 private:
  struct Entry {
    double time;
    uint64_t number;
    std::function<void()> action;
    bool operator>(const Entry& other) const {
      return time != other.time ? time > other.time : number > other.number;
    }
  };

  double now_ = 0;
  uint64_t next_number_ = 0;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> entries_;
};

}  // namespace primrosecove
