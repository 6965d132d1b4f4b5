#include "Core/Fleet/placement_policy.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numbers>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "Core/Fleet/admission.h"
#include "Core/Fleet/decaying_sum.h"
#include "Core/Fleet/load_spreading.h"

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
// A fuller batch makes each step a little longer.
constexpr double kFullBatchMs = 60;
// All routers level the loads by reports of the same age. If each choice made
// up for all of a difference, all would do so until a report shows it, and the
// loads would oscillate. Requests of this many times the age level them
// without.
constexpr double kSpreadFactor = 4;
// Each other router is assumed to have sent at least this share of the requests
// that this router has in flight more than at the last reports.
constexpr double kOtherRouterShare = 0.5;
// So few requests spread a choice over upstreams of equal cost only.
constexpr double kTieRequests = 0.01;
// A rate that is measured for a shorter time is not trusted.
constexpr double kMinMeasuredMs = 200;
// A load that was reported earlier is unknown.
constexpr Milliseconds kMaxLoadAge{3000};

double DistanceMs(const FleetUpstream& upstream,
                  const PlacementRequest& request) {
  if (upstream.record.zone == request.home_zone) return 0;
  auto it = request.region_of_zone->find(upstream.record.zone);
  bool same_region =
      it != request.region_of_zone->end() && it->second == request.home_region;
  return same_region ? kOtherZoneMs : kOtherRegionMs;
}

// How ExpectedWait chooses from the upstreams that can serve a request in time.
enum class Spread { kLeast, kTwoRandom, kFreeSlots, kWaterFilling };

class ExpectedWait : public PlacementPolicy {
 public:
  ExpectedWait(Spread spread, uint64_t seed) : spread_(spread), random_(seed) {}

  std::unique_ptr<PlacementPolicy> Clone() const override {
    return std::make_unique<ExpectedWait>(*this);
  }
  Placement Choose(std::span<FleetUpstream* const> candidates,
                   const PlacementRequest& request,
                   MonotonicTime now) override {
    SentRequests& sent = FindSent(request.service->name, now);
    double unknown = spread_ == Spread::kWaterFilling
                         ? UnknownRequests(candidates, request, sent, now)
                         : 0;
    bool is_fresh = unknown <= 0;
    double soonest = FindAcceptable(candidates, request, is_fresh, now);
    if (!is_fresh && !acceptable_.empty())
      AddUnknownRequests(request, unknown, now);
    Placement out;
    if (acceptable_.empty()) {
      if (!candidates.empty()) {
        out.retry_after = std::max(kMinRetryAfter,
                                   Milliseconds(static_cast<int64_t>(soonest)));
      }
      return out;
    }
    const Acceptable& chosen = acceptable_[ChooseIndex(is_fresh)];
    out.upstream = chosen.upstream;
    out.wait = Milliseconds(static_cast<int64_t>(chosen.wait_ms));
    sent.sum.Add(1, now);
    return out;
  }

 private:
  struct Acceptable {
    FleetUpstream* upstream = nullptr;
    double load = 0;
    double wait_ms = 0;
  };

  // Requests of this router for one service.
  struct SentRequests {
    DecayingSum sum;
    MonotonicTime since{0};

    double PerMs(MonotonicTime now) const {
      constexpr auto kHalfLifeMs =
          static_cast<double>(DecayingSum::kHalfLife.count());
      double measured_ms =
          std::max(static_cast<double>((now - since).count()), kMinMeasuredMs);
      double weight_ms = kHalfLifeMs / std::numbers::ln2 *
                         (1 - std::exp2(-measured_ms / kHalfLifeMs));
      return sum.At(now) / weight_ms;
    }
  };

  SentRequests& FindSent(const std::string& service, MonotonicTime now) {
    auto it = sent_.find(service);
    if (it == sent_.end())
      it = sent_.emplace(service, SentRequests{{}, now}).first;
    return it->second;
  }

  // Time since the load of an upstream was as reported.
  static double LoadAgeMs(const FleetUpstream& upstream,
                          const PlacementRequest& request, MonotonicTime now) {
    Milliseconds lag = request.service->engine
                           ? request.service->engine->status_lag
                           : Milliseconds(0);
    return static_cast<double>((now - upstream.load_reported_at + lag).count());
  }

  // Estimates the requests that are in no report and have not ended: those of
  // the other routers since the last reports, at the rate of this router.
  // Returns 0 if this is the only router.
  static double UnknownRequests(std::span<FleetUpstream* const> candidates,
                                const PlacementRequest& request,
                                const SentRequests& sent, MonotonicTime now) {
    int routers = 1;
    int since = 0;
    int known = 0;
    double age_ms = 0;
    for (const FleetUpstream* it : candidates) {
      routers = std::max(routers, it->router_count);
      if (now - it->load_reported_at > kMaxLoadAge) continue;
      ++known;
      age_ms += LoadAgeMs(*it, request, now);
      since += std::max(it->local_in_flight - it->local_in_flight_at_report, 0);
    }
    // The number of routers may be unknown too.
    if (known == 0) return kTieRequests;
    if (routers == 1) return 0;
    double others = routers - 1;
    double service_ms =
        std::max(static_cast<double>(request.mean_service_time.count()), 1.0);
    double sent_ms = service_ms * (1 - std::exp(-age_ms / known / service_ms));
    return std::max({others * sent.PerMs(now) * sent_ms,
                     others * kOtherRouterShare * since, 1.0});
  }

