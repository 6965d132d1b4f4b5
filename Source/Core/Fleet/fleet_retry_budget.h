// Bounds repeats of all routers together without any talk between them.
#pragma once

#include <array>
#include <cstdint>

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// Counts a service's requests and repeats in sliding windows and allows a
/// repeat only while this host's share of the fleet's bound is not used up.
/// The bound: in any window, repeats <= ratio x requests + slack, over all
/// hosts. Not thread safe.
class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(const FleetBounds& bounds);

  /// `routers` share the slack; at least 1.
  void SetRouterCount(int routers) { routers_ = routers < 1 ? 1 : routers; }
  /// A request was sent for the first time.
  void OnRequest(Milliseconds now);
  /// Takes one repeat if the window has room for it.
  bool TryRetry(Milliseconds now);
  /// Repeats that TryRepeat would still allow at `now`.
  double RemainingRetries(Milliseconds now);

 private:
  struct Bucket {
    int64_t number = -1;
    int64_t requests = 0;
    int64_t repeats = 0;
  };
  // A bucket more than the window has, so that a window of the fleet that
  // begins within a bucket is covered too.
  static constexpr int kBuckets = 21;

  Bucket& Current(Milliseconds now);

  FleetBounds bounds_;
  int routers_;
  std::array<Bucket, kBuckets> buckets_;
};

}  // namespace primrosecove
