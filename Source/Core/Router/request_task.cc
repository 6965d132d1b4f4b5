#include "Core/Router/request_task.h"

#include <algorithm>
#include <utility>

#include "Core/Common/digest.h"
#include "Core/Common/log.h"
#include "Core/Routing/request_auth.h"
#include "Core/Routing/request_headers.h"

namespace primrosecove {
namespace {

constexpr uint64_t kMaxResponseBytes = 64 << 20;
constexpr size_t kMaxPendingBytes = 256 << 10;
constexpr uint32_t kMaxAttempts = 3;
constexpr size_t kRequestIdBytes = 16;
constexpr Milliseconds kRevokeTimeout{2000};
constexpr std::string_view kDefaultRetryAfter = "1";

std::string NewRequestId() {
  return Sha256(RandomBytes(Digest::kBytes))
      .ToHex()
      .substr(0, kRequestIdBytes * 2);
}

// Parses the agent's load header, "running,waiting".
void RecordLoadReport(const HttpResponse& head, UpstreamStats* stats) {
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
      started_at_(EventLoop::Now()),
      deadline_(started_at_ + request_.timeout) {
  summary_.service = request_.service->name;
  summary_.workspace = request_.workspace;
}

void RequestTask::Start() {
  auto self = shared_from_this();
  exchange_->OnDisconnect([self] { self->OnCallerDisconnect(); });
  exchange_->OnDrained([self] {
    if (self->call_) self->call_->SetReading(true);
  });
  StartDeadlineTimer();
  const HttpRequest& req = exchange_->request();
  fingerprint_ = RequestFingerprint(request_.workspace, req.target, req.body);
  if (IsBlocked()) return RespondBlocked();
  context_.retry_budget->OnRequest();
  StartAttempt();
}

void RequestTask::StartDeadlineTimer() {
  deadline_timer_ = context_.loop->After(
      TimeLeft(), [self = shared_from_this()] { self->OnDeadline(); });
}

void RequestTask::LimitTime(SteadyTime deadline) {
  if (finished_ || deadline >= deadline_) return;
  deadline_ = deadline;
  StartDeadlineTimer();
}

Milliseconds RequestTask::TimeLeft() const {
  auto left =
      std::chrono::duration_cast<Milliseconds>(deadline_ - EventLoop::Now());
  return std::max(left, Milliseconds(1));
}

void RequestTask::StartAttempt() {
  const HostRecord* upstream = context_.upstream_table->Choose(
      *config_, *context_.view, request_, tried_upstreams_);
  if (upstream != nullptr) return SendTo(*upstream);
  if (request_.has_idempotency_key) {
    // An earlier request with the same key may have executed at its home
    // upstream, which is unavailable now.
    return RespondUnknown(
        "the upstream that keeps this request's record is away");
  }
  RespondNotExecuted("no upstream takes the request now", kDefaultRetryAfter);
}

void RequestTask::SendTo(const HostRecord& upstream) {
  ++summary_.attempts;
  upstream_name_ = upstream.name;
  upstream_endpoint_ = upstream.http;
  tried_upstreams_.insert(upstream.name);
  stats_ = context_.upstream_table->StatsFor(upstream.name);
  stats_->OnSent();
  outcome_decided_ = false;
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
  if (!request_.execute_once_id.empty())
    req.headers.Set(kExecuteOnceIdHeader, request_.execute_once_id);
  if (request_.has_idempotency_key)
    req.headers.Set(kHasIdempotencyKeyHeader, "1");
  req.headers.Set(kFingerprintHeader, std::to_string(fingerprint_));
  sent_as_suspect_ = context_.suspects->Classify(fingerprint_, WallClockMs()) ==
                     SuspectVerdict::kSuspect;
  req.headers.Set(kDeadlineHeader, std::to_string(TimeLeft().count()));
  req.headers.Set(kPriorityHeader, std::to_string(request_.priority));
  req.headers.Set(kAuthHeader, SignRequest(*context_.keys, req, WallClockMs()));
  auto self = shared_from_this();
  HttpCallbacks callbacks;
  callbacks.on_head = [self](const HttpResponse& head) { self->OnHead(head); };
  callbacks.on_data = [self](std::string_view data) { self->OnData(data); };
  callbacks.on_response = [self](const HttpResponse&) { self->OnResponse(); };
  callbacks.on_failure = [self](const HttpFailure& it) { self->OnFailure(it); };
  call_ = context_.client->Send(
      upstream_endpoint_, req,
      {.timeout = Milliseconds(0), .max_body_bytes = kMaxResponseBytes},
      std::move(callbacks));
}

void RequestTask::OnHead(const HttpResponse& head) {
  RecordLoadReport(head, stats_);
  auto outcome = head.headers.Find(kOutcomeHeader).value_or("");
  if (outcome == kOutcomeNotExecuted) return OnNotExecuted(head);
  if (head.headers.Find(kConnectionLostHeader)) {
    // Added locally, because a gossiped observation may arrive after the next
    // attempt.
    context_.report_observation(
        {fingerprint_, RendezvousScore("upstream", upstream_name_),
         sent_as_suspect_, WallClockMs() + SuspectTable::kLifetimeMs});
  }
  if (outcome != kOutcomeResponded)
    return OnUnknownOutcome("the upstream's agent does not know");
  streaming_ = true;
  last_data_at_ = EventLoop::Now();
  summary_.status = head.status;
  HttpHeaders headers = head.headers;
  RemoveHopByHopFields(&headers);
  headers.Remove(kLoadHeader);
  headers.Remove(kEngineManifestHeader);
  headers.Remove(kEngineLoadHeader);
  exchange_->StartStream(head.status, std::move(headers));
}

void RequestTask::OnData(std::string_view data) {
  if (!streaming_ || finished_) return;
  SteadyTime now = EventLoop::Now();
  auto ms_since = [now](SteadyTime then) {
    return std::chrono::duration<double, std::milli>(now - then).count();
  };
  if (summary_.first_token_ms < 0) {
    summary_.first_token_ms = ms_since(started_at_);
    stats_->OnFirstToken(summary_.first_token_ms);
  } else {
    ++summary_.gaps;
    if (ms_since(last_data_at_) > request_.service->objectives.token_gap_ms)
      ++summary_.slow_gaps;
  }
  last_data_at_ = now;
  exchange_->Write(data);
  if (exchange_->pending_bytes() > kMaxPendingBytes) call_->SetReading(false);
}

void RequestTask::OnResponse() {
  if (finished_ || !streaming_) return;
  // A complete response of the upstream, possibly with an error status.
  constexpr int kFirstServerError = 500;
  EndAttempt(summary_.status < kFirstServerError);
  if (sent_as_suspect_) {
    context_.report_observation(
        {.subject = fingerprint_,
         .expires_ms = WallClockMs() + SuspectTable::kLifetimeMs,
         .completed = true});
  }
  exchange_->EndStream();
  Finish(kOutcomeResponded, summary_.status);
}

void RequestTask::OnFailure(const HttpFailure& failure) {
  if (finished_ || outcome_decided_) return;
  EndAttempt(false);
  if (streaming_) return AbortResponse(failure.error.message);
  if (failure.progress == HttpProgress::kNotConnected) {
    return RetryOrElse([this] {
      RespondNotExecuted("the upstream cannot be reached", kDefaultRetryAfter);
    });
  }
  OnUnknownOutcome(failure.error.message);
}

// Handles an agent's response that the request did not execute there.
void RequestTask::OnNotExecuted(const HttpResponse& head) {
  outcome_decided_ = true;
  std::string retry_after(
      head.headers.Find(kRetryAfterHeader).value_or(kDefaultRetryAfter));
  EndAttempt(true);
  RetryOrElse([this, retry_after] {
    RespondNotExecuted("the upstreams are busy or leaving", retry_after);
  });
}

// Handles an attempt that may have executed. A request that may execute twice
// is retried elsewhere. For any other the agent is asked to revoke the
// request's id; its response tells whether the request ran.
void RequestTask::OnUnknownOutcome(const std::string& reason) {
  outcome_decided_ = true;
  may_have_executed_ = true;
  if (stats_ != nullptr) EndAttempt(false);
  if (request_.execute_once_id.empty())
    return RetryOrElse([this, reason] { RespondUnknown(reason); });
  RevokeThenRespond(reason);
}

void RequestTask::RevokeThenRespond(const std::string& reason) {
  revoking_ = true;
  HttpRequest req{.method = "POST",
                  .target = std::string(kRevokeRequestTarget),
                  .headers = {},
                  .body = {}};
  req.headers.Set(kRequestIdHeader, request_id_);
  req.headers.Set(kExecuteOnceIdHeader, request_.execute_once_id);
  req.headers.Set(kAuthHeader, SignRequest(*context_.keys, req, WallClockMs()));
  auto self = shared_from_this();
  HttpCallbacks callbacks;
  callbacks.on_response = [self, reason](const HttpResponse& response) {
    bool revoked = response.status == 200 && response.body == "barred";
    self->may_have_executed_ = !revoked;
    if (revoked) return self->RespondNotExecuted(reason, kDefaultRetryAfter);
    self->RespondUnknown(reason);
  };
  callbacks.on_failure = [self, reason](const HttpFailure&) {
    self->RespondUnknown(reason);
  };
  auto old_call = std::shared_ptr<HttpCall>(std::move(call_));
  context_.loop->Post([old_call] {});
  call_ =
      context_.client->Send(upstream_endpoint_, req,
                            {.timeout = kRevokeTimeout}, std::move(callbacks));
}

bool RequestTask::MayRetry() const {
  return summary_.attempts < kMaxAttempts && EventLoop::Now() < deadline_ &&
         !request_.has_idempotency_key;
}

bool RequestTask::IsBlocked() const {
  return context_.suspects->Classify(fingerprint_, WallClockMs()) ==
         SuspectVerdict::kBlocked;
}

// Refuses a request that has crashed two upstreams, with the remaining block
// time in Retry-After.
void RequestTask::RespondBlocked() {
  constexpr int64_t kMsPerSecond = 1000;
  int64_t left_ms =
      context_.suspects->BlockedUntil(fingerprint_) - WallClockMs();
  std::string seconds =
      std::to_string(std::max<int64_t>(1, left_ms / kMsPerSecond));
  std::string reason = "the request has crashed two upstreams";
  // An earlier request with the same key may be one of those that executed.
  if (request_.has_idempotency_key) return RespondUnknown(reason);
  RespondNotExecuted(reason, seconds);
}

void RequestTask::RetryOrElse(const std::function<void()>& otherwise) {
  if (finished_) return;
  if (IsBlocked()) return RespondBlocked();
  bool has_other =
      context_.upstream_table->Choose(*config_, *context_.view, request_,
                                      tried_upstreams_) != nullptr;
  if (!MayRetry() || !has_other || !context_.retry_budget->TryRetry())
    return otherwise();
  // The old call may be further up the call stack.
  auto old_call = std::shared_ptr<HttpCall>(std::move(call_));
  context_.loop->Post([old_call] {});
  StartAttempt();
}

void RequestTask::RespondNotExecuted(const std::string& reason,
                                     std::string_view retry_after) {
  if (finished_) return;
  if (may_have_executed_) return RespondUnknown(reason);
  constexpr int kServiceUnavailable = 503;
  exchange_->Respond(
      kServiceUnavailable,
      {{std::string(kOutcomeHeader), std::string(kOutcomeNotExecuted)},
       {std::string(kRetryAfterHeader), std::string(retry_after)},
       {"Content-Type", "text/plain"}},
      "not run: " + reason + "\n");
  Finish(kOutcomeNotExecuted, kServiceUnavailable);
}

void RequestTask::RespondUnknown(const std::string& reason) {
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

// Ends a response that was forwarded in part. An event stream gets a final
// error event. The connection is aborted, so that the caller can't mistake the
// body for a complete one.
void RequestTask::AbortResponse(const std::string& reason) {
  PC_INFO(kRouter, "response aborted: " << reason);
  if (request_.streaming) {
    exchange_->Write(
        "event: error\ndata: {\"error\":{\"message\":\"the answer broke off\","
        "\"type\":\"upstream_lost\"}}\n\n");
  }
  exchange_->Abort();
  constexpr int kBadGateway = 502;
  Finish(kOutcomeUnknown, kBadGateway);
}

void RequestTask::OnCallerDisconnect() {
  if (finished_) return;
  constexpr int kClientClosedRequest = 499;
  if (stats_ != nullptr) EndAttempt(true);
  Finish(kOutcomeUnknown, kClientClosedRequest);
}

void RequestTask::OnDeadline() {
  if (finished_) return;
  if (stats_ != nullptr) EndAttempt(false);
  if (streaming_) return AbortResponse("request deadline exceeded");
  RespondUnknown("the deadline passed");
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
  summary_.outcome = outcome;
  summary_.status = status;
  // The callbacks of the timer and of the call hold this task, and either may
  // be further up the call stack.
  context_.loop->Post([self = shared_from_this()] {
    self->deadline_timer_.Cancel();
    self->call_.reset();
  });
  on_done_(summary_);
}

}  // namespace primrosecove
