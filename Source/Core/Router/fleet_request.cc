#include "Core/Router/fleet_request.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "Core/Common/log.h"
#include "Core/Fleet/retry_after.h"
#include "platform/headers.h"

namespace primrosecove {
namespace {

// A connection to a live upstream opens within a few milliseconds; a dropped
// opening packet would be repeated only after a second.
constexpr Milliseconds kConnectTimeout{300};
// Connections that may fail before a request is given up; nothing has been
// sent on them.
constexpr int kMaxUnsent = 3;
// An upstream that sends nothing to anybody for so long has stopped: an engine
// with running requests sends events several times a second.
constexpr Milliseconds kSilence{900};
// One that its agent can't reach either has gone after this.
constexpr Milliseconds kGoneSilence{350};
// A request that has not begun on a silent engine by then, with no room
// elsewhere, is given up.
constexpr Milliseconds kHopeless{1600};
// A request that an engine begins at once has its first event by then.
constexpr Milliseconds kUsualStart{350};
// An upstream that has left the list is not watched any more.
constexpr Milliseconds kSilenceOfLeaving{2000};
// An idempotent request is sent again after this multiple of its service's
// usual time, and not before kLeastPatience.
constexpr double kPatience = 4;
constexpr Milliseconds kLeastPatience{220};
// Assumed for a service of which nothing has been measured.
constexpr Milliseconds kAssumedPlainTime{40};
constexpr Milliseconds kAssumedEngineTime{2000};
// A caller that is refused for want of a fresh configuration may find another
// router at once.
constexpr Milliseconds kElsewhere{200};
constexpr int kStatusOk = 200;
constexpr int kStatusMultipleChoices = 300;
constexpr int kStatusServerError = 500;

bool IsSuccess(int status) {
  return status >= kStatusOk && status < kStatusMultipleChoices;
}

// Uniform in [0, 1), equal for equal ids.
double DrawOf(std::string_view id) {
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
  arrival_ = state_->Now();
  routes_ = state_->routes;
  fields_ = platform::DecodeCallerFields(exchange_->request().headers);
  if (state_->closing) return Refuse("stopping", kElsewhere);
  if (routes_ == nullptr) return Refuse("no configuration yet", kElsewhere);
  if (!Understand() || !CheckKey() || !CheckCrashes()) return;
  Milliseconds bound = route_->timeout;
  if (fields_.deadline) bound = std::min(bound, *fields_.deadline);
  bound_ = arrival_ + bound;
  waited_before_ = state_->earlier_wait.RecordAndEstimate(
      route_->host + route_->prefix, fields_.deadline, arrival_);
  std::weak_ptr<FleetRequest> weak = weak_from_this();
  bound_timer_ = state_->loop->After(bound, [weak] {
    if (auto self = weak.lock()) self->HandleTimeout();
  });
  exchange_->OnDisconnect([weak] {
    if (auto self = weak.lock()) self->HandleGone();
  });
  Dispatch();
}

bool FleetRequest::Understand() {
  const HttpRequest& request = exchange_->request();
  route_ =
      routes_->Match(request.headers.Find("Host").value_or(""), request.Path());
  if (route_ == nullptr) {
    Deny(404, "Not Found", "no route");
    return false;
  }
  const std::string& name =
      routes_->ChooseService(*route_, DrawOf(fields_.request_id));
  service_ = routes_->FindService(name);
  if (service_ == nullptr) {
    Refuse("unknown service", kElsewhere);
    return false;
  }
  return true;
}

bool FleetRequest::CheckKey() {
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
    Deny(401, "Unauthorized", "unknown key");
    return false;
  }
  if (!state_->freshness.MayUseKeys(now)) {
    Refuse("configuration too old for keys", kElsewhere);
    return false;
  }
  workspace_ = workspace->name;
  return true;
}

uint64_t FleetRequest::Fingerprint() {
  if (!fingerprint_) {
    const HttpRequest& request = exchange_->request();
    fingerprint_ = RequestFingerprint(workspace_, request.target, request.body);
  }
  return *fingerprint_;
}

bool FleetRequest::CheckCrashes() {
  if (!state_->crashes.any()) return true;
  switch (state_->crashes.Judge(Fingerprint(), arrival_)) {
    case SuspectVerdict::kClear:
      return true;
    case SuspectVerdict::kSuspect:
      suspect_ = true;
      return true;
    case SuspectVerdict::kBlocked:
      break;
  }
  Refuse("its like has crashed upstreams",
         state_->crashes.BlockedFor(Fingerprint(), arrival_));
  return false;
}

Milliseconds FleetRequest::TimeLeft() const { return bound_ - state_->Now(); }

std::vector<FleetUpstream*> FleetRequest::Candidates(MonotonicTime now) {
  auto out = state_->registry.Usable(service_->name, now);
  std::erase_if(out, [this](FleetUpstream* it) {
    return tried_.contains(it->record.id);
  });
  if (service_->engine && route_->is_generative) {
    uint64_t lowest = state_->versions.MinimumToSend(fields_.model, now);
    std::erase_if(out, [&](FleetUpstream* it) {
      uint64_t version =
          UpstreamRegistry::ServedVersion(*it, fields_.model, now);
      if (version == 0 || version < lowest) return true;
      // What has been passed on came from one version of the weights.
      return events_ > 0 && weights_version_ && version != *weights_version_;
    });
  }
  if (!suspect_) return out;
  // Two suspects at one upstream would hide each other; where there is no other
  // place, they run all the same.
  std::vector<FleetUpstream*> apart = out;
  std::erase_if(apart, [this](FleetUpstream* it) {
    return state_->crashes.HasSuspectAt(it->record.id);
  });
  return apart.empty() ? out : apart;
}

Placement FleetRequest::Place(MonotonicTime now) {
  auto candidates = Candidates(now);
  PlacementRequest request;
  request.route = route_;
  request.service = service_;
  request.home_zone = state_->settings.zone;
  request.home_region = state_->settings.region;
  request.region_of_zone = &state_->settings.region_of_zone;
  request.prompt_tokens = fields_.prompt_tokens;
  request.mean_service_time =
      state_->MeanTime(service_->name, service_->engine ? kAssumedEngineTime
                                                        : kAssumedPlainTime);
  request.expected_service_time = ExpectedTime(request.mean_service_time);
  request.waited = waited_before_ + (now - arrival_);
  request.response_started = events_ > 0;
  Placement out = state_->policy->Choose(candidates, request, now);
  out.candidates = candidates.size();
  return out;
}

// An answer takes a pass of the engine for each few tokens, so its length
// against the usual one tells its time.
Milliseconds FleetRequest::ExpectedTime(Milliseconds usual) const {
  if (!service_->engine || service_->engine->typical_output_tokens <= 0) {
    return usual;
  }
  int64_t tokens =
      fields_.expected_output_tokens.value_or(fields_.max_output_tokens);
  if (tokens <= 0) return usual;
  double share =
      static_cast<double>(tokens) / service_->engine->typical_output_tokens;
  return Milliseconds(
      static_cast<int64_t>(share * static_cast<double>(usual.count())));
}

void FleetRequest::Dispatch() {
  MonotonicTime now = state_->Now();
  Placement placement = Place(now);
  if (placement.upstream != nullptr) return Send(placement);
  GiveUp(placement.candidates == 0 ? "no upstream" : "all full",
         placement.retry_after);
}

void FleetRequest::GiveUp(const char* why, Milliseconds retry_after) {
  if (exchange_->started()) {
    exchange_->Abort();
    return Finish("broken_off", 0, why);
  }
  if (fate_ == Fate::kMayHaveRun) return Fail(502, "Bad Gateway", why);
  Refuse(why, ComputeRetryAfter(retry_after, state_->Draw()));
}

void FleetRequest::Send(const Placement& placement) {
  MonotonicTime now = state_->Now();
  FleetUpstream* upstream = placement.upstream;
  decided_load_ = upstream->ExpectedLoad(now);
  decided_wait_ = placement.wait;
  decided_report_age_ = now - upstream->load_reported_at;
  upstream_id_ = upstream->record.id;
  last_upstream_ = upstream_id_;
  tried_.insert(upstream_id_);
  UpstreamFields fields;
  fields.deadline = std::max(TimeLeft(), Milliseconds(1));
  fields.upstream_id = upstream_id_;
  fields.workspace = workspace_;
  attempt_version_ = 0;
  if (service_->engine && route_->is_generative) {
    uint64_t lowest = state_->versions.MinimumToSend(fields_.model, now);
    attempt_version_ =
        UpstreamRegistry::ServedVersion(*upstream, fields_.model, now);
    if (events_ > 0) {
      fields.weights_version = weights_version_;
    } else if (lowest > 0 &&
               lowest == state_->versions.NewestTarget(fields_.model)) {
      fields.weights_version = attempt_version_;
    }
  }
  fields.last_event_id = last_event_ ? last_event_ : fields_.last_event_id;
  const HttpRequest& from = exchange_->request();
  HttpRequest request;
  request.method = from.method;
  request.target = from.target;
  request.headers = platform::UpstreamHeaders(from.headers, fields);
  request.body = from.body;
  CallOptions options;
  options.connect_timeout = kConnectTimeout;
  // A request that may run once must not be lost on a connection that the
  // other side has already given up.
  options.fresh_connection = !route_->IsRetryable();
  options.echo_header = platform::RequestIdHeader();
  options.echo_value = fields_.request_id;
  std::weak_ptr<FleetRequest> weak = weak_from_this();
  CallEvents events;
  events.on_head = [weak](const Http1Head& head) {
    if (auto self = weak.lock()) self->TakeHead(head);
  };
  events.on_data = [weak](std::string_view bytes) {
    if (auto self = weak.lock()) self->TakeData(bytes);
  };
  events.on_end = [weak](CallResult result) {
    if (auto self = weak.lock()) self->TakeEnd(std::move(result));
  };
  ++attempts_;
  sent_at_ = now;
  heard_at_ = now;
  streaming_ = false;
  body_.clear();
  framer_.Reset();
  state_->registry.OnSent(upstream_id_, now);
  sent_as_suspect_ = false;
  if (suspect_) {
    sent_as_suspect_ = !state_->crashes.HasSuspectAt(upstream_id_);
    state_->crashes.AddSuspectAt(upstream_id_);
    counted_suspect_ = true;
  }
  if (attempts_ == 1) state_->AllowanceOf(service_->name).OnRequest(now);
  call_ = state_->client->Send(upstream->record.endpoint, request, options,
                               std::move(events));
  PC_DEBUG(kRouter, "event=request_sent id=" << fields_.request_id
                                             << " upstream=" << upstream_id_
                                             << " attempt=" << attempts_);
}

void FleetRequest::TakeHead(const Http1Head& head) {
  ResponseFields answer =
      platform::DecodeResponseFields(head.status, head.headers);
  MonotonicTime now = state_->Now();
  state_->registry.OnProgress(upstream_id_, now);
  if (answer.load) {
    state_->registry.RecordResponseLoad(upstream_id_, *answer.load, now);
  }
  streaming_ = route_->kind == RequestKind::kStream && IsSuccess(head.status) &&
               answer.is_signed;
  if (!streaming_) return;
  if (events_ == 0) {
    weights_version_ = answer.weights_version;
    // The caller learns at once that its request runs; the first event follows.
    if (!exchange_->started()) {
      exchange_->StartStream(head.status, head.reason,
                             platform::ResponseHeaders(head.headers));
    }
  }
}

void FleetRequest::TakeData(std::string_view bytes) {
  heard_at_ = state_->Now();
  state_->registry.OnProgress(upstream_id_, state_->Now());
  if (!streaming_) {
    body_.append(bytes);
    return;
  }
  framer_.Push(bytes, [this](const StreamEvent& event) { TakeEvent(event); });
}

void FleetRequest::TakeEvent(const StreamEvent& event) {
  if (event.id) {
    // A resumed stream may begin with what the caller has already got.
    std::optional<uint64_t> last =
        last_event_ ? last_event_ : fields_.last_event_id;
    if (last && *event.id <= *last) return;
    last_event_ = event.id;
  }
  MonotonicTime now = state_->Now();
  if (events_ > 0) longest_pause_ = std::max(longest_pause_, now - event_at_);
  event_at_ = now;
  if (events_++ == 0) {
    first_event_at_ = now;
    state_->first_event_seconds->Observe(
        static_cast<double>((first_event_at_ - arrival_).count()) / 1000);
  }
  exchange_->Write(event.text);
}

void FleetRequest::TakeEnd(CallResult result) {
  call_.reset();
  if (ended_) return;
  switch (result.end) {
    case CallEnd::kNotSent:
      --attempts_;
      ++unsent_;
      ReleaseUpstream(false);
      if (unsent_ < kMaxUnsent && TimeLeft() > Milliseconds(0)) {
        return Dispatch();
      }
      return GiveUp("no connection", kElsewhere);
    case CallEnd::kComplete:
      return TakeAnswer(result);
    case CallEnd::kConnectionLost:
      return TakeFailure("connection broke off");
    case CallEnd::kMalformed:
      return TakeFailure("malformed answer");
    case CallEnd::kTimeout:
      return TakeFailure("no answer in time");
  }
}

void FleetRequest::TakeAnswer(const CallResult& result) {
  ResponseFields answer =
      platform::DecodeResponseFields(result.head->status, result.head->headers);
  if (streaming_) {
    if (framer_.partial_bytes() > 0) return TakeFailure("stream cut short");
    ReleaseUpstream(true);
    state_->TakeTime(service_->name, state_->Now() - sent_at_);
    exchange_->EndStream();
    return Finish("answered", result.head->status, "");
  }
  if (answer.not_executed) {
    PC_INFO(kRouter, "event=upstream_refused id="
                         << fields_.request_id << " upstream=" << upstream_id_
                         << " status=" << result.head->status);
    state_->registry.OnRefused(upstream_id_, state_->Now());
    StopCountingSuspect();
    upstream_id_.clear();
    if (fate_ == Fate::kNotSent) fate_ = Fate::kRefused;
    return RetryOrFail("upstreams refused");
  }
  if (IsSuccess(result.head->status) && !answer.is_signed) {
    return TakeFailure("unsigned answer");
  }
  bool ok = result.head->status < kStatusServerError;
  // An answer in good time shows a live upstream, whatever it says.
  ReleaseUpstream(true);
  state_->TakeTime(service_->name, state_->Now() - sent_at_);
  if (!ok && !exchange_->started()) {
    fate_ = Fate::kMayHaveRun;
    auto placement = route_->IsRetryable() ? TryPlaceAgain() : std::nullopt;
    if (placement) return Send(*placement);
  }
  if (exchange_->started()) {
    exchange_->Abort();
    return Finish("broken_off", result.head->status, "resume was refused");
  }
  exchange_->Respond(result.head->status, result.head->reason,
                     platform::ResponseHeaders(result.head->headers), body_);
  Finish("answered", result.head->status, "");
}

void FleetRequest::TakeFailure(const char* why) {
  PC_INFO(kRouter, "event=attempt_failed id="
                       << fields_.request_id << " upstream=" << upstream_id_
                       << " events=" << events_ << " why=\"" << why << "\"");
  NoteBroken();
  ReleaseUpstream(false);
  fate_ = Fate::kMayHaveRun;
  RetryOrFail(why);
}

void FleetRequest::NoteBroken() {
  MonotonicTime now = state_->Now();
  state_->crashes.OnBroken(Fingerprint(), upstream_id_, sent_as_suspect_, now);
  suspect_ = suspect_ || state_->crashes.Judge(Fingerprint(), now) !=
                             SuspectVerdict::kClear;
}

std::optional<Placement> FleetRequest::TryPlaceAgain() {
  if (attempts_ >= route_->max_attempts) return std::nullopt;
  if (fate_ == Fate::kMayHaveRun && !route_->IsRetryable()) return std::nullopt;
  if (TimeLeft() <= Milliseconds(0)) return std::nullopt;
  // Without a place to go, nothing of the allowance is used.
  Placement placement = Place(state_->Now());
  if (placement.upstream == nullptr) return std::nullopt;
  if (!state_->AllowanceOf(service_->name).TryRetry(state_->Now())) {
    return std::nullopt;
  }
  ++state_->counters.repeats;
  if (events_ > 0) ++state_->counters.resumed;
  return placement;
}

void FleetRequest::RetryOrFail(const char* why) {
  if (auto placement = TryPlaceAgain()) return Send(*placement);
  GiveUp(why, kElsewhere);
}

void FleetRequest::StopCountingSuspect() {
  if (!std::exchange(counted_suspect_, false)) return;
  state_->crashes.RemoveSuspectAt(upstream_id_);
}

void FleetRequest::ReleaseUpstream(bool ok) {
  if (upstream_id_.empty()) return;
  StopCountingSuspect();
  state_->registry.OnEnded(upstream_id_, ok, state_->Now());
  upstream_id_.clear();
}

void FleetRequest::CheckUpstream(MonotonicTime now) {
  if (ended_ || call_ == nullptr) return;
  if (IsTooLateToBegin(now)) return TakeBack("weights too old to begin on");
  if (!route_->IsRetryable() || attempts_ >= route_->max_attempts) return;
  const FleetUpstream* upstream = state_->registry.Find(upstream_id_);
  bool lost = false;
  const char* why = "upstream is silent";
  if (upstream == nullptr) {
    // One that has left the list goes on serving what it has.
    lost = now - heard_at_ > kSilenceOfLeaving;
  } else if (upstream->status && !upstream->status->reachable &&
             now - upstream->status_received_at <
                 UpstreamRegistry::kStatusLifetime) {
    // One that leaves takes no new connection, not even its agent's, and still
    // serves what it has.
    lost = now - std::max(upstream->last_progress, sent_at_) > kGoneSilence;
    why = "upstream has gone";
  } else if (WaitsAtLoadingEngine(*upstream, now)) {
    lost = true;
    why = "engine loads weights";
  } else if (service_->engine) {
    lost = now - std::max(upstream->last_progress, sent_at_) > kSilence;
  } else if (route_->kind == RequestKind::kIdempotent) {
    Milliseconds usual = state_->MeanTime(service_->name, kAssumedPlainTime);
    auto patience = std::max(
        kLeastPatience, Milliseconds(static_cast<int64_t>(
                            kPatience * static_cast<double>(usual.count()))));
    lost = now - sent_at_ > patience;
    why = "answer is overdue";
  }
  if (!lost) return;
  Fate before = std::exchange(fate_, Fate::kMayHaveRun);
  auto placement = TryPlaceAgain();
  if (!placement) {
    fate_ = before;
    // Its caller can still try elsewhere; a stopped engine would run it when
    // that caller has left.
    bool hopeless = service_->engine && events_ == 0 && !exchange_->started() &&
                    now - heard_at_ > kHopeless;
    if (hopeless) TakeBack(why);
    return;
  }
  PC_INFO(kRouter, "event=attempt_abandoned id="
                       << fields_.request_id << " upstream=" << upstream_id_
                       << " events=" << events_ << " why=\"" << why << "\"");
  call_.reset();
  NoteBroken();
  ReleaseUpstream(false);
  Send(*placement);
}

// A loading engine begins nothing until its running requests have ended and the
// weights are in, seconds later. A request that was sent just before the order
// waits for all of that.
bool FleetRequest::WaitsAtLoadingEngine(const FleetUpstream& upstream,
                                        MonotonicTime now) const {
  return events_ == 0 && upstream.status && upstream.status->loading &&
         now - upstream.status_received_at <
             UpstreamRegistry::kStatusLifetime &&
         now - sent_at_ > kUsualStart;
}

// Whether the request still waits at an engine whose weights are about to be
// too old to begin on.
bool FleetRequest::IsTooLateToBegin(MonotonicTime now) const {
  if (attempt_version_ == 0 || events_ > 0) return false;
  return attempt_version_ < state_->versions.MinimumToStart(fields_.model, now);
}

void FleetRequest::TakeBack(const char* why) {
  PC_INFO(kRouter, "event=attempt_abandoned id="
                       << fields_.request_id << " upstream=" << upstream_id_
                       << " events=0 why=\"" << why << "\"");
  call_.reset();
  ReleaseUpstream(true);
  fate_ = Fate::kMayHaveRun;
  RetryOrFail(why);
}

void FleetRequest::HandleTimeout() {
  if (ended_) return;
  if (call_ != nullptr) fate_ = Fate::kMayHaveRun;
  call_.reset();
  ReleaseUpstream(service_->engine.has_value());
  if (!exchange_->started() && fate_ == Fate::kMayHaveRun) {
    return Fail(504, "Gateway Timeout", "time is up");
  }
  GiveUp("time is up", kElsewhere);
}

void FleetRequest::HandleGone() {
  if (ended_) return;
  ++state_->counters.callers_gone;
  call_.reset();
  ReleaseUpstream(true);
  Finish("caller_gone", 0, "");
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
  // A stale configuration may just have missed the route or the key.
  if (!state_->freshness.MayDenyUnknown(BootNow())) {
    return Refuse("configuration too old to deny", kElsewhere);
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
  bound_timer_.Cancel();
  if (std::string_view(outcome) == "answered") ++state_->counters.answered;
  if (std::string_view(outcome) == "broken_off") ++state_->counters.broken_off;
  state_->answer_seconds->Observe(
      static_cast<double>((now - arrival_).count()) / 1000);
  auto age = state_->freshness.Age(BootNow());
  PC_INFO(
      kRouter,
      "event=request_end id="
          << fields_.request_id << " outcome=" << outcome
          << " status=" << status << " why=\"" << why
          << "\" route=" << (route_ == nullptr ? "-" : route_->name)
          << " ms=" << (now - arrival_).count() << " first_event_ms="
          << (events_ > 0 ? (first_event_at_ - arrival_).count() : -1)
          << " events=" << events_
          << " longest_pause_ms=" << longest_pause_.count()
          << " attempts=" << attempts_ << " upstream=" << last_upstream_
          << " load=" << decided_load_ << " wait_ms=" << decided_wait_.count()
          << " report_age_ms=" << decided_report_age_.count()
          << " waited_before_ms=" << waited_before_.count()
          << " prompt=" << fields_.prompt_tokens << " answer="
          << fields_.expected_output_tokens.value_or(fields_.max_output_tokens)
          << " weights=" << weights_version_.value_or(0)
          << " config=" << (routes_ == nullptr ? 0 : routes_->config().version)
          << " config_age_ms=" << (age ? age->count() : -1));
  // Destroyed from a fresh stack, because callbacks of this object may still
  // be running.
  FleetState* state = state_;
  state->loop->Post([state, key = this] { state->requests.erase(key); });
}

}  // namespace primrosecove
