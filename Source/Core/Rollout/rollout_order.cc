#include "Core/Rollout/rollout_order.h"

namespace primrosecove {
namespace {

bool Serves(const HostRecord* record, const Model& model, uint64_t target) {
  return record != nullptr && record->serving.model == model.name &&
         record->serving.manifest == target &&
         record->liveness != Liveness::kDead;
}

}  // namespace

SwapVerdict MaySwap(const ModelPlacement& placed, std::string_view self,
                    const HostView& view) {
  uint64_t target = placed.model->CurrentVersion().manifest.Prefix64();
  size_t not_serving = 0;
  size_t failed = 0;
  for (const std::string& name : placed.upstreams) {
    if (name == self) {
      if (not_serving < placed.model->max_unavailable) return SwapVerdict::kGo;
      return failed >= placed.model->max_unavailable ? SwapVerdict::kFailed
                                                     : SwapVerdict::kWait;
    }
    const HostRecord* record = view.Find(name);
    if (Serves(record, *placed.model, target)) continue;
    ++not_serving;
    if (record != nullptr && record->failed_manifest == target) ++failed;
  }
  return SwapVerdict::kNotOurs;
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
