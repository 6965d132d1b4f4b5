#include "Core/Fleet/reload_schedule.h"

#include <algorithm>

#include "Core/Common/digest.h"

namespace primrosecove {
bool ShouldReload(const ReloadState& state) {
  if (state.target_version == 0 || !state.copy_complete) return false;
  if (state.loading) return false;
  if (state.served_version >= state.target_version) return false;
  if (state.served_version == 0 || state.idle) return true;
  return state.target_age >= PlannedReloadAge(state);
}

Milliseconds PlannedReloadAge(const ReloadState& state) {
  // Engines whose slot is after the time when routers stop using older weights
  // soon become idle and load then.
  Milliseconds bound =
      std::min(state.version_bound,
               state.served_until_age.value_or(state.version_bound));
  Milliseconds slack =
      std::max(bound - state.copy_complete_age, Milliseconds(0));
  auto wait =
      std::chrono::duration_cast<Milliseconds>(slack * state.reload_slot);
  return state.copy_complete_age + wait;
}

std::optional<Milliseconds> TimeToFinish(const IncompleteCopy& copy) {
  if (copy.held_share <= 0) return std::nullopt;
  double missing = std::max(1 - copy.held_share, 0.0) / copy.held_share;
  return Milliseconds(static_cast<int64_t>(
      missing * static_cast<double>(copy.elapsed.count())));
}

bool ShouldFinishCopy(const IncompleteCopy& copy) {
  auto rest = TimeToFinish(copy);
  if (!rest) return false;
  Milliseconds whole = copy.elapsed + *rest;
  Milliseconds older_left = copy.version_bound - copy.target_age;
  Milliseconds newer_left = copy.version_bound - copy.newer_age;
  Milliseconds if_dropped = std::max(older_left - whole, Milliseconds(0));
  // Meanwhile the origin sends the newer copy, which takes half of its time.
  Milliseconds newer_whole = std::max(*rest, whole / 2) + whole / 2;
  Milliseconds if_finished =
      std::min(older_left - *rest, newer_left - newer_whole);
  return if_finished > 2 * if_dropped;
}

Milliseconds TypicalCopyTime(double copy_bytes, double link_bytes_per_second) {
  // Chunk transfers use about this share of the links, and forwarding the last
  // chunks to all members takes about this long.
  constexpr double kLinkShare = 0.75;
  constexpr double kLastChunksMs = 600;
  constexpr double kMsPerSecond = 1000;
  double out = kLastChunksMs;
  if (link_bytes_per_second > 0) {
    out += copy_bytes / (kLinkShare * link_bytes_per_second) * kMsPerSecond;
  }
  return Milliseconds(static_cast<int64_t>(out));
}

double ReloadSlot(const DeploymentUpdate& update, const std::string& self) {
  std::string item =
      update.model + "/" + std::to_string(update.target_weights_version);
  uint64_t own_score = RendezvousScore(item, self);
  size_t before = 0;
  size_t total = 0;
  for (const FleetMember& it : update.members) {
    ++total;
    if (it.id != self && RendezvousScore(item, it.id) > own_score) ++before;
  }
  if (total <= 1) return 0;
  return static_cast<double>(before) / static_cast<double>(total - 1);
}

}  // namespace primrosecove
