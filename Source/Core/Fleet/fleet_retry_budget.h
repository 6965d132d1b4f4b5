// Limits the retries of all routers together without communication between
// them.
#pragma once

#include <array>
#include <cstdint>

#include "Core/Fleet/deployment.h"
#include "Core/Fleet/router_count.h"

namespace primrosecove {

/// Counts the requests and retries of a service in sliding windows and allows a
/// retry only while this router's share of the fleet's retry budget is not
/// spent. The budget: in any window, retries <= ratio x requests + slack, over
/// all hosts. Not thread safe; the caller supplies the time since the start of
/// its process, which begins with a smaller share.
class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(const FleetBounds& bounds);

  /// Sets the bounds. With another window the counts begin again, with the
  /// share that applies after a start.
  void SetBounds(const FleetBounds& bounds, Milliseconds now);

  /// Reports the number of routers that share the slack, as one agent sees it.
  /// The largest number of a window counts.
  void SetRouterCount(int routers, Milliseconds now) {
    routers_.Report(routers, now);
  }
  /// Counts a request at its first attempt.
  void OnRequest(Milliseconds now);
  /// Counts one retry if the window has room for it.
  bool TryRetry(Milliseconds now);
  /// Retries that TryRetry would still allow at `now`.
  double RemainingRetries(Milliseconds now);

 private:
  struct Bucket {
    int64_t number = -1;
    int64_t requests = 0;
    int64_t retries = 0;
  };
  // One bucket more than the window has, so that a window that begins within a
  // bucket is covered too.
  static constexpr int kBuckets = 21;

  Bucket& CurrentBucket(Milliseconds now);

  FleetBounds bounds_;
  Milliseconds counts_since_{0};
  RouterCount routers_;
  std::array<Bucket, kBuckets> buckets_;
};

}  // namespace primrosecove
