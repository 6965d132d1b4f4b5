#include "Core/Fleet/caller_wait_estimator.h"

#include <algorithm>
#include <utility>

namespace primrosecove {
namespace {

// The full waits of a route change at most with a new configuration, and
// callers state them many times a second.
constexpr Milliseconds kWindow{10'000};
// Clock and network jitter between two first attempts with equal full waits.
constexpr Milliseconds kJitterTolerance{150};
constexpr Milliseconds kStep{50};
// With fewer requests, a gap between stated waits may be random.
constexpr int kMinRequests = 100;
// Part of the longest wait by which full waits are assumed to differ until
// then. To refuse a first attempt is worse than to serve one that is late.
constexpr int kUnknownSpreadPart = 5;
// The spread is computed again after this many requests.
constexpr int kRequestsPerUpdate = 16;
// The full waits end where the next requests are this much rarer. Refused
// callers return with remainders that are spread over more than a second.
constexpr double kRareShare = 0.35;
// Part of the spread so far in which the next requests are counted.
constexpr int kNextPart = 4;

}  // namespace

Milliseconds CallerWaitEstimator::RouteWaits::Longest() const {
  return std::max(current.longest, previous.longest);
}

Milliseconds CallerWaitEstimator::ComputeSpread(const RouteWaits& waits) {
  if (waits.current.requests + waits.previous.requests < kMinRequests)
    return waits.Longest() / kUnknownSpreadPart;
  int64_t top = waits.Longest() / kStep;
  auto count = [&](int64_t from, int64_t steps) {
    int out = 0;
    for (int64_t i = from; i < from + steps; ++i) {
      for (const Histogram* it :
           {&waits.current.histogram, &waits.previous.histogram}) {
        auto found = it->find(top - i);
        if (found != it->end()) out += found->second;
      }
    }
    return out;
  };
  int64_t steps = kJitterTolerance / kStep;
  int inside = count(0, steps);
  while (steps < top) {
    int64_t next_steps =
        std::max<int64_t>(steps / kNextPart, kJitterTolerance / kStep);
    int next = count(steps, next_steps);
    bool is_rare = static_cast<double>(next) * static_cast<double>(steps) <
                   kRareShare * inside * static_cast<double>(next_steps);
    if (is_rare) {
      // The shortest of the full waits may fill a part of the next step.
      if (count(steps, 1) > 0) ++steps;
      break;
    }
    inside += count(steps, 1);
    ++steps;
  }
  return steps * kStep;
}

Milliseconds CallerWaitEstimator::RecordAndEstimate(
    const std::string& route, std::optional<Milliseconds> remaining_wait,
    Milliseconds now) {
  if (!remaining_wait) return Milliseconds(0);
  RouteWaits& waits =
      by_route_.try_emplace(route, RouteWaits{.window_start = now})
          .first->second;
  if (now - waits.window_start >= kWindow) {
    waits.previous = std::exchange(waits.current, {});
    waits.window_start = now;
    waits.requests_at_spread = 0;
  }
  StatedWaits& current = waits.current;
  current.longest = std::max(current.longest, *remaining_wait);
  ++current.histogram[*remaining_wait / kStep];
  ++current.requests;
  bool is_due =
      current.requests == 1 ||
      current.requests - waits.requests_at_spread >= kRequestsPerUpdate;
  if (is_due) {
    waits.spread = ComputeSpread(waits);
    waits.is_known = current.requests + waits.previous.requests >= kMinRequests;
    waits.requests_at_spread = current.requests;
  }
  Milliseconds out = waits.Longest() - *remaining_wait;
  if (out <= waits.spread) return Milliseconds(0);
  // Its own full wait is not known; on average it is in the middle.
  return waits.is_known && waits.spread > kJitterTolerance
             ? out - waits.spread / 2
             : out;
}

Milliseconds CallerWaitEstimator::SpreadOf(const std::string& route) const {
  auto it = by_route_.find(route);
  return it == by_route_.end() ? Milliseconds(0) : it->second.spread;
}

}  // namespace primrosecove
