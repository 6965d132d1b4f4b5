// Decides where each missing piece of weights is fetched from, without any talk
// between agents: equal views give fitting answers.
#pragma once

#include <set>
#include <span>
#include <string>
#include <vector>

#include "Core/Fleet/fleet_messages.h"

namespace primrosecove {

/// The view that a plan is made from.
struct PieceView {
  std::string self;  ///< This agent's upstream id.
  std::string model;
  uint64_t version = 0;
  std::span<const FleetMember> members;
  /// Members that did not deliver lately.
  const std::set<std::string>* avoided = nullptr;
};

/// Where one missing piece may come from.
struct PieceSources {
  bool origin = false;             ///< This agent draws it.
  std::vector<std::string> peers;  ///< Ids, the preferred ones first.
};

/// Plans one piece. Members of the own zone are its sources; without one that
/// serves the version, one of the zone brings the piece into it from another
/// zone, and one member of all draws it from the origin, each by rendezvous
/// hash: a piece leaves the origin once and enters each zone once. Thread safe.
PieceSources PlanPiece(const PieceView& view, uint32_t n);

/// The member that draws the manifest from the origin for all others, or an
/// empty id. Thread safe.
std::string ManifestFetcher(const PieceView& view);

}  // namespace primrosecove
