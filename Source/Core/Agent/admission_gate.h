// The only way of requests to an upstream: admits, queues, passes on and
// answers for them.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Core/Agent/dedup_table.h"
#include "Core/Membership/suspect_table.h"
#include "Core/Net/http_client.h"
#include "Core/Net/http_server.h"
#include "Core/Net/key_ring.h"

namespace primrosecove {

/// The weights that the gate lets requests run with; an empty manifest tag for
/// a plain service.
struct GateVersion {
  uint64_t manifest = 0;
  std::map<std::string, uint64_t>
      adapters;  ///< Manifest tag by adapter's name.
  bool operator==(const GateVersion&) const = default;
};

/// Bounds of the requests at one upstream.
struct GateLimits {
  uint32_t concurrency = 32;
  uint32_t queue = 64;
  Milliseconds max_request_time{600'000};
};

/// Counters for metrics.
struct GateCounters {
  uint64_t passed_on = 0;
  uint64_t answered = 0;
  uint64_t refused = 0;  ///< Not run.
  uint64_t unknown = 0;  ///< Passed on, without a whole answer.
  uint64_t replayed = 0;
  uint64_t wrong_version =
      0;  ///< Answers held back because the engine ran other weights.
};

/// Takes requests from routers. While open it passes each to the upstream at
/// most once; it tells "not run" only of requests that were not passed on. Use
/// it on its loop's thread only.
class Gate {
 public:
  /// `on_mismatch` runs when the upstream answers with other weights than the
  /// gate is open for.
  Gate(EventLoop* loop, const KeyRing* keys, Endpoint upstream,
       LedgerOptions ledger, std::function<void()> on_mismatch);
  ~Gate();

  /// Handles one request of a router.
  void Handle(std::shared_ptr<HttpExchange> exchange);
  /// Admits requests for this version from now on. Precondition: the upstream
  /// runs it.
  void Open(GateVersion version);
  /// Admits none; waiting requests are answered as not run, running ones
  /// finish.
  void Close(const std::string& reason);
  void SetLimits(GateLimits limits);
  bool is_open() const { return version_.has_value(); }
  /// Whether the record covers all requests that this slot ran within its
  /// window. While it does not, a request with a caller's key that is not in
  /// the record may be a resend, and its outcome is unknown.
  void SetLedgerComplete(bool complete) { ledger_complete_ = complete; }
  /// Requests passed on and not ended.
  size_t running() const { return running_.size(); }
  size_t waiting() const { return queue_.size(); }
  bool idle() const { return running_.empty() && queue_.empty(); }
  /// Sets how requests are judged, and whom to tell of those that ran when the
  /// upstream broke off.
  void SetSuspects(
      const SuspectTable* suspects,
      std::function<void(uint64_t request, bool as_suspect)> on_broke_off) {
    suspects_ = suspects;
    on_broke_off_ = std::move(on_broke_off);
  }
  /// Calls `callback` each time the last running request has ended.
  void OnIdle(std::function<void()> callback) {
    on_idle_ = std::move(callback);
  }
  /// Bytes passed to callers since the start.
  uint64_t bytes_passed() const { return bytes_passed_; }
  const GateCounters& counters() const { return counters_; }

 private:
  struct Job;
  void HandleCall(const std::shared_ptr<HttpExchange>& exchange);
  void Refuse(const std::shared_ptr<HttpExchange>& exchange,
              const std::string& reason, Milliseconds retry_after);
  void RefuseJob(const std::shared_ptr<Job>& job, const std::string& reason,
                 Milliseconds retry_after);
  void ReleaseSuspect(Job* job);
  void ReplyUnknown(const std::shared_ptr<HttpExchange>& exchange,
                    const std::string& reason, bool broke_off = false);
  bool CheckVersion(const HttpRequest& request) const;
  bool CheckSuspect(const std::shared_ptr<Job>& job);
  bool CheckLedger(const std::shared_ptr<Job>& job);
  void Enqueue(std::shared_ptr<Job> job);
  void StartWaiting();
  void PassOn(const std::shared_ptr<Job>& job);
  void OnHead(const std::shared_ptr<Job>& job, const HttpResponse& head);
  void OnData(const std::shared_ptr<Job>& job, std::string_view piece);
  void OnResponse(const std::shared_ptr<Job>& job);
  void OnFailure(const std::shared_ptr<Job>& job, const HttpFailure& failure);
  void OnCallerGone(const std::shared_ptr<Job>& job);
  void End(const std::shared_ptr<Job>& job);
  HttpHeaders LoadHeaders() const;

  EventLoop* loop_;
  const KeyRing* keys_;
  Endpoint upstream_;
  HttpClient client_;
  RequestLedger ledger_;
  bool ledger_complete_ = false;
  const SuspectTable* suspects_ = nullptr;
  std::function<void(uint64_t, bool)> on_broke_off_;
  size_t suspects_here_ = 0;  // Waiting or running; at most one.
  std::function<void()> on_mismatch_;
  std::function<void()> on_idle_;
  std::optional<GateVersion> version_;
  std::string closed_reason_ = "starting";
  GateLimits limits_;
  std::list<std::shared_ptr<Job>>
      queue_;  // By priority, then in order of arrival.
  std::map<Job*, std::shared_ptr<Job>> running_;
  uint64_t bytes_passed_ = 0;
  GateCounters counters_;
};

}  // namespace primrosecove
