#include "Core/Fleet/piece_planner.h"

#include <algorithm>

#include "Core/Common/digest.h"

namespace primrosecove {
namespace {

using Members = std::vector<const FleetMember*>;

// The member with the highest score for `item`, or null.
const FleetMember* Best(const Members& members, const std::string& item) {
  const FleetMember* out = nullptr;
  uint64_t best = 0;
  for (const FleetMember* it : members) {
    uint64_t score = RendezvousScore(item, it->id);
    if (out != nullptr && score <= best) continue;
    out = it;
    best = score;
  }
  return out;
}

// The members by what they can give.
struct Sources {
  Members zone_holders;
  Members other_holders;
  Members zone_members;  // including this agent
  Members all;           // including this agent
};

Sources Sort(const PieceView& view) {
  Sources out;
  std::string zone;
  for (const FleetMember& it : view.members) {
    if (it.id == view.self) zone = it.zone;
  }
  for (const FleetMember& it : view.members) {
    bool is_self = it.id == view.self;
    if (!is_self && view.avoided->contains(it.id)) continue;
    bool near = it.zone == zone;
    if (!is_self && it.whole_version == view.version) {
      (near ? out.zone_holders : out.other_holders).push_back(&it);
    }
    // One that leaves may be gone before it has delivered.
    if (it.leaving && !is_self) continue;
    if (near) out.zone_members.push_back(&it);
    out.all.push_back(&it);
  }
  return out;
}

// The source of one piece; null for the origin.
const FleetMember* SourceOf(const Sources& sources, const PieceView& view,
                            const std::string& item) {
  if (!sources.zone_holders.empty()) {
    // Each agent spreads its own requests over the holders.
    return Best(sources.zone_holders, item + view.self);
  }
  const FleetMember* importer = Best(sources.zone_members, item);
  if (importer != nullptr && importer->id != view.self) return importer;
  if (!sources.other_holders.empty()) {
    return Best(sources.other_holders, item + view.self);
  }
  const FleetMember* drawer = Best(sources.all, item);
  if (drawer != nullptr && drawer->id != view.self) return drawer;
  return nullptr;
}

}  // namespace

PiecePlan PlanPieces(const PieceView& view, std::span<const uint32_t> missing) {
  Sources sources = Sort(view);
  std::string prefix = view.model + "/" + std::to_string(view.version) + "/";
  PiecePlan out;
  for (uint32_t n : missing) {
    const FleetMember* source =
        SourceOf(sources, view, prefix + std::to_string(n));
    if (source == nullptr) {
      out.from_origin.push_back(n);
    } else {
      out.from_members[source->id].push_back(n);
    }
  }
  return out;
}

std::string ManifestFetcher(const PieceView& view) {
  Sources sources = Sort(view);
  const FleetMember* best =
      Best(sources.all, view.model + "/" + std::to_string(view.version));
  return best == nullptr ? "" : best->id;
}

}  // namespace primrosecove
