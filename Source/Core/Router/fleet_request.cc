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
// Failed connections after which a request is given up. Nothing was sent on
// them, so they don't count as attempts.
constexpr int kMaxFailedConnections = 3;
// A response that is not a stream, and one event of a stream, are kept in
// memory until they are complete.
constexpr size_t kMaxResponseBytes = 4 << 20;
constexpr size_t kMaxEventBytes = 1 << 20;
constexpr int kStatusOk = 200;
constexpr int kStatusMultipleChoices = 300;
constexpr int kStatusServerError = 500;

bool IsSuccess(int status) {
  return status >= kStatusOk && status < kStatusMultipleChoices;
}

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
  arrived_at_ = state_->Now();
  routes_ = state_->routes;
  fields_ = platform::DecodeCallerFields(exchange_->request().headers);
  if (fields_.has_unusable_prompt_parts) {
    PC_INFO(kRouter, "event=prompt_parts_left_out id="
                         << fields_.request_id
                         << " kept=" << fields_.prompt_parts.size());
  }
  if (state_->closing)
    return Refuse("router is stopping", kRetryElsewhereDelay);
  if (routes_ == nullptr)
    return Refuse("no configuration yet", kRetryElsewhereDelay);
  for (const std::string& it : fields_.prompt_parts)
    prompt_part_fingerprints_.push_back(PromptPartFingerprint(it));
  if (!ResolveRoute() || !Authenticate() || !CheckSuspect() ||
      !CheckPromptParts()) {
    return;
  }
  Milliseconds time_limit = route_->timeout;
  if (fields_.deadline) time_limit = std::min(time_limit, *fields_.deadline);
  deadline_ = arrived_at_ + time_limit;
  caller_wait_ = state_->wait_estimator.RecordAndEstimate(
      route_->host + route_->prefix, fields_.deadline, arrived_at_);
  std::weak_ptr<FleetRequest> weak = weak_from_this();
  deadline_timer_ = state_->loop->After(time_limit, [weak] {
    if (auto self = weak.lock()) self->HandleTimeout();
  });
  exchange_->OnDisconnect([weak] {
    if (auto self = weak.lock()) self->HandleDisconnect();
  });
  Dispatch();
}

bool FleetRequest::ResolveRoute() {
  const HttpRequest& request = exchange_->request();
  route_ =
      routes_->Match(request.headers.Find("Host").value_or(""), request.Path());
  if (route_ == nullptr) {
    Deny(404, "Not Found", "no matching route");
    return false;
  }
  const std::string& name =
      routes_->ChooseService(*route_, UniformHash(fields_.request_id));
  service_ = routes_->FindService(name);
  if (service_ == nullptr) {
    Refuse("unknown service", kRetryElsewhereDelay);
    return false;
  }
  return true;
}

bool FleetRequest::Authenticate() {
  if (!routes_->needs_keys() || (route_->is_public && !fields_.key)) {
    return true;
  }
  BootTime now = BootNow();
  const FleetWorkspace* workspace =
      fields_.key ? routes_->FindKey(*fields_.key) : nullptr;
  if (route_->is_public) {
    bool known = workspace != nullptr && state_->freshness.MayUseKeys(now);
    if (known) workspace_ = workspace->name;
    return true;
  }
  if (workspace == nullptr) {
    Deny(401, "Unauthorized", "missing or unknown API key");
    return false;
  }
  if (!state_->freshness.MayUseKeys(now)) {
    Refuse("configuration too old to accept keys", kRetryElsewhereDelay);
    return false;
  }
  workspace_ = workspace->name;
  return true;
}

Milliseconds FleetRequest::TimeLeft() const {
  return deadline_ - state_->Now();
}

void FleetRequest::Dispatch() {
  MonotonicTime now = state_->Now();
  Placement placement = ChoosePlacement(now);
  if (placement.upstream != nullptr) return StartAttempt(placement);
  const char* why = "no upstream available";
  if (placement.candidates > 0) {
    why = "all upstreams at capacity";
  } else if (placement.resting > 0) {
    why = "all upstreams rest";
  } else if (placement.rate_limited > 0) {
    why = "all upstreams at their rate limit";
  }
  GiveUp(why, placement.retry_after);
}

