#include "Core/Router/placement_explanation.h"

#include <memory>
#include <sstream>

#include "Core/Fleet/admission.h"
#include "Core/Net/http1_server.h"
#include "Core/Router/fleet_request.h"

namespace primrosecove {
namespace {

constexpr int kStatusUnavailable = 503;

std::string OrDash(const std::string& text) {
  return text.empty() ? "-" : text;
}

}  // namespace

PlacementExplanation FleetRequest::Explain(const CallerFields& fields) {
  PlacementExplanation out;
  fields_ = fields;
  auto rejection = Resolve();
  if (route_ != nullptr) {
    out.route = route_->name;
    out.latency_target = route_->latency_target;
    out.priority = priority_;
  }
  if (service_ != nullptr) out.service = service_->name;
  out.workspace = workspace_;
  if (!rejection && !FitsBeforeStop())
    rejection = MakeRefusal("router is stopping");
  if (rejection) {
    out.status = rejection->status;
    out.why = rejection->why;
    if (rejection->retry_after)
      out.retry_after = {*rejection->retry_after, *rejection->retry_after};
    return out;
  }
  // Requests depend on the wait of callers, on the demand for limited upstreams
  // and on the policy's state, so the explanation uses copies of them.
  CallerWaitEstimator wait_estimator = state_->wait_estimator;
  UpstreamRateLimits rate_limits = state_->rate_limits;
  caller_wait_ = EstimateCallerWait(&wait_estimator);
  out.caller_wait = caller_wait_;
  MonotonicTime now = arrived_at_;
  CandidateSet candidates(state_->registry.Accepting(service_->name, now));
  candidates.RecordReasons();
  FindCandidates(&candidates, &rate_limits, now);
  ExplainUpstreams(candidates, now, &out);
  std::unique_ptr<PlacementPolicy> policy =
      state_->PolicyFor(candidates.upstreams())->Clone();
  Placement placement = ChooseAmong(candidates, policy.get(), now);
  if (placement.upstream != nullptr) {
    out.chosen = placement.upstream->record.id;
    out.chosen_wait = placement.wait;
    return out;
  }
  out.status = kStatusUnavailable;
  out.why = placement.refusal_reason;
  out.retry_after = {RetryAfterFor(placement.retry_after, 0),
                     RetryAfterFor(placement.retry_after, 1)};
  return out;
}

void FleetRequest::ExplainUpstreams(const CandidateSet& candidates,
                                    MonotonicTime now,
                                    PlacementExplanation* out) const {
  std::vector<PriorityClass> priorities;
  PlacementRequest request = MakePlacementRequest(&priorities, now);
  for (const auto& [id, it] : state_->registry.all()) {
    if (it.record.service != service_->name) continue;
    PlacementExplanation::Upstream upstream{.id = id, .zone = it.record.zone};
    if (const char* why = UpstreamRegistry::WhyNotAccepting(it, now)) {
      upstream.exclusion = why;
    } else if (auto reason = candidates.ReasonFor(it)) {
      upstream.exclusion = NameOf(*reason);
    } else {
      upstream.wait =
          Milliseconds(static_cast<int64_t>(ExpectedWaitMs(it, request, now)));
      upstream.load = it.ExpectedLoad(now);
      upstream.slots = it.record.slots;
      if (it.load_reported_at >= MonotonicTime(0))
        upstream.load_age = now - it.load_reported_at;
    }
    out->upstreams.push_back(std::move(upstream));
  }
}

PlacementExplanation ExplainPlacement(FleetState* state,
                                      const PlacementQuestion& question) {
  // An exchange without a connection, because the request is not a caller's.
  HttpRequest request;
  request.target = question.target;
  request.headers.Add("Host", question.host);
  auto exchange = std::make_shared<Http1Exchange>(
      std::weak_ptr<Http1ServerConnection>(), std::move(request), false);
  return FleetRequest(state, std::move(exchange)).Explain(question.fields);
}

std::string RenderExplanation(const PlacementExplanation& explanation) {
  std::ostringstream out;
  out << "request route=" << OrDash(explanation.route)
      << " service=" << OrDash(explanation.service)
      << " workspace=" << OrDash(explanation.workspace);
  if (!explanation.route.empty()) {
    out << " priority=" << explanation.priority
        << " target_ms=" << explanation.latency_target.count()
        << " waited_before_ms=" << explanation.caller_wait.count();
  }
  out << "\n";
  for (const auto& it : explanation.upstreams) {
    out << "upstream " << it.id << " zone=" << it.zone;
    if (!it.exclusion.empty()) {
      out << " excluded=" << it.exclusion << "\n";
      continue;
    }
    out << " wait_ms=" << it.wait.count() << " load=" << it.load
        << " slots=" << it.slots << " load_age_ms="
        << (it.load_age ? std::to_string(it.load_age->count()) : "-") << "\n";
  }
  if (!explanation.chosen.empty()) {
    out << "sent upstream=" << explanation.chosen
        << " wait_ms=" << explanation.chosen_wait.count() << "\n";
    return out.str();
  }
  bool is_refusal = explanation.status == kStatusUnavailable;
  out << (is_refusal ? "refused" : "denied") << " status=" << explanation.status
      << " why=\"" << explanation.why << "\" retry_after_ms=";
  if (explanation.retry_after) {
    out << explanation.retry_after->min.count() << ".."
        << explanation.retry_after->max.count();
  } else {
    out << "-";
  }
  out << "\n";
  return out.str();
}

}  // namespace primrosecove
