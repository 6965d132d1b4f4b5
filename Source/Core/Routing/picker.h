// Load-balancing policies that choose the upstream of a request.
#pragma once

#include <memory>
#include <random>
#include <span>
#include <string>
#include <string_view>

#include "Core/Membership/host_record.h"
#include "Core/Routing/upstream_stats.h"

namespace primrosecove {

/// An upstream that is eligible for the request.
struct PickCandidate {
  const HostRecord* record = nullptr;
  const UpstreamStats* stats = nullptr;
};

/// The properties of a request that a policy uses.
struct PickRequest {
  std::string_view prompt_prefix;  ///< The first bytes of the prompt; empty
                                   ///< without affinity.
};

/// A load-balancing policy. Pick may change its state. Not thread safe.
class Picker {
 public:
  virtual ~Picker() = default;
  /// Returns an index into `candidates`. Precondition: `candidates` is not
  /// empty.
  virtual size_t Pick(std::span<const PickCandidate> candidates,
                      const PickRequest& request) = 0;
};

/// Prefix affinity with bounded loads; falls back to the better of two random
/// candidates by expected delay (power of two choices).
std::unique_ptr<Picker> MakeAffinityPicker(uint64_t seed);
/// Baseline: round-robin.
std::unique_ptr<Picker> MakeRoundRobinPicker();
/// Baseline: fewest requests in flight from this router, ties broken at random.
std::unique_ptr<Picker> MakeLeastInFlightPicker(uint64_t seed);
/// Creates a picker by name: "affinity", "round-robin" or "least-in-flight".
/// Returns null for any other name.
std::unique_ptr<Picker> MakePickerByName(std::string_view name, uint64_t seed);

}  // namespace primrosecove
