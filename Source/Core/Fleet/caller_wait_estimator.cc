#include "Core/Fleet/caller_wait_estimator.h"

#include <algorithm>
#include <utility>

namespace primrosecove {
namespace {

// The full wait of a route changes at most with a new configuration, and
// callers state it many times a second.
constexpr Milliseconds kWindow{10'000};
// Clock and network jitter between two first attempts.
constexpr Milliseconds kJitterTolerance{150};

}  // namespace

Milliseconds CallerWaitEstimator::RecordAndEstimate(
    const std::string& route, std::optional<Milliseconds> remaining_wait,
    Milliseconds now) {
  if (!remaining_wait) return Milliseconds(0);
  LongestWait& longest =
      by_route_.try_emplace(route, LongestWait{.window_start = now})
          .first->second;
  if (now - longest.window_start >= kWindow) {
    longest.previous = std::exchange(longest.current, Milliseconds(0));
    longest.window_start = now;
  }
  longest.current = std::max(longest.current, *remaining_wait);
  Milliseconds out =
      std::max(longest.current, longest.previous) - *remaining_wait;
  return out > kJitterTolerance ? out : Milliseconds(0);
}

}  // namespace primrosecove
