#include "Emulator/event_queue.h"

#include <algorithm>
#include <utility>

namespace primrosecove {

void EventQueue::ScheduleAt(double time, std::function<void()> action) {
  entries_.push({std::max(time, now_), next_sequence_++, std::move(action)});
}

void EventQueue::RunUntil(double end) {
  while (!entries_.empty() && entries_.top().time <= end) {
    Entry entry = entries_.top();
    entries_.pop();
    now_ = entry.time;
    entry.action();
  }
  now_ = std::max(now_, end);
}

}  // namespace primrosecove
