#include "Core/Router/fleet_request.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "Core/Common/log.h"
#include "Core/Fleet/retry_after.h"
#include "platform/headers.h"

namespace primrosecove {
namespace {

// A connection to a live upstream opens within a few milliseconds; TCP
// retransmits a lost SYN only after a second.
constexpr Milliseconds kConnectTimeout{300};
// A response that is not a stream, and one event of a stream, are kept in
// memory until they are complete.
constexpr size_t kMaxResponseBytes = 4 << 20;
constexpr size_t kMaxEventBytes = 1 << 20;
// By so much the responses that a request holds grow between two checks of the
// limit on those of all requests. Most responses stay below.
constexpr size_t kHeldBytesStep = 16 << 10;
constexpr int kStatusServerError = 500;
constexpr int kStatusUnavailable = 503;

// Maps an id to a value in [0, 1), uniformly and deterministically.
double UniformHash(std::string_view id) {
  constexpr uint64_t kBuckets = 10'000;
  return static_cast<double>(std::hash<std::string_view>{}(id) % kBuckets) /
         static_cast<double>(kBuckets);
}

}  // namespace

FleetRequest::FleetRequest(FleetState* state,
                           std::shared_ptr<Http1Exchange> exchange)
    : state_(state), exchange_(std::move(exchange)) {}

FleetRequest::~FleetRequest() = default;

void FleetRequest::Start() {
  ++state_->counters.requests;
  fields_ = platform::DecodeCallerFields(exchange_->request().headers);
  if (fields_.has_unusable_prompt_parts) {
    PC_INFO(kRouter, "event=prompt_parts_left_out id="
                         << fields_.request_id
                         << " kept=" << fields_.prompt_parts.size());
  }
  if (auto rejection = Resolve()) return Reject(*rejection);
  for (const std::string& it : fields_.prompt_parts)
    prompt_part_fingerprints_.push_back(PromptPartFingerprint(it));
  if (!CheckSuspect() || !CheckPromptParts()) return;
  Milliseconds time_limit = route_->timeout;
  if (fields_.deadline) time_limit = std::min(time_limit, *fields_.deadline);
  deadline_ = arrived_at_ + time_limit;
  if (state_->responses_due_at)
    deadline_ = std::min(deadline_, *state_->responses_due_at);
  if (!FitsBeforeStop()) return Reject(MakeRefusal("router is stopping"));
  caller_wait_ = EstimateCallerWait(&state_->wait_estimator);
  StartDeadlineTimer();
  std::weak_ptr<FleetRequest> weak = weak_from_this();
  exchange_->OnDisconnect([weak] {
    if (auto self = weak.lock()) self->HandleDisconnect();
  });
  Dispatch();
}

void FleetRequest::StartDeadlineTimer() {
  std::weak_ptr<FleetRequest> weak = weak_from_this();
  Milliseconds time = std::max(TimeLeft(), Milliseconds(0));
  deadline_timer_ = state_->loop->After(time, [weak] {
    if (auto self = weak.lock()) self->HandleTimeout();
  });
}

void FleetRequest::LimitTime(MonotonicTime deadline) {
  if (ended_ || deadline >= deadline_) return;
  deadline_ = deadline;
  StartDeadlineTimer();
}

bool FleetRequest::FitsBeforeStop() const {
  if (!state_->responses_due_at) return true;
  return state_->Now() + EstimateServiceTime(MeanServiceTime()) <=
         *state_->responses_due_at;
}

std::optional<FleetRequest::Rejection> FleetRequest::Resolve() {
  arrived_at_ = state_->Now();
  routes_ = state_->routes;
  if (state_->closing) return MakeRefusal("router is stopping");
  if (routes_ == nullptr) return MakeRefusal("no configuration yet");
  // An evacuation may be among what has not been read yet.
  if (state_->settings.bounds.evacuate && !state_->deployment_read)
    return MakeRefusal("deployment not read yet");
  if (auto rejection = ResolveRoute()) return rejection;
  return Authenticate();
}

std::optional<FleetRequest::Rejection> FleetRequest::ResolveRoute() {
  const HttpRequest& request = exchange_->request();
  route_ =
      routes_->Match(request.headers.Find("Host").value_or(""), request.Path());
  if (route_ == nullptr)
    return MakeDenial(404, "Not Found", "no matching route");
  const std::string& name =
      routes_->ChooseService(*route_, UniformHash(fields_.request_id));
  service_ = routes_->FindService(name);
  if (service_ == nullptr) return MakeRefusal("unknown service");
  return std::nullopt;
}

std::optional<FleetRequest::Rejection> FleetRequest::Authenticate() {
  const FleetWorkspace* workspace =
      fields_.key ? routes_->FindKey(*fields_.key) : nullptr;
  allowed_regions_ = AllowedRegions(route_, workspace);
  priority_ = RouteTable::CombinedPriority(*route_, workspace);
  if (!routes_->needs_keys() || (route_->is_public && !fields_.key)) {
    return std::nullopt;
  }
  BootTime now = BootNow();
  if (route_->is_public) {
    bool known = workspace != nullptr && state_->freshness.MayUseKeys(now);
    if (known) workspace_ = workspace->name;
    return std::nullopt;
  }
  if (workspace == nullptr)
    return MakeDenial(401, "Unauthorized", "missing or unknown API key");
  if (!state_->freshness.MayUseKeys(now))
    return MakeRefusal("configuration too old to accept keys");
  key_age_ = state_->freshness.Age(now);
  workspace_ = workspace->name;
  return std::nullopt;
}

FleetRequest::Rejection FleetRequest::MakeRefusal(const char* why) {
  return {kStatusUnavailable, "Service Unavailable", why, kRetryElsewhereDelay};
}

FleetRequest::Rejection FleetRequest::MakeDenial(int status, const char* reason,
                                                 const char* why) const {
  // A stale configuration may lack a new route or key, so it can't justify a
  // denial.
  if (!state_->freshness.MayDenyUnknown(BootNow()))
    return MakeRefusal("configuration too old to deny");
  return {status, reason, why, std::nullopt};
}

Milliseconds FleetRequest::EstimateCallerWait(
    CallerWaitEstimator* estimator) const {
  return estimator->RecordAndEstimate(route_->host + route_->prefix,
                                      fields_.deadline, arrived_at_);
}

Milliseconds FleetRequest::TimeLeft() const {
  return deadline_ - state_->Now();
}

void FleetRequest::Dispatch() {
  MonotonicTime now = state_->Now();
  Placement placement = ChoosePlacement(now);
  if (placement.candidates == 0 &&
      state_->registry.RestoreReplaced(service_->name, now)) {
    placement = ChoosePlacement(now);
  }
  if (placement.upstream != nullptr) return StartAttempt(placement);
  if (placement.candidates == 0) {
    PC_INFO(kRouter, "event=no_candidate id=" << fields_.request_id
                                              << " excluded=\""
                                              << placement.excluded << "\"");
  }
  PriorityDemand* demand = FindDemand();
  if (demand != nullptr && placement.candidates > 0)
    demand->OnRefused(priority_, now);
  GiveUp(placement.refusal_reason, placement.retry_after);
}

void FleetRequest::GiveUp(const char* why, Milliseconds retry_after) {
  if (exchange_->started()) {
    exchange_->Abort();
    return Finish("broken_off", 0, why);
  }
  if (MayHaveExecuted()) return Fail(502, "Bad Gateway", why);
  Refuse(why, RetryAfterFor(retry_after, state_->RandomFraction()));
}

UpstreamFields FleetRequest::MakeUpstreamFields(const FleetUpstream& upstream,
                                                FleetAttempt* attempt) {
  UpstreamFields out;
  out.deadline = std::max(TimeLeft(), Milliseconds(1));
  out.upstream_id = attempt->upstream_id;
  out.workspace = workspace_;
  out.priority = UpstreamPriority();
  if (service_->engine && route_->is_generative) {
    MonotonicTime now = state_->Now();
    uint64_t minimum_version =
        state_->minimum_versions.MinimumToSend(fields_.model, now);
    attempt->weights_version =
        UpstreamRegistry::ServedVersion(upstream, fields_.model, now);
    if (event_count_ > 0) {
      out.weights_version = weights_version_;
    } else if (minimum_version > 0 &&
               minimum_version ==
                   state_->minimum_versions.NewestTarget(fields_.model)) {
      out.weights_version = attempt->weights_version;
    }
  }
  attempt->expects_weights_version = out.weights_version.has_value();
  out.last_event_id = last_event_id_ ? last_event_id_ : fields_.last_event_id;
  return out;
}

std::shared_ptr<FleetAttempt> FleetRequest::FindAttempt(uint64_t number) {
  auto it = std::find_if(
      in_flight_.begin(), in_flight_.end(),
      [number](const auto& attempt) { return attempt->number == number; });
  return it == in_flight_.end() ? nullptr : *it;
}

CallEvents FleetRequest::MakeCallEvents(uint64_t attempt_number) {
  std::weak_ptr<FleetRequest> weak = weak_from_this();
  // An attempt that is removed by its own callback lives until its end.
  auto run = [weak, attempt_number](auto handle) {
    auto self = weak.lock();
    auto attempt = self ? self->FindAttempt(attempt_number) : nullptr;
    if (attempt) handle(self.get(), attempt.get());
  };
  CallEvents out;
  out.on_head = [run](const Http1Head& head) {
    run([&](auto* self, auto* attempt) { self->OnHead(attempt, head); });
  };
  out.on_data = [run](std::string_view bytes) {
    run([&](auto* self, auto* attempt) { self->OnData(attempt, bytes); });
  };
  out.on_end = [run](CallResult result) {
    run([&](auto* self, auto* attempt) {
      self->OnCallEnd(attempt, std::move(result));
    });
  };
  return out;
}

void FleetRequest::StartAttempt(const Placement& placement) {
  MonotonicTime now = state_->Now();
  FleetUpstream* upstream = placement.upstream;
  placement_load_ = upstream->ExpectedLoad(now);
  placement_wait_ = placement.wait;
  placement_load_age_ = now - upstream->load_reported_at;
  auto attempt = std::make_shared<FleetAttempt>();
  attempt->number = ++last_attempt_number_;
  attempt->upstream_id = upstream->record.id;
  attempt->upstream_start_time_ms = upstream->StartTimeMs();
  attempt->sent_at = now;
  attempt->last_data_at = now;
  last_upstream_ = attempt->upstream_id;
  tried_upstreams_.insert(attempt->upstream_id);
  const HttpRequest& received = exchange_->request();
  HttpRequest request;
  request.method = received.method;
  request.target = received.target;
  request.headers = platform::UpstreamHeaders(
      received.headers, MakeUpstreamFields(*upstream, attempt.get()));
  request.body = received.body;
  CallOptions options;
  options.connect_timeout = kConnectTimeout;
  // A non-idempotent request must not be sent on an idle connection that the
  // upstream may already have closed: its loss could not be retried.
  options.fresh_connection = !route_->IsRetryable();
  options.echo_header = platform::RequestIdHeader();
  options.echo_value = fields_.request_id;
  ++attempts_;
  state_->registry.OnSent(attempt->upstream_id, now);
  state_->rate_limits.OnSent(*upstream, WallClockMs());
  state_->rests.OnSent(*upstream, now);
  state_->cold_starts.OnSent(*upstream, *service_, now);
  if (PriorityDemand* demand = FindDemand()) {
    // A caller's estimate of the length may be far off.
    constexpr int kMaxMeanTimes = 4;
    Milliseconds mean = MeanServiceTime();
    demand->OnSent(priority_, workspace_,
                   std::min(EstimateServiceTime(mean), kMaxMeanTimes * mean),
                   now);
  }
  if (is_suspect_) {
    attempt->sent_as_suspect =
        !state_->crash_correlator.HasActiveSuspect(attempt->upstream_id);
    state_->crash_correlator.AddActiveSuspect(attempt->upstream_id);
    attempt->counted_as_suspect = true;
    ++state_->counters.suspects_sent;
    PC_INFO(kRouter, "event=suspect_sent id="
                         << fields_.request_id << " request=" << Fingerprint()
                         << " upstream=" << attempt->upstream_id
                         << " alone=" << attempt->sent_as_suspect);
  }
  if (!std::exchange(is_counted_, true)) {
    ++state_->counters.sent;
    state_->RetryBudgetFor(service_->name).OnRequest(now);
  }
  in_flight_.push_back(attempt);
  attempt->call =
      state_->client->Send(upstream->record.endpoint, request, options,
                           MakeCallEvents(attempt->number));
  PC_DEBUG(kRouter, "event=request_sent id="
                        << fields_.request_id << " upstream="
                        << attempt->upstream_id << " attempt=" << attempts_);
}

void FleetRequest::OnHead(FleetAttempt* attempt, const Http1Head& head) {
  ResponseFields response =
      platform::DecodeResponseFields(head.status, head.headers);
  MonotonicTime now = state_->Now();
  const std::string& id = attempt->upstream_id;
  attempt->RecordData(now);
  state_->registry.OnProgress(id, now);
  state_->rate_limits.OnResponse(id, attempt->upstream_start_time_ms, response,
                                 attempt->sent_at, now);
  if (response.is_leaving) {
    state_->registry.OnStatedLeaving(id, attempt->upstream_start_time_ms, now);
  }
  state_->rests.OnResponse(id, attempt->upstream_start_time_ms, response,
                           attempt->sent_at, state_->RandomFraction(), now);
  if (response.cold_start_remaining)
    state_->registry.RecordColdStart(id, attempt->upstream_start_time_ms,
                                     *response.cold_start_remaining, now);
  if (response.load)
    state_->registry.RecordResponseLoad(id, *response.load, now);
  if (response.has_malformed_load) state_->registry.RecordMalformedLoad(id);
  bool is_success = IsSuccess(head.status) && response.is_signed;
  if (is_success) attempt->response_began_at = now;
  attempt->streaming = route_->kind == RequestKind::kStream && is_success;
  attempt->response_weights = response.weights_version;
  // Forwards the response head before the first event, so that the caller
  // learns immediately that its request is running.
  if (attempt->streaming && !exchange_->started()) {
    exchange_->StartStream(head.status, head.reason,
                           platform::ResponseHeaders(head.headers));
  }
}

void FleetRequest::OnData(FleetAttempt* attempt, std::string_view bytes) {
  attempt->RecordData(state_->Now());
  state_->registry.OnProgress(attempt->upstream_id, attempt->last_data_at);
  if (!attempt->streaming) {
    if (bytes.size() > kMaxResponseBytes - attempt->response_body.size())
      return OnAttemptFailure(attempt, "response too large");
    attempt->response_body.append(bytes);
    return LimitHeldBytes();
  }
  attempt->framer.Push(bytes, [this, attempt](const StreamEvent& event) {
    OnEvent(attempt, event);
  });
  if (attempt->has_foreign_event)
    return OnUnusableResponse(attempt, "event of another response");
  if (attempt->framer.partial_bytes() > kMaxEventBytes)
    return OnAttemptFailure(attempt, "event too large");
  LimitHeldBytes();
}

size_t FleetRequest::HeldBytes() const {
  size_t out = exchange_->pending_bytes();
  for (const auto& it : in_flight_) out += it->HeldBytes();
  return out;
}

void FleetRequest::LimitHeldBytes() {
  size_t held = HeldBytes();
  held_bytes_at_check_ = std::min(held_bytes_at_check_, held);
  if (held - held_bytes_at_check_ < kHeldBytesStep) return;
  held_bytes_at_check_ = held;
  state_->LimitHeldResponses();
}

void FleetRequest::EndLargestResponse() {
  const char* why = "responses exceed the router's memory";
  if (ended_) return;
  auto largest = std::max_element(in_flight_.begin(), in_flight_.end(),
                                  [](const auto& a, const auto& b) {
                                    return a->HeldBytes() < b->HeldBytes();
                                  });
  if (largest == in_flight_.end() || exchange_->started()) {
    CancelAttempts(UpstreamVerdict::kUnknown);
    return GiveUp(why, kRetryElsewhereDelay);
  }
  std::shared_ptr<FleetAttempt> attempt = *largest;
  OnUnusableResponse(attempt.get(), why);
}

// An upstream may write an error, even with its head, into a stream that has
// begun. The events of a stream have ids, or none has.
bool FleetRequest::IsForeignEvent(const FleetAttempt& attempt,
                                  const StreamEvent& event) const {
  if (event.id || event.text.starts_with(':')) return false;
  bool continues_another = event_count_ > 0 && attempt.event_count == 0;
  return last_event_id_ || continues_another;
}

void FleetRequest::OnEvent(FleetAttempt* attempt, const StreamEvent& event) {
  attempt->has_foreign_event |= IsForeignEvent(*attempt, event);
  if (attempt->has_foreign_event) return;
  if (event.id) {
    // A resumed stream may start with events that the caller has already
    // received.
    std::optional<uint64_t> last =
        last_event_id_ ? last_event_id_ : fields_.last_event_id;
    if (last && *event.id <= *last) return;
    last_event_id_ = event.id;
  }
  KeepOnly(*attempt);
  MonotonicTime now = state_->Now();
  if (event_count_ > 0)
    longest_pause_ = std::max(longest_pause_, now - last_event_at_);
  last_event_at_ = now;
  ++attempt->event_count;
  if (event_count_++ == 0) {
    weights_version_ = attempt->response_weights;
    first_event_at_ = now;
    state_->first_event_seconds->Observe(
        static_cast<double>((first_event_at_ - arrived_at_).count()) / 1000);
  }
  exchange_->Write(event.text);
}

void FleetRequest::OnCallEnd(FleetAttempt* attempt, CallResult result) {
  attempt->call.reset();
  if (ended_) return;
  switch (result.end) {
    case CallEnd::kNotSent:
      return OnNotSent(attempt, result.refused);
    case CallEnd::kComplete:
      return OnCompleteResponse(attempt, result);
    case CallEnd::kConnectionLost:
      return OnAttemptFailure(attempt, "connection lost");
    case CallEnd::kMalformed:
      return OnAttemptFailure(attempt, "malformed response");
    case CallEnd::kTimeout:
      return OnAttemptFailure(attempt, "response timeout");
  }
}

void FleetRequest::OnNotSent(FleetAttempt* attempt, bool refused) {
  --attempts_;
  ++failed_connections_;
  if (refused) state_->registry.OnConnectionRefused(attempt->upstream_id);
  state_->rate_limits.OnNotSent(attempt->upstream_id, WallClockMs());
  RemoveAttempt(*attempt,
                refused ? UpstreamVerdict::kFailed : UpstreamVerdict::kSilent);
  if (!in_flight_.empty()) return;
  if (failed_connections_ < kMaxFailedConnections && !IsBlocked() &&
      TimeLeft() > Milliseconds(0)) {
    return Dispatch();
  }
  GiveUp("connection failed", kRetryElsewhereDelay);
}

void FleetRequest::OnRefusal(FleetAttempt* attempt,
                             const ResponseFields& response, int status) {
  PC_INFO(kRouter,
          "event=upstream_refused id="
              << fields_.request_id << " upstream=" << attempt->upstream_id
              << " status=" << status
              << " rest_ms=" << (response.rest ? response.rest->count() : -1)
              << " malformed=" << response.has_malformed_rest
              << " leaving=" << response.is_leaving
              << " other_attempts=" << in_flight_.size() - 1);
  if (response.rest) ++state_->counters.rests_asked;
  // An upstream with other weights answers like another process.
  bool is_other_process =
      response.is_misdirected && !attempt->expects_weights_version;
  RemoveAttempt(*attempt, is_other_process ? UpstreamVerdict::kMisdirected
                                           : UpstreamVerdict::kRefused);
  if (execution_state_ == ExecutionState::kNotSent)
    execution_state_ = ExecutionState::kRefused;
  ContinueOrFail("upstream refused");
}

void FleetRequest::OnCompleteResponse(FleetAttempt* attempt,
                                      const CallResult& result) {
  const Http1Head& head = *result.head;
  ResponseFields response =
      platform::DecodeResponseFields(head.status, head.headers);
  if (attempt->streaming) {
    if (attempt->framer.partial_bytes() > 0)
      return OnAttemptFailure(attempt, "truncated event at end of stream");
    // The caller would take the events before for the complete stream.
    if (event_count_ > 0 && attempt->event_count == 0)
      return OnUnusableResponse(attempt, "no event continues the stream");
    KeepOnly(*attempt);
    RecordCompletion(*attempt, head.status);
    exchange_->EndStream();
    return Finish("answered", head.status, "");
  }
  if (response.not_executed && result.may_be_of_earlier_call)
    return OnUnusableResponse(attempt, "refusal without a request id");
  if (response.not_executed) return OnRefusal(attempt, response, head.status);
  if (IsSuccess(head.status) && !response.is_signed)
    return OnAttemptFailure(attempt, "unsigned response");
  bool failed = head.status >= kStatusServerError;
  if (failed || exchange_->started()) {
    bool is_last = in_flight_.size() == 1;
    RecordCompletion(*attempt, head.status);
    execution_state_ = ExecutionState::kMayHaveExecuted;
    if (!is_last) return;
    if (exchange_->started())
      return ContinueOrFail("upstream refused to resume the stream");
    if (auto placement = TryPlaceRetry(RetryUrgency::kUrgent))
      return StartAttempt(*placement);
  } else {
    KeepOnly(*attempt);
    RecordCompletion(*attempt, head.status);
  }
  exchange_->Respond(head.status, head.reason,
                     platform::ResponseHeaders(head.headers),
                     attempt->response_body);
  Finish("answered", head.status, "");
}

void FleetRequest::RecordCompletion(const FleetAttempt& attempt, int status) {
  MonotonicTime now = state_->Now();
  last_upstream_ = attempt.upstream_id;
  if (is_suspect_) state_->crash_correlator.OnCompleted(Fingerprint(), now);
  if (IsSuccess(status)) RecordSoundExecution(attempt);
  state_->RecordServiceTime(service_->name, now - attempt.sent_at);
  // A response in time shows that the upstream is alive, whatever its status.
  RemoveAttempt(attempt, UpstreamVerdict::kSound);
}

void FleetRequest::Refuse(const char* why,
                          std::optional<Milliseconds> retry_after) {
  ++state_->counters.refused;
  exchange_->Respond(kStatusUnavailable, "Service Unavailable",
                     platform::RefusalHeaders(fields_.request_id, retry_after),
                     "");
  Finish("refused", kStatusUnavailable, why);
}

void FleetRequest::Reject(const Rejection& rejection) {
  if (rejection.status == kStatusUnavailable)
    return Refuse(rejection.why, rejection.retry_after);
  ++state_->counters.denied;
  exchange_->Respond(rejection.status, rejection.reason,
                     platform::RefusalHeaders(fields_.request_id, std::nullopt),
                     "");
  Finish("denied", rejection.status, rejection.why);
}

void FleetRequest::Fail(int status, std::string_view reason, const char* why) {
  ++state_->counters.failed;
  exchange_->Respond(status, reason,
                     platform::RefusalHeaders(fields_.request_id, std::nullopt),
                     "");
  Finish("failed", status, why);
}

void FleetRequest::Finish(const char* outcome, int status, const char* why) {
  if (ended_) return;
  ended_ = true;
  MonotonicTime now = state_->Now();
  deadline_timer_.Cancel();
  CancelAttempts(UpstreamVerdict::kUnknown);
  EndPromptPartTest();
  if (std::string_view(outcome) == "answered") ++state_->counters.responded;
  if (std::string_view(outcome) == "broken_off") ++state_->counters.aborted;
  state_->response_seconds->Observe(
      static_cast<double>((now - arrived_at_).count()) / 1000);
  auto age = state_->freshness.Age(BootNow());
  PC_INFO(
      kRouter,
      "event=request_end id="
          << fields_.request_id << " outcome=" << outcome
          << " status=" << status << " why=\"" << why
          << "\" route=" << (route_ == nullptr ? "-" : route_->name)
          << " ms=" << (now - arrived_at_).count() << " first_event_ms="
          << (event_count_ > 0 ? (first_event_at_ - arrived_at_).count() : -1)
          << " events=" << event_count_ << " longest_pause_ms="
          << longest_pause_.count() << " attempts=" << attempts_
          << " upstream=" << last_upstream_ << " load=" << placement_load_
          << " wait_ms=" << placement_wait_.count()
          << " report_age_ms=" << placement_load_age_.count()
          << " waited_before_ms=" << caller_wait_.count()
          << " priority=" << priority_
          << " workspace=" << (workspace_.empty() ? "-" : workspace_)
          << " prompt=" << fields_.prompt_tokens << " answer="
          << fields_.expected_output_tokens.value_or(fields_.max_output_tokens)
          << " weights=" << weights_version_.value_or(0)
          << " config=" << (routes_ == nullptr ? 0 : routes_->config().version)
          << " config_age_ms=" << (age ? age->count() : -1)
          << " key_age_ms=" << (key_age_ ? key_age_->count() : -1));
  // Destroyed in a later loop iteration, because callbacks of this object may
  // still be on the stack.
  FleetState* state = state_;
  state->loop->Post([state, key = this] { state->requests.erase(key); });
}

}  // namespace primrosecove
