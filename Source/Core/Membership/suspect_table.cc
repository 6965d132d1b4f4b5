#include "Core/Membership/suspect_table.h"

#include <algorithm>
#include <set>
#include <string>

#include "Core/Common/digest.h"

namespace primrosecove {

bool SuspectTable::IsKnownOrVoid(const CrashObservation& observation) const {
  auto [begin, end] = by_subject_.equal_range(observation.subject);
  return std::any_of(begin, end, [&](const auto& it) {
    const CrashObservation& known = it.second;
    if (known.completed) return known.expires_ms >= observation.expires_ms;
    return !observation.completed && known.upstream == observation.upstream &&
           known.incarnation == observation.incarnation &&
           known.as_suspect == observation.as_suspect &&
           known.may_have_been_queued == observation.may_have_been_queued;
  });
}

bool SuspectTable::Add(const CrashObservation& observation, int64_t now_ms) {
  RemoveExpired(now_ms);
  if (observation.expires_ms <= now_ms || IsKnownOrVoid(observation))
    return false;
  if (observation.completed) {
    auto [begin, end] = by_subject_.equal_range(observation.subject);
    for (auto it = begin; it != end;) {
      bool is_void = it->second.expires_ms <= observation.expires_ms;
      it = is_void ? by_subject_.erase(it) : std::next(it);
    }
  }
  if (by_subject_.size() >= kMaxObservations) {
    by_subject_.erase(std::min_element(by_subject_.begin(), by_subject_.end(),
                                       [](const auto& a, const auto& b) {
                                         return a.second.expires_ms <
                                                b.second.expires_ms;
                                       }));
  }
  by_subject_.emplace(observation.subject, observation);
  earliest_expiry_ms_ = std::min(earliest_expiry_ms_, observation.expires_ms);
  return true;
}

// Requests that shared a batch with the request that caused the crash are
// suspects too. A second crash counts only against a request that was the only
// suspect at that upstream, so that a harmless request is not blocked for
// sharing two batches.
SuspectVerdict SuspectTable::Classify(uint64_t subject, int64_t now_ms) const {
  auto [begin, end] = by_subject_.equal_range(subject);
  std::set<uint64_t> upstreams;
  std::set<std::pair<uint64_t, uint64_t>> crashes;
  std::set<std::pair<uint64_t, uint64_t>> crashes_while_executing;
  bool was_alone = false;
  for (auto it = begin; it != end; ++it) {
    const CrashObservation& observation = it->second;
    if (observation.completed || observation.expires_ms <= now_ms) continue;
    std::pair crash(observation.upstream, observation.incarnation);
    crashes.insert(crash);
    if (observation.may_have_been_queued) continue;
    upstreams.insert(observation.upstream);
    crashes_while_executing.insert(crash);
    was_alone = was_alone || observation.as_suspect;
  }
  if (crashes_while_executing.size() >= kCrashesToBlock ||
      crashes.size() >= kCrashesToBlockIfQueued) {
    return SuspectVerdict::kBlocked;
  }
  if (was_alone && upstreams.size() > 1) return SuspectVerdict::kBlocked;
  return crashes.empty() ? SuspectVerdict::kClear : SuspectVerdict::kSuspect;
}

CrashCount SuspectTable::CountCrashes(uint64_t subject, int64_t now_ms) const {
  auto [begin, end] = by_subject_.equal_range(subject);
  std::set<std::pair<uint64_t, uint64_t>> crashes;
  CrashCount out;
  for (auto it = begin; it != end; ++it) {
    const CrashObservation& observation = it->second;
    if (observation.completed || observation.expires_ms <= now_ms) continue;
    crashes.emplace(observation.upstream, observation.incarnation);
    out.last_at_ms =
        std::max(out.last_at_ms, observation.expires_ms - kLifetimeMs);
  }
  out.crashes = crashes.size();
  return out;
}

int64_t SuspectTable::BlockedUntil(uint64_t subject) const {
  auto [begin, end] = by_subject_.equal_range(subject);
  int64_t out = 0;
  for (auto it = begin; it != end; ++it) {
    if (!it->second.completed) out = std::max(out, it->second.expires_ms);
  }
  return out;
}

std::vector<CrashObservation> SuspectTable::List(int64_t now_ms) const {
  std::vector<CrashObservation> out;
  for (const auto& [subject, observation] : by_subject_) {
    if (observation.expires_ms > now_ms) out.push_back(observation);
  }
  return out;
}

uint64_t SuspectTable::Digest(int64_t now_ms) const {
  uint64_t out = 0;
  for (const auto& [subject, it] : by_subject_) {
    if (it.expires_ms <= now_ms) continue;
    std::string flags{it.as_suspect ? 's' : '-', it.completed ? 'c' : '-',
                      it.may_have_been_queued ? 'q' : '-'};
    for (uint64_t n : {subject, it.upstream, it.incarnation})
      flags.append(reinterpret_cast<const char*>(&n), sizeof(n));
    out ^= RendezvousScore("crash observation", flags);
  }
  return out;
}

void SuspectTable::RemoveExpired(int64_t now_ms) {
  if (now_ms < earliest_expiry_ms_) return;
  std::erase_if(by_subject_,
                [&](const auto& it) { return it.second.expires_ms <= now_ms; });
  earliest_expiry_ms_ = INT64_MAX;
  for (const auto& [subject, it] : by_subject_)
    earliest_expiry_ms_ = std::min(earliest_expiry_ms_, it.expires_ms);
}

uint64_t RequestFingerprint(std::string_view workspace, std::string_view target,
                            std::string_view body) {
  std::string head(workspace);
  head.push_back('\n');
  head.append(target);
  return RendezvousScore(head, body);
}

uint64_t PromptPartFingerprint(std::string_view part_id) {
  return RendezvousScore("prompt part", part_id);
}

}  // namespace primrosecove
