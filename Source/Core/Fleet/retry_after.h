// When callers that are refused for want of room should come back.
#pragma once

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// The pause to ask of a refused caller. `soonest` is when an upstream should
/// have room; `draw`, in [0, 1), spreads the callers, so that they don't return
/// together. Thread safe.
Milliseconds ComputeRetryAfter(Milliseconds soonest, double draw);

}  // namespace primrosecove