void FleetRequest::GiveUp(const char* why, Milliseconds retry_after) {
  if (exchange_->started()) {
    exchange_->Abort();
    return Finish("broken_off", 0, why);
  }
  if (execution_state_ == ExecutionState::kMayHaveExecuted)
    return Fail(502, "Bad Gateway", why);
  Refuse(why, ComputeRetryAfter(retry_after, state_->RandomFraction()));
}

void FleetRequest::StartAttempt(const Placement& placement) {
  MonotonicTime now = state_->Now();
  FleetUpstream* upstream = placement.upstream;
  placement_load_ = upstream->ExpectedLoad(now);
  placement_wait_ = placement.wait;
  placement_load_age_ = now - upstream->load_reported_at;
  upstream_id_ = upstream->record.id;
  upstream_start_time_ms_ = upstream->StartTimeMs();
  last_upstream_ = upstream_id_;
  tried_upstreams_.insert(upstream_id_);
  UpstreamFields fields;
  fields.deadline = std::max(TimeLeft(), Milliseconds(1));
  fields.upstream_id = upstream_id_;
  fields.workspace = workspace_;
  attempt_weights_version_ = 0;
  if (service_->engine && route_->is_generative) {
    uint64_t minimum_version =
        state_->minimum_versions.MinimumToSend(fields_.model, now);
    attempt_weights_version_ =
        UpstreamRegistry::ServedVersion(*upstream, fields_.model, now);
    if (event_count_ > 0) {
      fields.weights_version = weights_version_;
    } else if (minimum_version > 0 &&
               minimum_version ==
                   state_->minimum_versions.NewestTarget(fields_.model)) {
      fields.weights_version = attempt_weights_version_;
    }
  }
  fields.last_event_id =
      last_event_id_ ? last_event_id_ : fields_.last_event_id;
  const HttpRequest& received = exchange_->request();
  HttpRequest request;
  request.method = received.method;
  request.target = received.target;
  request.headers = platform::UpstreamHeaders(received.headers, fields);
  request.body = received.body;
  CallOptions options;
  options.connect_timeout = kConnectTimeout;
  // A non-idempotent request must not be sent on an idle connection that the
  // upstream may already have closed: its loss could not be retried.
  options.fresh_connection = !route_->IsRetryable();
  options.echo_header = platform::RequestIdHeader();
  options.echo_value = fields_.request_id;
  std::weak_ptr<FleetRequest> weak = weak_from_this();
  CallEvents events;
  events.on_head = [weak](const Http1Head& head) {
    if (auto self = weak.lock()) self->OnHead(head);
  };
  events.on_data = [weak](std::string_view bytes) {
    if (auto self = weak.lock()) self->OnData(bytes);
  };
  events.on_end = [weak](CallResult result) {
    if (auto self = weak.lock()) self->OnCallEnd(std::move(result));
  };
  ++attempts_;
  sent_at_ = now;
  last_data_at_ = now;
  response_began_at_.reset();
  streaming_ = false;
  response_body_.clear();
  framer_.Reset();
  state_->registry.OnSent(upstream_id_, now);
  state_->rate_limits.OnSent(*upstream, WallClockMs());
  state_->rests.OnSent(*upstream, now);
  sent_as_suspect_ = false;
  if (is_suspect_) {
    sent_as_suspect_ = !state_->crash_correlator.HasActiveSuspect(upstream_id_);
    state_->crash_correlator.AddActiveSuspect(upstream_id_);
    counted_as_suspect_ = true;
    ++state_->counters.suspects_sent;
    PC_INFO(kRouter, "event=suspect_sent id=" << fields_.request_id
                                              << " request=" << Fingerprint()
                                              << " upstream=" << upstream_id_
                                              << " alone=" << sent_as_suspect_);
  }
  if (!std::exchange(is_counted_, true)) {
    ++state_->counters.sent;
    state_->RetryBudgetFor(service_->name).OnRequest(now);
  }
  call_ = state_->client->Send(upstream->record.endpoint, request, options,
                               std::move(events));
  PC_DEBUG(kRouter, "event=request_sent id=" << fields_.request_id
                                             << " upstream=" << upstream_id_
                                             << " attempt=" << attempts_);
}

