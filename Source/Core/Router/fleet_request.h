// One caller's request on a prepared deployment, from its arrival to its
// answer.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "Core/Fleet/event_framer.h"
#include "Core/Fleet/request_fields.h"
#include "Core/Fleet/route_table.h"
#include "Core/Net/http1_client.h"
#include "Core/Net/http1_server.h"
#include "Core/Router/fleet_state.h"

namespace primrosecove {

/// Owns one exchange with a caller and the calls to upstreams made for it. Use
/// it on its loop's thread only.
class FleetRequest : public std::enable_shared_from_this<FleetRequest> {
 public:
  /// Precondition: `state` outlives this object.
  FleetRequest(FleetState* state, std::shared_ptr<Http1Exchange> exchange);
  ~FleetRequest();

  /// Begins; may end before it returns.
  void Start();
  /// Moves to another upstream when the one at work has gone silent or is
  /// known to be gone, and the request may be repeated.
  void CheckUpstream(MonotonicTime now);
  bool ended() const { return ended_; }

 private:
  // What of the request may have run.
  enum class Fate { kNotSent, kRefused, kMayHaveRun };

  bool Understand();
  bool CheckKey();
  // Refuses what has crashed upstreams before; notes what may have.
  bool CheckCrashes();
  uint64_t Fingerprint();
  void NoteBroken();
  void StopCountingSuspect();
  Placement Place(MonotonicTime now);
  Milliseconds ExpectedTime(Milliseconds usual) const;
  void Dispatch();
  std::vector<FleetUpstream*> Candidates(MonotonicTime now);
  void Send(const Placement& placement);
  void TakeHead(const Http1Head& head);
  void TakeData(std::string_view bytes);
  void TakeEvent(const StreamEvent& event);
  void TakeEnd(CallResult result);
  void TakeAnswer(const CallResult& result);
  void TakeFailure(const char* why);
  void RetryOrFail(const char* why);
  // Ends with what is true: broken off, failed, or refused as not run.
  void GiveUp(const char* why, Milliseconds retry_after);
  // Where the request may be sent once more, if it may; uses a repeat of the
  // allowance then.
  std::optional<Placement> TryPlaceAgain();
  void ReleaseUpstream(bool ok);
  bool WaitsAtLoadingEngine(const FleetUpstream& upstream,
                            MonotonicTime now) const;
  bool IsTooLateToBegin(MonotonicTime now) const;
  void TakeBack(const char* why);
  void HandleTimeout();
  void HandleGone();
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
  MonotonicTime arrival_{0};
  Milliseconds waited_before_{0};  // in earlier attempts
  MonotonicTime bound_{0};         // when the final answer is due
  Timer bound_timer_;

  std::unique_ptr<Http1Call> call_;
  std::string upstream_id_;
  std::string last_upstream_ = "-";
  MonotonicTime sent_at_{0};
  uint64_t attempt_version_ = 0;  // weights at the upstream; 0: none needed
  MonotonicTime heard_at_{0};     // the last bytes of the attempt at work
  // What the last choice of an upstream rested on, for the log.
  int decided_load_ = 0;
  Milliseconds decided_wait_{0};
  Milliseconds decided_report_age_{0};
  std::set<std::string> tried_;
  std::optional<uint64_t> fingerprint_;
  bool suspect_ = false;          // it was running at an upstream's crash
  bool counted_suspect_ = false;  // among those at work at its upstream
  bool sent_as_suspect_ = false;  // the only one of this router where it runs
  int attempts_ = 0;              // upstreams that the request was sent to
  int unsent_ = 0;                // connections that could not be made
  Fate fate_ = Fate::kNotSent;

  bool streaming_ = false;  // the call at work answers with events
  std::string body_;        // of an answer that is no stream
  EventFramer framer_;
  std::optional<uint64_t> last_event_;
  std::optional<uint64_t> weights_version_;  // of the events passed on
  int events_ = 0;
  MonotonicTime first_event_at_{0};
  MonotonicTime event_at_{0};  // the last event
  Milliseconds longest_pause_{0};
  bool ended_ = false;
};

}  // namespace primrosecove
