#include "Core/Fleet/placement_policy.h"

#include <algorithm>
#include <limits>

#include "Core/Fleet/admission.h"

namespace primrosecove {
namespace {

// Another zone or region is chosen if it saves at least this much expected
// wait: traffic to it costs more, and responses take a little longer.
constexpr double kOtherZoneMs = 40;
constexpr double kOtherRegionMs = 90;
// Cost per millisecond that a request runs beyond its engine's planned reload.
constexpr double kExcessTimeCost = 0.3;
// Under the baselines, requests that may queue at a full upstream, as a share
// of its slots.
constexpr double kBaselineQueueShare = 0.5;
// Refused callers retry after at least this delay, spread over time, so that
// they do not return together.
constexpr Milliseconds kMinRetryAfter{300};

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
  std::unique_ptr<PlacementPolicy> Clone() const override {
    return std::make_unique<ExpectedWait>(*this);
  }
  Placement Choose(std::span<FleetUpstream* const> candidates,
                   const PlacementRequest& request,
                   MonotonicTime now) override {
    Placement out;
    double best = std::numeric_limits<double>::infinity();
    double soonest = std::numeric_limits<double>::infinity();
    for (FleetUpstream* it : candidates) {
      double wait = ExpectedWaitMs(*it, request, now);
      soonest = std::min(soonest, wait);
      if (!CanAccept(*it, request, wait, now)) continue;
      double cost = wait + DistanceMs(*it, request) + BatchLoadMs(*it, now) +
                    kExcessTimeCost * ExcessTimeMs(*it, request, wait, now);
      if (cost >= best) continue;
      best = cost;
      out.upstream = it;
      out.wait = Milliseconds(static_cast<int64_t>(wait));
    }
    if (out.upstream == nullptr && !candidates.empty()) {
      out.retry_after =
          std::max(kMinRetryAfter, Milliseconds(static_cast<int64_t>(soonest)));
    }
    return out;
  }

 private:
  // Returns how long the request would run beyond the time at which the engine
  // is to load other weights; until it ends the engine accepts no requests.
  static double ExcessTimeMs(const FleetUpstream& upstream,
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

  // A fuller batch makes each step a little longer.
  static double BatchLoadMs(const FleetUpstream& upstream, MonotonicTime now) {
    constexpr double kFullBatchMs = 60;
    return kFullBatchMs * upstream.ExpectedLoad(now) /
           std::max(upstream.record.slots, 1);
  }
};

// Baseline: the slots and a queue of fixed length bound the requests in flight.
bool HasBaselineRoom(const FleetUpstream& upstream, MonotonicTime now) {
  double slots = std::max(upstream.record.slots, 1);
  return upstream.ExpectedLoad(now) < slots * (1 + kBaselineQueueShare);
}

class LeastInFlight : public PlacementPolicy {
 public:
  std::unique_ptr<PlacementPolicy> Clone() const override {
    return std::make_unique<LeastInFlight>(*this);
  }
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
    out.retry_after = kMinRetryAfter;
    return out;
  }
};

class RoundRobin : public PlacementPolicy {
 public:
  std::unique_ptr<PlacementPolicy> Clone() const override {
    return std::make_unique<RoundRobin>(*this);
  }
  Placement Choose(std::span<FleetUpstream* const> candidates,
                   const PlacementRequest&, MonotonicTime now) override {
    Placement out;
    out.retry_after = kMinRetryAfter;
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

std::unique_ptr<PlacementPolicy> MakePlacementPolicy(std::string_view name) {
  if (name == "expected-wait") return std::make_unique<ExpectedWait>();
  if (name == "least-in-flight") return std::make_unique<LeastInFlight>();
  if (name == "round-robin") return std::make_unique<RoundRobin>();
  return nullptr;
}

}  // namespace primrosecove
