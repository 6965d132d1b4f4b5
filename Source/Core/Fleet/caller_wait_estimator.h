// Estimates how long a caller has waited in earlier attempts of its request.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// Callers of a route tell how long they will wait, and one that comes back
/// after a refusal tells what is left of that. Learns the whole time from the
/// longest that was told lately. Pattern: refused callers that come back while
/// others come for the first time. Not thread safe; time is handed in.
class CallerWaitEstimator {
 public:
  /// Takes what a caller of `route` told and returns the time that it has
  /// waited before; 0 for one that told nothing.
  Milliseconds RecordAndEstimate(const std::string& route,
                                 std::optional<Milliseconds> will_wait,
                                 Milliseconds now);

 private:
  struct Longest {
    Milliseconds current{0};
    Milliseconds previous{0};  // of the period before
    Milliseconds since{0};
  };
  std::map<std::string, Longest> by_route_;
};

}  // namespace primrosecove
