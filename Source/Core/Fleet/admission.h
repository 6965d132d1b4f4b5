// Decides whether an upstream can serve a request in time.
#pragma once

#include "Core/Fleet/placement_request.h"
#include "Core/Fleet/upstream_registry.h"

namespace primrosecove {

/// Returns the time that a request would wait for a slot at an upstream with
/// `load` requests, in milliseconds. Thread safe, as are all functions of this
/// file.
double ExpectedWaitMs(const FleetUpstream& upstream,
                      const PlacementRequest& request, double load,
                      MonotonicTime now);
/// As above, with the upstream's expected load.
double ExpectedWaitMs(const FleetUpstream& upstream,
                      const PlacementRequest& request, MonotonicTime now);

/// Returns whether a request that waits `wait_ms` at an upstream with `load`
/// requests may be sent there: it is expected to meet its latency target, or
/// refusing it would serve nobody better.
bool CanAccept(const FleetUpstream& upstream, const PlacementRequest& request,
               double load, double wait_ms, MonotonicTime now);
/// As above, with the upstream's expected load.
bool CanAccept(const FleetUpstream& upstream, const PlacementRequest& request,
               double wait_ms, MonotonicTime now);

/// Returns the time between the moments at which the upstream frees a slot
/// while all are used, in milliseconds.
double SlotIntervalMs(const FleetUpstream& upstream,
                      const PlacementRequest& request, MonotonicTime now);

/// Returns the time from getting a slot to the response or its first event, in
/// milliseconds.
double OwnTimeMs(const FleetUpstream& upstream, const PlacementRequest& request,
                 MonotonicTime now);

/// Prefill time of a prompt on an otherwise idle engine, in milliseconds:
/// tokens over the prefill rate, plus attention over all pairs of tokens.
double PrefillMs(const EngineProfile& engine, int64_t prompt_tokens);

}  // namespace primrosecove
