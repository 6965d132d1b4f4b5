// The strategies of a swarm: choice of neighbours, of chunks and of origin
// fetchers.
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

/// A process that may join a swarm.
struct SwarmMember {
  std::string name;
  std::string place;
  std::string region;
  Endpoint peer;
};

/// Chooses the members to which a member connects. Stateless and thread safe.
class NeighbourStrategy {
 public:
  virtual ~NeighbourStrategy() = default;
  /// Names of the members to which `self` should connect. `members` includes
  /// `self` and is sorted by name.
  virtual std::vector<std::string> Choose(
      const SwarmMember& self, std::span<const SwarmMember> members) const = 0;
  /// Whether `self` may request chunks from `neighbour`.
  virtual bool MayRequest(const SwarmMember& self, std::string_view neighbour,
                          std::span<const SwarmMember> members) const = 0;
};

/// A missing chunk that can be requested.
struct ChunkCandidate {
  uint32_t chunk = 0;
  uint32_t holders = 0;  ///< Number of neighbours known to hold the chunk.
};

/// Chooses the next chunk to request. Stateless and thread safe.
class ChunkStrategy {
 public:
  virtual ~ChunkStrategy() = default;
  /// Returns an index into `candidates`. Precondition: `candidates` is not
  /// empty.
  virtual size_t Choose(std::span<const ChunkCandidate> candidates,
                        std::mt19937_64* random) const = 0;
};

/// Chooses which members fetch which chunks from the origin. Stateless and
/// thread safe.
class OriginStrategy {
 public:
  virtual ~OriginStrategy() = default;
  /// Whether `self` should fetch `chunk` from the origin. `ranked` holds the
  /// members' names by rank for the weights; `stalled_periods` is the number of
  /// periods without progress in the chunk's share.
  virtual bool ShouldFetch(std::string_view self,
                           std::span<const std::string> ranked, uint32_t chunk,
                           uint32_t stalled_periods) const = 0;
  /// Number of members that fetch at the same time when nothing stalls; they
  /// share the origin's bandwidth limit.
  virtual size_t FetcherCount(size_t members) const = 0;
};

/// The strategies that a swarm uses.
struct SwarmPolicy {
  std::shared_ptr<const NeighbourStrategy> neighbours;
  std::shared_ptr<const ChunkStrategy> chunks;
  std::shared_ptr<const OriginStrategy> origin;
};

/// Neighbours mostly in the same place, rarest chunk first, a few members that
/// fetch from the origin.
SwarmPolicy MakeSwarmPolicy();
/// Baseline: every member fetches all chunks from the origin.
SwarmPolicy MakeOriginOnlyPolicy();
/// Baseline: a binary tree over the members in the order of their names, whose
/// root fetches from the origin.
SwarmPolicy MakeTreePolicy();
/// Creates a policy by name: "swarm", "origin-only" or "tree"; null for any
/// other name.
std::unique_ptr<SwarmPolicy> MakeSwarmPolicyByName(std::string_view name);

/// Names of `members` by rendezvous rank for the weights, best first. Thread
/// safe.
std::vector<std::string> RankMembers(const Digest& manifest,
                                     std::span<const SwarmMember> members);

}  // namespace primrosecove
