#include "Core/Fleet/caller_wait_estimator.h"

#include <algorithm>
#include <utility>

namespace primrosecove {
namespace {

// Callers' habits change with a new configuration at most, and the longest wait
// is told many times a second.
constexpr Milliseconds kPeriod{10'000};
// Clocks and links account for this much between two first attempts.
constexpr Milliseconds kNoise{150};

}  // namespace

Milliseconds CallerWaitEstimator::RecordAndEstimate(
    const std::string& route, std::optional<Milliseconds> will_wait,
    Milliseconds now) {
  if (!will_wait) return Milliseconds(0);
  Longest& longest =
      by_route_.try_emplace(route, Longest{.since = now}).first->second;
  if (now - longest.since >= kPeriod) {
    longest.previous = std::exchange(longest.current, Milliseconds(0));
    longest.since = now;
  }
  longest.current = std::max(longest.current, *will_wait);
  Milliseconds out = std::max(longest.current, longest.previous) - *will_wait;
  return out > kNoise ? out : Milliseconds(0);
}

}  // namespace primrosecove
