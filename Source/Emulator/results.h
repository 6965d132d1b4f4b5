// What callers got in one run, in total and by group.
#pragma once

#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

#include "Emulator/fleet_model.h"

namespace primrosecove {

/// Sums over some callers. Callers that left early by themselves are not owed
/// anything.
struct ResultSums {
  int requests = 0;
  int served = 0;
  int in_time = 0;
  int refused = 0;       ///< For good, after all their returns.
  int refused_once = 0;  ///< At least once.
  double owed = 0;
  double credit = 0;
  std::vector<double> first_event_ms;
  std::vector<double> pause_ms;

  void Add(const CallerOutcome& outcome);
  /// Credit over what was owed; 1 when nothing was.
  double Worth() const { return owed > 0 ? credit / owed : 1; }
};

/// The value below which `share` of the values lie, by rank; -1 for none.
/// Thread safe.
double Percentile(std::vector<double> values, double share);

/// A run's figures: all callers, and by class, size, workspace, zone and
/// second. Sizes are the largest tenth of a class, the fifth below it, and the
/// rest. Thread safe.
nlohmann::json Summarize(const Scenario& scenario,
                         std::span<const CallerOutcome> outcomes);

}  // namespace primrosecove
