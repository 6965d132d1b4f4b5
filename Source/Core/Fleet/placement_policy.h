// Chooses the upstream of a request, or finds that none can serve it in time.
#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "Core/Fleet/deployment.h"
#include "Core/Fleet/upstream_registry.h"

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
};

/// The chosen upstream or the reason for a refusal.
struct Placement {
  FleetUpstream* upstream = nullptr;  ///< Null if none can serve it in time.
  Milliseconds wait{0};               ///< Expected in the upstream's queue.
  /// When an upstream should have a free slot; set if none was chosen.
  Milliseconds retry_after{0};
  size_t candidates = 0;    ///< Number of upstreams that were considered.
  size_t rate_limited = 0;  ///< Upstreams left out because of a rate limit.
  size_t resting = 0;       ///< Upstreams left out because they rest.
};

/// Strategy for choosing upstreams; one instance per process. Not thread safe.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  /// Precondition: `candidates` serve the request's weights and may get work.
  virtual Placement Choose(std::span<FleetUpstream* const> candidates,
                           const PlacementRequest& request,
                           MonotonicTime now) = 0;
};

/// Creates a policy. "expected-wait" chooses the least expected wait and
/// refuses requests that would miss their target; "least-in-flight" and
/// "round-robin" are baselines with a queue of fixed length. Returns null for
/// an unknown name.
std::unique_ptr<PlacementPolicy> MakePlacementPolicy(std::string_view name);

/// Prefill time of a prompt on an otherwise idle engine, in milliseconds:
/// tokens over the prefill rate, plus attention over all pairs of tokens.
double PrefillMs(const EngineProfile& engine, int64_t prompt_tokens);

}  // namespace primrosecove
