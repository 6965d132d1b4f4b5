// The choices inside a swarm, each behind a small strategy object.
#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/digest.h"
#include "Core/Net/endpoint.h"
#include "Core/Weights/bitmap.h"

namespace primrosecove {

/// A process that may take part in a swarm.
struct SwarmMember {
  std::string name;
  std::string place;
  std::string region;
  Endpoint peer;
};

/// Chooses to whom a member connects. Stateless and thread safe.
class NeighbourStrategy {
 public:
  virtual ~NeighbourStrategy() = default;
  /// Names of the members that `self` should be connected to; `members`
  /// includes `self` and is sorted by name.
  virtual std::vector<std::string> Choose(
      const SwarmMember& self, std::span<const SwarmMember> members) const = 0;
  /// Whether `self` may request chunks from `neighbour`.
  virtual bool MayRequest(const SwarmMember& self, std::string_view neighbour,
                          std::span<const SwarmMember> members) const = 0;
};

/// What a member knows about one missing chunk.
struct ChunkCandidate {
  uint32_t chunk = 0;
  uint32_t holders = 0;  ///< Neighbours known to hold it.
};

/// Chooses the next chunk. Stateless and thread safe.
class ChunkStrategy {
 public:
  virtual ~ChunkStrategy() = default;
  /// Returns an index into `candidates`. Precondition: there is at least one.
  virtual size_t Choose(std::span<const ChunkCandidate> candidates,
                        std::mt19937_64* random) const = 0;
};

/// Chooses who draws which chunks from the origin. Stateless and thread safe.
class OriginStrategy {
 public:
  virtual ~OriginStrategy() = default;
  /// Whether `self` should draw `chunk` from the origin. `ranked` are the
  /// members' names by rank for the weights; `stalled_periods` counts the times
  /// that the chunk has not come in time.
  virtual bool ShouldFetch(std::string_view self,
                           std::span<const std::string> ranked, uint32_t chunk,
                           uint32_t stalled_periods) const = 0;
  /// Members that draw at the same time when nothing stalls; they share the
  /// origin's contract.
  virtual size_t Fetchers(size_t members) const = 0;
};

/// One of each.
struct SwarmPolicy {
  std::shared_ptr<const NeighbourStrategy> neighbours;
  std::shared_ptr<const ChunkStrategy> chunks;
  std::shared_ptr<const OriginStrategy> origin;
};

/// Neighbours mostly in the same place, rarest chunk first, a few fetchers at
/// the origin.
SwarmPolicy MakeSwarmPolicy();
/// Baseline: every member draws everything from the origin.
SwarmPolicy MakeOriginOnlyPolicy();
/// Baseline: a binary tree by rank whose root draws from the origin.
SwarmPolicy MakeTreePolicy();
/// Makes a policy by name: "swarm", "origin-only" or "tree"; null for another
/// name.
std::unique_ptr<SwarmPolicy> MakeSwarmPolicyByName(std::string_view name);

/// Names of `members` by rendezvous rank for the weights, best first. Thread
/// safe.
std::vector<std::string> RankMembers(const Digest& manifest,
                                     std::span<const SwarmMember> members);

}  // namespace primrosecove