void FleetRequest::OnHead(const Http1Head& head) {
  ResponseFields response =
      platform::DecodeResponseFields(head.status, head.headers);
  MonotonicTime now = state_->Now();
  state_->registry.OnProgress(upstream_id_, now);
  if (const FleetUpstream* upstream = state_->registry.Find(upstream_id_))
    state_->rate_limits.OnResponse(*upstream, response, sent_at_, now);
  if (response.is_leaving) {
    state_->registry.OnStatedLeaving(upstream_id_, upstream_start_time_ms_,
                                     now);
  }
  state_->rests.OnResponse(upstream_id_, upstream_start_time_ms_, response,
                           sent_at_, state_->RandomFraction(), now);
  if (response.load) {
    state_->registry.RecordResponseLoad(upstream_id_, *response.load, now);
  }
  bool is_success = IsSuccess(head.status) && response.is_signed;
  if (is_success) response_began_at_ = now;
  streaming_ = route_->kind == RequestKind::kStream && is_success;
  if (!streaming_) return;
  if (event_count_ == 0) {
    weights_version_ = response.weights_version;
    // Forwards the response head before the first event, so that the caller
    // learns immediately that its request is running.
    if (!exchange_->started()) {
      exchange_->StartStream(head.status, head.reason,
                             platform::ResponseHeaders(head.headers));
    }
  }
}

void FleetRequest::OnData(std::string_view bytes) {
  last_data_at_ = state_->Now();
  state_->registry.OnProgress(upstream_id_, state_->Now());
  if (!streaming_) {
    if (bytes.size() > kMaxResponseBytes - response_body_.size())
      return CutOffAttempt("response too large");
    response_body_.append(bytes);
    return;
  }
  framer_.Push(bytes, [this](const StreamEvent& event) { OnEvent(event); });
  if (framer_.partial_bytes() > kMaxEventBytes)
    CutOffAttempt("event too large");
}

void FleetRequest::CutOffAttempt(const char* why) {
  call_.reset();
  OnAttemptFailure(why);
}

void FleetRequest::OnEvent(const StreamEvent& event) {
  if (event.id) {
    // A resumed stream may start with events that the caller has already
    // received.
    std::optional<uint64_t> last =
        last_event_id_ ? last_event_id_ : fields_.last_event_id;
    if (last && *event.id <= *last) return;
    last_event_id_ = event.id;
  }
  MonotonicTime now = state_->Now();
  if (event_count_ > 0)
    longest_pause_ = std::max(longest_pause_, now - last_event_at_);
  last_event_at_ = now;
  if (event_count_++ == 0) {
    first_event_at_ = now;
    state_->first_event_seconds->Observe(
        static_cast<double>((first_event_at_ - arrived_at_).count()) / 1000);
  }
  exchange_->Write(event.text);
}

void FleetRequest::OnCallEnd(CallResult result) {
  call_.reset();
  if (ended_) return;
  switch (result.end) {
    case CallEnd::kNotSent:
      --attempts_;
      ++failed_connections_;
      if (result.refused) state_->registry.OnConnectionRefused(upstream_id_);
      state_->rate_limits.OnNotSent(upstream_id_, WallClockMs());
      ReleaseUpstream(false);
      if (failed_connections_ < kMaxFailedConnections && !IsBlocked() &&
          TimeLeft() > Milliseconds(0)) {
        return Dispatch();
      }
      return GiveUp("connection failed", kRetryElsewhereDelay);
    case CallEnd::kComplete:
      return OnCompleteResponse(result);
    case CallEnd::kConnectionLost:
      return OnAttemptFailure("connection lost");
    case CallEnd::kMalformed:
      return OnAttemptFailure("malformed response");
    case CallEnd::kTimeout:
      return OnAttemptFailure("response timeout");
  }
}

