// Computes when callers that were refused for lack of capacity should retry.
#pragma once

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// Returns the Retry-After delay for a refused caller. `soonest` is when an
/// upstream should have a free slot; `random_value`, uniform in [0, 1), spreads
/// the callers, so that they do not return together. Thread safe.
Milliseconds ComputeRetryAfter(Milliseconds soonest, double random_value);

}  // namespace primrosecove
