#include "Core/Fleet/placement_policy.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace primrosecove {
namespace {

// Another zone or region is taken when it saves at least this much expected
// wait: a request's bytes cost more there, and its answer takes a little
// longer.
constexpr double kOtherZoneMs = 40;
constexpr double kOtherRegionMs = 90;
constexpr double kMsPerSecond = 1000;
// What a millisecond costs by which a request outlasts its engine's time to
// load.
constexpr double kOverrunCost = 0.3;
// Of an upstream's slots, the share kept from requests that are late already.
// Callers that come back after a refusal are; when they are taken before those
// that come for the first time, all become late.
constexpr double kKeptForTimely = 0.25;
// Requests that may wait at a full upstream under the baselines, as a share of
// its slots.
constexpr double kBaselineQueueShare = 0.5;
// Refused callers come back spread over this time, so that they don't return
// together.
constexpr Milliseconds kLeastRetryAfter{300};

double DistanceMs(const FleetUpstream& upstream,
                  const PlacementRequest& request) {
  if (upstream.record.zone == request.home_zone) return 0;
  auto it = request.region_of_zone->find(upstream.record.zone);
  bool same_region =
      it != request.region_of_zone->end() && it->second == request.home_region;
  return same_region ? kOtherZoneMs : kOtherRegionMs;
}

class ExpectedWait : public PlacementPolicy {
 public:
  Placement Choose(std::span<FleetUpstream* const> candidates,
                   const PlacementRequest& request,
                   MonotonicTime now) override {
    Placement out;
    double best = std::numeric_limits<double>::infinity();
    double soonest = std::numeric_limits<double>::infinity();
    for (FleetUpstream* it : candidates) {
      double wait = WaitMs(*it, request, now);
      soonest = std::min(soonest, wait);
      if (!Fits(*it, request, wait, now)) continue;
      double cost = wait + DistanceMs(*it, request) + CrowdingMs(*it, now) +
                    kOverrunCost * OverrunMs(*it, request, wait, now);
      if (cost >= best) continue;
      best = cost;
      out.upstream = it;
      out.wait = Milliseconds(static_cast<int64_t>(wait));
    }
    if (out.upstream == nullptr && !candidates.empty()) {
      out.retry_after = std::max(kLeastRetryAfter,
                                 Milliseconds(static_cast<int64_t>(soonest)));
    }
    return out;
  }

 private:
  // By how much the request would outlast the time at which the engine is to
  // load other weights; it is out for all until then.
  static double OverrunMs(const FleetUpstream& upstream,
                          const PlacementRequest& request, double wait_ms,
                          MonotonicTime now) {
    if (!upstream.reload_at) return 0;
    auto time = request.expected_service_time.count() > 0
                    ? request.expected_service_time
                    : request.mean_service_time;
    double ends = static_cast<double>((now + time).count()) + wait_ms;
    return std::max(ends - static_cast<double>(upstream.reload_at->count()),
                    0.0);
  }

  // A slot frees every usual_time / slots on average, so the queue ahead takes
  // that long each.
  static double WaitMs(const FleetUpstream& upstream,
                       const PlacementRequest& request, MonotonicTime now) {
    int slots = std::max(upstream.record.slots, 1);
    int ahead = upstream.ExpectedLoad(now) - slots + 1;
    double each =
        static_cast<double>(request.mean_service_time.count()) / slots;
    return ahead <= 0 ? 0 : ahead * each;
  }

  // A fuller batch makes each step a little longer.
  static double CrowdingMs(const FleetUpstream& upstream, MonotonicTime now) {
    constexpr double kFullBatchMs = 60;
    return kFullBatchMs * upstream.ExpectedLoad(now) /
           std::max(upstream.record.slots, 1);
  }

  static bool Fits(const FleetUpstream& upstream,
                   const PlacementRequest& request, double wait_ms,
                   MonotonicTime now) {
    if (request.response_started) return true;
    if (request.waited > request.route->latency_target) {
      int slots = std::max(upstream.record.slots, 1);
      auto kept = static_cast<int>(std::ceil(kKeptForTimely * slots));
      return upstream.ExpectedLoad(now) < slots - kept;
    }
    if (wait_ms <= 0) return true;
    double own = static_cast<double>(request.mean_service_time.count());
    if (request.service->engine) {
      const EngineProfile& engine = *request.service->engine;
      // The first token needs the pass under way to end and one with the
      // prompt.
      own = PrefillMs(engine, request.prompt_tokens) +
            2 * engine.step_ms * engine.steps_per_iteration;
    }
    double pace =
        upstream.status ? upstream.status->slowdown_percent / 100.0 : 1.0;
    double total = request.waited.count() + wait_ms + own * std::max(pace, 1.0);
    return total <= static_cast<double>(request.route->latency_target.count());
  }
};

// Baseline: as many in flight as slots and a fixed queue hold.
bool HasBaselineRoom(const FleetUpstream& upstream, MonotonicTime now) {
  double slots = std::max(upstream.record.slots, 1);
  return upstream.ExpectedLoad(now) < slots * (1 + kBaselineQueueShare);
}

class LeastInFlight : public PlacementPolicy {
 public:
  Placement Choose(std::span<FleetUpstream* const> candidates,
                   const PlacementRequest&, MonotonicTime now) override {
    Placement out;
    for (FleetUpstream* it : candidates) {
      if (!HasBaselineRoom(*it, now)) continue;
      if (out.upstream == nullptr ||
          it->ExpectedLoad(now) < out.upstream->ExpectedLoad(now)) {
        out.upstream = it;
      }
    }
    out.retry_after = kLeastRetryAfter;
    return out;
  }
};

class RoundRobin : public PlacementPolicy {
 public:
  Placement Choose(std::span<FleetUpstream* const> candidates,
                   const PlacementRequest&, MonotonicTime now) override {
    Placement out;
    out.retry_after = kLeastRetryAfter;
    for (size_t i = 0; i < candidates.size(); ++i) {
      FleetUpstream* it = candidates[next_++ % candidates.size()];
      if (!HasBaselineRoom(*it, now)) continue;
      out.upstream = it;
      return out;
    }
    return out;
  }

 private:
  size_t next_ = 0;
};

}  // namespace

double PrefillMs(const EngineProfile& engine, int64_t prompt_tokens) {
  constexpr double kMillion = 1e6;
  auto tokens = static_cast<double>(prompt_tokens);
  double reading = engine.prefill_tokens_per_s <= 0
                       ? 0
                       : tokens / engine.prefill_tokens_per_s * kMsPerSecond;
  double pairs = tokens * tokens / 2;
  return reading + pairs / kMillion * engine.attention_ms_per_million_pairs;
}

std::unique_ptr<PlacementPolicy> MakePlacementPolicy(std::string_view name) {
  if (name == "expected-wait") return std::make_unique<ExpectedWait>();
  if (name == "least-in-flight") return std::make_unique<LeastInFlight>();
  if (name == "round-robin") return std::make_unique<RoundRobin>();
  return nullptr;
}

}  // namespace primrosecove
