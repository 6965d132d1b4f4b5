#include "Core/Fleet/candidate_set.h"

#include <algorithm>

namespace primrosecove {

std::string_view NameOf(ExclusionReason reason) {
  constexpr std::array<std::string_view, kExclusionReasons> kNames = {
      "region",  "evacuation",     "failing", "tried",      "silent",
      "weights", "active_suspect", "rest",    "rate_limit", "cold_start"};
  return kNames[static_cast<size_t>(reason)];
}

std::optional<ExclusionReason> CandidateSet::LastReason() const {
  if (!upstreams_.empty()) return std::nullopt;
  for (size_t i = kExclusionReasons; i-- > 0;) {
    if (excluded_[i] > 0) return static_cast<ExclusionReason>(i);
  }
  return std::nullopt;
}

std::optional<ExclusionReason> CandidateSet::ReasonFor(
    const FleetUpstream& upstream) const {
  auto it = reasons_.find(&upstream);
  if (it == reasons_.end()) return std::nullopt;
  return it->second;
}

void CandidateSet::RecordReason(ExclusionReason reason,
                                std::span<FleetUpstream* const> before) {
  for (const FleetUpstream* it : before) {
    if (std::find(upstreams_.begin(), upstreams_.end(), it) == upstreams_.end())
      reasons_.emplace(it, reason);
  }
}

std::string CandidateSet::Summary() const {
  std::string out;
  for (size_t i = 0; i < kExclusionReasons; ++i) {
    if (excluded_[i] == 0) continue;
    if (!out.empty()) out += ' ';
    out.append(NameOf(static_cast<ExclusionReason>(i)))
        .append("=")
        .append(std::to_string(excluded_[i]));
  }
  return out.empty() ? "-" : out;
}

}  // namespace primrosecove
