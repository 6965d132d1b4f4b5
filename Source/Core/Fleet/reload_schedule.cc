#include "Core/Fleet/reload_schedule.h"

#include <algorithm>

#include "Core/Common/digest.h"

namespace primrosecove {
namespace {}  // namespace

bool ShouldReload(const ReloadState& situation) {
  if (situation.target_version == 0 || !situation.copy_complete) return false;
  if (situation.loading) return false;
  if (situation.served_version >= situation.target_version) return false;
  if (situation.served_version == 0 || situation.idle) return true;
  return situation.target_age >= PlannedReloadAge(situation);
}

Milliseconds PlannedReloadAge(const ReloadState& situation) {
  // Those whose turn comes after routers have stopped using older weights are
  // idle soon, and load then.
  Milliseconds slack = std::max(
      situation.version_bound - situation.copy_complete_age, Milliseconds(0));
  auto wait =
      std::chrono::duration_cast<Milliseconds>(slack * situation.reload_slot);
  return situation.copy_complete_age + wait;
}

Milliseconds TypicalCopyTime(double copy_bytes, double link_bytes_per_second) {
  // Measured: pieces use about this share of the links, and the last ones are
  // handed on for about this long.
  constexpr double kLinkShare = 0.75;
  constexpr double kHandOnMs = 600;
  constexpr double kMsPerSecond = 1000;
  double out = kHandOnMs;
  if (link_bytes_per_second > 0) {
    out += copy_bytes / (kLinkShare * link_bytes_per_second) * kMsPerSecond;
  }
  return Milliseconds(static_cast<int64_t>(out));
}

double ReloadSlot(const DeploymentUpdate& notice, const std::string& self) {
  std::string item =
      notice.model + "/" + std::to_string(notice.target_weights_version);
  uint64_t own = RendezvousScore(item, self);
  size_t before = 0;
  size_t all = 0;
  for (const FleetMember& it : notice.members) {
    ++all;
    if (it.id != self && RendezvousScore(item, it.id) > own) ++before;
  }
  if (all <= 1) return 0;
  return static_cast<double>(before) / static_cast<double>(all - 1);
}

}  // namespace primrosecove
