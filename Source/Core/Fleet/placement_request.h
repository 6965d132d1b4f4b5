// A request as the placement and the admission see it.
#pragma once

#include <map>
#include <span>
#include <string>

#include "Core/Fleet/deployment.h"
#include "Core/Fleet/priority_demand.h"

namespace primrosecove {

/// The request to place.
struct PlacementRequest {
  const Route* route = nullptr;
  const FleetService* service = nullptr;
  std::string home_zone;
  std::string home_region;
  const std::map<std::string, std::string>* region_of_zone = nullptr;
  int64_t prompt_tokens = 0;
  Milliseconds mean_service_time{0};      ///< From sending to the end.
  Milliseconds expected_service_time{0};  ///< Of this request; 0: the mean.
  /// Time since the caller's first attempt.
  Milliseconds waited{0};
  /// The caller has received a part of the response, which a refusal would
  /// waste.
  bool response_started = false;
  /// Priorities of the service's requests, the most urgent first; empty where
  /// all have the same.
  std::span<const PriorityClass> priorities;
  int priority =
      0;  ///< Of this request; one of `priorities`, if there are any.
  /// Weighs the expected wait; see PriorityDemand::WorkspaceFactor().
  double workspace_factor = 1;
};

}  // namespace primrosecove
