#include "Core/Weights/swarm_policy.h"

#include <algorithm>

namespace primrosecove {
namespace {

// Connections that a member opens; about as many are opened to it by others.
constexpr size_t kSamePlaceNeighbours = 5;
constexpr size_t kOtherPlaceNeighbours = 3;
// Members that fetch from the origin at the same time. The origin's link has
// the bandwidth of two host links, and each fetcher needs half of its own link
// for the chunks that its peers send.
constexpr size_t kOriginFetchers = 4;

class PlaceAwareNeighbours : public NeighbourStrategy {
 public:
  std::vector<std::string> Choose(
      const SwarmMember& self,
      std::span<const SwarmMember> members) const override {
    std::vector<Scored> same_place;
    std::vector<Scored> other_places;
    for (const SwarmMember& it : members) {
      if (it.name == self.name) continue;
      auto& group = it.place == self.place ? same_place : other_places;
      group.push_back({RendezvousScore(self.name, it.name), it.name});
    }
    std::vector<std::string> out;
    size_t added = AppendBest(&same_place, kSamePlaceNeighbours, &out);
    AppendBest(&other_places,
               kOtherPlaceNeighbours + (kSamePlaceNeighbours - added), &out);
    return out;
  }

  bool MayRequest(const SwarmMember&, std::string_view,
                  std::span<const SwarmMember>) const override {
    return true;
  }

 private:
  struct Scored {
    uint64_t score;
    std::string name;
  };

  static size_t AppendBest(std::vector<Scored>* group, size_t n,
                           std::vector<std::string>* out) {
    std::sort(
        group->begin(), group->end(),
        [](const Scored& a, const Scored& b) { return a.score > b.score; });
    size_t added = std::min(n, group->size());
    for (size_t i = 0; i < added; ++i) out->push_back((*group)[i].name);
    return added;
  }
};

class TreeNeighbours : public NeighbourStrategy {
 public:
  std::vector<std::string> Choose(
      const SwarmMember& self,
      std::span<const SwarmMember> members) const override {
    std::string parent = ParentOf(self.name, members);
    if (parent.empty()) return {};
    return {parent};
  }

  bool MayRequest(const SwarmMember& self, std::string_view neighbour,
                  std::span<const SwarmMember> members) const override {
    return ParentOf(self.name, members) == neighbour;
  }

 private:
  static std::string ParentOf(std::string_view name,
                              std::span<const SwarmMember> members) {
    for (size_t i = 1; i < members.size(); ++i) {
      if (members[i].name == name) return members[(i - 1) / 2].name;
    }
    return {};
  }
};

class NoNeighbours : public NeighbourStrategy {
 public:
  std::vector<std::string> Choose(const SwarmMember&,
                                  std::span<const SwarmMember>) const override {
    return {};
  }
  bool MayRequest(const SwarmMember&, std::string_view,
                  std::span<const SwarmMember>) const override {
    return false;
  }
};

class RarestFirst : public ChunkStrategy {
 public:
  size_t Choose(std::span<const ChunkCandidate> candidates,
                std::mt19937_64* random) const override {
    size_t best = 0;
    size_t ties = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
      if (ties > 0 && candidates[i].holders > candidates[best].holders)
        continue;
      if (ties == 0 || candidates[i].holders < candidates[best].holders)
        ties = 0;
      ++ties;
      // Reservoir sampling chooses among equally rare chunks with equal
      // probability.
      if ((*random)() % ties == 0) best = i;
    }
    return best;
  }
};

class SequentialOrder : public ChunkStrategy {
 public:
  size_t Choose(std::span<const ChunkCandidate>,
                std::mt19937_64*) const override {
    return 0;
  }
};

class LimitedFetchers : public OriginStrategy {
 public:
  bool ShouldFetch(std::string_view self, std::span<const std::string> ranked,
                   uint32_t chunk, uint32_t stalled_periods) const override {
    size_t fetchers = std::min(FetcherCount(ranked.size()), ranked.size());
    if (fetchers == 0) return false;
    // Each stalled period moves the chunk to the next member in rank, so only
    // one member fetches it.
    size_t rank = (chunk % fetchers + stalled_periods) % ranked.size();
    return ranked[rank] == self;
  }
  size_t FetcherCount(size_t members) const override {
    return std::min(kOriginFetchers, members);
  }
};

class AllMembersFetch : public OriginStrategy {
 public:
  bool ShouldFetch(std::string_view, std::span<const std::string>, uint32_t,
                   uint32_t) const override {
    return true;
  }
  size_t FetcherCount(size_t members) const override { return members; }
};

class RootFetches : public OriginStrategy {
 public:
  bool ShouldFetch(std::string_view self, std::span<const std::string> ranked,
                   uint32_t, uint32_t) const override {
    // The tree is ordered by name, so its root is the member with the first
    // name.
    return !ranked.empty() &&
           *std::min_element(ranked.begin(), ranked.end()) == self;
  }
  size_t FetcherCount(size_t) const override { return 1; }
};

}  // namespace

SwarmPolicy MakeSwarmPolicy() {
  return {std::make_shared<PlaceAwareNeighbours>(),
          std::make_shared<RarestFirst>(), std::make_shared<LimitedFetchers>()};
}

SwarmPolicy MakeOriginOnlyPolicy() {
  return {std::make_shared<NoNeighbours>(), std::make_shared<SequentialOrder>(),
          std::make_shared<AllMembersFetch>()};
}

SwarmPolicy MakeTreePolicy() {
  return {std::make_shared<TreeNeighbours>(),
          std::make_shared<SequentialOrder>(), std::make_shared<RootFetches>()};
}

std::unique_ptr<SwarmPolicy> MakeSwarmPolicyByName(std::string_view name) {
  if (name == "swarm") return std::make_unique<SwarmPolicy>(MakeSwarmPolicy());
  if (name == "origin-only")
    return std::make_unique<SwarmPolicy>(MakeOriginOnlyPolicy());
  if (name == "tree") return std::make_unique<SwarmPolicy>(MakeTreePolicy());
  return nullptr;
}

std::vector<std::string> RankMembers(const Digest& manifest,
                                     std::span<const SwarmMember> members) {
  std::vector<std::pair<uint64_t, std::string>> scored;
  for (const SwarmMember& it : members) {
    scored.emplace_back(RendezvousScore(manifest.View(), it.name), it.name);
  }
  std::sort(scored.rbegin(), scored.rend());
  std::vector<std::string> out;
  out.reserve(scored.size());
  for (auto& [score, name] : scored) out.push_back(std::move(name));
  return out;
}

}  // namespace primrosecove
