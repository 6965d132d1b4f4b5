// Choice of the upstream of a FleetRequest.
#include <algorithm>

#include "Core/Router/fleet_request.h"

namespace primrosecove {
namespace {

// Assumed for a service without a measured request.
constexpr Milliseconds kDefaultPlainServiceTime{40};
constexpr Milliseconds kDefaultEngineServiceTime{2000};

}  // namespace

std::vector<FleetUpstream*> FleetRequest::FindCandidates(MonotonicTime now) {
  auto out = state_->registry.Usable(service_->name, now);
  std::erase_if(out, [this](FleetUpstream* it) {
    return tried_upstreams_.contains(it->record.id);
  });
  // What a silent engine starts after its silence would be late.
  std::erase_if(out, [](FleetUpstream* it) { return it->silent_since; });
  if (service_->engine && route_->is_generative) {
    uint64_t minimum_version =
        state_->minimum_versions.MinimumToSend(fields_.model, now);
    std::erase_if(out, [&](FleetUpstream* it) {
      uint64_t version =
          UpstreamRegistry::ServedVersion(*it, fields_.model, now);
      if (version == 0 || version < minimum_version) return true;
      // A resumed stream must continue with the weights that produced the
      // events already forwarded.
      return event_count_ > 0 && weights_version_ &&
             version != *weights_version_;
    });
  }
  if (!is_suspect_) return out;
  // With two suspects at one upstream, a crash can't be attributed to either,
  // so suspects are kept apart if another upstream is available.
  std::vector<FleetUpstream*> without_suspects = out;
  std::erase_if(without_suspects, [this](FleetUpstream* it) {
    return state_->crash_correlator.HasActiveSuspect(it->record.id);
  });
  return without_suspects.empty() ? out : without_suspects;
}

Placement FleetRequest::ChoosePlacement(MonotonicTime now) {
  auto candidates = FindCandidates(now);
  size_t all = candidates.size();
  auto time_to_request = state_->rests.RemoveResting(&candidates, now);
  size_t awake = candidates.size();
  if (auto time =
          state_->rate_limits.RemoveLimited(&candidates, now, WallClockMs())) {
    time_to_request = std::min(time_to_request.value_or(*time), *time);
  }
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
  Placement out = state_->policy->Choose(candidates, request, now);
  out.candidates = candidates.size();
  out.resting = all - awake;
  out.rate_limited = awake - candidates.size();
  // Without a candidate, only resting or limited upstreams can serve it.
  if (candidates.empty())
    out.retry_after = time_to_request.value_or(Milliseconds(0));
  return out;
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
