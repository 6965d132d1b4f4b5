// One caller's request on a prepared deployment, from its arrival to its
// response.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Fleet/allowed_regions.h"
#include "Core/Fleet/candidate_set.h"
#include "Core/Fleet/request_fields.h"
#include "Core/Fleet/route_table.h"
#include "Core/Net/http1_client.h"
#include "Core/Net/http1_server.h"
#include "Core/Router/fleet_attempt.h"
#include "Core/Router/fleet_state.h"
#include "Core/Router/placement_explanation.h"

namespace primrosecove {

/// Owns one exchange with a caller and the upstream calls made for it. If the
/// upstream of a request falls silent, a second attempt may run beside the
/// first; the first of them to continue the response is kept. Use it on its
/// loop's thread only.
class FleetRequest : public std::enable_shared_from_this<FleetRequest> {
 public:
  /// Precondition: `state` outlives this object.
  FleetRequest(FleetState* state, std::shared_ptr<Http1Exchange> exchange);
  ~FleetRequest();

  /// Starts processing; the request may have ended when it returns.
  void Start();
  /// Sends the request to a second upstream as well if the current one is
  /// silent or known to be gone and the request may be retried.
  void CheckUpstream(MonotonicTime now);
  /// Ends the request at `deadline` if it has not ended by then.
  void LimitTime(MonotonicTime deadline);
  /// Does not count `time` as silence of the upstreams, because this process
  /// has not read from its connections meanwhile.
  void ExcuseSilence(Milliseconds time);
  /// Records the loss of the attempts at a crashed upstream that are silent.
  /// They go on, because the upstream may only have lost its registration.
  void OnUpstreamCrash(const std::string& upstream_id);
  /// Returns the bytes of responses that it holds: of its attempts, and those
  /// that are not yet written to the caller's socket.
  size_t HeldBytes() const;
  /// Ends the largest of its responses, to free memory. The request goes on if
  /// the caller has got nothing of it and it may be repeated.
  void EndLargestResponse();
  bool ended() const { return ended_; }
  /// Returns what would be done now with a request that has `fields`, without
  /// sending it. Precondition: Start() is never called on this object.
  PlacementExplanation Explain(const CallerFields& fields);

 private:
  // Whether any attempt may have executed the request.
  enum class ExecutionState { kNotSent, kRefused, kMayHaveExecuted };
  // What the end of an attempt shows about its upstream.
  enum class UpstreamVerdict {
    kSound,
    kFailed,
    kSilent,
    kRefused,
    kMisdirected,  ///< Another process is at its address.
    kUnknown
  };
  enum class RetryUrgency {
    kIfHalfIdle,  // The upstream is silent; it may well continue.
    kUrgent,
  };
  struct RetryReason {
    const char* why;
    RetryUrgency urgency;
  };
  // The response to a request for which no placement is attempted.
  struct Rejection {
    int status;
    const char* reason;
    const char* why;
    std::optional<Milliseconds> retry_after;
  };

  // Retry-After of refusals where another router may accept the request
  // immediately, such as those for a stale configuration.
  static constexpr Milliseconds kRetryElsewhereDelay{200};
  // Failed connections after which a request is given up. Nothing was sent on
  // them, so they don't count as attempts.
  static constexpr int kMaxFailedConnections = 3;

