#include "Core/Membership/suspect_table.h"

#include <algorithm>
#include <string>

#include "Core/Common/digest.h"

namespace primrosecove {

bool SuspectTable::Add(const CrashObservation& sighting, int64_t now_ms) {
  Expire(now_ms);
  if (sighting.expires_ms <= now_ms) return false;
  auto [begin, end] = by_request_.equal_range(sighting.request);
  for (auto it = begin; it != end; ++it) {
    const CrashObservation& known = it->second;
    if (known.upstream == sighting.upstream &&
        known.as_suspect == sighting.as_suspect) {
      return false;
    }
  }
  if (by_request_.size() >= kMaxSightings) {
    by_request_.erase(std::min_element(by_request_.begin(), by_request_.end(),
                                       [](const auto& a, const auto& b) {
                                         return a.second.expires_ms <
                                                b.second.expires_ms;
                                       }));
  }
  by_request_.emplace(sighting.request, sighting);
  return true;
}

// Requests that shared a batch with the culprit are suspects too. A second
// crash counts only against the one suspect that ran at that upstream, so an
// innocent is not blamed for two batches.
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
  for (const auto& [request, sighting] : by_request_) {
    if (sighting.expires_ms > now_ms) out.push_back(sighting);
  }
  return out;
}

void SuspectTable::Expire(int64_t now_ms) {
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
