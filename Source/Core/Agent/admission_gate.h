// Admits, queues and forwards requests to an upstream. All requests for the
// upstream pass through it.
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

/// Weights for which requests are admitted. The manifest prefix is 0 for a
/// plain service.
struct AdmittedVersion {
  uint64_t manifest = 0;
  /// Manifest prefix by adapter name.
  std::map<std::string, uint64_t> adapters;
  bool operator==(const AdmittedVersion&) const = default;
};

/// Limits on the requests at one upstream.
struct AdmissionLimits {
  uint32_t concurrency = 32;
  uint32_t queue = 64;
  Milliseconds max_request_time{600'000};
};

/// Counters for metrics.
struct AdmissionCounters {
  uint64_t forwarded = 0;
  uint64_t responded = 0;
  uint64_t rejected = 0;         ///< Rejected without being executed.
  uint64_t outcome_unknown = 0;  ///< Forwarded, without a complete response.
  uint64_t replayed = 0;
  /// Responses withheld because the engine ran other weights.
  uint64_t wrong_version = 0;
};

/// Handles requests from routers. While open it forwards each to the upstream
/// at most once; it reports "not executed" only for requests that were not
/// forwarded. Use it on its loop's thread only.
class AdmissionGate {
 public:
  /// `on_version_mismatch` is called when the upstream responds with weights
  /// other than the admitted ones.
  AdmissionGate(EventLoop* loop, const KeyRing* keys, Endpoint upstream,
                DedupOptions dedup_options,
                std::function<void()> on_version_mismatch);
  ~AdmissionGate();

  /// Handles one request from a router.
  void Handle(std::shared_ptr<HttpExchange> exchange);
  /// Admits requests for this version from now on. Precondition: the upstream
  /// runs it.
  void Open(AdmittedVersion version);
  /// Stops admitting requests. Queued requests get a response that says they
  /// were not executed; running ones finish.
  void Close(const std::string& reason);
  void SetLimits(AdmissionLimits limits);
  bool is_open() const { return version_.has_value(); }
  /// Sets whether the deduplication table covers all requests that this
  /// upstream ran within the table's window. Until it does, a request with a
  /// caller's idempotency key that is not in the table may be a retry, so its
  /// outcome is reported as unknown.
  void SetDedupTableComplete(bool complete) {
    dedup_table_complete_ = complete;
  }
  /// Requests that were forwarded and have not ended.
  size_t running() const { return running_.size(); }
  size_t waiting() const { return queue_.size(); }
  bool idle() const { return running_.empty() && queue_.empty(); }
  /// Sets the table that classifies requests, and the callback for requests
  /// that were running when the connection to the upstream was lost.
  void SetSuspects(const SuspectTable* suspects,
                   std::function<void(uint64_t request, bool as_suspect)>
                       on_connection_lost) {
    suspects_ = suspects;
    on_connection_lost_ = std::move(on_connection_lost);
  }
  /// Calls `callback` each time the last running request has ended.
  void OnIdle(std::function<void()> callback) {
    on_idle_ = std::move(callback);
  }
  /// Response body bytes forwarded to callers since the start.
  uint64_t bytes_forwarded() const { return bytes_forwarded_; }
  const AdmissionCounters& counters() const { return counters_; }

 private:
  struct PendingRequest;
  void HandleRouterCall(const std::shared_ptr<HttpExchange>& exchange);
  void RespondNotExecuted(const std::shared_ptr<HttpExchange>& exchange,
                          const std::string& reason, Milliseconds retry_after);
  void RejectRequest(const std::shared_ptr<PendingRequest>& pending,
                     const std::string& reason, Milliseconds retry_after);
  void ReleaseSuspectSlot(PendingRequest* pending);
  void RespondUnknown(const std::shared_ptr<HttpExchange>& exchange,
                      const std::string& reason, bool connection_lost = false);
  bool CheckVersion(const HttpRequest& request) const;
  bool CheckSuspect(const std::shared_ptr<PendingRequest>& pending);
  bool CheckDedupTable(const std::shared_ptr<PendingRequest>& pending);
  void Enqueue(std::shared_ptr<PendingRequest> pending);
  void StartQueued();
  void Forward(const std::shared_ptr<PendingRequest>& pending);
  void OnHead(const std::shared_ptr<PendingRequest>& pending,
              const HttpResponse& head);
  void OnData(const std::shared_ptr<PendingRequest>& pending,
              std::string_view data);
  void OnResponse(const std::shared_ptr<PendingRequest>& pending);
  void OnFailure(const std::shared_ptr<PendingRequest>& pending,
                 const HttpFailure& failure);
  void OnCallerDisconnect(const std::shared_ptr<PendingRequest>& pending);
  void EndRequest(const std::shared_ptr<PendingRequest>& pending);
  HttpHeaders LoadHeaders() const;

  EventLoop* loop_;
  const KeyRing* keys_;
  Endpoint upstream_;
  HttpClient client_;
  DedupTable dedup_table_;
  bool dedup_table_complete_ = false;
  const SuspectTable* suspects_ = nullptr;
  std::function<void(uint64_t, bool)> on_connection_lost_;
  size_t local_suspects_ = 0;  // Queued or running; at most one.
  std::function<void()> on_version_mismatch_;
  std::function<void()> on_idle_;
  std::optional<AdmittedVersion> version_;
  std::string closed_reason_ = "starting";
  AdmissionLimits limits_;
  // By priority, then by time of arrival.
  std::list<std::shared_ptr<PendingRequest>> queue_;
  std::map<PendingRequest*, std::shared_ptr<PendingRequest>> running_;
  uint64_t bytes_forwarded_ = 0;
  AdmissionCounters counters_;
};

}  // namespace primrosecove
