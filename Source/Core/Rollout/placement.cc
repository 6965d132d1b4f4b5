#include "Core/Rollout/placement.h"

#include <algorithm>
#include <set>

#include "Core/Common/digest.h"

namespace primrosecove {
namespace {

struct RankedUpstream {
  uint64_t score = 0;
  const Upstream* upstream = nullptr;
  std::string domain;
};

bool IsEligible(const Upstream& upstream, const HostView& view) {
  const HostRecord* record = view.Find(upstream.name);
  return record == nullptr || record->AcceptsWork();
}

std::vector<RankedUpstream> RankUpstreams(
    const Configuration& config, const HostView& view, const Model& model,
    const std::set<std::string>& assigned) {
  std::vector<RankedUpstream> out;
  for (const Upstream* it : config.UpstreamsOf(model.service)) {
    if (assigned.contains(it->name) || !IsEligible(*it, view)) continue;
    const Place* place = config.FindPlace(it->place);
    std::string domain = place == nullptr ? it->place : place->failure_domain;
    out.push_back(
        {RendezvousScore(model.name, it->name), it, std::move(domain)});
  }
  std::sort(out.begin(), out.end(),
            [](const RankedUpstream& a, const RankedUpstream& b) {
              return a.score > b.score;
            });
  return out;
}

// Selects the best-ranked upstream of the least used failure domain, until
// `count` are selected.
std::vector<std::string> SelectSpread(std::vector<RankedUpstream> ranked,
                                      size_t count) {
  std::vector<std::string> out;
  std::map<std::string, size_t> used_by_domain;
  while (out.size() < count && !ranked.empty()) {
    auto best = std::min_element(
        ranked.begin(), ranked.end(),
        [&](const RankedUpstream& a, const RankedUpstream& b) {
          return used_by_domain[a.domain] < used_by_domain[b.domain];
        });
    out.push_back(best->upstream->name);
    ++used_by_domain[best->domain];
    ranked.erase(best);
  }
  return out;
}

}  // namespace

std::vector<ModelPlacement> PlaceModels(const Configuration& config,
                                        const HostView& view) {
  std::vector<ModelPlacement> out;
  std::set<std::string> assigned;
  for (const Model& model : config.models) {
    ModelPlacement placed{&model, {}};
    placed.upstreams = SelectSpread(
        RankUpstreams(config, view, model, assigned), model.replicas);
    assigned.insert(placed.upstreams.begin(), placed.upstreams.end());
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
