#include "Emulator/experiment.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <span>

#include "Emulator/ideal_bound.h"
#include "Emulator/plot.h"
#include "Emulator/results.h"

namespace primrosecove {
namespace {

constexpr char kUtilityKey[] = "worth";
constexpr char kUtilityBySecondKey[] = "worth_by_second";

double MeanOf(const std::vector<nlohmann::json>& runs, const char* key) {
  double sum = 0;
  for (const nlohmann::json& it : runs) sum += it.at(key).get<double>();
  return runs.empty() ? 0 : sum / static_cast<double>(runs.size());
}

std::vector<double> MeanBySecond(const std::vector<nlohmann::json>& runs) {
  std::vector<double> out;
  for (const nlohmann::json& run : runs) {
    std::vector<double> values = run.at(kUtilityBySecondKey);
    out.resize(std::max(out.size(), values.size()));
    for (size_t i = 0; i < values.size(); ++i) out[i] += values[i];
  }
  for (double& it : out) it /= static_cast<double>(runs.size());
  return out;
}

nlohmann::json RunOnce(const Scenario& scenario, const std::string& policy,
                       uint64_t seed, std::span<const Arrival> arrivals) {
  FleetModel model(&scenario, policy, seed);
  std::vector<CallerOutcome> outcomes = model.Run(arrivals);
  nlohmann::json out = Summarize(scenario, outcomes);
  out["seed"] = seed;
  out["engine_use"] = model.Utilization();
  out["load_greatest_over_mean"] = model.Balance().greatest_over_mean;
  out["idle_while_queued"] = model.Balance().idle_share;
  return out;
}

nlohmann::json MeansOf(const std::vector<nlohmann::json>& runs) {
  nlohmann::json out;
  for (const char* key :
       {kUtilityKey, "requests", "served", "in_time", "refused", "refused_once",
        "first_event_p50_ms", "first_event_p95_ms", "first_event_p99_ms",
        "load_greatest_over_mean", "idle_while_queued", "pause_p95_ms",
        "engine_use"}) {
    out[key] = MeanOf(runs, key);
  }
  return out;
}

Result<void> WritePlot(const ExperimentOptions& options,
                       const Scenario& scenario,
                       const std::vector<PlotLine>& lines) {
  std::string path = options.plot_directory + "/" + scenario.name + ".svg";
  std::ofstream file(path);
  file << PlotLines(scenario.name, "second of arrival", kUtilityKey, lines);
  if (!file.flush()) {
    return Fail(ErrorCode::kUnavailable, "can't write " + path);
  }
  return outcome::success();
}

void ScaleToLoad(Scenario* scenario, double load) {
  double factor = load / scenario->PeakLoad();
  for (RequestClass& it : scenario->classes) it.per_second *= factor;
}

}  // namespace

Result<nlohmann::json> RunExperiment(const ExperimentOptions& options) {
  BOOST_OUTCOME_TRY(scenario, Scenario::Load(options.scenario_path));
  if (options.load > 0) ScaleToLoad(&scenario, options.load);
  for (const std::string& it : options.policies) {
    if (MakePlacementPolicy(it, 0) == nullptr) {
      return Fail(ErrorCode::kInvalidArgument, "unknown policy \"" + it + "\"");
    }
  }
  std::map<std::string, std::vector<nlohmann::json>> runs;
  double bound = 0;
  for (int i = 0; i < options.seed_count; ++i) {
    uint64_t seed = options.seed + static_cast<uint64_t>(i);
    std::vector<Arrival> arrivals = GenerateTraffic(scenario, seed);
    bound += IdealUtility(scenario, arrivals) / options.seed_count;
    for (const std::string& it : options.policies) {
      runs[it].push_back(RunOnce(scenario, it, seed, arrivals));
    }
  }
  nlohmann::json out = {{"scenario", scenario.name},
                        {"full_load", scenario.PeakLoad()},
                        {"bound", bound}};
  std::vector<PlotLine> lines;
  for (const std::string& it : options.policies) {
    out["policies"][it] = {{"mean", MeansOf(runs[it])}, {"runs", runs[it]}};
    lines.push_back({it, MeanBySecond(runs[it])});
  }
  if (!options.plot_directory.empty()) {
    BOOST_OUTCOME_TRYV(WritePlot(options, scenario, lines));
  }
  return out;
}

}  // namespace primrosecove
