// Statistics of one run: in total and by group of callers.
#pragma once

#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

#include "Emulator/fleet_model.h"

namespace primrosecove {

/// Sums over a group of callers. Callers that an incident made abandon their
/// request early are not counted.
struct ResultSums {
  int requests = 0;
  int served = 0;
  int in_time = 0;
  int refused = 0;       ///< Finally, after all retries.
  int refused_once = 0;  ///< Refused at least once.
  int ended_early = 0;
  int unanswered = 0;
  int failed = 0;      ///< Ended by a router without a complete response.
  int read_twice = 0;  ///< Their prompts were sent to two engines.
  double offered_utility = 0;
  double earned_utility = 0;
  std::vector<double> first_event_ms;
  std::vector<double> gap_ms;

  void Add(const CallerOutcome& outcome);
  /// Earned over offered utility; 1 if none was offered.
  double UtilityRatio() const {
    return offered_utility > 0 ? earned_utility / offered_utility : 1;
  }
};

/// Percentile by the nearest-rank method; `share` is from 0 to 1. Returns -1 if
/// `values` is empty. Thread safe.
double Percentile(std::vector<double> values, double share);

/// Returns the utility earned by the requests that arrived in each `interval`.
/// Thread safe.
std::vector<double> EarnedUtilityOverTime(
    std::span<const CallerOutcome> outcomes, Milliseconds interval,
    double seconds);

/// Returns the statistics of all callers and those by class, size, workspace,
/// zone and second of arrival. The size groups are the largest tenth of a
/// class, the next fifth, and the rest. Thread safe.
nlohmann::json Summarize(const Scenario& scenario,
                         std::span<const CallerOutcome> outcomes);

}  // namespace primrosecove
