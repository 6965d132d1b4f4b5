// One caller's request on a prepared deployment, from its arrival to its
// response.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Fleet/event_framer.h"
#include "Core/Fleet/request_fields.h"
#include "Core/Fleet/route_table.h"
#include "Core/Net/http1_client.h"
#include "Core/Net/http1_server.h"
#include "Core/Router/fleet_state.h"

namespace primrosecove {

/// Owns one exchange with a caller and the upstream calls made for it. Use it
/// on its loop's thread only.
class FleetRequest : public std::enable_shared_from_this<FleetRequest> {
 public:
  /// Precondition: `state` outlives this object.
  FleetRequest(FleetState* state, std::shared_ptr<Http1Exchange> exchange);
  ~FleetRequest();

  /// Starts processing; the request may have ended when it returns.
  void Start();
  /// Retries on another upstream if the current one is silent or known to be
  /// gone and the request may be retried.
  void CheckUpstream(MonotonicTime now);
  bool ended() const { return ended_; }

 private:
  // Whether any attempt may have executed the request.
  enum class ExecutionState { kNotSent, kRefused, kMayHaveExecuted };

  // Retry-After of refusals where another router may accept the request
  // immediately, such as those for a stale configuration.
  static constexpr Milliseconds kRetryElsewhereDelay{200};

  bool ResolveRoute();
  bool Authenticate();
  // Refuses a request that has crashed upstreams and marks one that is
  // suspected of it.
  bool CheckSuspect();
  // The same, by the parts of its prompt.
  bool CheckPromptParts();
  bool IsBlocked();
  uint64_t Fingerprint();
  void RecordCompletion(int status);
  // Records that the current attempt has not crashed its upstream.
  void RecordSoundExecution();
  void EndPromptPartTest();
  // The first parts of the prompt.
  std::string PromptPartsForLog() const;
  void RecordConnectionLoss();
  void RecordLossIfSilent();
  // For how long the current attempt's response has been arriving, or nothing
  // if it has not begun.
  std::optional<Milliseconds> RespondingTime() const;
  void ReleaseSuspect();
  Placement ChoosePlacement(MonotonicTime now);
  // Mean service time of the request's service, measured or assumed.
  Milliseconds MeanServiceTime() const;
  Milliseconds EstimateServiceTime(Milliseconds mean) const;
  void Dispatch();
  std::vector<FleetUpstream*> FindCandidates(MonotonicTime now);
  void StartAttempt(const Placement& placement);
  void OnHead(const Http1Head& head);
  void OnData(std::string_view bytes);
  void OnEvent(const StreamEvent& event);
  // Ends the current attempt, whose response exceeds a limit.
  void CutOffAttempt(const char* why);
  void OnCallEnd(CallResult result);
  void OnCompleteResponse(const CallResult& result);
  void OnAttemptFailure(const char* why);
  void RetryOrFail(const char* why);
  // Ends the request without a retry: aborts a started response, fails if it
  // may have executed, else refuses.
  void GiveUp(const char* why, Milliseconds retry_after);
  // Returns a placement for a retry, or nothing if no retry is allowed or
  // possible. Uses one retry of the budget if it returns a placement.
  std::optional<Placement> TryPlaceRetry();
  void ReleaseUpstream(bool ok);
  bool IsQueuedAtReloadingEngine(const FleetUpstream& upstream,
                                 MonotonicTime now) const;
  bool IsQueuedOnExpiringWeights(MonotonicTime now) const;
  void CancelAttempt(const char* why);
  void HandleTimeout();
  void HandleDisconnect();
  Milliseconds TimeLeft() const;

  void Refuse(const char* why, std::optional<Milliseconds> retry_after);
  void Deny(int status, std::string_view reason, const char* why);
  void Fail(int status, std::string_view reason, const char* why);
  void Finish(const char* outcome, int status, const char* why);

  FleetState* state_;
  std::shared_ptr<Http1Exchange> exchange_;
  std::shared_ptr<const RouteTable> routes_;
  const Route* route_ = nullptr;
  const FleetService* service_ = nullptr;
  CallerFields fields_;
  std::string workspace_;
  MonotonicTime arrived_at_{0};
  Milliseconds caller_wait_{0};  // In earlier attempts of the same caller.
  MonotonicTime deadline_{0};    // When the complete response is due.
  Timer deadline_timer_;

  std::unique_ptr<Http1Call> call_;
  std::string upstream_id_;
  std::string last_upstream_ = "-";
  MonotonicTime sent_at_{0};
  // When the current attempt's successful response began.
  std::optional<MonotonicTime> response_began_at_;
  int64_t upstream_start_time_ms_ = 0;    // Of the current attempt's upstream.
  uint64_t attempt_weights_version_ = 0;  // 0 if none are needed.
  MonotonicTime last_data_at_{
      0};  // When the current attempt last received bytes.
  // The inputs of the last placement, for the log.
  int placement_load_ = 0;
  Milliseconds placement_wait_{0};
  Milliseconds placement_load_age_{0};
  std::set<std::string> tried_upstreams_;
  std::optional<uint64_t> fingerprint_;
  std::vector<uint64_t> prompt_part_fingerprints_;
  std::optional<uint64_t> tested_prompt_part_;
  bool is_sound_ = false;            // An attempt did not crash its upstream.
  bool is_suspect_ = false;          // The request was running at a crash.
  bool counted_as_suspect_ = false;  // By the crash correlator.
  bool sent_as_suspect_ = false;     // No other suspect was there.
  int attempts_ = 0;                 // Without those that failed to connect.
  int failed_connections_ = 0;       // Attempts that failed to connect.
  bool is_counted_ = false;          // By the retry budget.
  ExecutionState execution_state_ = ExecutionState::kNotSent;

  bool streaming_ = false;     // The current response is an event stream.
  std::string response_body_;  // Of a response that is not a stream.
  EventFramer framer_;
  std::optional<uint64_t> last_event_id_;
  std::optional<uint64_t>
      weights_version_;  // Weights that produced the forwarded events.
  int event_count_ = 0;
  MonotonicTime first_event_at_{0};
  MonotonicTime last_event_at_{0};
  Milliseconds longest_pause_{0};
  bool ended_ = false;
};

}  // namespace primrosecove