  // Returns the load of an upstream without the requests that other routers
  // have sent since the report; of those reported, some have ended.
  static double RemainingLoad(const FleetUpstream& upstream,
                              const PlacementRequest& request,
                              MonotonicTime now) {
    if (now - upstream.load_reported_at > kMaxLoadAge)
      return upstream.ExpectedLoad(now);
    int others = upstream.reported_load - upstream.local_in_flight_at_report;
    if (others <= 0) return upstream.local_in_flight;
    double service_ms =
        std::max(static_cast<double>(request.mean_service_time.count()), 1.0) *
        upstream.Slowdown(now);
    double running_share =
        std::min(1.0, static_cast<double>(std::max(upstream.record.slots, 1)) /
                          upstream.reported_load);
    double ended = LoadAgeMs(upstream, request, now) / service_ms;
    return upstream.local_in_flight + others * std::exp(-ended * running_share);
  }

  // Sets the upstreams that can serve the request in time. Returns the shortest
  // wait at any upstream.
  double FindAcceptable(std::span<FleetUpstream* const> candidates,
                        const PlacementRequest& request, bool is_fresh,
                        MonotonicTime now) {
    acceptable_.clear();
    costs_.clear();
    double soonest = std::numeric_limits<double>::infinity();
    for (FleetUpstream* it : candidates) {
      double load =
          is_fresh ? it->ExpectedLoad(now) : RemainingLoad(*it, request, now);
      double wait = ExpectedWaitMs(*it, request, load, now);
      soonest = std::min(soonest, wait);
      if (!CanAccept(*it, request, load, wait, now)) continue;
      acceptable_.push_back({it, load, wait});
      costs_.push_back(CostOf(*it, request, load, wait, now));
    }
    return soonest;
  }

  static SpreadCandidate CostOf(const FleetUpstream& upstream,
                                const PlacementRequest& request, double load,
                                double wait, MonotonicTime now) {
    double slots = std::max(upstream.record.slots, 1);
    SpreadCandidate out;
    out.slot_cost_ms = kFullBatchMs / slots;
    out.queue_cost_ms = SlotIntervalMs(upstream, request, now);
    out.free_slots = std::max(slots - load, 0.0);
    out.cost_ms = wait + DistanceMs(upstream, request) +
                  out.slot_cost_ms * load +
                  kExcessTimeCost * ExcessTimeMs(upstream, request, wait, now);
    double slowdown = upstream.Slowdown(now);
    if (slowdown > 1)
      out.cost_ms += OwnTimeMs(upstream, request, now) * (1 - 1 / slowdown);
    return out;
  }

  // Adds each upstream's share of the unknown requests to its load, and removes
  // the upstreams that can't serve the request in time with it.
  void AddUnknownRequests(const PlacementRequest& request, double unknown,
                          MonotonicTime now) {
    double level_ms = WaterLevel(costs_, unknown);
    size_t kept = 0;
    for (size_t i = 0; i < acceptable_.size(); ++i) {
      Acceptable it = acceptable_[i];
      it.load += costs_[i].RoomUpTo(level_ms);
      it.wait_ms = ExpectedWaitMs(*it.upstream, request, it.load, now);
      if (!CanAccept(*it.upstream, request, it.load, it.wait_ms, now)) continue;
      acceptable_[kept] = it;
      costs_[kept] = costs_[i];
      ++kept;
    }
    acceptable_.resize(kept);
    costs_.resize(kept);
    if (kept > 0) level_ms_ = WaterLevel(costs_, kSpreadFactor * unknown);
  }

  size_t ChooseIndex(bool is_fresh) {
    switch (spread_) {
      case Spread::kLeast:
        break;
      case Spread::kTwoRandom:
        return LessCostlyOfTwo(costs_, &random_);
      case Spread::kFreeSlots:
        return DrawByFreeSlots(costs_, &random_);
      case Spread::kWaterFilling:
        if (!is_fresh) return DrawByRoom(costs_, level_ms_, &random_);
        break;
    }
    return LeastCost(costs_);
  }

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

  Spread spread_;
  std::mt19937_64 random_;
  std::map<std::string, SentRequests> sent_;
  // Of the present choice; kept, so that a choice does not allocate.
  std::vector<Acceptable> acceptable_;
  std::vector<SpreadCandidate> costs_;
  double level_ms_ = 0;
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

std::unique_ptr<PlacementPolicy> MakePlacementPolicy(std::string_view name,
                                                     uint64_t seed) {
  constexpr std::pair<std::string_view, Spread> kSpreads[] = {
      {"expected-wait", Spread::kLeast},
      {"even-load", Spread::kWaterFilling},
      {"two-random", Spread::kTwoRandom},
      {"free-slots", Spread::kFreeSlots}};
  for (const auto& [spread_name, spread] : kSpreads) {
    if (name == spread_name)
      return std::make_unique<ExpectedWait>(spread, seed);
  }
  if (name == "least-in-flight") return std::make_unique<LeastInFlight>();
  if (name == "round-robin") return std::make_unique<RoundRobin>();
  return nullptr;
}

}  // namespace primrosecove
