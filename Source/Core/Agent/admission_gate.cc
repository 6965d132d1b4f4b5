#include "Core/Agent/admission_gate.h"

#include <algorithm>
#include <utility>

#include "Core/Common/log.h"
#include "Core/Common/text.h"
#include "Core/Routing/request_auth.h"
#include "Core/Routing/request_headers.h"

namespace primrosecove {
namespace {

constexpr Milliseconds kRetryAfterClosed{1000};
constexpr Milliseconds kRetryAfterQueueFull{500};
constexpr uint64_t kMaxResponseBytes = 64 << 20;
// Reading from the upstream pauses when a slow caller leaves more than this
// unread.
constexpr size_t kMaxUnreadBytes = 256 << 10;
// Response body bytes that are recorded for a retry while the body is streamed.
constexpr size_t kMaxRecordedBodyBytes = 64 << 10;

std::string PrefixText(uint64_t prefix) { return std::to_string(prefix); }

std::string SecondsText(Milliseconds ms) {
  constexpr int64_t kMsPerSecond = 1000;
  return std::to_string(
      std::max<int64_t>(1, (ms.count() + kMsPerSecond - 1) / kMsPerSecond));
}

}  // namespace

struct AdmissionGate::PendingRequest {
  std::shared_ptr<HttpExchange> exchange;
  std::unique_ptr<HttpCall> call;
  std::string
      execute_once_id;  // Empty for a request that may run more than once.
  uint64_t priority = 1;
  uint64_t fingerprint = 0;
  bool is_suspect = false;
  bool holds_suspect_slot = false;  // Until the request has left the gate.
  SteadyTime deadline;
  uint64_t expected_manifest = 0;
  HttpResponse head;
  std::string recorded_body;
  bool forwarded = false;
  bool ended = false;
  Timer queue_timer;
};

AdmissionGate::AdmissionGate(EventLoop* loop, const KeyRing* keys,
                             Endpoint upstream, DedupOptions dedup_options,
                             std::function<void()> on_version_mismatch)
    : loop_(loop),
      keys_(keys),
      upstream_(std::move(upstream)),
      client_(loop),
      dedup_table_(dedup_options),
      on_version_mismatch_(std::move(on_version_mismatch)) {}

AdmissionGate::~AdmissionGate() {
  // Calls and requests refer to each other through callbacks; cancelling the
  // calls breaks the cycle.
  auto running = std::exchange(running_, {});
  for (const auto& [key, pending] : running) {
    pending->ended = true;
    pending->call.reset();
    pending->exchange.reset();
  }
}

void AdmissionGate::Open(AdmittedVersion version) {
  version_ = std::move(version);
}

void AdmissionGate::SetLimits(AdmissionLimits limits) {
  limits_ = limits;
  StartQueued();
}

void AdmissionGate::Close(const std::string& reason) {
  version_.reset();
  closed_reason_ = reason;
  auto waiting = std::exchange(queue_, {});
  for (const auto& pending : waiting) {
    RejectRequest(pending, "the upstream takes no requests: " + reason,
                  kRetryAfterClosed);
  }
}

HttpHeaders AdmissionGate::LoadHeaders() const {
  return {{std::string(kLoadHeader), std::to_string(running_.size()) + "," +
                                         std::to_string(queue_.size())}};
}

void AdmissionGate::RespondNotExecuted(
    const std::shared_ptr<HttpExchange>& exchange, const std::string& reason,
    Milliseconds retry_after) {
  ++counters_.rejected;
  HttpHeaders headers = LoadHeaders();
  headers.Add(std::string(kOutcomeHeader), std::string(kOutcomeNotExecuted));
  headers.Add(std::string(kRetryAfterHeader), SecondsText(retry_after));
  headers.Add("Content-Type", "text/plain");
  exchange->Respond(503, std::move(headers), reason + "\n");
}

// Rejects a request that has not been forwarded; its id may run later.
void AdmissionGate::RejectRequest(
    const std::shared_ptr<PendingRequest>& pending, const std::string& reason,
    Milliseconds retry_after) {
  pending->ended = true;
  if (!pending->execute_once_id.empty())
    dedup_table_.RemoveNotForwarded(pending->execute_once_id);
  ReleaseSuspectSlot(pending.get());
  RespondNotExecuted(pending->exchange, reason, retry_after);
}

void AdmissionGate::ReleaseSuspectSlot(PendingRequest* pending) {
  if (std::exchange(pending->holds_suspect_slot, false)) --local_suspects_;
}

void AdmissionGate::RespondUnknown(
    const std::shared_ptr<HttpExchange>& exchange, const std::string& reason,
    bool connection_lost) {
  ++counters_.outcome_unknown;
  HttpHeaders headers = LoadHeaders();
  if (connection_lost) headers.Add(std::string(kConnectionLostHeader), "1");
  headers.Add(std::string(kOutcomeHeader), std::string(kOutcomeUnknown));
  headers.Add("Content-Type", "text/plain");
  exchange->Respond(502, std::move(headers), reason + "\n");
}

bool AdmissionGate::CheckVersion(const HttpRequest& request) const {
  auto requested = request.headers.Find(kManifestHeader).value_or("0");
  if (requested != PrefixText(version_->manifest)) return false;
  auto adapter = request.headers.Find(kAdapterHeader);
  return !adapter || version_->adapters.contains(std::string(*adapter));
}

void AdmissionGate::Handle(std::shared_ptr<HttpExchange> exchange) {
  const HttpRequest& req = exchange->request();
  if (!IsRequestSigned(*keys_, req, WallClockMs())) {
    PC_WARN(kAgent,
            "rejected a request without a valid signature of the shared key");
    return exchange->Respond(
        403, {{std::string(kOutcomeHeader), std::string(kOutcomeNotExecuted)}},
        "the request does not prove the shared key\n");
  }
  if (req.target.starts_with(kAgentCallPrefix))
    return HandleRouterCall(exchange);
  auto pending = std::make_shared<PendingRequest>();
  pending->exchange = exchange;
  pending->execute_once_id =
      req.headers.Find(kExecuteOnceIdHeader).value_or("");
  pending->priority =
      ParseU64(req.headers.Find(kPriorityHeader).value_or("1")).value_or(1);
  pending->fingerprint =
      ParseU64(req.headers.Find(kFingerprintHeader).value_or("0")).value_or(0);
  auto deadline_ms =
      ParseU64(req.headers.Find(kDeadlineHeader).value_or("")).value_or(0);
  Milliseconds remaining = limits_.max_request_time;
  if (deadline_ms > 0)
    remaining = std::min(remaining, Milliseconds(deadline_ms));
  pending->deadline = EventLoop::Now() + remaining;
  if (!pending->execute_once_id.empty() && !CheckDedupTable(pending)) return;
  if (!version_ || !CheckVersion(req)) {
    std::string reason =
        version_ ? "the upstream serves another version" : closed_reason_;
    return RejectRequest(pending, reason, kRetryAfterClosed);
  }
  if (!CheckSuspect(pending)) return;
  Enqueue(std::move(pending));
}

// Admits at most one suspect at a time, so that a second crash can be
// attributed to one request.
bool AdmissionGate::CheckSuspect(
    const std::shared_ptr<PendingRequest>& pending) {
  if (suspects_ == nullptr || pending->fingerprint == 0) return true;
  int64_t now_ms = WallClockMs();
  SuspectVerdict verdict = suspects_->Classify(pending->fingerprint, now_ms);
  if (verdict == SuspectVerdict::kClear) return true;
  bool blocked = verdict == SuspectVerdict::kBlocked;
  if (!blocked && local_suspects_ == 0) {
    pending->is_suspect = true;
    pending->holds_suspect_slot = true;
    ++local_suspects_;
    return true;
  }
  Milliseconds wait =
      blocked
          ? Milliseconds(suspects_->BlockedUntil(pending->fingerprint) - now_ms)
          : kRetryAfterQueueFull;
  RejectRequest(pending,
                blocked ? "the request has crashed two upstreams"
                        : "another suspect runs here",
                wait);
  return false;
}

// Handles calls of routers to the agent itself.
void AdmissionGate::HandleRouterCall(
    const std::shared_ptr<HttpExchange>& exchange) {
  const HttpRequest& req = exchange->request();
  if (req.target != kRevokeRequestTarget)
    return exchange->Respond(404, {}, "no such call\n");
  std::string id(req.headers.Find(kExecuteOnceIdHeader).value_or(""));
  bool revoked = !id.empty() && dedup_table_.Revoke(id, EventLoop::Now());
  exchange->Respond(200, {}, revoked ? "barred" : "passed-on");
}

// Responds to a request that must not run again. Returns whether it may run.
bool AdmissionGate::CheckDedupTable(
    const std::shared_ptr<PendingRequest>& pending) {
  switch (dedup_table_.TryStart(pending->execute_once_id, EventLoop::Now())) {
    case DedupVerdict::kRun: {
      bool may_be_retry = pending->exchange->request()
                              .headers.Find(kHasIdempotencyKeyHeader)
                              .has_value();
      if (dedup_table_complete_ || !may_be_retry) return true;
      dedup_table_.RemoveNotForwarded(pending->execute_once_id);
      RespondUnknown(
          pending->exchange,
          "this agent has started anew and may not know of an earlier send");
      return false;
    }
    case DedupVerdict::kFinished: {
      ++counters_.replayed;
      const HttpResponse* response =
          dedup_table_.FindResponse(pending->execute_once_id);
      HttpHeaders headers = response->headers;
      headers.Set(kOutcomeHeader, std::string(kOutcomeResponded));
      pending->exchange->Respond(response->status, std::move(headers),
                                 response->body);
      return false;
    }
    case DedupVerdict::kRunning:
      RespondUnknown(pending->exchange, "the same request is running");
      return false;
    case DedupVerdict::kOutcomeLost:
      RespondUnknown(pending->exchange,
                     "the request has been run; its answer is not known");
      return false;
    case DedupVerdict::kRevoked:
      RespondNotExecuted(pending->exchange,
                         "the request was barred before it ran",
                         kRetryAfterClosed);
      return false;
    case DedupVerdict::kFull:
      RespondNotExecuted(pending->exchange, "too many requests are remembered",
                         kRetryAfterQueueFull);
      return false;
  }
  return false;
}

void AdmissionGate::Enqueue(std::shared_ptr<PendingRequest> pending) {
  if (running_.size() >= limits_.concurrency &&
      queue_.size() >= limits_.queue) {
    return RejectRequest(pending, "the upstream's queue is full",
                         kRetryAfterQueueFull);
  }
  auto reject_queued =
      [this, weak_pending = std::weak_ptr(pending)](const std::string& reason) {
        auto pending = weak_pending.lock();
        if (!pending || pending->ended || pending->forwarded) return;
        queue_.remove(pending);
        RejectRequest(pending, reason, kRetryAfterQueueFull);
      };
  auto remaining = std::chrono::duration_cast<Milliseconds>(pending->deadline -
                                                            EventLoop::Now());
  pending->queue_timer = loop_->After(remaining, [reject_queued] {
    reject_queued("the deadline passed in the queue");
  });
  pending->exchange->OnDisconnect(
      [reject_queued] { reject_queued("the caller has left"); });
  auto position = std::find_if(
      queue_.begin(), queue_.end(),
      [&](const auto& it) { return it->priority > pending->priority; });
  queue_.insert(position, std::move(pending));
  StartQueued();
}

void AdmissionGate::StartQueued() {
  while (running_.size() < limits_.concurrency && !queue_.empty()) {
    std::shared_ptr<PendingRequest> pending = std::move(queue_.front());
    queue_.pop_front();
    Forward(pending);
  }
}

void AdmissionGate::Forward(const std::shared_ptr<PendingRequest>& pending) {
  pending->forwarded = true;
  pending->queue_timer.Cancel();
  ++counters_.forwarded;
  running_[pending.get()] = pending;
  HttpRequest req = pending->exchange->request();
  auto adapter = req.headers.Find(kAdapterHeader);
  pending->expected_manifest =
      adapter ? version_->adapters[std::string(*adapter)] : version_->manifest;
  for (std::string_view it :
       {kAuthHeader, kManifestHeader, kExecuteOnceIdHeader,
        kHasIdempotencyKeyHeader, kDeadlineHeader, kFingerprintHeader}) {
    req.headers.Remove(it);
  }
  RemoveHopByHopFields(&req.headers);
  HttpCallbacks callbacks;
  callbacks.on_head = [this, pending](const HttpResponse& head) {
    OnHead(pending, head);
  };
  callbacks.on_data = [this, pending](std::string_view data) {
    OnData(pending, data);
  };
  callbacks.on_response = [this, pending](const HttpResponse&) {
    OnResponse(pending);
  };
  callbacks.on_failure = [this, pending](const HttpFailure& it) {
    OnFailure(pending, it);
  };
  pending->exchange->OnDisconnect(
      [this, pending] { OnCallerDisconnect(pending); });
  pending->exchange->OnDrained([pending] {
    if (pending->call) pending->call->SetReading(true);
  });
  auto remaining = std::chrono::duration_cast<Milliseconds>(pending->deadline -
                                                            EventLoop::Now());
  pending->call = client_.Send(upstream_, req,
                               {.timeout = std::max(remaining, Milliseconds(1)),
                                .max_body_bytes = kMaxResponseBytes},
                               std::move(callbacks));
}

void AdmissionGate::OnHead(const std::shared_ptr<PendingRequest>& pending,
                           const HttpResponse& head) {
  pending->head = head;
  RemoveHopByHopFields(&pending->head.headers);
  auto manifest = head.headers.Find(kEngineManifestHeader);
  if (pending->expected_manifest != 0 && manifest) {
    auto digest = Digest::FromHex(*manifest);
    if (!digest || digest.value().Prefix64() != pending->expected_manifest) {
      ++counters_.wrong_version;
      PC_ERROR(kAgent,
               "the engine responded with other weights than those admitted");
      if (!pending->execute_once_id.empty())
        dedup_table_.RecordOutcomeLost(pending->execute_once_id,
                                       EventLoop::Now());
      RespondUnknown(pending->exchange,
                     "the engine ran another version; its answer is held back");
      EndRequest(pending);
      on_version_mismatch_();
      return;
    }
  }
  HttpHeaders headers = pending->head.headers;
  HttpHeaders load = LoadHeaders();
  for (const auto& [name, value] : load.fields()) headers.Set(name, value);
  headers.Set(kOutcomeHeader, std::string(kOutcomeResponded));
  pending->exchange->StartStream(head.status, std::move(headers));
}

void AdmissionGate::OnData(const std::shared_ptr<PendingRequest>& pending,
                           std::string_view data) {
  if (pending->ended) return;
  bytes_forwarded_ += data.size();
  if (!pending->execute_once_id.empty() &&
      pending->recorded_body.size() <= kMaxRecordedBodyBytes) {
    pending->recorded_body.append(data);
  }
  pending->exchange->Write(data);
  if (pending->exchange->pending_bytes() > kMaxUnreadBytes)
    pending->call->SetReading(false);
}

void AdmissionGate::OnResponse(const std::shared_ptr<PendingRequest>& pending) {
  if (pending->ended) return;
  ++counters_.responded;
  if (!pending->execute_once_id.empty()) {
    HttpResponse response = pending->head;
    response.body = std::move(pending->recorded_body);
    dedup_table_.RecordResponse(pending->execute_once_id, std::move(response),
                                EventLoop::Now());
  }
  pending->exchange->EndStream();
  EndRequest(pending);
}

void AdmissionGate::OnFailure(const std::shared_ptr<PendingRequest>& pending,
                              const HttpFailure& failure) {
  if (pending->ended) return;
  bool not_executed = failure.progress == HttpProgress::kNotConnected;
  if (!pending->execute_once_id.empty()) {
    if (not_executed) {
      dedup_table_.RemoveNotForwarded(pending->execute_once_id);
    } else {
      dedup_table_.RecordOutcomeLost(pending->execute_once_id,
                                     EventLoop::Now());
    }
  }
  PC_INFO(kAgent, "request ended without a complete response: "
                      << failure.error.message);
  bool connection_lost =
      !not_executed && failure.error.code == ErrorCode::kUnavailable;
  if (connection_lost && pending->fingerprint != 0 && on_connection_lost_) {
    on_connection_lost_(pending->fingerprint, pending->is_suspect);
  }
  if (pending->exchange->started()) {
    ++counters_.outcome_unknown;
    pending->exchange->Abort();
  } else if (not_executed) {
    RespondNotExecuted(pending->exchange, "the upstream cannot be reached",
                       kRetryAfterClosed);
  } else {
    RespondUnknown(pending->exchange,
                   "the upstream broke off: " + failure.error.message,
                   connection_lost);
  }
  EndRequest(pending);
}

// A caller's disconnect cancels the generation. An execute-once request
// continues, because its caller may retry to get the response.
void AdmissionGate::OnCallerDisconnect(
    const std::shared_ptr<PendingRequest>& pending) {
  if (pending->ended) return;
  if (!pending->execute_once_id.empty()) return;
  EndRequest(pending);
}

void AdmissionGate::EndRequest(const std::shared_ptr<PendingRequest>& pending) {
  if (std::exchange(pending->ended, true)) return;
  running_.erase(pending.get());
  ReleaseSuspectSlot(pending.get());
  // The call's callback may be on the call stack, so both objects are released
  // from the event loop.
  loop_->Post([pending] {
    pending->call.reset();
    pending->exchange.reset();
  });
  StartQueued();
  if (running_.empty() && on_idle_) loop_->Post(on_idle_);
}

}  // namespace primrosecove
