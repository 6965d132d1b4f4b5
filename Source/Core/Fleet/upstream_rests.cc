#include "Core/Fleet/upstream_rests.h"

#include <algorithm>

#include "Core/Common/log.h"

namespace primrosecove {
namespace {

// Routers return at different times within this share of the rest.
constexpr double kSpreadShare = 0.1;
constexpr Milliseconds kMaxSpread{500};
// Without a response to the first request after a rest, another one is sent.
constexpr Milliseconds kFirstResponseTime{1000};
// Without a request after its end, a rest is forgotten.
constexpr Milliseconds kEndedRestLifetime{60'000};

}  // namespace

void UpstreamRests::OnResponse(const std::string& upstream_id,
                               int64_t start_time_ms,
                               const ResponseFields& response,
                               MonotonicTime request_sent_at,
                               double random_value, MonotonicTime now) {
  auto it = rests_.find(upstream_id);
  if (it != rests_.end() && !it->second.IsOf(start_time_ms)) {
    // A response of an earlier process may arrive late.
    if (start_time_ms < it->second.start_time_ms) return;
    rests_.erase(it);
    it = rests_.end();
  }
  if (!response.rest) {
    bool has_resumed =
        it != rests_.end() && request_sent_at >= it->second.resumes_at;
    if (!has_resumed) return;
    PC_INFO(kMembership, "event=upstream_resumed id=" << upstream_id);
    rests_.erase(it);
    return;
  }
  Rest& rest = rests_[upstream_id];
  rest.start_time_ms = std::max(rest.start_time_ms, start_time_ms);
  if (now + *response.rest <= rest.until) return;
  auto spread = Milliseconds(static_cast<int64_t>(
      kSpreadShare * static_cast<double>(response.rest->count())));
  spread = std::min(spread, kMaxSpread);
  rest.until = now + *response.rest;
  rest.resumes_at =
      rest.until + Milliseconds(static_cast<int64_t>(
                       random_value * static_cast<double>(spread.count())));
  rest.first_sent_at.reset();
  PC_INFO(kMembership,
          "event=upstream_rests id="
              << upstream_id << " started=" << rest.start_time_ms
              << " rest_ms=" << response.rest->count()
              << " resumes_in_ms=" << (rest.resumes_at - now).count());
}

const UpstreamRests::Rest* UpstreamRests::Find(
    const FleetUpstream& upstream) const {
  auto it = rests_.find(upstream.record.id);
  if (it == rests_.end() || !it->second.IsOf(upstream.StartTimeMs())) {
    return nullptr;
  }
  return &it->second;
}

void UpstreamRests::OnSent(const FleetUpstream& upstream, MonotonicTime now) {
  auto it = rests_.find(upstream.record.id);
  if (it != rests_.end()) it->second.first_sent_at = now;
}

std::optional<Milliseconds> UpstreamRests::RemoveResting(
    std::vector<FleetUpstream*>* candidates, MonotonicTime now) const {
  std::optional<Milliseconds> out;
  std::erase_if(*candidates, [&](const FleetUpstream* it) {
    const Rest* rest = Find(*it);
    if (rest == nullptr) return false;
    MonotonicTime at = rest->resumes_at;
    if (rest->first_sent_at)
      at = std::max(at, *rest->first_sent_at + kFirstResponseTime);
    if (now >= at) return false;
    out = std::min(out.value_or(at - now), at - now);
    return true;
  });
  return out;
}

void UpstreamRests::RemoveExpired(MonotonicTime now) {
  std::erase_if(rests_, [now](const auto& it) {
    return now - it.second.resumes_at > kEndedRestLifetime;
  });
}

}  // namespace primrosecove
