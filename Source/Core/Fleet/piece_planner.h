// Decides where each missing piece of weights is fetched from, without any talk
// between agents: equal views give fitting answers.
#pragma once

#include <map>
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

/// Pieces to fetch, by source.
struct PiecePlan {
  std::map<std::string, std::vector<uint32_t>> from_members;  ///< By id.
  std::vector<uint32_t> from_origin;
};

/// Plans all of `missing`. Members of the own zone that serve the version go
/// first. Else one member of each zone brings a piece into it, and one member
/// of all draws it from the origin, each by rendezvous hash, so that a piece
/// leaves the origin once and enters each zone once. Thread safe.
PiecePlan PlanPieces(const PieceView& view, std::span<const uint32_t> missing);

/// The member that draws the manifest from the origin for all others, or an
/// empty id. Thread safe.
std::string ManifestFetcher(const PieceView& view);

}  // namespace primrosecove
