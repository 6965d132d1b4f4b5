#include "Core/Fleet/freshness.h"

#include <algorithm>
#include <cstdlib>

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

std::optional<BootTime> ReadClock(clockid_t clock) {
  timespec ts{};
  if (clock_gettime(clock, &ts) != 0) return std::nullopt;
  return std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec);
}

clockid_t FirstReadableClock(std::span<const clockid_t> clocks) {
  for (clockid_t it : clocks) {
    if (ReadClock(it)) return it;
  }
  std::abort();
}

clockid_t BootClock() {
  static constexpr clockid_t kClocks[] = {CLOCK_BOOTTIME, CLOCK_MONOTONIC};
  static const clockid_t kClock = FirstReadableClock(kClocks);
  return kClock;
}

BootTime BootNow() {
  auto out = ReadClock(BootClock());
  if (!out) std::abort();
  return *out;
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