  // Finds the route, service and workspace of the request in the configuration
  // in force. Returns why it can't be placed, or nothing. Changes no state but
  // this object's, as do the functions that it calls.
  std::optional<Rejection> Resolve();
  std::optional<Rejection> ResolveRoute();
  std::optional<Rejection> Authenticate();
  // A refusal after which another router may accept the request.
  static Rejection MakeRefusal(const char* why);
  Rejection MakeDenial(int status, const char* reason, const char* why) const;
  Milliseconds EstimateCallerWait(CallerWaitEstimator* estimator) const;
  // Refuses a request that has crashed upstreams and marks one that is
  // suspected of it.
  bool CheckSuspect();
  // The same, by the parts of its prompt.
  bool CheckPromptParts();
  bool IsBlocked();
  uint64_t Fingerprint();
  void RecordCompletion(const FleetAttempt& attempt, int status);
  // Records that an attempt has not crashed its upstream.
  void RecordSoundExecution(const FleetAttempt& attempt);
  void EndPromptPartTest();
  // The first parts of the prompt.
  std::string PromptPartsForLog() const;
  void RecordConnectionLoss(FleetAttempt* attempt);
  void RecordLossIfSilent(FleetAttempt* attempt);
  Placement ChoosePlacement(MonotonicTime now);
  // Chooses among `candidates` by `policy` and changes no other state.
  Placement ChooseAmong(const CandidateSet& candidates, PlacementPolicy* policy,
                        MonotonicTime now) const;
  // `priorities` holds what the returned request refers to.
  PlacementRequest MakePlacementRequest(std::vector<PriorityClass>* priorities,
                                        MonotonicTime now) const;
  // The demand of the priorities that the request competes with, or null if
  // its service knows only one. The request's own priority is among them.
  PriorityDemand* FindDemand() const;
  // Priority in the upstream's queue, if requests differ there.
  std::optional<int> UpstreamPriority() const;
  // `random_value` is uniform in [0, 1).
  Milliseconds RetryAfterFor(Milliseconds soonest, double random_value) const;
  // When a request may be served whose last candidates were excluded for a
  // reason that ends with no known time.
  Milliseconds TimeToOtherCandidates(
      std::optional<ExclusionReason> reason) const;
  // Mean service time of the request's service, measured or assumed.
  Milliseconds MeanServiceTime() const;
  Milliseconds EstimateServiceTime(Milliseconds mean) const;
  void Dispatch();
  // Excludes the upstreams that may not get the request. Changes no state but
  // that of its arguments.
  void FindCandidates(CandidateSet* candidates, UpstreamRateLimits* rate_limits,
                      MonotonicTime now) const;
  void ExplainUpstreams(const CandidateSet& candidates, MonotonicTime now,
                        PlacementExplanation* out) const;
  void ExcludeByRegion(const AllowedRegions& regions,
                       CandidateSet* candidates) const;
  // The regions that the configuration in force allows the request, which may
  // be a later one than the request's own.
  AllowedRegions CurrentRegions() const;
  void ExcludeByWeights(CandidateSet* candidates, MonotonicTime now) const;
  void StartAttempt(const Placement& placement);
  UpstreamFields MakeUpstreamFields(const FleetUpstream& upstream,
                                    FleetAttempt* attempt);
  CallEvents MakeCallEvents(uint64_t attempt_number);
  std::shared_ptr<FleetAttempt> FindAttempt(uint64_t number);
  void OnHead(FleetAttempt* attempt, const Http1Head& head);
  void OnData(FleetAttempt* attempt, std::string_view bytes);
  void OnEvent(FleetAttempt* attempt, const StreamEvent& event);
  // Limits the responses that all requests hold, if those of this one have
  // grown.
  void LimitHeldBytes();
  void OnCallEnd(FleetAttempt* attempt, CallResult result);
  void OnNotSent(FleetAttempt* attempt, bool refused);
  void OnCompleteResponse(FleetAttempt* attempt, const CallResult& result);
  void OnRefusal(FleetAttempt* attempt, const ResponseFields& response,
                 int status);
  void OnAttemptFailure(FleetAttempt* attempt, const char* why);
  // Ends an attempt whose response can't be used, but shows that its upstream
  // has not crashed.
  void OnUnusableResponse(FleetAttempt* attempt, const char* why);
  // Whether an event can't be part of the stream that the caller receives.
  bool IsForeignEvent(const FleetAttempt& attempt,
                      const StreamEvent& event) const;
  // Ends the other attempt, because `attempt` continues the response.
  void KeepOnly(const FleetAttempt& attempt);
  // Continues with the other attempt, with another upstream, or not at all.
  void ContinueOrFail(const char* why);
  // Ends the request without a retry: aborts a started response, fails if it
  // may have executed, else refuses.
  void GiveUp(const char* why, Milliseconds retry_after);
  // Returns a placement for a retry, or nothing if no retry is allowed or
  // possible. Uses one retry of the budget if it returns a placement.
  std::optional<Placement> TryPlaceRetry(RetryUrgency urgency);
  // Returns why a second attempt is due, or nothing if none is.
  std::optional<RetryReason> FindRetryReason(const FleetAttempt& attempt,
                                             MonotonicTime now) const;
  void StartSecondAttempt(const FleetAttempt& first, const RetryReason& reason,
                          const Placement& placement, MonotonicTime now);
  // Removes an attempt; its call is cancelled if it is still active.
  void RemoveAttempt(const FleetAttempt& attempt, UpstreamVerdict verdict);
  void ReleaseSuspect(FleetAttempt* attempt);
  bool MayHaveExecuted() const;
  bool IsQueuedAtReloadingEngine(const FleetAttempt& attempt,
                                 const FleetUpstream& upstream,
                                 MonotonicTime now) const;
  bool IsQueuedOnExpiringWeights(const FleetAttempt& attempt,
                                 MonotonicTime now) const;
  // Cancels an attempt and continues the request without it.
  void AbandonAttempt(FleetAttempt* attempt, const char* why);
  // Cancels all attempts.
  void CancelAttempts(UpstreamVerdict verdict);
  void HandleTimeout();
  void HandleDisconnect();
  Milliseconds TimeLeft() const;
  // Whether an execution that begins now is expected to end before this router
  // does.
  bool FitsBeforeStop() const;
  void StartDeadlineTimer();

