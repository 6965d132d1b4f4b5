// Chooses the upstream of a request, or finds that none can serve it in time.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "Core/Fleet/placement_request.h"
#include "Core/Fleet/upstream_registry.h"

namespace primrosecove {

/// The chosen upstream or the reason for a refusal.
struct Placement {
  FleetUpstream* upstream = nullptr;  ///< Null if none can serve it in time.
  Milliseconds wait{0};               ///< Expected in the upstream's queue.
  /// When an upstream should have a free slot; set if none was chosen.
  Milliseconds retry_after{0};
  size_t candidates = 0;  ///< Number of upstreams that were considered.
  std::string excluded;   ///< Why there was none, for the log.
  const char* refusal_reason = "";  ///< For the log; set if none was chosen.
};

/// Strategy for choosing upstreams; one instance per process. Not thread safe.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  /// Precondition: `candidates` serve the request's weights and may get work.
  virtual Placement Choose(std::span<FleetUpstream* const> candidates,
                           const PlacementRequest& request,
                           MonotonicTime now) = 0;
  /// Returns a policy with the same state, whose choices don't change those of
  /// this one.
  virtual std::unique_ptr<PlacementPolicy> Clone() const = 0;
};

/// Creates a policy. Returns null for an unknown name.
/// - "expected-wait" chooses the least expected wait and refuses requests that
///   would miss their target.
/// - "even-load" does so too, but where several routers use the upstreams, it
///   spreads requests by what the others have sent since the last reports.
/// - "two-random" chooses the better one of two random upstreams, and
///   "free-slots" draws in proportion to the free slots; they admit requests as
///   the first does, and are for comparison.
/// - "least-in-flight" and "round-robin" are baselines with a queue of fixed
///   length.
/// `seed` is that of the random choices.
std::unique_ptr<PlacementPolicy> MakePlacementPolicy(std::string_view name,
                                                     uint64_t seed);

}  // namespace primrosecove
