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

void Append(const Members& members, const std::string& self,
            std::vector<std::string>* out) {
  for (const FleetMember* it : members) {
    if (it->id != self) out->push_back(it->id);
  }
}

std::string ItemOf(const PieceView& view) {
  return view.model + "/" + std::to_string(view.version);
}

}  // namespace

PieceSources PlanPiece(const PieceView& view, uint32_t n) {
  Sources sources = Sort(view);
  std::string item = ItemOf(view) + "/" + std::to_string(n);
  PieceSources out;
  if (!sources.zone_holders.empty()) {
    Append(sources.zone_holders, view.self, &out.peers);
    Append(sources.zone_members, view.self, &out.peers);
    return out;
  }
  const FleetMember* importer = Best(sources.zone_members, item);
  if (importer == nullptr || importer->id != view.self) {
    Append(sources.zone_members, view.self, &out.peers);
    return out;
  }
  if (!sources.other_holders.empty()) {
    Append(sources.other_holders, view.self, &out.peers);
    return out;
  }
  const FleetMember* drawer = Best(sources.all, item);
  out.origin = drawer == nullptr || drawer->id == view.self;
  if (!out.origin) out.peers.push_back(drawer->id);
  return out;
}

std::string ManifestFetcher(const PieceView& view) {
  const FleetMember* best = Best(Sort(view).all, ItemOf(view));
  return best == nullptr ? "" : best->id;
}

}  // namespace primrosecove
