#include "Core/Fleet/zone_evacuations.h"

#include <algorithm>

#include "Core/Common/log.h"

namespace primrosecove {

void ZoneEvacuations::OnStoreRestored(Milliseconds now) {
  restored_at_ = now;
  for (auto& [zone, end] : ends_) {
    if (end && now < *end) end = std::max(*end, now + kRestoreSettleTime);
  }
}

bool ZoneEvacuations::Apply(const ZoneEvacuation& change, Milliseconds now) {
  auto it = ends_.find(change.zone);
  if (change.evacuated) {
    bool is_new = it == ends_.end() || (it->second && *it->second <= now);
    ends_[change.zone] = std::nullopt;
    if (is_new) PC_INFO(kConfig, "event=zone_evacuated zone=" << change.zone);
    return is_new;
  }
  if (it == ends_.end() || (it->second && *it->second <= now)) return false;
  Milliseconds end = now;
  if (change.is_inferred && restored_at_)
    end = std::max(now, *restored_at_ + kRestoreSettleTime);
  if (it->second) end = std::min(end, *it->second);
  it->second = end;
  PC_INFO(kConfig, "event=zone_evacuation_ended zone="
                       << change.zone << " inferred=" << change.is_inferred
                       << " delay_ms=" << (end - now).count());
  return false;
}

bool ZoneEvacuations::IsEvacuated(const std::string& zone,
                                  Milliseconds now) const {
  auto it = ends_.find(zone);
  return it != ends_.end() && (!it->second || now < *it->second);
}

std::optional<Milliseconds> ZoneEvacuations::TimeSinceEnd(
    const std::string& zone, Milliseconds now) const {
  auto it = ends_.find(zone);
  if (it == ends_.end() || !it->second || now < *it->second)
    return std::nullopt;
  return now - *it->second;
}

size_t ZoneEvacuations::Count(Milliseconds now) const {
  return static_cast<size_t>(std::count_if(
      ends_.begin(), ends_.end(),
      [now](const auto& it) { return !it.second || now < *it.second; }));
}

}  // namespace primrosecove
