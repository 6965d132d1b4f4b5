#include "Core/Fleet/freshness.h"

#include <ctime>

namespace primrosecove {
namespace {

// Between this check and the first byte at the upstream: one turn of the loop
// on a slowed host.
constexpr Milliseconds kSendMargin{250};
// Of the bound for keys: callers should have moved elsewhere before their keys
// can't be honoured here.
constexpr double kCallersShare = 0.52;

}  // namespace

BootTime BootNow() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec);
}

void ConfigFreshness::Confirm(BootTime requested_at) {
  if (!proved_ || requested_at > *proved_) proved_ = requested_at;
}

std::optional<Milliseconds> ConfigFreshness::Age(BootTime now) const {
  if (!proved_) return std::nullopt;
  return std::chrono::duration_cast<Milliseconds>(now - *proved_);
}

bool ConfigFreshness::MayUseKeys(BootTime now) const {
  auto age = Age(now);
  if (!age) return false;
  return !strict_ || *age + kSendMargin < revoke_;
}

bool ConfigFreshness::MayDenyUnknown(BootTime now) const {
  auto age = Age(now);
  // Until then a configuration may be newer without being in force here.
  return age && *age < config_apply_;
}

bool ConfigFreshness::MayAcceptCallers(BootTime now) const {
  auto age = Age(now);
  return age && *age < revoke_ * kCallersShare;
}

}  // namespace primrosecove
