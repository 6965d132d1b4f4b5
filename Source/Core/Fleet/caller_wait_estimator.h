// Estimates how long a caller has waited in earlier attempts of its request.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// Estimates the time a caller has already waited from the wait it states with
/// a request. A first attempt states the full wait, an attempt after a refusal
/// only the remainder. The full waits of a route's callers differ; they are
/// taken to lie between the longest one stated recently and the point below
/// which few callers state theirs. Handles the load in which refused callers
/// return while others send first attempts. Not thread safe; the caller
/// supplies the time.
class CallerWaitEstimator {
 public:
  /// Records the wait that a caller of `route` stated and returns how long it
  /// has waited before; 0 if it stated none.
  Milliseconds RecordAndEstimate(const std::string& route,
                                 std::optional<Milliseconds> remaining_wait,
                                 Milliseconds now);
  /// Returns by how much the full waits of a route's callers differ.
  Milliseconds SpreadOf(const std::string& route) const;

 private:
  // Number of requests by stated wait, in steps of kStep.
  using Histogram = std::map<int64_t, int>;
  struct StatedWaits {
    Milliseconds longest{0};
    Histogram histogram;
    int requests = 0;
  };
  struct RouteWaits {
    StatedWaits current;
    StatedWaits previous;  // Of the window before.
    Milliseconds window_start{0};
    Milliseconds spread{0};
    bool is_known = false;       // Measured, not assumed.
    int requests_at_spread = 0;  // When `spread` was computed.

    Milliseconds Longest() const;
  };
  static Milliseconds ComputeSpread(const RouteWaits& waits);

  std::map<std::string, RouteWaits> by_route_;
};

}  // namespace primrosecove
