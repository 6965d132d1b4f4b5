#include "Core/Router/upstream_table.h"

#include <algorithm>

namespace primrosecove {

bool ServesRequest(const HostRecord& record, const CallerRequest& request) {
  if (!record.AcceptsWork()) return false;
  if (request.model == nullptr)
    return record.serving.model == request.service->name;
  const ServedWeights& serving = record.serving;
  if (serving.model != request.model->name) return false;
  // During a rollout both the old and the new version are in the configuration,
  // and either is accepted.
  const auto& versions = request.model->versions;
  bool accepted = std::any_of(
      versions.begin(), versions.end(), [&](const ModelVersion& it) {
        return it.manifest.Prefix64() == serving.manifest;
      });
  if (!accepted || request.adapter.empty()) return accepted;
  return std::find(serving.adapters.begin(), serving.adapters.end(),
                   request.adapter) != serving.adapters.end();
}

// Maps a request with an idempotency key to one of the configured upstreams,
// independent of the membership view. Every router thereby sends the caller's
// retries to the agent that has the record of the first execution.
const HostRecord* UpstreamTable::ChooseHomeUpstream(
    const Configuration& config, const HostView& view,
    const CallerRequest& request) const {
  const Upstream* home = nullptr;
  uint64_t best = 0;
  for (const Upstream* it : config.UpstreamsOf(request.service->name)) {
    uint64_t score = RendezvousScore(request.execute_once_id, it->name);
    if (home != nullptr && score <= best) continue;
    home = it;
    best = score;
  }
  const HostRecord* record = home == nullptr ? nullptr : view.Find(home->name);
  return record != nullptr && ServesRequest(*record, request) ? record
                                                              : nullptr;
}

const HostRecord* UpstreamTable::Choose(const Configuration& config,
                                        const HostView& view,
                                        const CallerRequest& request,
                                        const std::set<std::string>& tried) {
  if (request.has_idempotency_key) {
    const HostRecord* home = ChooseHomeUpstream(config, view, request);
    return home != nullptr && !tried.contains(home->name) ? home : nullptr;
  }
  SteadyTime now = EventLoop::Now();
  std::vector<PickCandidate> candidates;
  std::vector<PickCandidate> ejected;
  for (const Upstream* it : config.UpstreamsOf(request.service->name)) {
    const HostRecord* record = view.Find(it->name);
    if (record == nullptr || tried.contains(it->name)) continue;
    if (!ServesRequest(*record, request)) continue;
    UpstreamStats* stats = &stats_[it->name];
    (stats->IsAvailable(now) ? candidates : ejected).push_back({record, stats});
  }
  // Falls back to ejected upstreams if there are no others.
  if (candidates.empty()) candidates = std::move(ejected);
  if (candidates.empty()) return nullptr;
  return candidates[picker_->Pick(candidates, {request.prompt_prefix})].record;
}

void UpstreamTable::Prune(const Configuration& config) {
  std::erase_if(stats_, [&](const auto& it) {
    return config.FindUpstream(it.first) == nullptr &&
           it.second.in_flight() == 0;
  });
}

}  // namespace primrosecove
