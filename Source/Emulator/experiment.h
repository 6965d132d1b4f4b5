// Plays a scenario under several policies on the same arrivals.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Core/Common/error.h"

namespace primrosecove {

struct ExperimentOptions {
  std::string scenario_path;  ///< Path of a scenario's file.
  std::vector<std::string> policies = {"expected-wait", "least-in-flight",
                                       "round-robin"};
  uint64_t seed = 1;  ///< The first; each further one is one more.
  int seed_count = 3;
  double load = 0;  ///< Engine time asked over what there is; 0: as written.
  std::string plot_directory;  ///< Directory for charts; empty: none.
};

/// Runs the experiment. The result holds, for each policy, the figures of each
/// seed and their means, and the bound that no policy can pass. Fails with
/// kInvalidArgument on a wrong scenario or an unknown policy. Thread safe.
Result<nlohmann::json> RunExperiment(const ExperimentOptions& options);

}  // namespace primrosecove
