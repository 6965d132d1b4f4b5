#include "Core/Fleet/load_order.h"

#include <algorithm>

#include "Core/Common/digest.h"

namespace primrosecove {
namespace {

// Routers begin nothing on older weights about this long before the bound; an
// engine that still serves older ones then is of no use until it has loaded.
constexpr Milliseconds kRouterMargin{1500};

}  // namespace

bool ShouldLoad(const LoadSituation& situation) {
  if (situation.target_version == 0 || !situation.copy_complete) return false;
  if (situation.loading) return false;
  if (situation.whole_version >= situation.target_version) return false;
  if (situation.whole_version == 0 || situation.idle) return true;
  Milliseconds last = situation.version_bound - kRouterMargin;
  Milliseconds slack =
      std::max(last - situation.completed_age, Milliseconds(0));
  auto wait = std::chrono::duration_cast<Milliseconds>(slack * situation.turn);
  return situation.named_age >= situation.completed_age + wait;
}

double SwapTurn(const FleetNotice& notice, const std::string& self) {
  std::string item = notice.model + "/" + std::to_string(notice.named_version);
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
