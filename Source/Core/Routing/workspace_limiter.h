// Enforces the limits of each workspace at one router.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "Core/Config/configuration.h"
#include "Core/Net/token_bucket.h"

namespace primrosecove {

/// Whether a request is admitted; if not, the reason and the time until a
/// retry.
struct AdmissionDecision {
  bool admitted = false;
  std::string reason;
  Milliseconds retry_after{0};
};

/// Each router enforces an equal share of a workspace's limits, recomputed when
/// the number of routers changes. Admission needs no communication between
/// routers. Not thread safe.
class WorkspaceLimiter {
 public:
  /// Sets limits from the configuration, divided by the number of routers that
  /// accept callers.
  void Configure(const std::vector<Workspace>& workspaces, size_t routers);
  /// Decides on a request that may produce up to `tokens`. A workspace that is
  /// not configured is rejected.
  AdmissionDecision Admit(std::string_view workspace, uint32_t tokens,
                          SteadyTime now);
  /// Records the end of an admitted request.
  void OnEnded(std::string_view workspace, uint32_t tokens);

 private:
  struct State {
    Workspace limits;
    double in_flight_share = 0;
    double tokens_share = 0;
    TokenBucket rate{0, 0};
    uint32_t in_flight = 0;
    uint64_t tokens = 0;
  };
  std::map<std::string, State, std::less<>> states_;
};

}  // namespace primrosecove
