// One caller's request on its way through a router.
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

/// What became of a request, and how fast.
struct RequestReport {
  std::string service;
  std::string workspace;
  std::string outcome;  ///< One of the kOutcome values.
  int status = 0;
  double first_token_ms = -1;  ///< Negative when nothing came.
  uint32_t slow_gaps =
      0;  ///< Gaps between pieces above the service's objective.
  uint32_t gaps = 0;
  uint32_t attempts = 0;
};

/// What a task uses of its router; all outlive the task.
struct RequestContext {
  EventLoop* loop = nullptr;
  HttpClient* client = nullptr;
  const KeyRing* keys = nullptr;
  const HostView* view = nullptr;
  UpstreamTable* table = nullptr;
  RetryBudget* retries = nullptr;
  const SuspectTable* suspects = nullptr;
  /// Tells all processes of a request that ran when an upstream broke off.
  std::function<void(const CrashObservation&)> add_sighting;
};

/// Sends a request to an upstream's agent, retries when it surely has not run
/// or may run again, passes the answer on as it comes, and tells the caller
/// truthfully what became of it. Use it on its loop's thread only.
class RequestTask : public std::enable_shared_from_this<RequestTask> {
 public:
  using DoneCallback = std::function<void(const RequestReport&)>;

  /// `config` is kept as long as the task, so that pointers into it stay valid.
  RequestTask(RequestContext context,
              std::shared_ptr<const Configuration> config,
              CallerRequest request, std::shared_ptr<HttpExchange> exchange,
              DoneCallback on_done);
  void Start();

 private:
  void Attempt();
  void SendTo(const HostRecord& upstream);
  void OnHead(const HttpResponse& head);
  void OnData(std::string_view piece);
  void OnResponse();
  void OnFailure(const HttpFailure& failure);
  void OnNotRun(const HttpResponse& head);
  void OnUnknown(const std::string& reason);
  bool MayRetry() const;
  void RetryOr(const std::function<void()>& give_up);
  void BarThenAnswer(const std::string& reason);
  bool IsBlocked() const;
  void AnswerBlocked();
  void AnswerNotRun(const std::string& reason, std::string_view retry_after);
  void AnswerUnknown(const std::string& reason);
  void BreakOff(const std::string& reason);
  void OnCallerGone();
  void OnDeadline();
  void EndAttempt(bool success);
  void Finish(std::string_view outcome, int status);
  Milliseconds TimeLeft() const;

  RequestContext context_;
  std::shared_ptr<const Configuration> config_;
  CallerRequest request_;
  std::shared_ptr<HttpExchange> exchange_;
  DoneCallback on_done_;
  RequestReport report_;
  std::string request_id_;
  uint64_t fingerprint_ = 0;
  bool sent_as_suspect_ = false;
  SteadyTime started_;
  SteadyTime deadline_;
  SteadyTime last_piece_;
  std::set<std::string> tried_;
  std::string upstream_name_;
  Endpoint upstream_endpoint_;
  UpstreamStats* stats_ = nullptr;  // Of the attempt under way.
  std::unique_ptr<HttpCall> call_;
  bool may_have_run_ = false;  // By an attempt whose end is not known.
  bool refused_ =
      false;  // The attempt's agent has said that it does not run the request.
  bool streaming_ = false;  // The answer is being passed on.
  bool barring_ = false;
  bool finished_ = false;
  Timer deadline_timer_;
};

}  // namespace primrosecove
