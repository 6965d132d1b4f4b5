// The callers of a scenario: the same requests for each policy that is tried.
#pragma once

#include <cstdint>
#include <vector>

#include "Emulator/scenario.h"

namespace primrosecove {

/// One caller's request.
struct Arrival {
  uint64_t id = 0;
  double at_ms = 0;
  size_t request_class = 0;
  size_t zone = 0;
  int workspace = 0;
  int64_t prompt_tokens = 1;
  int events = 1;
  double leaves_after_ms = 0;  ///< 0: stays until its patience ends.
  double worth = 0;            ///< When served in time; grows with its size.
  double late_worth = 0;
};

/// Draws the requests in the order of their times; equal for equal seeds.
/// Thread safe.
std::vector<Arrival> DrawTraffic(const Scenario& scenario, uint64_t seed);

}  // namespace primrosecove
