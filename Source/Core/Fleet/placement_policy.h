// Chooses the upstream of a request, or that it can't be served in time.
#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "Core/Fleet/deployment.h"
#include "Core/Fleet/upstream_registry.h"

namespace primrosecove {

/// What is to be placed.
struct PlacementRequest {
  const Route* route = nullptr;
  const FleetService* service = nullptr;
  std::string home_zone;
  std::string home_region;
  const std::map<std::string, std::string>* region_of_zone = nullptr;
  int64_t prompt_tokens = 0;
  Milliseconds mean_service_time{0};  ///< Mean time from sending to the end.
  Milliseconds expected_service_time{0};  ///< Of this request; 0: as usual.
  /// Of its caller, since its first attempt.
  Milliseconds waited{0};
  /// Its caller has got a part of the answer, so that refusing it would waste
  /// what was done.
  bool response_started = false;
};

/// The choice among candidates.
struct Placement {
  FleetUpstream* upstream = nullptr;  ///< Null: none can serve in time.
  Milliseconds wait{0};               ///< Expected in the upstream's queue.
  /// When an upstream should have room; set where none has.
  Milliseconds retry_after{0};
  size_t candidates = 0;  ///< Upstreams that could be chosen from.
};

/// How upstreams are chosen; one instance a process, not thread safe.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  /// `candidates` serve the request's weights and may get work.
  virtual Placement Choose(std::span<FleetUpstream* const> candidates,
                           const PlacementRequest& request,
                           MonotonicTime now) = 0;
};

/// "expected-wait": least expected wait, refusing what would miss its target;
/// "least-in-flight" and "round-robin": baselines with a fixed queue. Null for
/// an unknown name.
std::unique_ptr<PlacementPolicy> MakePlacementPolicy(std::string_view name);

/// Prefill of a prompt on an otherwise idle engine, milliseconds: tokens over
/// the reading rate, plus attention over all pairs of tokens.
double PrefillMs(const EngineProfile& engine, int64_t prompt_tokens);

}  // namespace primrosecove
