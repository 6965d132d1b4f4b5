#include "Core/Fleet/minimum_version.h"

#include <algorithm>

namespace primrosecove {
namespace {

// What passes between the store's acknowledgement and this process's learning
// of it: the pause between two watches, an answer, and a turn of the loop.
constexpr Milliseconds kLearnLag{600};
// Usually passes between sending a request and its first token.
constexpr Milliseconds kUsualStart{500};
// A host that has just started is not yet held to the bound for about as long.
constexpr Milliseconds kAfterStart{2000};
// Versions that no request can still depend on are forgotten.
constexpr size_t kMaxNamed = 16;

}  // namespace

void MinimumVersion::SetTarget(const std::string& model, uint64_t version,
                               bool first_read, Milliseconds now) {
  std::vector<Named>& named = by_model_[model];
  if (!named.empty() && version <= named.back().version) return;
  Milliseconds bound = now + (first_read ? kAfterStart : bound_ - kLearnLag);
  named.push_back({version, now, bound - kUsualStart, bound});
  if (named.size() > kMaxNamed) named.erase(named.begin());
}

template <typename Member>
uint64_t MinimumVersion::LowestBy(const std::string& model, Milliseconds now,
                                  Member member) const {
  auto it = by_model_.find(model);
  uint64_t out = 0;
  if (it == by_model_.end()) return out;
  for (const Named& named : it->second) {
    if (now >= named.*member) out = std::max(out, named.version);
  }
  return out;
}

uint64_t MinimumVersion::MinimumToSend(const std::string& model,
                                       Milliseconds now) const {
  return LowestBy(model, now, &Named::binding);
}

uint64_t MinimumVersion::MinimumToStart(const std::string& model,
                                        Milliseconds now) const {
  return LowestBy(model, now, &Named::bound);
}

uint64_t MinimumVersion::NewestTarget(const std::string& model) const {
  auto it = by_model_.find(model);
  return it == by_model_.end() ? 0 : it->second.back().version;
}

Milliseconds MinimumVersion::NewestTargetAge(const std::string& model,
                                             Milliseconds now) const {
  auto it = by_model_.find(model);
  return it == by_model_.end() ? Milliseconds(0)
                               : now - it->second.back().learnt;
}

}  // namespace primrosecove
