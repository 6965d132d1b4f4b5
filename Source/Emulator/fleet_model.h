// Simulation of a scenario: routers with a production placement policy,
// engines, delayed upstream statuses, and callers that abandon requests or
// retry refused ones.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "Core/Fleet/fleet_retry_budget.h"
#include "Core/Fleet/placement_policy.h"
#include "Core/Fleet/reload_schedule.h"
#include "Core/Fleet/upstream_registry.h"
#include "Core/Membership/rate_limit_relay.h"
#include "Emulator/emulated_engine.h"
#include "Emulator/event_queue.h"
#include "Emulator/scenario.h"
#include "Emulator/silence_policy.h"
#include "Emulator/traffic.h"

namespace primrosecove {

/// Result of one request over all its attempts.
struct CallerOutcome {
  enum class End { kServed, kRefused, kFailed, kAbandoned };
  Arrival arrival;
  End end = End::kAbandoned;
  int refusals = 0;
  int prompt_reads = 0;        ///< Attempts that an engine accepted.
  double first_event_ms = -1;  ///< Since the first attempt; -1: no event.
  double longest_gap_ms = 0;
  bool in_time = false;  ///< Served within the target and the accepted gap.

  /// The caller received events, but not all.
  bool EndedEarly() const { return first_event_ms >= 0 && end != End::kServed; }
  /// The caller received neither events nor a refusal.
  bool IsUnanswered() const {
    return first_event_ms < 0 && end != End::kRefused;
  }

  /// Utility of the response to its caller.
  double EarnedUtility() const {
    if (end != End::kServed) return 0;
    return in_time ? arrival.utility : arrival.late_utility;
  }
};

/// How evenly the engines of a run were loaded, as means over time.
struct LoadBalance {
  double greatest_over_mean = 0;  ///< Greatest load of an engine.
  /// Share of the slots that are idle while as many requests queue elsewhere.
  double idle_share = 0;
  int samples = 0;
};

/// Holds the state of one run. Not thread safe.
class FleetModel {
 public:
  /// `scenario` must outlive this object; `policy` is a name accepted by
  /// MakePlacementPolicy().
  FleetModel(const Scenario* scenario, std::string policy, uint64_t seed);
  ~FleetModel();

  /// Simulates all `arrivals` and returns the outcomes in the order in which
  /// the requests ended; call once.
  std::vector<CallerOutcome> Run(std::span<const Arrival> arrivals);
  /// Busy over available engine time; valid after Run().
  double Utilization() const;
  /// Valid after Run().
  LoadBalance Balance() const;
  /// Returns the most requests that arrived at one engine within `window` while
  /// it had a rate limit, from some time after its first response with it.
  size_t MaxRateLimitedArrivals(Milliseconds window) const;

 private:
  struct Engine;
  struct Router;
  struct Call;
  struct Attempt;

  void AddEngine(const EmulatedZone& zone, uint64_t version);
  void AddRouters(const EmulatedZone& zone);
  void Register(const Engine& engine, bool removed);
  void SendStatuses();
  void SampleLoads();
  void ReportRateLimits();
  void OnResponse(Router* router, const Engine& engine, double sent_at);
  void ScheduleIncident(const Incident& incident);
  void StartIncident(const Incident& incident);
  void EndIncident(const Incident& incident,
                   const std::vector<size_t>& engines);
  std::vector<size_t> SampleEngines(double share);
  void SetTargetVersion();
  void CopyAndReload(size_t engine, uint64_t version);
  void ReloadIfDue(size_t engine, uint64_t version);
  ReloadState ReloadStateOf(const Engine& engine) const;
  uint32_t ReloadDelayMs(const Engine& engine) const;

  void StartAttempt(const std::shared_ptr<Call>& call);
  void Place(const std::shared_ptr<Call>& call);
  Placement ChoosePlacement(const Call& call, bool free_slots_only);
  void Send(const std::shared_ptr<Call>& call, FleetUpstream* upstream);
  void Deliver(const std::shared_ptr<Call>& call,
               const std::shared_ptr<Attempt>& attempt);
  EngineJobCallbacks MakeCallbacks(const std::shared_ptr<Call>& call,
                                   const std::shared_ptr<Attempt>& attempt);
  // Checks the attempt until it ends.
  void CheckSilence(const std::shared_ptr<Call>& call,
                    const std::shared_ptr<Attempt>& attempt);
  void OnSilence(const std::shared_ptr<Call>& call,
                 const std::shared_ptr<Attempt>& attempt);
  // Returns a placement for another attempt if the retry budget allows one.
  FleetUpstream* PlaceRetry(const Call& call, bool free_slots_only);
  // The router received events of an attempt.
  void OnData(const std::shared_ptr<Call>& call,
              const std::shared_ptr<Attempt>& attempt, bool last);
  // The engine refused the attempt, which has ended.
  void OnAttemptRefused(const std::shared_ptr<Call>& call);
  void SetExactLoad(FleetUpstream* upstream) const;
  Engine* FindEngine(const std::string& id) const;
  void EndAttempt(Call* call, std::shared_ptr<Attempt> attempt, bool ok,
                  bool cancel);
  void HandleRefusal(const std::shared_ptr<Call>& call,
                     Milliseconds retry_after);
  void OnTokens(const std::shared_ptr<Call>& call, double sent_at, bool last);
  void EndCall(const std::shared_ptr<Call>& call, CallerOutcome::End end);
  void Abandon(const std::shared_ptr<Call>& call);
  double DelayMs(const std::string& from_zone,
                 const std::string& to_zone) const;
  int64_t UnixMs() const {
    constexpr int64_t kStartMs = 1'800'000'000'000;
    return kStartMs + Now().count();
  }
  Milliseconds Now() const {
    return Milliseconds(static_cast<int64_t>(queue_.now()));
  }

  const Scenario* scenario_;
  std::string policy_;
  std::unique_ptr<SilencePolicy> silence_policy_;
  std::mt19937_64 random_;
  EventQueue queue_;
  std::map<std::string, std::string> region_of_zone_;
  FleetService service_;
  std::vector<Route> routes_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<std::unique_ptr<Router>> routers_;
  RateLimitRelay relay_;
  std::vector<CallerOutcome>* outcomes_ = nullptr;
  LoadBalance balance_;  // Sums until Balance().
  uint64_t target_version_ = 1;
  uint64_t minimum_version_ = 1;
  uint64_t last_job_id_ = 0;
  bool service_time_is_constant_ = false;
};

}  // namespace primrosecove
