#include "Core/Membership/suspect_table.h"

#include <algorithm>
#include <string>

#include "Core/Common/digest.h"

namespace primrosecove {

bool SuspectTable::Add(const CrashObservation& observation, int64_t now_ms) {
  RemoveExpired(now_ms);
  if (observation.expires_ms <= now_ms) return false;
  auto [begin, end] = by_request_.equal_range(observation.request);
  for (auto it = begin; it != end; ++it) {
    const CrashObservation& known = it->second;
    if (known.upstream == observation.upstream &&
        known.as_suspect == observation.as_suspect) {
      return false;
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
  bool seen = false;
  for (auto it = begin; it != end; ++it) {
    if (it->second.expires_ms <= now_ms) continue;
    seen = true;
    if (!it->second.as_suspect) continue;
    bool elsewhere = std::any_of(begin, end, [&](const auto& other) {
      return other.second.upstream != it->second.upstream &&
             other.second.expires_ms > now_ms;
    });
    if (elsewhere) return SuspectVerdict::kBlocked;
  }
  return seen ? SuspectVerdict::kSuspect : SuspectVerdict::kClear;
}

int64_t SuspectTable::BlockedUntil(uint64_t request) const {
  auto [begin, end] = by_request_.equal_range(request);
  int64_t out = 0;
  for (auto it = begin; it != end; ++it)
    out = std::max(out, it->second.expires_ms);
  return out;
}

std::vector<CrashObservation> SuspectTable::List(int64_t now_ms) const {
  std::vector<CrashObservation> out;
  for (const auto& [request, observation] : by_request_) {
    if (observation.expires_ms > now_ms) out.push_back(observation);
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
