// Plays a scenario: routers that place requests by a policy of the product,
// engines, agents' statuses with their lag, and callers that leave and return.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "Core/Fleet/placement_policy.h"
#include "Core/Fleet/reload_schedule.h"
#include "Core/Fleet/upstream_registry.h"
#include "Emulator/emulated_engine.h"
#include "Emulator/event_queue.h"
#include "Emulator/scenario.h"
#include "Emulator/traffic.h"

namespace primrosecove {

/// How one caller's request went, all its attempts together.
struct CallerOutcome {
  enum class End { kServed, kRefused, kFailed, kLeft };
  Arrival arrival;
  End end = End::kLeft;
  int refusals = 0;
  double first_event_ms = -1;  ///< Since the first attempt; -1: none came.
  double longest_pause_ms = 0;
  bool in_time = false;  ///< Served within the target and the longest pause.

  /// What the answer was worth to its caller.
  double Credit() const {
    if (end != End::kServed) return 0;
    return in_time ? arrival.worth : arrival.late_worth;
  }
};

/// Owns everything of one run. Not thread safe.
class FleetModel {
 public:
  /// `scenario` outlives this object; `policy` is a name that
  /// MakePlacementPolicy knows.
  FleetModel(const Scenario* scenario, std::string policy, uint64_t seed);
  ~FleetModel();

  /// Plays all arrivals; call once.
  std::vector<CallerOutcome> Run(std::span<const Arrival> arrivals);
  /// Engine time used over engine time there was, after Run.
  double Utilization() const;

 private:
  struct Engine;
  struct Router;
  struct Call;

  void AddEngine(const EmulatedZone& zone, uint64_t version);
  void AddRouters(const EmulatedZone& zone);
  void Register(const Engine& engine, bool gone);
  void SendStatuses();
  void Plan(const Incident& incident);
  void Begin(const Incident& incident);
  void End(const Incident& incident, const std::vector<size_t>& engines);
  std::vector<size_t> DrawEngines(double share);
  void NameVersion();
  void CopyAndLoad(size_t engine, uint64_t version);
  void LoadIfDue(size_t engine, uint64_t version);
  ReloadState SituationOf(const Engine& engine) const;
  uint32_t LoadsInMs(const Engine& engine) const;

  void Arrive(const std::shared_ptr<Call>& call);
  void Place(const std::shared_ptr<Call>& call);
  void Send(const std::shared_ptr<Call>& call, FleetUpstream* upstream);
  void Refuse(const std::shared_ptr<Call>& call, Milliseconds retry_after);
  void TakeTokens(const std::shared_ptr<Call>& call, bool last);
  void EndCall(const std::shared_ptr<Call>& call, CallerOutcome::End end);
  void Leave(const std::shared_ptr<Call>& call);
  void Detach(Call* call);
  double DelayMs(const std::string& from_zone,
                 const std::string& to_zone) const;
  Milliseconds Now() const {
    return Milliseconds(static_cast<int64_t>(queue_.now()));
  }

  const Scenario* scenario_;
  std::string policy_;
  std::mt19937_64 random_;
  EventQueue queue_;
  std::map<std::string, std::string> region_of_zone_;
  FleetService service_;
  std::vector<Route> routes_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::vector<CallerOutcome>* outcomes_ = nullptr;
  uint64_t named_version_ = 1;
  uint64_t lowest_version_ = 1;
};

}  // namespace primrosecove
