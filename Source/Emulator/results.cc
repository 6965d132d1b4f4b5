#include "Emulator/results.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace primrosecove {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kMedian = 0.5;
constexpr double kP95 = 0.95;
constexpr double kP99 = 0.99;
// Upper shares of a class that bound the size groups: the largest tenth, and
// the fifth below it.
constexpr double kLargestShare = 0.1;
constexpr double kLargeShare = 0.3;

nlohmann::json ToJson(const ResultSums& sums) {
  return {{"requests", sums.requests},
          {"served", sums.served},
          {"in_time", sums.in_time},
          {"refused", sums.refused},
          {"refused_once", sums.refused_once},
          {"ended_early", sums.ended_early},
          {"unanswered", sums.unanswered},
          {"failed", sums.failed},
          {"read_twice", sums.read_twice},
          {"worth", sums.UtilityRatio()},
          {"first_event_p50_ms", Percentile(sums.first_event_ms, kMedian)},
          {"first_event_p95_ms", Percentile(sums.first_event_ms, kP95)},
          {"first_event_p99_ms", Percentile(sums.first_event_ms, kP99)},
          {"pause_p95_ms", Percentile(sums.gap_ms, kP95)}};
}

// For each class, the utility from which on a request belongs to the largest
// `share`. Utility grows with the size of a request.
std::vector<double> SizeThresholds(std::span<const CallerOutcome> outcomes,
                                   size_t classes, double share) {
  std::vector<std::vector<double>> sizes(classes);
  for (const CallerOutcome& it : outcomes) {
    sizes[it.arrival.request_class].push_back(it.arrival.utility);
  }
  std::vector<double> out;
  out.reserve(sizes.size());
  for (auto& it : sizes) out.push_back(Percentile(std::move(it), 1 - share));
  return out;
}

nlohmann::json GroupsToJson(const std::map<std::string, ResultSums>& groups) {
  nlohmann::json out = nlohmann::json::object();
  for (const auto& [name, sums] : groups) out[name] = ToJson(sums);
  return out;
}

}  // namespace

void ResultSums::Add(const CallerOutcome& outcome) {
  bool abandoned_early = outcome.arrival.abandons_after_ms > 0 &&
                         outcome.end == CallerOutcome::End::kAbandoned;
  if (abandoned_early) return;
  ++requests;
  offered_utility += outcome.arrival.utility;
  earned_utility += outcome.EarnedUtility();
  served += outcome.end == CallerOutcome::End::kServed ? 1 : 0;
  in_time += outcome.in_time ? 1 : 0;
  refused += outcome.end == CallerOutcome::End::kRefused ? 1 : 0;
  ended_early += outcome.EndedEarly() ? 1 : 0;
  unanswered += outcome.IsUnanswered() ? 1 : 0;
  failed += outcome.end == CallerOutcome::End::kFailed ? 1 : 0;
  read_twice += outcome.prompt_reads > 1 ? 1 : 0;
  refused_once += outcome.refusals > 0 ? 1 : 0;
  if (outcome.first_event_ms >= 0) {
    first_event_ms.push_back(outcome.first_event_ms);
    gap_ms.push_back(outcome.longest_gap_ms);
  }
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return -1;
  auto rank = static_cast<size_t>(
      std::ceil(share * static_cast<double>(values.size())));
  size_t at = std::min(std::max<size_t>(rank, 1), values.size()) - 1;
  std::nth_element(values.begin(), values.begin() + static_cast<long>(at),
                   values.end());
  return values[at];
}

std::vector<double> EarnedUtilityOverTime(
    std::span<const CallerOutcome> outcomes, Milliseconds interval,
    double seconds) {
  double interval_ms = static_cast<double>(interval.count());
  std::vector<double> out(
      static_cast<size_t>(std::ceil(seconds * kMsPerSecond / interval_ms)));
  for (const CallerOutcome& it : outcomes) {
    auto at = static_cast<size_t>(it.arrival.at_ms / interval_ms);
    out[std::min(at, out.size() - 1)] += it.EarnedUtility();
  }
  return out;
}

nlohmann::json Summarize(const Scenario& scenario,
                         std::span<const CallerOutcome> outcomes) {
  size_t classes = scenario.classes.size();
  std::vector<double> largest =
      SizeThresholds(outcomes, classes, kLargestShare);
  std::vector<double> large = SizeThresholds(outcomes, classes, kLargeShare);
  ResultSums all;
  std::map<std::string, ResultSums> by_class;
  std::map<std::string, ResultSums> by_size;
  std::map<std::string, ResultSums> by_workspace;
  std::map<std::string, ResultSums> by_zone;
  std::vector<ResultSums> by_second(
      static_cast<size_t>(std::ceil(scenario.seconds)));
  for (const CallerOutcome& it : outcomes) {
    const Arrival& arrival = it.arrival;
    size_t index = arrival.request_class;
    const char* size = arrival.utility >= largest[index] ? "largest tenth"
                       : arrival.utility >= large[index] ? "next fifth"
                                                         : "rest";
    all.Add(it);
    by_class[scenario.classes[index].name].Add(it);
    by_size[size].Add(it);
    by_workspace["w" + std::to_string(arrival.workspace)].Add(it);
    by_zone[scenario.zones[arrival.zone].name].Add(it);
    auto second = static_cast<size_t>(arrival.at_ms / kMsPerSecond);
    by_second[std::min(second, by_second.size() - 1)].Add(it);
  }
  nlohmann::json out = ToJson(all);
  out["by_class"] = GroupsToJson(by_class);
  out["by_size"] = GroupsToJson(by_size);
  out["by_workspace"] = GroupsToJson(by_workspace);
  out["by_zone"] = GroupsToJson(by_zone);
  out["worth_by_second"] = nlohmann::json::array();
  for (const ResultSums& it : by_second) {
    out["worth_by_second"].push_back(it.UtilityRatio());
  }
  return out;
}

}  // namespace primrosecove
