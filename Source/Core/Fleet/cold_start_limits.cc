#include "Core/Fleet/cold_start_limits.h"

#include <algorithm>
#include <cmath>

#include "Core/Common/digest.h"

namespace primrosecove {
namespace {

constexpr int64_t kMsPerSecond = 1000;
// An upstream that may be cold unnoticed is limited only where a router's share
// is at least this; below, the limit would leave slots of warm ones idle.
constexpr size_t kMinWarmShare = 2;
// The wall clocks of an upstream's host and of this one may differ by this.
constexpr Milliseconds kMaxClockError{5000};

}  // namespace

ColdStartLimits::ColdStartLimits(const FleetBounds& bounds, uint64_t router_id,
                                 Milliseconds started_at)
    : routers_(bounds.retry_window, 1),
      router_id_(router_id),
      started_at_(started_at) {
  SetBounds(bounds);
}

void ColdStartLimits::SetBounds(const FleetBounds& bounds) {
  routers_.SetWindow(bounds.retry_window);
  overage_ = std::max(bounds.cold_overage, 1.0);
  slack_ = std::max(bounds.cold_slack, 0.0);
}

void ColdStartLimits::SetRouterCount(int routers, Milliseconds now) {
  if (routers <= 0) return;
  if (!first_report_at_) first_report_at_ = now;
  routers_.Report(routers, now);
}

bool ColdStartLimits::MayBeCold(const FleetUpstream& upstream,
                                const FleetService& service,
                                const ZoneEvacuations& evacuations,
                                Milliseconds now, int64_t unix_ms) {
  if (now < upstream.cold_until) return true;
  auto since_end = evacuations.TimeSinceEnd(upstream.record.zone, now);
  if (since_end && *since_end < service.cold_start) return true;
  // An earlier process may have had the same id.
  MonotonicTime seen_at =
      std::max(upstream.registered_at, upstream.start_seen_at);
  int64_t start_ms = upstream.StartTimeMs();
  if (start_ms <= 0) return now - seen_at < service.cold_start;
  Milliseconds age(unix_ms - start_ms);
  if (age < service.cold_start) return true;
  return age <= service.cold_start + kMaxClockError &&
         now - seen_at < service.cold_start;
}

ColdStartLimits::Share ColdStartLimits::ShareOf(double per_second,
                                                Milliseconds now) const {
  constexpr double kMinShare = 1e-3;
  // The turns of the routers are random, so some seconds have more than others.
  constexpr double kTurnMargin = 2.5;
  int routers = KnowsRouterCount(now) ? routers_.value() : kUnknownRouters;
  double share = per_second / std::max(routers, 1);
  if (share >= 1) return {static_cast<size_t>(share), 1};
  return {1, static_cast<int64_t>(
                 std::ceil(kTurnMargin / std::max(share, kMinShare)))};
}

ColdStartLimits::Share ColdStartLimits::LimitOf(const FleetService& service,
                                                bool may_be_cold,
                                                Milliseconds now) const {
  if (service.cold_start_rate <= 0) return {};
  if (may_be_cold) return ShareOf(service.cold_start_rate, now);
  if (!KnowsRouterCount(now)) return {kMinWarmShare, 1};
  Share out = ShareOf(service.cold_start_rate * overage_ + slack_, now);
  return out.requests >= kMinWarmShare ? out : Share{};
}

Milliseconds ColdStartLimits::TimeToTurn(const std::string& upstream_id,
                                         int64_t turns, int64_t unix_ms) const {
  auto offset = static_cast<int64_t>(
      RendezvousScore(upstream_id, std::to_string(router_id_)) %
      static_cast<uint64_t>(turns));
  int64_t second = unix_ms / kMsPerSecond;
  int64_t seconds_left = ((offset - second) % turns + turns) % turns;
  if (seconds_left == 0) return Milliseconds(0);
  return Milliseconds((second + seconds_left) * kMsPerSecond - unix_ms);
}

Milliseconds ColdStartLimits::TimeToSend(const std::string& upstream_id,
                                         const Share& share, Milliseconds now,
                                         int64_t unix_ms) const {
  Milliseconds wait(0);
  auto it = sends_.find(upstream_id);
  if (it != sends_.end() && it->second.size() >= share.requests) {
    // The earliest of the last `requests` sends has to leave the window first.
    Milliseconds earliest = it->second[it->second.size() - share.requests];
    wait = std::max(earliest + kWindow - now, wait);
  }
  if (share.turns <= 1) return wait;
  return wait + TimeToTurn(upstream_id, share.turns, unix_ms + wait.count());
}

std::optional<Milliseconds> ColdStartLimits::RemoveLimited(
    std::vector<FleetUpstream*>* candidates, const FleetService& service,
    const ZoneEvacuations& evacuations, Milliseconds now,
    int64_t unix_ms) const {
  if (service.cold_start_rate <= 0) return std::nullopt;
  std::optional<Milliseconds> out;
  std::erase_if(*candidates, [&](const FleetUpstream* it) {
    bool may_be_cold = MayBeCold(*it, service, evacuations, now, unix_ms);
    Share share = LimitOf(service, may_be_cold, now);
    if (share.requests == 0) return false;
    Milliseconds time = TimeToSend(it->record.id, share, now, unix_ms);
    time = std::max(time, started_at_ + kWindow - now);
    if (time.count() <= 0) return false;
    out = std::min(out.value_or(time), time);
    return true;
  });
  return out;
}

void ColdStartLimits::OnSent(const FleetUpstream& upstream,
                             const FleetService& service, Milliseconds now) {
  if (service.cold_start_rate <= 0) return;
  auto& sends = sends_[upstream.record.id];
  sends.push_back(now);
  while (now - sends.front() > kWindow) sends.pop_front();
}

void ColdStartLimits::RemoveExpired(Milliseconds now) {
  std::erase_if(sends_, [now](const auto& it) {
    return now - it.second.back() > kWindow;
  });
}

}  // namespace primrosecove
