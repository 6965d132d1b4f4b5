// Decides where each missing chunk of weights is fetched from. Agents do not
// coordinate: agents with the same input make plans that fit together.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "Core/Fleet/deployment.h"
#include "Core/Fleet/fleet_messages.h"

namespace primrosecove {

/// Input of a plan.
struct ChunkPlanInput {
  std::string self;  ///< Upstream id of this agent.
  std::string model;
  uint64_t version = 0;
  std::span<const FleetMember> members;
  /// Members that recently failed to deliver.
  const std::set<std::string>* avoided = nullptr;
  /// The chunks that each member has offered, by id. Contains only members that
  /// have had time to offer all they have; others may hold any chunk.
  std::map<std::string, const std::set<uint32_t>*> offers;
};

/// Sources of one missing chunk.
struct ChunkSources {
  bool origin = false;  ///< This agent fetches it from the origin.
  /// Member that is first in rank to fetch it from the origin; empty if another
  /// member is a source because it serves the version.
  std::string origin_fetcher;
  std::vector<std::string> zone_peers;
  std::vector<std::string> remote_peers;  ///< Used if no zone peer has it.
  /// Rank of this agent for this chunk within its zone; agents of lower rank
  /// get the chunk first and forward it.
  size_t zone_rank = 0;
};

/// Plans the chunks of one version. The sources of a chunk are the members of
/// the agent's own zone. If none of them serves the version, one member of the
/// zone fetches the chunk from another zone and one member of the fleet fetches
/// it from the origin, both chosen by rendezvous hash, so that a chunk leaves
/// the origin once and enters each zone once. The next two in rank take over
/// when most other chunks have arrived and this one has not; in a zone, further
/// members follow one by one if another zone goes on offering the chunk. Chunks
/// do not become overdue while the origin is unavailable.
///
/// A member that serves the version may lack chunks of it, because what is
/// staged at an engine can be lost. Once it has had time to offer them, it is a
/// source only of those that it has offered.
///
/// At most kMaxOriginFetchers members connect to the origin, and a chunk has at
/// most kMaxRemotePeers sources in other zones, at any size of the fleet.
/// Thread safe after construction.
class ChunkPlanner {
 public:
  static constexpr size_t kMaxOriginFetchers = 12;
  static constexpr size_t kMaxRemotePeers = 5;

  /// Precondition: what `input` refers to outlives this object.
  explicit ChunkPlanner(const ChunkPlanInput& input);
  /// Plans one chunk; `overdue` is the time since it should have arrived,
  /// `unimported` that for which only other zones have offered it.
  ChunkSources Plan(uint32_t n, Milliseconds overdue,
                    Milliseconds unimported = Milliseconds(0)) const;
  /// Place of this agent among those that may fetch from the origin, in groups
  /// of kMaxOriginFetchers; only those of group 0 have a share.
  size_t FetcherGroup() const { return fetcher_group_; }
  /// Member to ask for the manifest: each of those that connect to the origin
  /// in turn, so that the first one's failure delays the others by one turn.
  /// Empty without members.
  std::string ManifestFetcher(size_t turn) const;
  /// Ids of the other members of the agent's zone.
  std::vector<std::string> ZonePeers() const;

 private:
  using Members = std::vector<const FleetMember*>;

  void GroupMembers();
  // Members of `holders` that may hold chunk `n`.
  Members HoldersOf(const Members& holders, uint32_t n) const;
  std::vector<std::string> RemotePeers(const std::string& item,
                                       Members holders) const;
  Members RankedOriginFetchers(const std::string& item) const;
  size_t ZoneRank(const std::string& item, const FleetMember* fetcher) const;

  ChunkPlanInput input_;
  std::string zone_;
  std::string version_key_;
  Members zone_holders_;    ///< Other members that serve the version.
  Members remote_holders_;  ///< The same in other zones.
  Members zone_members_;    ///< Usable members, including this agent.
  Members all_;             ///< The same in all zones.
  Members origin_fetchers_;
  size_t fetcher_group_ = 0;
};

/// Number of zone members that must hold a chunk before the member of the given
/// rank requests it: each holder forwards it to two others, so that no single
/// link carries it to all. Thread safe.
size_t HoldersNeeded(size_t zone_rank);

}  // namespace primrosecove