  void Refuse(const char* why, std::optional<Milliseconds> retry_after);
  void Reject(const Rejection& rejection);
  void Fail(int status, std::string_view reason, const char* why);
  void Finish(const char* outcome, int status, const char* why);

  FleetState* state_;
  std::shared_ptr<Http1Exchange> exchange_;
  std::shared_ptr<const RouteTable> routes_;
  const Route* route_ = nullptr;
  const FleetService* service_ = nullptr;
  CallerFields fields_;
  std::string workspace_;
  /// Age of the configuration when the key was accepted.
  std::optional<Milliseconds> key_age_;
  AllowedRegions allowed_regions_;
  int priority_ = 0;  // See RouteTable::CombinedPriority().
  MonotonicTime arrived_at_{0};
  Milliseconds caller_wait_{0};  // In earlier attempts of the same caller.
  MonotonicTime deadline_{0};    // When the complete response is due.
  Timer deadline_timer_;

  // In the order of their start. Two run only while the first one's upstream is
  // silent or known to be gone.
  std::vector<std::shared_ptr<FleetAttempt>> in_flight_;
  uint64_t last_attempt_number_ = 0;
  std::string last_upstream_ = "-";
  // The inputs of the last placement, for the log.
  int placement_load_ = 0;
  Milliseconds placement_wait_{0};
  Milliseconds placement_load_age_{0};
  std::set<std::string> tried_upstreams_;
  std::optional<uint64_t> fingerprint_;
  std::vector<uint64_t> prompt_part_fingerprints_;
  std::optional<uint64_t> tested_prompt_part_;
  bool is_sound_ = false;       // An attempt did not crash its upstream.
  bool is_suspect_ = false;     // The request was running at a crash.
  int attempts_ = 0;            // Without those that failed to connect.
  int failed_connections_ = 0;  // Attempts that failed to connect.
  bool is_counted_ = false;     // By the retry budget.
  // Of the attempts that have ended.
  ExecutionState execution_state_ = ExecutionState::kNotSent;

  std::optional<uint64_t> last_event_id_;
  std::optional<uint64_t>
      weights_version_;  // Weights that produced the forwarded events.
  int event_count_ = 0;
  size_t held_bytes_at_check_ = 0;
  MonotonicTime first_event_at_{0};
  MonotonicTime last_event_at_{0};
  Milliseconds longest_pause_{0};
  bool ended_ = false;
};

}  // namespace primrosecove
