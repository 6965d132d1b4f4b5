// Decides where each missing piece of weights is fetched from, without any talk
// between agents: equal views give fitting answers.
#pragma once

#include <set>
#include <span>
#include <string>
#include <vector>

#include "Core/Fleet/deployment.h"
#include "Core/Fleet/fleet_messages.h"

namespace primrosecove {

/// The view that a plan is made from.
struct ChunkPlanInput {
  std::string self;  ///< This agent's upstream id.
  std::string model;
  uint64_t version = 0;
  std::span<const FleetMember> members;
  /// Members that did not deliver lately.
  const std::set<std::string>* avoided = nullptr;
};

/// Where one missing piece may come from.
struct ChunkSources {
  bool origin = false;  ///< This agent draws it.
  std::vector<std::string> zone_peers;
  std::vector<std::string> remote_peers;  ///< Asked when no zone peer has it.
  /// This agent's place among its zone's for this piece; those in front get it
  /// first and hand it on.
  size_t zone_rank = 0;
};

/// Plans one piece. Members of the own zone are its sources; without one that
/// serves the version, one of the zone brings the piece into it from another
/// zone, and one member of all draws it from the origin, each by rendezvous
/// hash: a piece leaves the origin once and enters each zone once. The next two
/// in rank step in when most other pieces have come and this one has not:
/// `overdue` is the time since then. An origin that is away makes nothing
/// overdue. Thread safe.
ChunkSources PlanChunk(const ChunkPlanInput& view, uint32_t n,
                       Milliseconds overdue);

/// How many of the zone must be seen to have a piece before one of a given rank
/// asks for it: each of them hands it on to two, so that no single link carries
/// it to all. Thread safe.
size_t HoldersNeeded(size_t zone_rank);

/// The member that draws the manifest from the origin for all others, or an
/// empty id. Thread safe.
std::string ManifestFetcher(const ChunkPlanInput& view);

}  // namespace primrosecove
