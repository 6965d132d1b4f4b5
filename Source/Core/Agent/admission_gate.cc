#include "Core/Agent/admission_gate.h"

#include <algorithm>
#include <utility>

#include "Core/Common/log.h"
#include "Core/Common/text.h"
#include "Core/Routing/request_auth.h"
#include "Core/Routing/request_headers.h"

namespace primrosecove {
namespace {

constexpr Milliseconds kRetryWhenClosed{1000};
constexpr Milliseconds kRetryWhenFull{500};
constexpr uint64_t kMaxAnswerBytes = 64 << 20;
// A slow reader may leave this much unread before the upstream is made to wait.
constexpr size_t kMaxUnreadBytes = 256 << 10;
// Bytes of an answer that are kept for a resend, while it is still coming.
constexpr size_t kMaxKeptAnswerBytes = 64 << 10;

std::string TagText(uint64_t tag) { return std::to_string(tag); }

std::string SecondsText(Milliseconds ms) {
  constexpr int64_t kMsPerSecond = 1000;
  return std::to_string(
      std::max<int64_t>(1, (ms.count() + kMsPerSecond - 1) / kMsPerSecond));
}

}  // namespace

struct Gate::Job {
  std::shared_ptr<HttpExchange> exchange;
  std::unique_ptr<HttpCall> call;
  std::string once_id;  // Empty for a request that may run again.
  uint64_t priority = 1;
  uint64_t fingerprint = 0;
  bool is_suspect = false;
  bool counts_as_suspect = false;  // Until the job has left the gate.
  SteadyTime deadline;
  uint64_t expected_manifest = 0;
  HttpResponse head;
  std::string kept_answer;
  bool passed_on = false;
  bool ended = false;
  Timer queue_timer;
};

Gate::Gate(EventLoop* loop, const KeyRing* keys, Endpoint upstream,
           LedgerOptions ledger, std::function<void()> on_mismatch)
    : loop_(loop),
      keys_(keys),
      upstream_(std::move(upstream)),
      client_(loop),
      ledger_(ledger),
      on_mismatch_(std::move(on_mismatch)) {}

Gate::~Gate() {
  // Calls hold their jobs by their callbacks; cancelling them lets both go.
  auto running = std::exchange(running_, {});
  for (const auto& [raw, job] : running) {
    job->ended = true;
    job->call.reset();
    job->exchange.reset();
  }
}

void Gate::Open(GateVersion version) { version_ = std::move(version); }

void Gate::SetLimits(GateLimits limits) {
  limits_ = limits;
  StartWaiting();
}

void Gate::Close(const std::string& reason) {
  version_.reset();
  closed_reason_ = reason;
  auto waiting = std::exchange(queue_, {});
  for (const auto& job : waiting) {
    RefuseJob(job, "the upstream takes no requests: " + reason,
              kRetryWhenClosed);
  }
}

HttpHeaders Gate::LoadHeaders() const {
  return {{std::string(kLoadHeader), std::to_string(running_.size()) + "," +
                                         std::to_string(queue_.size())}};
}

void Gate::Refuse(const std::shared_ptr<HttpExchange>& exchange,
                  const std::string& reason, Milliseconds retry_after) {
  ++counters_.refused;
  HttpHeaders headers = LoadHeaders();
  headers.Add(std::string(kOutcomeHeader), std::string(kOutcomeNotExecuted));
  headers.Add(std::string(kRetryAfterHeader), SecondsText(retry_after));
  headers.Add("Content-Type", "text/plain");
  exchange->Respond(503, std::move(headers), reason + "\n");
}

// The job leaves the gate without having been passed on; its id may run later.
void Gate::RefuseJob(const std::shared_ptr<Job>& job, const std::string& reason,
                     Milliseconds retry_after) {
  job->ended = true;
  if (!job->once_id.empty()) ledger_.Withdraw(job->once_id);
  ReleaseSuspect(job.get());
  Refuse(job->exchange, reason, retry_after);
}

void Gate::ReleaseSuspect(Job* job) {
  if (std::exchange(job->counts_as_suspect, false)) --suspects_here_;
}

void Gate::ReplyUnknown(const std::shared_ptr<HttpExchange>& exchange,
                        const std::string& reason, bool broke_off) {
  ++counters_.unknown;
  HttpHeaders headers = LoadHeaders();
  if (broke_off) headers.Add(std::string(kConnectionLostHeader), "1");
  headers.Add(std::string(kOutcomeHeader), std::string(kOutcomeUnknown));
  headers.Add("Content-Type", "text/plain");
  exchange->Respond(502, std::move(headers), reason + "\n");
}

bool Gate::CheckVersion(const HttpRequest& request) const {
  auto wanted = request.headers.Find(kManifestHeader).value_or("0");
  if (wanted != TagText(version_->manifest)) return false;
  auto adapter = request.headers.Find(kAdapterHeader);
  return !adapter || version_->adapters.contains(std::string(*adapter));
}

void Gate::Handle(std::shared_ptr<HttpExchange> exchange) {
  const HttpRequest& req = exchange->request();
  if (!IsRequestSigned(*keys_, req, WallClockMs())) {
    PC_WARN(kAgent, "refused a request without the shared key's proof");
    return exchange->Respond(
        403, {{std::string(kOutcomeHeader), std::string(kOutcomeNotExecuted)}},
        "the request does not prove the shared key\n");
  }
  if (req.target.starts_with(kAgentCallPrefix)) return HandleCall(exchange);
  auto job = std::make_shared<Job>();
  job->exchange = exchange;
  job->once_id = req.headers.Find(kExecuteOnceIdHeader).value_or("");
  job->priority =
      ParseU64(req.headers.Find(kPriorityHeader).value_or("1")).value_or(1);
  job->fingerprint =
      ParseU64(req.headers.Find(kFingerprintHeader).value_or("0")).value_or(0);
  auto deadline_ms =
      ParseU64(req.headers.Find(kDeadlineHeader).value_or("")).value_or(0);
  Milliseconds left = limits_.max_request_time;
  if (deadline_ms > 0) left = std::min(left, Milliseconds(deadline_ms));
  job->deadline = EventLoop::Now() + left;
  if (!job->once_id.empty() && !CheckLedger(job)) return;
  if (!version_ || !CheckVersion(req)) {
    std::string reason =
        version_ ? "the upstream serves another version" : closed_reason_;
    return RefuseJob(job, reason, kRetryWhenClosed);
  }
  if (!CheckSuspect(job)) return;
  Enqueue(std::move(job));
}

// Two suspects never run at one upstream, so that a second crash has one of
// them to blame.
bool Gate::CheckSuspect(const std::shared_ptr<Job>& job) {
  if (suspects_ == nullptr || job->fingerprint == 0) return true;
  int64_t now_ms = WallClockMs();
  SuspectVerdict verdict = suspects_->Classify(job->fingerprint, now_ms);
  if (verdict == SuspectVerdict::kClear) return true;
  bool blocked = verdict == SuspectVerdict::kBlocked;
  if (!blocked && suspects_here_ == 0) {
    job->is_suspect = true;
    job->counts_as_suspect = true;
    ++suspects_here_;
    return true;
  }
  Milliseconds wait =
      blocked ? Milliseconds(suspects_->BlockedUntil(job->fingerprint) - now_ms)
              : kRetryWhenFull;
  RefuseJob(job,
            blocked ? "the request has crashed two upstreams"
                    : "another suspect runs here",
            wait);
  return false;
}

// Calls of the system itself, apart from requests.
void Gate::HandleCall(const std::shared_ptr<HttpExchange>& exchange) {
  const HttpRequest& req = exchange->request();
  if (req.target != kRevokeRequestTarget)
    return exchange->Respond(404, {}, "no such call\n");
  std::string id(req.headers.Find(kExecuteOnceIdHeader).value_or(""));
  bool barred = !id.empty() && ledger_.Bar(id, EventLoop::Now());
  exchange->Respond(200, {}, barred ? "barred" : "passed-on");
}

// Answers a request that must not run again. Returns whether it may run.
bool Gate::CheckLedger(const std::shared_ptr<Job>& job) {
  switch (ledger_.Begin(job->once_id, EventLoop::Now())) {
    case LedgerVerdict::kRun: {
      bool may_be_resend = job->exchange->request()
                               .headers.Find(kHasIdempotencyKeyHeader)
                               .has_value();
      if (ledger_complete_ || !may_be_resend) return true;
      ledger_.Withdraw(job->once_id);
      ReplyUnknown(
          job->exchange,
          "this agent has started anew and may not know of an earlier send");
      return false;
    }
    case LedgerVerdict::kFinished: {
      ++counters_.replayed;
      const HttpResponse* answer = ledger_.FindAnswer(job->once_id);
      HttpHeaders headers = answer->headers;
      headers.Set(kOutcomeHeader, std::string(kOutcomeResponded));
      job->exchange->Respond(answer->status, std::move(headers), answer->body);
      return false;
    }
    case LedgerVerdict::kRunning:
      ReplyUnknown(job->exchange, "the same request is running");
      return false;
    case LedgerVerdict::kLost:
      ReplyUnknown(job->exchange,
                   "the request has been run; its answer is not known");
      return false;
    case LedgerVerdict::kBarred:
      Refuse(job->exchange, "the request was barred before it ran",
             kRetryWhenClosed);
      return false;
    case LedgerVerdict::kFull:
      Refuse(job->exchange, "too many requests are remembered", kRetryWhenFull);
      return false;
  }
  return false;
}

void Gate::Enqueue(std::shared_ptr<Job> job) {
  if (running_.size() >= limits_.concurrency &&
      queue_.size() >= limits_.queue) {
    return RefuseJob(job, "the upstream's queue is full", kRetryWhenFull);
  }
  auto give_up = [this, weak = std::weak_ptr(job)](const std::string& reason) {
    auto job = weak.lock();
    if (!job || job->ended || job->passed_on) return;
    queue_.remove(job);
    RefuseJob(job, reason, kRetryWhenFull);
  };
  auto left = std::chrono::duration_cast<Milliseconds>(job->deadline -
                                                       EventLoop::Now());
  job->queue_timer = loop_->After(
      left, [give_up] { give_up("the deadline passed in the queue"); });
  job->exchange->OnDisconnect([give_up] { give_up("the caller has left"); });
  auto at = std::find_if(queue_.begin(), queue_.end(), [&](const auto& it) {
    return it->priority > job->priority;
  });
  queue_.insert(at, std::move(job));
  StartWaiting();
}

void Gate::StartWaiting() {
  while (running_.size() < limits_.concurrency && !queue_.empty()) {
    std::shared_ptr<Job> job = std::move(queue_.front());
    queue_.pop_front();
    PassOn(job);
  }
}

void Gate::PassOn(const std::shared_ptr<Job>& job) {
  job->passed_on = true;
  job->queue_timer.Cancel();
  ++counters_.passed_on;
  running_[job.get()] = job;
  HttpRequest req = job->exchange->request();
  auto adapter = req.headers.Find(kAdapterHeader);
  job->expected_manifest =
      adapter ? version_->adapters[std::string(*adapter)] : version_->manifest;
  for (std::string_view it :
       {kAuthHeader, kManifestHeader, kExecuteOnceIdHeader,
        kHasIdempotencyKeyHeader, kDeadlineHeader, kFingerprintHeader}) {
    req.headers.Remove(it);
  }
  RemoveHopByHopFields(&req.headers);
  HttpCallbacks callbacks;
  callbacks.on_head = [this, job](const HttpResponse& head) {
    OnHead(job, head);
  };
  callbacks.on_data = [this, job](std::string_view piece) {
    OnData(job, piece);
  };
  callbacks.on_response = [this, job](const HttpResponse&) { OnResponse(job); };
  callbacks.on_failure = [this, job](const HttpFailure& it) {
    OnFailure(job, it);
  };
  job->exchange->OnDisconnect([this, job] { OnCallerGone(job); });
  job->exchange->OnDrained([job] {
    if (job->call) job->call->SetReading(true);
  });
  auto left = std::chrono::duration_cast<Milliseconds>(job->deadline -
                                                       EventLoop::Now());
  job->call = client_.Send(upstream_, std::move(req),
                           {.timeout = std::max(left, Milliseconds(1)),
                            .max_body_bytes = kMaxAnswerBytes},
                           std::move(callbacks));
}

void Gate::OnHead(const std::shared_ptr<Job>& job, const HttpResponse& head) {
  job->head = head;
  RemoveHopByHopFields(&job->head.headers);
  auto manifest = head.headers.Find(kEngineManifestHeader);
  if (job->expected_manifest != 0 && manifest) {
    auto digest = Digest::FromHex(*manifest);
    if (!digest || digest.value().Prefix64() != job->expected_manifest) {
      ++counters_.wrong_version;
      PC_ERROR(
          kAgent,
          "the engine answered with other weights than it was checked for");
      if (!job->once_id.empty()) ledger_.Lose(job->once_id, EventLoop::Now());
      ReplyUnknown(job->exchange,
                   "the engine ran another version; its answer is held back");
      End(job);
      on_mismatch_();
      return;
    }
  }
  HttpHeaders headers = job->head.headers;
  HttpHeaders load = LoadHeaders();
  for (const auto& [name, value] : load.fields()) headers.Set(name, value);
  headers.Set(kOutcomeHeader, std::string(kOutcomeResponded));
  job->exchange->StartStream(head.status, std::move(headers));
}

void Gate::OnData(const std::shared_ptr<Job>& job, std::string_view piece) {
  if (job->ended) return;
  bytes_passed_ += piece.size();
  if (!job->once_id.empty() && job->kept_answer.size() <= kMaxKeptAnswerBytes) {
    job->kept_answer.append(piece);
  }
  job->exchange->Write(piece);
  if (job->exchange->pending_bytes() > kMaxUnreadBytes)
    job->call->SetReading(false);
}

void Gate::OnResponse(const std::shared_ptr<Job>& job) {
  if (job->ended) return;
  ++counters_.answered;
  if (!job->once_id.empty()) {
    HttpResponse answer = job->head;
    answer.body = std::move(job->kept_answer);
    ledger_.Finish(job->once_id, std::move(answer), EventLoop::Now());
  }
  job->exchange->EndStream();
  End(job);
}

void Gate::OnFailure(const std::shared_ptr<Job>& job,
                     const HttpFailure& failure) {
  if (job->ended) return;
  bool not_run = failure.progress == HttpProgress::kNotConnected;
  if (!job->once_id.empty()) {
    if (not_run) {
      ledger_.Withdraw(job->once_id);
    } else {
      ledger_.Lose(job->once_id, EventLoop::Now());
    }
  }
  PC_INFO(kAgent, "request ended without an answer: " << failure.error.message);
  bool broke_off = !not_run && failure.error.code == ErrorCode::kUnavailable;
  if (broke_off && job->fingerprint != 0 && on_broke_off_) {
    on_broke_off_(job->fingerprint, job->is_suspect);
  }
  if (job->exchange->started()) {
    ++counters_.unknown;
    job->exchange->Abort();
  } else if (not_run) {
    Refuse(job->exchange, "the upstream cannot be reached", kRetryWhenClosed);
  } else {
    ReplyUnknown(job->exchange,
                 "the upstream broke off: " + failure.error.message, broke_off);
  }
  End(job);
}

// A caller that leaves cancels a generation. A request that must run once goes
// on, because its answer may be asked for again.
void Gate::OnCallerGone(const std::shared_ptr<Job>& job) {
  if (job->ended) return;
  if (!job->once_id.empty()) return;
  End(job);
}

void Gate::End(const std::shared_ptr<Job>& job) {
  if (std::exchange(job->ended, true)) return;
  running_.erase(job.get());
  ReleaseSuspect(job.get());
  // The call and this function may be on the stack below; both go from the
  // loop.
  loop_->Post([job] {
    job->call.reset();
    job->exchange.reset();
  });
  StartWaiting();
  if (running_.empty() && on_idle_) loop_->Post(on_idle_);
}

}  // namespace primrosecove
