#include "Core/Fleet/freshness.h"

#include <ctime>

namespace primrosecove {
namespace {

// Between this check and the first byte at the upstream: one turn of the loop
// on a slowed host.
constexpr Milliseconds kSendMargin{250};
// Twice the pause between two reads of the store and a lost answer.
constexpr Milliseconds kDenyAge{2000};
// Half of the usual bound for keys: callers should have moved elsewhere before
// their keys can't be honoured here.
constexpr Milliseconds kCallersAge{2600};

}  // namespace

BootTime BootNow() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec);
}

void ConfigFreshness::Prove(BootTime asked_at) {
  if (!proved_ || asked_at > *proved_) proved_ = asked_at;
}

std::optional<Milliseconds> ConfigFreshness::Age(BootTime now) const {
  if (!proved_) return std::nullopt;
  return std::chrono::duration_cast<Milliseconds>(now - *proved_);
}

bool ConfigFreshness::MayUseKeys(BootTime now) const {
  auto age = Age(now);
  if (!age) return false;
  return !strict_ || *age + kSendMargin < revoke_bound_;
}

bool ConfigFreshness::MayDenyUnknown(BootTime now) const {
  auto age = Age(now);
  return age && *age < kDenyAge;
}

bool ConfigFreshness::MayTakeCallers(BootTime now) const {
  auto age = Age(now);
  return age && *age < kCallersAge;
}

}  // namespace primrosecove
