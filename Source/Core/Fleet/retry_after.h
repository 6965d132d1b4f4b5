// Computes when callers that were refused for lack of capacity should retry.
#pragma once

#include <cstddef>

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// Returns the Retry-After delay for a refused caller. `soonest` is when an
/// upstream should have a free slot; `random_value`, uniform in [0, 1), spreads
/// the callers, so that they do not return together. Thread safe.
Milliseconds ComputeRetryAfter(Milliseconds soonest, double random_value);

/// The same for a caller whose request has the priority with index `rank` of
/// `ranks`, 0 being the most urgent. Callers of different priorities return
/// one after another. Precondition: 0 <= rank < ranks. Thread safe.
Milliseconds ComputeRetryAfter(Milliseconds soonest, double random_value,
                               size_t rank, size_t ranks);

}  // namespace primrosecove
