// Choice of the upstream of a FleetRequest.
#include <algorithm>

#include "Core/Fleet/retry_after.h"
#include "Core/Router/fleet_request.h"

namespace primrosecove {
namespace {

// Assumed for a service without a measured request.
constexpr Milliseconds kDefaultPlainServiceTime{40};
constexpr Milliseconds kDefaultEngineServiceTime{2000};

// Returns what a caller's refusal is logged with if no upstream may get its
// request.
const char* RefusalReason(std::optional<ExclusionReason> reason) {
  if (!reason) return "no upstream available";
  switch (*reason) {
    case ExclusionReason::kRegion:
      return "no upstream in an allowed region";
    case ExclusionReason::kEvacuation:
      return "all upstreams in evacuated zones";
    case ExclusionReason::kRest:
      return "all upstreams rest";
    case ExclusionReason::kRateLimit:
      return "all upstreams at their rate limit";
    case ExclusionReason::kColdStart:
      return "all upstreams at their cold-start rate";
    case ExclusionReason::kFailing:
    case ExclusionReason::kTried:
    case ExclusionReason::kSilent:
    case ExclusionReason::kWeights:
    case ExclusionReason::kActiveSuspect:
      break;
  }
  return "no upstream available";
}

}  // namespace

void FleetRequest::FindCandidates(CandidateSet* candidates,
                                  UpstreamRateLimits* rate_limits,
                                  MonotonicTime now) const {
  CandidateSet& out = *candidates;
  ExcludeByRegion(allowed_regions_, &out);
  if (routes_ != state_->routes) ExcludeByRegion(CurrentRegions(), &out);
  out.Exclude(ExclusionReason::kEvacuation, [&](const FleetUpstream& it) {
    return state_->evacuations.IsEvacuated(it.record.zone, now);
  });
  out.ExcludeWith(ExclusionReason::kFailing,
                  [now](auto* it) { UpstreamRegistry::PreferSound(it, now); });
  out.Exclude(ExclusionReason::kTried, [this](const FleetUpstream& it) {
    return tried_upstreams_.contains(it.record.id);
  });
  // What a silent engine starts after its silence would be late.
  out.Exclude(ExclusionReason::kSilent, [](const FleetUpstream& it) {
    return it.silent_since.has_value();
  });
  if (service_->engine && route_->is_generative)
    ExcludeByWeights(candidates, now);
  if (is_suspect_) {
    // With two suspects at one upstream, a crash can't be attributed to either,
    // so suspects are kept apart if another upstream is available.
    auto has_suspect = [this](const FleetUpstream& it) {
      return state_->crash_correlator.HasActiveSuspect(it.record.id);
    };
    auto all = out.upstreams();
    bool has_other = std::any_of(all.begin(), all.end(),
                                 [&](auto* it) { return !has_suspect(*it); });
    if (has_other) out.Exclude(ExclusionReason::kActiveSuspect, has_suspect);
  }
  out.ExcludeForTime(ExclusionReason::kRest, [&](auto* it) {
    return state_->rests.RemoveResting(it, now);
  });
  out.ExcludeForTime(ExclusionReason::kRateLimit, [&](auto* it) {
    return rate_limits->RemoveLimited(it, now, WallClockMs());
  });
  out.ExcludeForTime(ExclusionReason::kColdStart, [&](auto* it) {
    return state_->cold_starts.RemoveLimited(it, *service_, state_->evacuations,
                                             now, WallClockMs());
  });
}

void FleetRequest::ExcludeByRegion(const AllowedRegions& regions,
                                   CandidateSet* candidates) const {
  if (!regions.is_restricted()) return;
  candidates->Exclude(ExclusionReason::kRegion, [&](const FleetUpstream& it) {
    return !regions.Allows(RegionOfZone(state_->settings, it.record.zone));
  });
}

AllowedRegions FleetRequest::CurrentRegions() const {
  const HttpRequest& request = exchange_->request();
  const RouteTable& routes = *state_->routes;
  return {
      routes.Match(request.headers.Find("Host").value_or(""), request.Path()),
      fields_.key ? routes.FindKey(*fields_.key) : nullptr};
}

void FleetRequest::ExcludeByWeights(CandidateSet* candidates,
                                    MonotonicTime now) const {
  uint64_t minimum_version =
      state_->minimum_versions.MinimumToSend(fields_.model, now);
  candidates->Exclude(ExclusionReason::kWeights, [&](const FleetUpstream& it) {
    uint64_t version = UpstreamRegistry::ServedVersion(it, fields_.model, now);
    if (version == 0 || version < minimum_version) return true;
    // A resumed stream must continue with the weights that produced the events
    // already forwarded.
    return event_count_ > 0 && weights_version_ && version != *weights_version_;
  });
}

Placement FleetRequest::ChoosePlacement(MonotonicTime now) {
  CandidateSet candidates(state_->registry.Accepting(service_->name, now));
  FindCandidates(&candidates, &state_->rate_limits, now);
  for (size_t i = 0; i < kExclusionReasons; ++i) {
    state_->counters.exclusions[i] +=
        candidates.excluded(static_cast<ExclusionReason>(i));
  }
  Placement out =
      ChooseAmong(candidates, state_->PolicyFor(candidates.upstreams()), now);
  return out;
}

Placement FleetRequest::ChooseAmong(const CandidateSet& candidates,
                                    PlacementPolicy* policy,
                                    MonotonicTime now) const {
  std::vector<PriorityClass> priorities;
  PlacementRequest request = MakePlacementRequest(&priorities, now);
  Placement out = policy->Choose(candidates.upstreams(), request, now);
  out.candidates = candidates.upstreams().size();
  if (!candidates.empty()) {
    out.refusal_reason = "all upstreams at capacity";
    return out;
  }
  out.refusal_reason = RefusalReason(candidates.LastReason());
  out.retry_after = candidates.time_to_request().value_or(
      TimeToOtherCandidates(candidates.LastReason()));
  out.excluded = candidates.Summary();
  return out;
}

PlacementRequest FleetRequest::MakePlacementRequest(
    std::vector<PriorityClass>* priorities, MonotonicTime now) const {
  PlacementRequest request;
  request.route = route_;
  request.service = service_;
  request.home_zone = state_->settings.zone;
  request.home_region = state_->settings.region;
  request.region_of_zone = &state_->settings.region_of_zone;
  request.prompt_tokens = fields_.prompt_tokens;
  request.mean_service_time = MeanServiceTime();
  request.expected_service_time =
      EstimateServiceTime(request.mean_service_time);
  request.waited = caller_wait_ + (now - arrived_at_);
  request.response_started = event_count_ > 0;
  if (PriorityDemand* demand = FindDemand()) {
    *priorities = demand->Classes(now);
    request.priorities = *priorities;
    request.priority = priority_;
    request.workspace_factor =
        demand->WorkspaceFactor(priority_, workspace_, now);
  }
  return request;
}

PriorityDemand* FleetRequest::FindDemand() const {
  PriorityDemand* out = state_->PriorityDemandFor(service_->name);
  // A request may outlive the configuration that knows its priority.
  return out != nullptr && out->Knows(priority_) ? out : nullptr;
}

std::optional<int> FleetRequest::UpstreamPriority() const {
  PriorityDemand* demand = FindDemand();
  if (demand == nullptr) return std::nullopt;
  // Callers that are late in any case rank behind those in time.
  Milliseconds waited = caller_wait_ + (state_->Now() - arrived_at_);
  Milliseconds target = route_->latency_target;
  if (event_count_ == 0 && target.count() > 0 && waited > target)
    return UpstreamFields::kMaxPriority;
  return std::min(static_cast<int>(demand->RankOf(priority_)),
                  UpstreamFields::kMaxPriority - 1);
}

Milliseconds FleetRequest::RetryAfterFor(Milliseconds soonest,
                                         double random_value) const {
  PriorityDemand* demand = FindDemand();
  if (demand == nullptr) return ComputeRetryAfter(soonest, random_value);
  return ComputeRetryAfter(soonest, random_value, demand->RankOf(priority_),
                           demand->size());
}

// No slot that becomes free helps a request whose upstreams are all in other
// regions or evacuated zones, only a change of the deployment.
Milliseconds FleetRequest::TimeToOtherCandidates(
    std::optional<ExclusionReason> reason) const {
  bool needs_change = reason == ExclusionReason::kRegion ||
                      reason == ExclusionReason::kEvacuation;
  return needs_change ? state_->settings.bounds.config_apply : Milliseconds(0);
}

Milliseconds FleetRequest::MeanServiceTime() const {
  return state_->MeanServiceTime(
      service_->name,
      service_->engine ? kDefaultEngineServiceTime : kDefaultPlainServiceTime);
}

// An engine needs one batch iteration for every few output tokens, so the
// service time scales with the expected output length relative to the typical
// one.
Milliseconds FleetRequest::EstimateServiceTime(Milliseconds mean) const {
  if (!service_->engine || service_->engine->typical_output_tokens <= 0) {
    return mean;
  }
  int64_t tokens =
      fields_.expected_output_tokens.value_or(fields_.max_output_tokens);
  if (tokens <= 0) return mean;
  double share =
      static_cast<double>(tokens) / service_->engine->typical_output_tokens;
  return Milliseconds(
      static_cast<int64_t>(share * static_cast<double>(mean.count())));
}

}  // namespace primrosecove
