// Processes one caller's request in a router, including retries.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "Core/Membership/host_view.h"
#include "Core/Membership/suspect_table.h"
#include "Core/Net/http_client.h"
#include "Core/Net/http_server.h"
#include "Core/Net/key_ring.h"
#include "Core/Router/caller_request.h"
#include "Core/Router/upstream_table.h"
#include "Core/Routing/retry_budget.h"

namespace primrosecove {

/// Outcome and timing of a request.
struct RequestSummary {
  std::string service;
  std::string workspace;
  std::string outcome;  ///< One of the kOutcome values.
  int status = 0;
  double first_token_ms = -1;  ///< Negative if no data was received.
  uint32_t slow_gaps = 0;      ///< Those above the service's objective.
  uint32_t gaps = 0;
  uint32_t attempts = 0;
};

/// The router's objects that a task uses; all outlive the task.
struct RequestContext {
  EventLoop* loop = nullptr;
  HttpClient* client = nullptr;
  const KeyRing* keys = nullptr;
  const HostView* view = nullptr;
  UpstreamTable* upstream_table = nullptr;
  RetryBudget* retry_budget = nullptr;
  const SuspectTable* suspects = nullptr;
  /// Publishes to all processes that a request was running when its upstream
  /// closed the connection.
  std::function<void(const CrashObservation&)> report_observation;
};

/// Sends a request to an upstream's agent and streams the response to the
/// caller. Retries if the request certainly did not execute or may execute
/// twice. Never reports a request that may have executed as not executed. Use
/// it on its loop's thread only.
class RequestTask : public std::enable_shared_from_this<RequestTask> {
 public:
  using DoneCallback = std::function<void(const RequestSummary&)>;

  /// Holds `config` for the lifetime of the task, so that pointers into it stay
  /// valid.
  RequestTask(RequestContext context,
              std::shared_ptr<const Configuration> config,
              CallerRequest request, std::shared_ptr<HttpExchange> exchange,
              DoneCallback on_done);
  void Start();
  /// Ends the request at `deadline` if it has not ended by then; its callers
  /// and upstreams are told that its outcome is unknown. Call it after Start().
  void LimitTime(SteadyTime deadline);

 private:
  void StartAttempt();
  void SendTo(const HostRecord& upstream);
  void OnHead(const HttpResponse& head);
  void OnData(std::string_view data);
  void OnResponse();
  void OnFailure(const HttpFailure& failure);
  void OnNotExecuted(const HttpResponse& head);
  void OnUnknownOutcome(const std::string& reason);
  bool MayRetry() const;
  void RetryOrElse(const std::function<void()>& otherwise);
  void RevokeThenRespond(const std::string& reason);
  bool IsBlocked() const;
  void RespondBlocked();
  void RespondNotExecuted(const std::string& reason,
                          std::string_view retry_after);
  void RespondUnknown(const std::string& reason);
  void AbortResponse(const std::string& reason);
  void OnCallerDisconnect();
  void OnDeadline();
  void EndAttempt(bool success);
  void Finish(std::string_view outcome, int status);
  Milliseconds TimeLeft() const;
  void StartDeadlineTimer();

  RequestContext context_;
  std::shared_ptr<const Configuration> config_;
  CallerRequest request_;
  std::shared_ptr<HttpExchange> exchange_;
  DoneCallback on_done_;
  RequestSummary summary_;
  std::string request_id_;
  uint64_t fingerprint_ = 0;
  bool sent_as_suspect_ = false;
  SteadyTime started_at_;
  SteadyTime deadline_;
  SteadyTime last_data_at_;
  std::set<std::string> tried_upstreams_;
  std::string upstream_name_;
  Endpoint upstream_endpoint_;
  UpstreamStats* stats_ = nullptr;  // Of the current attempt; else null.
  std::unique_ptr<HttpCall> call_;
  bool may_have_executed_ = false;  // In an attempt whose outcome is unknown.
  bool outcome_decided_ =
      false;  // Of the attempt; later connection failures are ignored.
  bool streaming_ = false;  // The response is being forwarded.
  bool revoking_ = false;
  bool finished_ = false;
  Timer deadline_timer_;
};

}  // namespace primrosecove
