#include "Core/Fleet/freshness.h"

#include <algorithm>
#include <ctime>

namespace primrosecove {
namespace {

// Time from this check to the first byte at the upstream: one iteration of the
// event loop on a slowed host.
constexpr Milliseconds kSendMargin{250};
// Share of the revocation bound after which this host should get no new
// callers, so that callers move to other hosts before their keys can't be
// accepted here.
constexpr double kAcceptCallersShare = 0.52;

}  // namespace

BootTime BootNow() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec);
}

void ConfigFreshness::Confirm(BootTime confirmed_at) {
  if (!confirmed_at_ || confirmed_at > *confirmed_at_) {
    confirmed_at_ = confirmed_at;
  }
}

std::optional<Milliseconds> ConfigFreshness::Age(BootTime now) const {
  if (!confirmed_at_) return std::nullopt;
  return std::chrono::duration_cast<Milliseconds>(now - *confirmed_at_);
}

bool ConfigFreshness::MayUseKeys(BootTime now) const {
  auto age = Age(now);
  if (!age) return false;
  return !strict_ || *age + kSendMargin < revoke_bound_;
}

bool ConfigFreshness::MayDenyUnknown(BootTime now) const {
  auto age = Age(now);
  // A newer configuration must be in force within this bound, so up to that age
  // a denial may rely on the current one.
  return age && *age < config_apply_bound_;
}

bool ConfigFreshness::MayAcceptCallers(BootTime now) const {
  auto age = Age(now);
  return age && *age < revoke_bound_ * kAcceptCallersShare;
}

Milliseconds ConfigFreshness::UnrestrictedAge() const {
  return std::min(std::chrono::duration_cast<Milliseconds>(revoke_bound_ *
                                                           kAcceptCallersShare),
                  config_apply_bound_);
}

}  // namespace primrosecove
