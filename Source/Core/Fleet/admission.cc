#include "Core/Fleet/admission.h"

#include <algorithm>
#include <cmath>
#include <iterator>

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

double OwnTimeOfPromptMs(const FleetUpstream& upstream,
                         const PlacementRequest& request, int64_t prompt_tokens,
                         MonotonicTime now) {
  auto out = static_cast<double>(request.mean_service_time.count());
  if (request.service->engine) {
    const EngineProfile& engine = *request.service->engine;
    // The first token needs the end of the current batch iteration and one
    // iteration with the prompt.
    out = PrefillMs(engine, prompt_tokens) +
          2 * engine.step_ms * engine.steps_per_iteration;
  }
  return out * upstream.Slowdown(now);
}

// Returns whether a typical request of a priority would meet its target.
bool FitsTarget(const FleetUpstream& upstream, const PlacementRequest& request,
                double load, const PriorityClass& it, MonotonicTime now) {
  if (it.latency_target.count() == 0) return true;
  int64_t tokens = request.prompt_tokens;
  if (request.service->engine &&
      request.service->engine->typical_prompt_tokens > 0) {
    tokens =
        static_cast<int64_t>(request.service->engine->typical_prompt_tokens);
  }
  double wait = WaitMs(upstream, request, load, it.ahead_share,
                       it.more_urgent_share, now);
  return wait + OwnTimeOfPromptMs(upstream, request, tokens, now) <=
         static_cast<double>(it.latency_target.count());
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
  return OwnTimeOfPromptMs(upstream, request, request.prompt_tokens, now);
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
    // An upstream that orders its queue by priority serves late requests last.
    if (!request.priorities.empty()) reserved = 0;
    return load < slots - reserved;
  }
  if (wait_ms <= 0) return true;
  auto target_ms = static_cast<double>(request.route->latency_target.count());
  double start_ms = static_cast<double>(request.waited.count()) +
                    OwnTimeMs(upstream, request, now);
  if (start_ms + wait_ms > target_ms) return false;
  if (request.priorities.empty()) return true;
  auto fits = [&](const PriorityClass& it) {
    return FitsTarget(upstream, request, load, it, now);
  };
  auto own = std::find_if(
      request.priorities.begin(), request.priorities.end(),
      [&](const auto& it) { return it.priority >= request.priority; });
  // Where a more urgent request would be late, a less urgent one with a longer
  // target must not take the next slot.
  if (!std::all_of(request.priorities.begin(), own, fits)) return false;
  if (start_ms + wait_ms * request.workspace_factor <= target_ms) return true;
  // A workspace that uses more than its share still goes before the less
  // urgent requests of others.
  return std::any_of(std::next(own), request.priorities.end(), fits);
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
