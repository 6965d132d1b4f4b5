// Decides whether an upstream can serve a request in time.
#pragma once

#include "Core/Fleet/placement_request.h"
#include "Core/Fleet/upstream_registry.h"

namespace primrosecove {

/// Returns the time that a request would wait at an upstream for a slot, in
/// milliseconds. Thread safe, as are all functions of this file.
double ExpectedWaitMs(const FleetUpstream& upstream,
                      const PlacementRequest& request, MonotonicTime now);

/// Returns whether a request that waits `wait_ms` at an upstream may be sent
/// there: it is expected to meet its latency target, or refusing it would serve
/// nobody better.
bool CanAccept(const FleetUpstream& upstream, const PlacementRequest& request,
               double wait_ms, MonotonicTime now);

/// Prefill time of a prompt on an otherwise idle engine, in milliseconds:
/// tokens over the prefill rate, plus attention over all pairs of tokens.
double PrefillMs(const EngineProfile& engine, int64_t prompt_tokens);

}  // namespace primrosecove
