#include "Core/Router/request_task.h"

#include <algorithm>
#include <utility>

#include "Core/Common/digest.h"
#include "Core/Common/log.h"
#include "Core/Routing/request_auth.h"
#include "Core/Routing/request_headers.h"

namespace primrosecove {
namespace {

constexpr uint64_t kMaxAnswerBytes = 64 << 20;
constexpr size_t kMaxUnreadBytes = 256 << 10;
constexpr uint32_t kMaxAttempts = 3;
constexpr size_t kRequestIdBytes = 16;
constexpr Milliseconds kBarTimeout{2000};
constexpr std::string_view kDefaultRetryAfter = "1";

std::string NewRequestId() {
  return Sha256(RandomBytes(Digest::kBytes))
      .ToHex()
      .substr(0, kRequestIdBytes * 2);
}

// "running,waiting" as the agent reports them.
void TakeLoadReport(const HttpResponse& head, UpstreamStats* stats) {
  auto text = head.headers.Find(kLoadHeader);
  if (!text) return;
  uint32_t running = 0;
  uint32_t waiting = 0;
  std::string copy(*text);
  if (std::sscanf(copy.c_str(), "%u,%u", &running, &waiting) == 2) {
    stats->OnLoadReport(running, waiting);
  }
}

}  // namespace

RequestTask::RequestTask(RequestContext context,
                         std::shared_ptr<const Configuration> config,
                         CallerRequest request,
                         std::shared_ptr<HttpExchange> exchange,
                         DoneCallback on_done)
    : context_(context),
      config_(std::move(config)),
      request_(std::move(request)),
      exchange_(std::move(exchange)),
      on_done_(std::move(on_done)),
      request_id_(NewRequestId()),
      started_(EventLoop::Now()),
      deadline_(started_ + request_.timeout) {
  report_.service = request_.service->name;
  report_.workspace = request_.workspace;
}

void RequestTask::Start() {
  auto self = shared_from_this();
  exchange_->OnDisconnect([self] { self->OnCallerGone(); });
  exchange_->OnDrained([self] {
    if (self->call_) self->call_->SetReading(true);
  });
  deadline_timer_ =
      context_.loop->After(request_.timeout, [self] { self->OnDeadline(); });
  const HttpRequest& req = exchange_->request();
  fingerprint_ = RequestFingerprint(request_.workspace, req.target, req.body);
  if (IsBlocked()) return AnswerBlocked();
  context_.retries->OnRequest();
  Attempt();
}

Milliseconds RequestTask::TimeLeft() const {
  auto left =
      std::chrono::duration_cast<Milliseconds>(deadline_ - EventLoop::Now());
  return std::max(left, Milliseconds(1));
}

void RequestTask::Attempt() {
  const HostRecord* upstream =
      context_.table->Choose(*config_, *context_.view, request_, tried_);
  if (upstream != nullptr) return SendTo(*upstream);
  if (request_.keyed) {
    // An earlier send with the same key may have run at the home that is away.
    return AnswerUnknown(
        "the upstream that keeps this request's record is away");
  }
  AnswerNotRun("no upstream takes the request now", kDefaultRetryAfter);
}

void RequestTask::SendTo(const HostRecord& upstream) {
  ++report_.attempts;
  upstream_name_ = upstream.name;
  upstream_endpoint_ = upstream.http;
  tried_.insert(upstream.name);
  stats_ = context_.table->Stats(upstream.name);
  stats_->OnSent();
  refused_ = false;
  HttpRequest req = exchange_->request();
  RemoveHopByHopFields(&req.headers);
  req.headers.Remove("Host");
  for (std::string_view it :
       {kAuthHeader, kManifestHeader, kAdapterHeader, kExecuteOnceIdHeader,
        kDeadlineHeader, kPriorityHeader, kRequestIdHeader,
        kHasIdempotencyKeyHeader, kFingerprintHeader}) {
    req.headers.Remove(it);
  }
  req.headers.Set(kRequestIdHeader, request_id_);
  req.headers.Set(kManifestHeader, std::to_string(upstream.serving.manifest));
  if (!request_.adapter.empty())
    req.headers.Set(kAdapterHeader, request_.adapter);
  if (!request_.once_id.empty())
    req.headers.Set(kExecuteOnceIdHeader, request_.once_id);
  if (request_.keyed) req.headers.Set(kHasIdempotencyKeyHeader, "1");
  req.headers.Set(kFingerprintHeader, std::to_string(fingerprint_));
  sent_as_suspect_ = context_.suspects->Classify(fingerprint_, WallClockMs()) ==
                     SuspectVerdict::kSuspect;
  req.headers.Set(kDeadlineHeader, std::to_string(TimeLeft().count()));
  req.headers.Set(kPriorityHeader, std::to_string(request_.priority));
  req.headers.Set(kAuthHeader, SignRequest(*context_.keys, req, WallClockMs()));
  auto self = shared_from_this();
  HttpCallbacks callbacks;
  callbacks.on_head = [self](const HttpResponse& head) { self->OnHead(head); };
  callbacks.on_data = [self](std::string_view piece) { self->OnData(piece); };
  callbacks.on_response = [self](const HttpResponse&) { self->OnResponse(); };
  callbacks.on_failure = [self](const HttpFailure& it) { self->OnFailure(it); };
  call_ = context_.client->Send(
      upstream_endpoint_, std::move(req),
      {.timeout = Milliseconds(0), .max_body_bytes = kMaxAnswerBytes},
      std::move(callbacks));
}

void RequestTask::OnHead(const HttpResponse& head) {
  TakeLoadReport(head, stats_);
  auto outcome = head.headers.Find(kOutcomeHeader).value_or("");
  if (outcome == kOutcomeNotExecuted) return OnNotRun(head);
  if (head.headers.Find(kConnectionLostHeader)) {
    // The news of it may come later than the next attempt.
    context_.add_sighting(
        {fingerprint_, RendezvousScore("upstream", upstream_name_),
         sent_as_suspect_, WallClockMs() + SuspectTable::kLifetimeMs});
  }
  if (outcome != kOutcomeResponded)
    return OnUnknown("the upstream's agent does not know");
  streaming_ = true;
  last_piece_ = EventLoop::Now();
  report_.status = head.status;
  HttpHeaders headers = head.headers;
  RemoveHopByHopFields(&headers);
  headers.Remove(kLoadHeader);
  headers.Remove(kEngineManifestHeader);
  headers.Remove(kEngineLoadHeader);
  exchange_->StartStream(head.status, std::move(headers));
}

void RequestTask::OnData(std::string_view piece) {
  if (!streaming_ || finished_) return;
  SteadyTime now = EventLoop::Now();
  auto ms_since = [now](SteadyTime then) {
    return std::chrono::duration<double, std::milli>(now - then).count();
  };
  if (report_.first_token_ms < 0) {
    report_.first_token_ms = ms_since(started_);
    stats_->OnFirstToken(report_.first_token_ms);
  } else {
    ++report_.gaps;
    if (ms_since(last_piece_) > request_.service->objectives.token_gap_ms)
      ++report_.slow_gaps;
  }
  last_piece_ = now;
  exchange_->Write(piece);
  if (exchange_->pending_bytes() > kMaxUnreadBytes) call_->SetReading(false);
}

void RequestTask::OnResponse() {
  if (finished_ || !streaming_) return;
  // A whole answer of the upstream, also one that says an error of its own.
  constexpr int kFirstServerError = 500;
  EndAttempt(report_.status < kFirstServerError);
  exchange_->EndStream();
  Finish(kOutcomeResponded, report_.status);
}

void RequestTask::OnFailure(const HttpFailure& failure) {
  if (finished_ || refused_) return;
  EndAttempt(false);
  if (streaming_) return BreakOff(failure.error.message);
  if (failure.progress == HttpProgress::kNotConnected) {
    return RetryOr([this] {
      AnswerNotRun("the upstream cannot be reached", kDefaultRetryAfter);
    });
  }
  OnUnknown(failure.error.message);
}

// The agent has answered that the request did not run there.
void RequestTask::OnNotRun(const HttpResponse& head) {
  refused_ = true;
  std::string retry_after(
      head.headers.Find(kRetryAfterHeader).value_or(kDefaultRetryAfter));
  EndAttempt(true);
  RetryOr([this, retry_after] {
    AnswerNotRun("the upstreams are busy or leaving", retry_after);
  });
}

// The request may have run. One that may run again is tried elsewhere; for
// another the agent is asked to bar it, which tells whether it ran.
void RequestTask::OnUnknown(const std::string& reason) {
  refused_ = true;
  may_have_run_ = true;
  if (stats_ != nullptr) EndAttempt(false);
  if (request_.once_id.empty())
    return RetryOr([this, reason] { AnswerUnknown(reason); });
  BarThenAnswer(reason);
}

void RequestTask::BarThenAnswer(const std::string& reason) {
  barring_ = true;
  HttpRequest req{.method = "POST",
                  .target = std::string(kRevokeRequestTarget),
                  .headers = {},
                  .body = {}};
  req.headers.Set(kRequestIdHeader, request_id_);
  req.headers.Set(kExecuteOnceIdHeader, request_.once_id);
  req.headers.Set(kAuthHeader, SignRequest(*context_.keys, req, WallClockMs()));
  auto self = shared_from_this();
  HttpCallbacks callbacks;
  callbacks.on_response = [self, reason](const HttpResponse& response) {
    bool barred = response.status == 200 && response.body == "barred";
    self->may_have_run_ = !barred;
    if (barred) return self->AnswerNotRun(reason, kDefaultRetryAfter);
    self->AnswerUnknown(reason);
  };
  callbacks.on_failure = [self, reason](const HttpFailure&) {
    self->AnswerUnknown(reason);
  };
  auto old_call = std::shared_ptr<HttpCall>(std::move(call_));
  context_.loop->Post([old_call] {});
  call_ = context_.client->Send(upstream_endpoint_, std::move(req),
                                {.timeout = kBarTimeout}, std::move(callbacks));
}

bool RequestTask::MayRetry() const {
  return report_.attempts < kMaxAttempts && EventLoop::Now() < deadline_ &&
         !request_.keyed;
}

bool RequestTask::IsBlocked() const {
  return context_.suspects->Classify(fingerprint_, WallClockMs()) ==
         SuspectVerdict::kBlocked;
}

// The request has crashed two upstreams; it is refused at once, with the time
// at which that ends.
void RequestTask::AnswerBlocked() {
  constexpr int64_t kMsPerSecond = 1000;
  int64_t left_ms =
      context_.suspects->BlockedUntil(fingerprint_) - WallClockMs();
  std::string seconds =
      std::to_string(std::max<int64_t>(1, left_ms / kMsPerSecond));
  std::string reason = "the request has crashed two upstreams";
  // An earlier send with the same key may be one of those that ran.
  if (request_.keyed) return AnswerUnknown(reason);
  AnswerNotRun(reason, seconds);
}

void RequestTask::RetryOr(const std::function<void()>& give_up) {
  if (finished_) return;
  if (IsBlocked()) return AnswerBlocked();
  bool others = context_.table->Choose(*config_, *context_.view, request_,
                                       tried_) != nullptr;
  if (!MayRetry() || !others || !context_.retries->TryRetry()) return give_up();
  // The old call may be on the stack below.
  auto old_call = std::shared_ptr<HttpCall>(std::move(call_));
  context_.loop->Post([old_call] {});
  Attempt();
}

void RequestTask::AnswerNotRun(const std::string& reason,
                               std::string_view retry_after) {
  if (finished_) return;
  if (may_have_run_) return AnswerUnknown(reason);
  constexpr int kServiceUnavailable = 503;
  exchange_->Respond(
      kServiceUnavailable,
      {{std::string(kOutcomeHeader), std::string(kOutcomeNotExecuted)},
       {std::string(kRetryAfterHeader), std::string(retry_after)},
       {"Content-Type", "text/plain"}},
      "not run: " + reason + "\n");
  Finish(kOutcomeNotExecuted, kServiceUnavailable);
}

void RequestTask::AnswerUnknown(const std::string& reason) {
  if (finished_) return;
  constexpr int kBadGateway = 502;
  exchange_->Respond(
      kBadGateway,
      {{std::string(kOutcomeHeader), std::string(kOutcomeUnknown)},
       {std::string(kRetryAfterHeader), std::string(kDefaultRetryAfter)},
       {"Content-Type", "text/plain"}},
      "outcome unknown: " + reason + "\n");
  Finish(kOutcomeUnknown, kBadGateway);
}

// Part of the answer has been passed on. A stream ends with an event that says
// so; any other body is cut, so that the caller cannot take it for whole.
void RequestTask::BreakOff(const std::string& reason) {
  PC_INFO(kRouter, "an answer broke off: " << reason);
  if (request_.streaming) {
    exchange_->Write(
        "event: error\ndata: {\"error\":{\"message\":\"the answer broke off\","
        "\"type\":\"upstream_lost\"}}\n\n");
  }
  exchange_->Abort();
  constexpr int kBadGateway = 502;
  Finish(kOutcomeUnknown, kBadGateway);
}

void RequestTask::OnCallerGone() {
  if (finished_) return;
  constexpr int kClientClosedRequest = 499;
  if (stats_ != nullptr) EndAttempt(true);
  Finish(kOutcomeUnknown, kClientClosedRequest);
}

void RequestTask::OnDeadline() {
  if (finished_) return;
  if (stats_ != nullptr) EndAttempt(false);
  if (streaming_) return BreakOff("the deadline passed");
  AnswerUnknown("the deadline passed");
}

void RequestTask::EndAttempt(bool success) {
  if (stats_ == nullptr) return;
  stats_->OnEnded();
  if (success) {
    stats_->OnSuccess();
  } else {
    stats_->OnFailure(EventLoop::Now());
  }
  stats_ = nullptr;
}

void RequestTask::Finish(std::string_view outcome, int status) {
  if (std::exchange(finished_, true)) return;
  report_.outcome = outcome;
  report_.status = status;
  // The timer's callback and the call's hold this task; both may be on the
  // stack below.
  context_.loop->Post([self = shared_from_this()] {
    self->deadline_timer_.Cancel();
    self->call_.reset();
  });
  on_done_(report_);
}

}  // namespace primrosecove
