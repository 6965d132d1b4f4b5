#include "Core/Rollout/placement.h"

#include <algorithm>
#include <set>

#include "Core/Common/digest.h"

namespace primrosecove {
namespace {

struct Ranked {
  uint64_t score = 0;
  const Upstream* upstream = nullptr;
  std::string domain;
};

bool MayServe(const Upstream& upstream, const HostView& view) {
  const HostRecord* record = view.Find(upstream.name);
  return record == nullptr || record->AcceptsWork();
}

std::vector<Ranked> RankUpstreams(const Configuration& config,
                                  const HostView& view, const Model& model,
                                  const std::set<std::string>& taken) {
  std::vector<Ranked> out;
  for (const Upstream* it : config.UpstreamsOf(model.service)) {
    if (taken.contains(it->name) || !MayServe(*it, view)) continue;
    const Place* place = config.FindPlace(it->place);
    std::string domain = place == nullptr ? it->place : place->failure_domain;
    out.push_back(
        {RendezvousScore(model.name, it->name), it, std::move(domain)});
  }
  std::sort(out.begin(), out.end(),
            [](const Ranked& a, const Ranked& b) { return a.score > b.score; });
  return out;
}

// Takes the best upstream of the least used failure domain, until there are
// enough.
std::vector<std::string> TakeSpread(std::vector<Ranked> ranked, size_t wanted) {
  std::vector<std::string> out;
  std::map<std::string, size_t> used;
  while (out.size() < wanted && !ranked.empty()) {
    auto best = std::min_element(ranked.begin(), ranked.end(),
                                 [&](const Ranked& a, const Ranked& b) {
                                   return used[a.domain] < used[b.domain];
                                 });
    out.push_back(best->upstream->name);
    ++used[best->domain];
    ranked.erase(best);
  }
  return out;
}

}  // namespace

std::vector<ModelPlacement> PlaceModels(const Configuration& config,
                                        const HostView& view) {
  std::vector<ModelPlacement> out;
  std::set<std::string> taken;
  for (const Model& model : config.models) {
    ModelPlacement placed{&model, {}};
    placed.upstreams =
        TakeSpread(RankUpstreams(config, view, model, taken), model.replicas);
    taken.insert(placed.upstreams.begin(), placed.upstreams.end());
    out.push_back(std::move(placed));
  }
  return out;
}

const Model* FindAssignedModel(const std::vector<ModelPlacement>& placement,
                               std::string_view upstream) {
  for (const ModelPlacement& it : placement) {
    if (std::find(it.upstreams.begin(), it.upstreams.end(), upstream) !=
        it.upstreams.end()) {
      return it.model;
    }
  }
  return nullptr;
}

}  // namespace primrosecove