void FleetRequest::OnCompleteResponse(const CallResult& result) {
  ResponseFields response =
      platform::DecodeResponseFields(result.head->status, result.head->headers);
  if (streaming_) {
    if (framer_.partial_bytes() > 0)
      return OnAttemptFailure("truncated event at end of stream");
    RecordCompletion(result.head->status);
    exchange_->EndStream();
    return Finish("answered", result.head->status, "");
  }
  if (response.not_executed) {
    PC_INFO(kRouter, "event=upstream_refused id="
                         << fields_.request_id << " upstream=" << upstream_id_
                         << " status=" << result.head->status << " rest_ms="
                         << (response.rest ? response.rest->count() : -1)
                         << " malformed=" << response.has_malformed_rest
                         << " leaving=" << response.is_leaving);
    if (response.rest) ++state_->counters.rests_asked;
    state_->registry.OnRefused(upstream_id_, state_->Now());
    ReleaseSuspect();
    upstream_id_.clear();
    if (execution_state_ == ExecutionState::kNotSent)
      execution_state_ = ExecutionState::kRefused;
    return RetryOrFail("upstream refused");
  }
  if (IsSuccess(result.head->status) && !response.is_signed) {
    return OnAttemptFailure("unsigned response");
  }
  bool ok = result.head->status < kStatusServerError;
  RecordCompletion(result.head->status);
  if (!ok && !exchange_->started()) {
    execution_state_ = ExecutionState::kMayHaveExecuted;
    auto placement = route_->IsRetryable() ? TryPlaceRetry() : std::nullopt;
    if (placement) return StartAttempt(*placement);
  }
  if (exchange_->started()) {
    exchange_->Abort();
    return Finish("broken_off", result.head->status,
                  "upstream refused to resume the stream");
  }
  exchange_->Respond(result.head->status, result.head->reason,
                     platform::ResponseHeaders(result.head->headers),
                     response_body_);
  Finish("answered", result.head->status, "");
}

void FleetRequest::RecordCompletion(int status) {
  MonotonicTime now = state_->Now();
  // A response in time shows that the upstream is alive, whatever its status.
  ReleaseUpstream(true);
  state_->RecordServiceTime(service_->name, now - sent_at_);
  if (is_suspect_) state_->crash_correlator.OnCompleted(Fingerprint(), now);
  if (IsSuccess(status)) RecordSoundExecution();
}

void FleetRequest::Refuse(const char* why,
                          std::optional<Milliseconds> retry_after) {
  ++state_->counters.refused;
  exchange_->Respond(503, "Service Unavailable",
                     platform::RefusalHeaders(fields_.request_id, retry_after),
                     "");
  Finish("refused", 503, why);
}

void FleetRequest::Deny(int status, std::string_view reason, const char* why) {
  // A stale configuration may lack a new route or key, so it can't justify a
  // denial.
  if (!state_->freshness.MayDenyUnknown(BootNow())) {
    return Refuse("configuration too old to deny", kRetryElsewhereDelay);
  }
  ++state_->counters.denied;
  exchange_->Respond(status, reason,
                     platform::RefusalHeaders(fields_.request_id, std::nullopt),
                     "");
  Finish("denied", status, why);
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
          << " prompt=" << fields_.prompt_tokens << " answer="
          << fields_.expected_output_tokens.value_or(fields_.max_output_tokens)
          << " weights=" << weights_version_.value_or(0)
          << " config=" << (routes_ == nullptr ? 0 : routes_->config().version)
          << " config_age_ms=" << (age ? age->count() : -1));
  // Destroyed in a later loop iteration, because callbacks of this object may
  // still be on the stack.
  FleetState* state = state_;
  state->loop->Post([state, key = this] { state->requests.erase(key); });
}

}  // namespace primrosecove
