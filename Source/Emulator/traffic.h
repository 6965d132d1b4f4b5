// Generator of a scenario's requests. All policies get the same requests.
#pragma once

#include <cstdint>
#include <vector>

#include "Emulator/scenario.h"

namespace primrosecove {

/// A request and the caller behaviour that belongs to it.
struct Arrival {
  uint64_t id = 0;
  double at_ms = 0;
  size_t request_class = 0;
  size_t zone = 0;
  int workspace = 0;
  int64_t prompt_tokens = 1;
  int events = 1;
  double abandons_after_ms = 0;  ///< 0: waits for its patience.
  double utility = 0;            ///< Of a response in time; grows with size.
  double late_utility = 0;       ///< Of a late response.
};

/// Generates the requests in the order of their arrival. Equal seeds give equal
/// requests. Thread safe.
std::vector<Arrival> GenerateTraffic(const Scenario& scenario, uint64_t seed);

}  // namespace primrosecove
