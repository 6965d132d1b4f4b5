// Comparison of placement policies: runs a scenario under each of them with the
// same arrivals.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Core/Common/error.h"

namespace primrosecove {

/// Parameters of an experiment.
struct ExperimentOptions {
  std::string scenario_path;  ///< YAML file.
  std::vector<std::string> policies = {"expected-wait", "least-in-flight",
                                       "round-robin"};
  uint64_t seed = 1;  ///< First seed; run i uses `seed` + i.
  int seed_count = 3;
  double load = 0;  ///< Demanded over available engine time; 0: as in the file.
  std::string plot_directory;  ///< Directory for charts; empty: no charts.
};

/// Runs the experiment. The result holds the figures of each policy, by seed
/// and as means, and an upper bound of the utility of any policy. Fails with
/// kInvalidArgument if the scenario is invalid or a policy unknown, kNotFound
/// if the scenario can't be read, and kUnavailable if the chart can't be
/// written. Thread safe.
Result<nlohmann::json> RunExperiment(const ExperimentOptions& options);

}  // namespace primrosecove
