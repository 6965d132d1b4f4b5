// Decides where each missing chunk of weights is fetched from. Agents do not
// coordinate: agents with the same input make plans that fit together.
#pragma once

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
};

/// Sources of one missing chunk.
struct ChunkSources {
  bool origin = false;  ///< This agent fetches it from the origin.
  std::vector<std::string> zone_peers;
  std::vector<std::string> remote_peers;  ///< Used if no zone peer has it.
  /// Rank of this agent for this chunk within its zone; agents of lower rank
  /// get the chunk first and forward it.
  size_t zone_rank = 0;
};

/// Plans one chunk. Its sources are the members of the agent's own zone. If
/// none of them serves the version, one member of the zone fetches the chunk
/// from another zone and one member of the fleet fetches it from the origin,
/// both chosen by rendezvous hash, so that a chunk leaves the origin once and
/// enters each zone once. The next two in rank take over when most other chunks
/// have arrived and this one has not; `overdue` is the time since then. Chunks
/// do not become overdue while the origin is unavailable. Thread safe.
ChunkSources PlanChunk(const ChunkPlanInput& input, uint32_t n,
                       Milliseconds overdue);

/// Number of zone members that must hold a chunk before the member of the given
/// rank requests it: each holder forwards it to two others, so that no single
/// link carries it to all. Thread safe.
size_t HoldersNeeded(size_t zone_rank);

/// The member that fetches the manifest from the origin for all others, or an
/// empty id. Thread safe.
std::string ManifestFetcher(const ChunkPlanInput& input);

}  // namespace primrosecove
