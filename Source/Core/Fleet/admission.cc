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
// that become free go to later requests. A slot becomes free every
// mean_service_time / slots on average.
double WaitMs(const FleetUpstream& upstream, const PlacementRequest& request,
              double ahead_share, double more_urgent_share, MonotonicTime now) {
  int slots = std::max(upstream.record.slots, 1);
  int waiting = upstream.ExpectedLoad(now) - slots;
  if (waiting < 0) return 0;
  double slot_interval =
      static_cast<double>(request.mean_service_time.count()) / slots;
  return (waiting * ahead_share + 1) * slot_interval / (1 - more_urgent_share);
}

// Returns the time from getting a slot to the response or its first event.
double OwnMs(const FleetUpstream& upstream, const PlacementRequest& request,
             int64_t prompt_tokens) {
  auto out = static_cast<double>(request.mean_service_time.count());
  if (request.service->engine) {
    const EngineProfile& engine = *request.service->engine;
    // The first token needs the end of the current batch iteration and one
    // iteration with the prompt.
    out = PrefillMs(engine, prompt_tokens) +
          2 * engine.step_ms * engine.steps_per_iteration;
  }
  double slowdown =
      upstream.status ? upstream.status->slowdown_percent / 100.0 : 1.0;
  return out * std::max(slowdown, 1.0);
}

// Returns whether a typical request of a priority would meet its target.
bool FitsTarget(const FleetUpstream& upstream, const PlacementRequest& request,
                const PriorityClass& it, MonotonicTime now) {
  if (it.latency_target.count() == 0) return true;
  int64_t tokens = request.prompt_tokens;
  if (request.service->engine &&
      request.service->engine->typical_prompt_tokens > 0) {
    tokens =
        static_cast<int64_t>(request.service->engine->typical_prompt_tokens);
  }
  double wait =
      WaitMs(upstream, request, it.ahead_share, it.more_urgent_share, now);
  return wait + OwnMs(upstream, request, tokens) <=
         static_cast<double>(it.latency_target.count());
}

}  // namespace

double ExpectedWaitMs(const FleetUpstream& upstream,
                      const PlacementRequest& request, MonotonicTime now) {
  if (request.priorities.empty()) return WaitMs(upstream, request, 1, 0, now);
  const PriorityClass& own = FindClass(request.priorities, request.priority);
  return WaitMs(upstream, request, own.ahead_share, own.more_urgent_share, now);
}

bool CanAccept(const FleetUpstream& upstream, const PlacementRequest& request,
               double wait_ms, MonotonicTime now) {
  if (request.response_started) return true;
  if (request.waited > request.route->latency_target) {
    int slots = std::max(upstream.record.slots, 1);
    auto reserved = static_cast<int>(std::ceil(kReservedShare * slots));
    // An upstream that orders its queue by priority serves late requests last.
    if (!request.priorities.empty()) reserved = 0;
    return upstream.ExpectedLoad(now) < slots - reserved;
  }
  if (wait_ms <= 0) return true;
  auto target_ms = static_cast<double>(request.route->latency_target.count());
  double start_ms = static_cast<double>(request.waited.count()) +
                    OwnMs(upstream, request, request.prompt_tokens);
  if (start_ms + wait_ms > target_ms) return false;
  if (request.priorities.empty()) return true;
  auto fits = [&](const PriorityClass& it) {
    return FitsTarget(upstream, request, it, now);
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
