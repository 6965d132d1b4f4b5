#include "Core/Fleet/chunk_planner.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "Core/Common/digest.h"

namespace primrosecove {
namespace {

// A chunk that is overdue for longer is assumed to be delayed by a narrowed
// link. The next member in rank takes over, then the one after it, and no more,
// because a chunk that the origin sends twice delays the others.
constexpr Milliseconds kTakeoverDelay{300};
constexpr size_t kMaxTakeovers = 2;
// Time between the further members of a zone that take over.
constexpr Milliseconds kFurtherTakeoverDelay{1000};

// Whether the member of that rank should fetch the chunk.
bool ShouldFetch(size_t rank, Milliseconds overdue) {
  if (rank == 0) return true;
  return rank <= kMaxTakeovers &&
         overdue >= kTakeoverDelay * static_cast<int>(rank);
}

// Whether the zone's member of that rank should fetch the chunk from another
// zone. All members before it may be unable to.
bool ShouldImport(size_t rank, Milliseconds overdue, Milliseconds unimported) {
  if (rank <= kMaxTakeovers) return ShouldFetch(rank, overdue);
  auto further = static_cast<int>(rank - kMaxTakeovers);
  return unimported >= kTakeoverDelay * static_cast<int>(kMaxTakeovers) +
                           kFurtherTakeoverDelay * further;
}

using Members = std::vector<const FleetMember*>;

// Sorts by score for `item`, the highest first.
Members Ranked(const Members& members, const std::string& item) {
  std::vector<std::pair<uint64_t, const FleetMember*>> scores;
  scores.reserve(members.size());
  for (const FleetMember* it : members)
    scores.emplace_back(RendezvousScore(item, it->id), it);
  std::sort(scores.begin(), scores.end(), std::greater<>());
  Members out;
  out.reserve(scores.size());
  for (auto& [score, member] : scores) out.push_back(member);
  return out;
}

void AppendIds(const Members& members, const std::string& self,
               std::vector<std::string>* out) {
  for (const FleetMember* it : members) {
    if (it->id != self) out->push_back(it->id);
  }
}

}  // namespace

ChunkPlanner::ChunkPlanner(const ChunkPlanInput& input)
    : input_(input),
      version_key_(input.model + "/" + std::to_string(input.version)) {
  for (const FleetMember& it : input_.members) {
    if (it.id == input_.self) zone_ = it.zone;
  }
  GroupMembers();
  origin_fetchers_ = Ranked(all_, version_key_);
  auto self =
      std::ranges::find(origin_fetchers_, input_.self, &FleetMember::id);
  fetcher_group_ =
      static_cast<size_t>(self - origin_fetchers_.begin()) / kMaxOriginFetchers;
  if (origin_fetchers_.size() > kMaxOriginFetchers)
    origin_fetchers_.resize(kMaxOriginFetchers);
}

void ChunkPlanner::GroupMembers() {
  for (const FleetMember& it : input_.members) {
    bool is_self = it.id == input_.self;
    if (!is_self && input_.avoided->contains(it.id)) continue;
    bool same_zone = it.zone == zone_;
    if (!is_self && it.served_version == input_.version)
      (same_zone ? zone_holders_ : remote_holders_).push_back(&it);
    // A leaving member may stop before it has delivered.
    if (it.leaving && !is_self) continue;
    if (same_zone) zone_members_.push_back(&it);
    all_.push_back(&it);
  }
}

Members ChunkPlanner::HoldersOf(const Members& holders, uint32_t n) const {
  Members out;
  for (const FleetMember* it : holders) {
    auto offered = input_.offers.find(it->id);
    if (offered == input_.offers.end() || offered->second->contains(n))
      out.push_back(it);
  }
  return out;
}

Members ChunkPlanner::RankedOriginFetchers(const std::string& item) const {
  return Ranked(origin_fetchers_, item);
}

// The member that fetches the chunk from the origin is first in its zone, so
// that no other member of the zone imports the chunk as well.
size_t ChunkPlanner::ZoneRank(const std::string& item,
                              const FleetMember* fetcher) const {
  if (fetcher != nullptr && fetcher->id == input_.self) return 0;
  uint64_t own_score = RendezvousScore(item, input_.self);
  size_t out = 0;
  for (const FleetMember* it : zone_members_) {
    if (it->id == input_.self) continue;
    if (it == fetcher || RendezvousScore(item, it->id) > own_score) ++out;
  }
  return out;
}

// The members that may fetch the chunk from the origin, then those that are
// likely to import it into other zones.
std::vector<std::string> ChunkPlanner::RemotePeers(const std::string& item,
                                                   Members holders) const {
  Members candidates = std::move(holders);
  if (candidates.empty()) {
    candidates = RankedOriginFetchers(item);
    if (candidates.size() > kMaxTakeovers + 1)
      candidates.resize(kMaxTakeovers + 1);
    for (const FleetMember* it : Ranked(all_, item)) {
      if (std::ranges::find(candidates, it) == candidates.end())
        candidates.push_back(it);
    }
  } else {
    candidates = Ranked(candidates, item);
  }
  std::erase_if(candidates, [this](const auto* it) {
    return it->zone == zone_ || it->id == input_.self;
  });
  if (candidates.size() > kMaxRemotePeers) candidates.resize(kMaxRemotePeers);
  std::vector<std::string> out;
  AppendIds(candidates, input_.self, &out);
  return out;
}

ChunkSources ChunkPlanner::Plan(uint32_t n, Milliseconds overdue,
                                Milliseconds unimported) const {
  std::string item = version_key_ + "/" + std::to_string(n);
  ChunkSources out;
  AppendIds(zone_holders_, input_.self, &out.zone_peers);
  AppendIds(zone_members_, input_.self, &out.zone_peers);
  if (!HoldersOf(zone_holders_, n).empty()) return out;
  Members remote_holders = HoldersOf(remote_holders_, n);
  Members fetchers = RankedOriginFetchers(item);
  out.zone_rank = ZoneRank(item, fetchers.empty() ? nullptr : fetchers[0]);
  if (remote_holders.empty()) {
    if (!fetchers.empty()) out.origin_fetcher = fetchers[0]->id;
    for (size_t rank = 0; rank < fetchers.size(); ++rank) {
      if (fetchers[rank]->id == input_.self)
        out.origin = ShouldFetch(rank, overdue);
    }
  }
  if (ShouldImport(out.zone_rank, overdue, unimported))
    out.remote_peers = RemotePeers(item, std::move(remote_holders));
  return out;
}

std::string ChunkPlanner::ManifestFetcher(size_t turn) const {
  if (origin_fetchers_.empty()) return "";
  return origin_fetchers_[turn % origin_fetchers_.size()]->id;
}

std::vector<std::string> ChunkPlanner::ZonePeers() const {
  std::vector<std::string> out;
  AppendIds(zone_members_, input_.self, &out);
  return out;
}

size_t HoldersNeeded(size_t zone_rank) { return (zone_rank + 1) / 2; }

}  // namespace primrosecove
