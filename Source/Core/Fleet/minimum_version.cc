#include "Core/Fleet/minimum_version.h"

#include <algorithm>

namespace primrosecove {
namespace {

// Time from the store's acknowledgement until this process learns of the
// version: the interval between two watches, a response and an iteration of the
// event loop.
constexpr Milliseconds kLearnDelay{600};
// Typical time from sending a request to its first token.
constexpr Milliseconds kTypicalStartDelay{500};
// A newly started host is exempt from the bound for about this long.
constexpr Milliseconds kStartupGrace{2000};
// Older versions are forgotten, because no request can depend on them.
constexpr size_t kMaxTargets = 16;

}  // namespace

void MinimumVersion::SetTarget(const std::string& model, uint64_t version,
                               bool initial_read, Milliseconds now) {
  std::vector<Target>& targets = by_model_[model];
  if (!targets.empty() && version <= targets.back().version) return;
  targets.push_back({version, now, initial_read});
  if (targets.size() > kMaxTargets) targets.erase(targets.begin());
}

Milliseconds MinimumVersion::StartCutoff(const Target& target) const {
  return target.learned_at +
         (target.initial_read ? kStartupGrace : bound_ - kLearnDelay);
}

uint64_t MinimumVersion::NewestWithCutoff(const std::string& model,
                                          Milliseconds time) const {
  auto it = by_model_.find(model);
  uint64_t out = 0;
  if (it == by_model_.end()) return out;
  for (const Target& target : it->second) {
    if (time >= StartCutoff(target)) out = std::max(out, target.version);
  }
  return out;
}

uint64_t MinimumVersion::MinimumToSend(const std::string& model,
                                       Milliseconds now) const {
  return NewestWithCutoff(model, now + kTypicalStartDelay);
}

uint64_t MinimumVersion::MinimumToStart(const std::string& model,
                                        Milliseconds now) const {
  return NewestWithCutoff(model, now);
}

uint64_t MinimumVersion::NewestTarget(const std::string& model) const {
  auto it = by_model_.find(model);
  return it == by_model_.end() ? 0 : it->second.back().version;
}

Milliseconds MinimumVersion::NewestTargetAge(const std::string& model,
                                             Milliseconds now) const {
  auto it = by_model_.find(model);
  return it == by_model_.end() ? Milliseconds(0)
                               : now - it->second.back().learned_at;
}

}  // namespace primrosecove
