#include "Core/Fleet/chunk_planner.h"

#include <algorithm>

#include "Core/Common/digest.h"

namespace primrosecove {
namespace {

// A piece that is overdue for longer sits behind a narrowed link; the next in
// rank takes it, then the one after, and no more, because what the origin sends
// twice delays the rest.
constexpr Milliseconds kStepIn{300};
constexpr size_t kMostStepIn = 2;

// Whether the member of that rank should act on its own.
bool StepsIn(size_t rank, Milliseconds overdue) {
  if (rank == 0) return true;
  return rank <= kMostStepIn && overdue >= kStepIn * static_cast<int>(rank);
}

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

std::string ZoneOf(const ChunkPlanInput& view) {
  for (const FleetMember& it : view.members) {
    if (it.id == view.self) return it.zone;
  }
  return "";
}

Sources Sort(const ChunkPlanInput& view) {
  Sources out;
  std::string zone = ZoneOf(view);
  for (const FleetMember& it : view.members) {
    bool is_self = it.id == view.self;
    if (!is_self && view.avoided->contains(it.id)) continue;
    bool near = it.zone == zone;
    if (!is_self && it.served_version == view.version) {
      (near ? out.zone_holders : out.other_holders).push_back(&it);
    }
    // One that leaves may be gone before it has delivered.
    if (it.leaving && !is_self) continue;
    if (near) out.zone_members.push_back(&it);
    out.all.push_back(&it);
  }
  return out;
}

// How many of `members` have a higher score for `item` than `self`.
size_t RankOf(const Members& members, const std::string& item,
              const std::string& self) {
  uint64_t own = RendezvousScore(item, self);
  size_t out = 0;
  for (const FleetMember* it : members) {
    if (it->id != self && RendezvousScore(item, it->id) > own) ++out;
  }
  return out;
}

void Append(const Members& members, const std::string& self,
            std::vector<std::string>* out) {
  for (const FleetMember* it : members) {
    if (it->id != self) out->push_back(it->id);
  }
}

std::string ItemOf(const ChunkPlanInput& view) {
  return view.model + "/" + std::to_string(view.version);
}

}  // namespace

ChunkSources PlanChunk(const ChunkPlanInput& view, uint32_t n,
                       Milliseconds overdue) {
  Sources sources = Sort(view);
  std::string item = ItemOf(view) + "/" + std::to_string(n);
  ChunkSources out;
  Append(sources.zone_holders, view.self, &out.zone_peers);
  Append(sources.zone_members, view.self, &out.zone_peers);
  if (!sources.zone_holders.empty()) return out;
  out.zone_rank = RankOf(sources.zone_members, item, view.self);
  if (!StepsIn(out.zone_rank, overdue)) return out;
  for (const FleetMember* it : sources.other_holders) {
    out.remote_peers.push_back(it->id);
  }
  if (!out.remote_peers.empty()) return out;
  for (const FleetMember* it : sources.all) {
    if (it->zone != ZoneOf(view)) out.remote_peers.push_back(it->id);
  }
  out.origin = StepsIn(RankOf(sources.all, item, view.self), overdue);
  return out;
}

size_t HoldersNeeded(size_t zone_rank) { return (zone_rank + 1) / 2; }

std::string ManifestFetcher(const ChunkPlanInput& view) {
  const FleetMember* best = Best(Sort(view).all, ItemOf(view));
  return best == nullptr ? "" : best->id;
}

}  // namespace primrosecove
