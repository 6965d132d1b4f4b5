#include "Core/Rollout/rollout_order.h"

namespace primrosecove {
namespace {

bool Serves(const HostRecord* record, const Model& model, uint64_t target) {
  return record != nullptr && record->serving.model == model.name &&
         record->serving.manifest == target &&
         record->liveness != Liveness::kDead;
}

}  // namespace

ReloadVerdict CheckReload(const ModelPlacement& placed, std::string_view self,
                          const HostView& view) {
  uint64_t target = placed.model->CurrentVersion().manifest.Prefix64();
  size_t not_serving = 0;
  size_t failed = 0;
  for (const std::string& name : placed.upstreams) {
    if (name == self) {
      if (not_serving < placed.model->max_unavailable)
        return ReloadVerdict::kAllowed;
      return failed >= placed.model->max_unavailable ? ReloadVerdict::kFailed
                                                     : ReloadVerdict::kWait;
    }
    const HostRecord* record = view.Find(name);
    if (Serves(record, *placed.model, target)) continue;
    ++not_serving;
    if (record != nullptr && record->failed_manifest == target) ++failed;
  }
  return ReloadVerdict::kNotAssigned;
}

size_t CountServing(const ModelPlacement& placed, const HostView& view) {
  uint64_t target = placed.model->CurrentVersion().manifest.Prefix64();
  size_t out = 0;
  for (const std::string& name : placed.upstreams) {
    const HostRecord* record = view.Find(name);
    if (Serves(record, *placed.model, target) && record->AcceptsWork()) ++out;
  }
  return out;
}

}  // namespace primrosecove
