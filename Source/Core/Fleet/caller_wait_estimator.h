// Estimates how long a caller has waited in earlier attempts of its request.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// Estimates the time a caller has already waited from the wait it states with
/// a request. A first attempt states the full wait, an attempt after a refusal
/// only the remainder; the full wait of a route is taken to be the longest one
/// stated recently. Handles the load in which refused callers return while
/// others send first attempts. Not thread safe; the caller supplies the time.
class CallerWaitEstimator {
 public:
  /// Records the wait that a caller of `route` stated and returns how long it
  /// has waited before; 0 if it stated none.
  Milliseconds RecordAndEstimate(const std::string& route,
                                 std::optional<Milliseconds> remaining_wait,
                                 Milliseconds now);

 private:
  struct LongestWait {
    Milliseconds current{0};
    Milliseconds previous{0};  // of the previous window
    Milliseconds window_start{0};
  };
  std::map<std::string, LongestWait> by_route_;
};

}  // namespace primrosecove
