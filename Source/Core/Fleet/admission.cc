#include "Core/Fleet/admission.h"

#include <algorithm>
#include <cmath>

namespace primrosecove {
namespace {

constexpr double kMsPerSecond = 1000;
// Share of an upstream's slots that is reserved for requests within their
// latency target. Callers that retry after a refusal are already late; if they
// were served before first attempts, all requests would become late.
constexpr double kReservedShare = 0.25;

// Returns the time until the request would get a slot if `ahead_share` of the
// waiting requests are served before it and `more_urgent_share` of the slots
// that become free go to later requests.
double WaitMs(const FleetUpstream& upstream, const PlacementRequest& request,
              double load, double ahead_share, double more_urgent_share,
              MonotonicTime now) {
  double waiting = load - std::max(upstream.record.slots, 1);
  if (waiting < 0) return 0;
  return (waiting * ahead_share + 1) * SlotIntervalMs(upstream, request, now) /
         (1 - more_urgent_share);
}

}  // namespace

double SlotIntervalMs(const FleetUpstream& upstream,
                      const PlacementRequest& request, MonotonicTime now) {
  int slots = std::max(upstream.record.slots, 1);
  return static_cast<double>(request.mean_service_time.count()) / slots *
         upstream.Slowdown(now);
}

double OwnTimeMs(const FleetUpstream& upstream, const PlacementRequest& request,
                 MonotonicTime now) {
  auto out = static_cast<double>(request.mean_service_time.count());
  if (request.service->engine) {
    const EngineProfile& engine = *request.service->engine;
    // The first token needs the end of the current batch iteration and one
    // iteration with the prompt.
    out = PrefillMs(engine, request.prompt_tokens) +
          2 * engine.step_ms * engine.steps_per_iteration;
  }
  return out * upstream.Slowdown(now);
}

double ExpectedWaitMs(const FleetUpstream& upstream,
                      const PlacementRequest& request, double load,
                      MonotonicTime now) {
  if (request.priorities.empty())
    return WaitMs(upstream, request, load, 1, 0, now);
  const PriorityClass& own = FindClass(request.priorities, request.priority);
  return WaitMs(upstream, request, load, own.ahead_share, own.more_urgent_share,
                now);
}

double ExpectedWaitMs(const FleetUpstream& upstream,
                      const PlacementRequest& request, MonotonicTime now) {
  return ExpectedWaitMs(upstream, request, upstream.ExpectedLoad(now), now);
}

bool CanAccept(const FleetUpstream& upstream, const PlacementRequest& request,
               double load, double wait_ms, MonotonicTime now) {
  if (request.response_started) return true;
  if (request.waited > request.route->latency_target) {
    int slots = std::max(upstream.record.slots, 1);
    double reserved = std::ceil(kReservedShare * slots);
    return load < slots - reserved;
  }
  if (wait_ms <= 0) return true;
  double own_ms = OwnTimeMs(upstream, request, now);
  auto target_ms = static_cast<double>(request.route->latency_target.count());
  double total = static_cast<double>(request.waited.count()) +
                 wait_ms * request.workspace_factor + own_ms;
  if (total > target_ms) return false;
  // Where a more urgent request would be late, a less urgent one with a longer
  // target must not take the next slot.
  return std::all_of(
      request.priorities.begin(), request.priorities.end(),
      [&](const PriorityClass& it) {
        if (it.priority >= request.priority) return true;
        double wait = WaitMs(upstream, request, load, it.ahead_share,
                             it.more_urgent_share, now);
        return wait + own_ms <= static_cast<double>(it.latency_target.count());
      });
}

bool CanAccept(const FleetUpstream& upstream, const PlacementRequest& request,
               double wait_ms, MonotonicTime now) {
  return CanAccept(upstream, request, upstream.ExpectedLoad(now), wait_ms, now);
}

double PrefillMs(const EngineProfile& engine, int64_t prompt_tokens) {
  constexpr double kMillion = 1e6;
  auto tokens = static_cast<double>(prompt_tokens);
  double linear_ms = engine.prefill_tokens_per_s <= 0
                         ? 0
                         : tokens / engine.prefill_tokens_per_s * kMsPerSecond;
  double pairs = tokens * tokens / 2;
  return linear_ms + pairs / kMillion * engine.attention_ms_per_million_pairs;
}

}  // namespace primrosecove
