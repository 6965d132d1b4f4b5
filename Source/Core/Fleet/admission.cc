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

}  // namespace

// A slot becomes free every mean_service_time / slots on average, so each
// request ahead in the queue adds that long.
double ExpectedWaitMs(const FleetUpstream& upstream,
                      const PlacementRequest& request, MonotonicTime now) {
  int slots = std::max(upstream.record.slots, 1);
  int ahead = upstream.ExpectedLoad(now) - slots + 1;
  double slot_interval =
      static_cast<double>(request.mean_service_time.count()) / slots;
  return ahead <= 0 ? 0 : ahead * slot_interval;
}

bool CanAccept(const FleetUpstream& upstream, const PlacementRequest& request,
               double wait_ms, MonotonicTime now) {
  if (request.response_started) return true;
  if (request.waited > request.route->latency_target) {
    int slots = std::max(upstream.record.slots, 1);
    auto reserved = static_cast<int>(std::ceil(kReservedShare * slots));
    return upstream.ExpectedLoad(now) < slots - reserved;
  }
  if (wait_ms <= 0) return true;
  double own = static_cast<double>(request.mean_service_time.count());
  if (request.service->engine) {
    const EngineProfile& engine = *request.service->engine;
    // The first token needs the end of the current batch iteration and one
    // iteration with the prompt.
    own = PrefillMs(engine, request.prompt_tokens) +
          2 * engine.step_ms * engine.steps_per_iteration;
  }
  double slowdown =
      upstream.status ? upstream.status->slowdown_percent / 100.0 : 1.0;
  double total =
      request.waited.count() + wait_ms + own * std::max(slowdown, 1.0);
  return total <= static_cast<double>(request.route->latency_target.count());
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
