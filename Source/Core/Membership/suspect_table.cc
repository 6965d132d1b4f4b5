#include "Core/Membership/suspect_table.h"

#include <algorithm>
#include <set>
#include <string>

#include "Core/Common/digest.h"

namespace primrosecove {

bool SuspectTable::IsKnownOrVoid(const CrashObservation& observation) const {
  auto [begin, end] = by_request_.equal_range(observation.request);
  return std::any_of(begin, end, [&](const auto& it) {
    const CrashObservation& known = it.second;
    if (known.completed) return known.expires_ms >= observation.expires_ms;
    return !observation.completed && known.upstream == observation.upstream &&
           known.incarnation == observation.incarnation &&
           known.as_suspect == observation.as_suspect;
  });
}

bool SuspectTable::Add(const CrashObservation& observation, int64_t now_ms) {
  RemoveExpired(now_ms);
  if (observation.expires_ms <= now_ms || IsKnownOrVoid(observation))
    return false;
  if (observation.completed) {
    auto [begin, end] = by_request_.equal_range(observation.request);
    for (auto it = begin; it != end;) {
      bool is_void = it->second.expires_ms <= observation.expires_ms;
      it = is_void ? by_request_.erase(it) : std::next(it);
    }
  }
  if (by_request_.size() >= kMaxObservations) {
    by_request_.erase(std::min_element(by_request_.begin(), by_request_.end(),
                                       [](const auto& a, const auto& b) {
                                         return a.second.expires_ms <
                                                b.second.expires_ms;
                                       }));
  }
  by_request_.emplace(observation.request, observation);
  return true;
}

// Requests that shared a batch with the request that caused the crash are
// suspects too. A second crash counts only against a request that was the only
// suspect at that upstream, so that a harmless request is not blocked for
// sharing two batches.
SuspectVerdict SuspectTable::Classify(uint64_t request, int64_t now_ms) const {
  auto [begin, end] = by_request_.equal_range(request);
  std::set<uint64_t> upstreams;
  std::set<std::pair<uint64_t, uint64_t>> crashes;
  bool was_alone = false;
  for (auto it = begin; it != end; ++it) {
    const CrashObservation& observation = it->second;
    if (observation.completed || observation.expires_ms <= now_ms) continue;
    upstreams.insert(observation.upstream);
    crashes.emplace(observation.upstream, observation.incarnation);
    was_alone = was_alone || observation.as_suspect;
  }
  if (crashes.size() >= kCrashesToBlock) return SuspectVerdict::kBlocked;
  if (was_alone && upstreams.size() > 1) return SuspectVerdict::kBlocked;
  return crashes.empty() ? SuspectVerdict::kClear : SuspectVerdict::kSuspect;
}

int64_t SuspectTable::BlockedUntil(uint64_t request) const {
  auto [begin, end] = by_request_.equal_range(request);
  int64_t out = 0;
  for (auto it = begin; it != end; ++it) {
    if (!it->second.completed) out = std::max(out, it->second.expires_ms);
  }
  return out;
}

std::vector<CrashObservation> SuspectTable::List(int64_t now_ms) const {
  std::vector<CrashObservation> out;
  for (const auto& [request, observation] : by_request_) {
    if (observation.expires_ms > now_ms) out.push_back(observation);
  }
  return out;
}

uint64_t SuspectTable::Digest(int64_t now_ms) const {
  uint64_t out = 0;
  for (const auto& [request, it] : by_request_) {
    if (it.expires_ms <= now_ms) continue;
    std::string flags{it.as_suspect ? 's' : '-', it.completed ? 'c' : '-'};
    for (uint64_t n : {request, it.upstream, it.incarnation})
      flags.append(reinterpret_cast<const char*>(&n), sizeof(n));
    out ^= RendezvousScore("crash observation", flags);
  }
  return out;
}

void SuspectTable::RemoveExpired(int64_t now_ms) {
  std::erase_if(by_request_,
                [&](const auto& it) { return it.second.expires_ms <= now_ms; });
}

uint64_t RequestFingerprint(std::string_view workspace, std::string_view target,
                            std::string_view body) {
  std::string head(workspace);
  head.push_back('\n');
  head.append(target);
  return RendezvousScore(head, body);
}

}  // namespace primrosecove
