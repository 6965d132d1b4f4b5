// Divides the rate limit of an upstream among routers without a coordinator.
// The wall clock is divided into periods. All routers that know the same
// sharers find the same division of a period's requests, so their sum keeps the
// limit. A period's share lapses with it: a router that restarts, or was
// suspended, has no requests left over from earlier.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// Returns the length of the periods under a limit in requests per second: one
/// second or, if that has no two requests, the time of two. It is bounded, and
/// so is the time between two requests, so that the end of a limit is noticed.
/// All functions of this file are thread safe.
Milliseconds RateLimitPeriodLength(double limit);

/// Returns the number of the period at a Unix time in ms.
int64_t RateLimitPeriodAt(double limit, int64_t unix_ms);

/// Returns the requests that all routers together may send in a period.
int64_t RequestsInPeriod(double limit, int64_t period);

/// Returns how many of a period's requests router `self` may send. `sharers`
/// are the ids of the routers that divide them, sorted and without duplicates;
/// a router that is not among them has none.
int64_t ShareOfPeriod(double limit, int64_t period,
                      std::string_view upstream_id, uint64_t self,
                      std::span<const uint64_t> sharers);

/// Returns the share of router `self` if only the number of sharers is known.
/// The sum over all routers keeps the limit on average only.
int64_t EstimatedShareOfPeriod(double limit, int64_t period,
                               std::string_view upstream_id, uint64_t self,
                               int sharer_count);

/// Returns the time from `unix_ms` to the next period in which any router may
/// send a request.
Milliseconds TimeToNextRequest(double limit, int64_t unix_ms);

}  // namespace primrosecove
