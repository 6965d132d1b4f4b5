#include "Core/Fleet/chunk_planner.h"

#include <algorithm>

#include "Core/Common/digest.h"

namespace primrosecove {
namespace {

// A chunk that is overdue for longer is assumed to be delayed by a narrowed
// link. The next member in rank takes over, then the one after it, and no more,
// because a chunk that the origin sends twice delays the others.
constexpr Milliseconds kTakeoverDelay{300};
constexpr size_t kMaxTakeovers = 2;

// Whether the member of that rank should fetch the chunk.
bool ShouldFetch(size_t rank, Milliseconds overdue) {
  if (rank == 0) return true;
  return rank <= kMaxTakeovers &&
         overdue >= kTakeoverDelay * static_cast<int>(rank);
}

using Members = std::vector<const FleetMember*>;

// Returns the member with the highest score for `item`, or null.
const FleetMember* HighestScore(const Members& members,
                                const std::string& item) {
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

// The usable members, grouped by zone and by whether they hold the version.
struct MemberGroups {
  Members zone_holders;
  Members remote_holders;
  Members zone_members;  // including this agent
  Members all;           // including this agent
};

std::string ZoneOf(const ChunkPlanInput& input) {
  for (const FleetMember& it : input.members) {
    if (it.id == input.self) return it.zone;
  }
  return "";
}

MemberGroups GroupMembers(const ChunkPlanInput& input) {
  MemberGroups out;
  std::string zone = ZoneOf(input);
  for (const FleetMember& it : input.members) {
    bool is_self = it.id == input.self;
    if (!is_self && input.avoided->contains(it.id)) continue;
    bool same_zone = it.zone == zone;
    if (!is_self && it.served_version == input.version) {
      (same_zone ? out.zone_holders : out.remote_holders).push_back(&it);
    }
    // A leaving member may stop before it has delivered.
    if (it.leaving && !is_self) continue;
    if (same_zone) out.zone_members.push_back(&it);
    out.all.push_back(&it);
  }
  return out;
}

// Returns how many of `members` have a higher score for `item` than `self`.
size_t RankOf(const Members& members, const std::string& item,
              const std::string& self) {
  uint64_t own_score = RendezvousScore(item, self);
  size_t out = 0;
  for (const FleetMember* it : members) {
    if (it->id != self && RendezvousScore(item, it->id) > own_score) ++out;
  }
  return out;
}

void AppendIds(const Members& members, const std::string& self,
               std::vector<std::string>* out) {
  for (const FleetMember* it : members) {
    if (it->id != self) out->push_back(it->id);
  }
}

std::string VersionKey(const ChunkPlanInput& input) {
  return input.model + "/" + std::to_string(input.version);
}

}  // namespace

ChunkSources PlanChunk(const ChunkPlanInput& input, uint32_t n,
                       Milliseconds overdue) {
  MemberGroups groups = GroupMembers(input);
  std::string item = VersionKey(input) + "/" + std::to_string(n);
  ChunkSources out;
  AppendIds(groups.zone_holders, input.self, &out.zone_peers);
  AppendIds(groups.zone_members, input.self, &out.zone_peers);
  if (!groups.zone_holders.empty()) return out;
  out.zone_rank = RankOf(groups.zone_members, item, input.self);
  if (!ShouldFetch(out.zone_rank, overdue)) return out;
  for (const FleetMember* it : groups.remote_holders) {
    out.remote_peers.push_back(it->id);
  }
  if (!out.remote_peers.empty()) return out;
  for (const FleetMember* it : groups.all) {
    if (it->zone != ZoneOf(input)) out.remote_peers.push_back(it->id);
  }
  out.origin = ShouldFetch(RankOf(groups.all, item, input.self), overdue);
  return out;
}

size_t HoldersNeeded(size_t zone_rank) { return (zone_rank + 1) / 2; }

std::string ManifestFetcher(const ChunkPlanInput& input) {
  const FleetMember* best =
      HighestScore(GroupMembers(input).all, VersionKey(input));
  return best == nullptr ? "" : best->id;
}

}  // namespace primrosecove
