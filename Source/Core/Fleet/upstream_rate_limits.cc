#include "Core/Fleet/upstream_rate_limits.h"

#include <algorithm>
#include <utility>

#include "Core/Common/log.h"
#include "Core/Fleet/rate_limit_share.h"

namespace primrosecove {
namespace {

constexpr double kNoLimit = -1;  // In the log.

}  // namespace

bool RateLimitStatement::IsNewerThan(const RateLimitStatement& other) const {
  if (start_time_ms != other.start_time_ms)
    return start_time_ms > other.start_time_ms;
  return made_at > other.made_at;
}

void UpstreamRateLimits::OnResponse(const FleetUpstream& upstream,
                                    const ResponseFields& response,
                                    MonotonicTime request_sent_at,
                                    MonotonicTime now) {
  if (response.has_malformed_rate_limit) {
    PC_WARN(kMembership, "event=rate_limit_malformed id="
                             << upstream.record.id << " limit="
                             << LimitOf(upstream).value_or(kNoLimit));
    return;
  }
  RateLimitStatement statement{upstream.record.id, upstream.StartTimeMs(),
                               response.rate_limit, now};
  if (!statement.limit) {
    // An unsigned response may be another process's.
    if (!response.is_signed || !entries_.contains(upstream.record.id)) return;
    statement.made_at = request_sent_at;
  }
  Record(statement, "response", now);
}

void UpstreamRateLimits::Record(const RateLimitStatement& statement,
                                const char* source, MonotonicTime now) {
  auto [it, is_new] = entries_.try_emplace(statement.upstream_id);
  RateLimitStatement& known = it->second.statement;
  if (!is_new && !statement.IsNewerThan(known)) return;
  bool changed = is_new || known.limit != statement.limit ||
                 known.start_time_ms != statement.start_time_ms;
  if (changed) {
    ++counters_.changes;
    PC_INFO(kMembership, "event=rate_limit id="
                             << statement.upstream_id
                             << " started=" << statement.start_time_ms
                             << " limit=" << statement.limit.value_or(kNoLimit)
                             << " before=" << known.limit.value_or(kNoLimit)
                             << " source=" << source << " age_ms="
                             << (now - statement.made_at).count());
  }
  known = statement;
}

std::optional<double> UpstreamRateLimits::LimitOf(
    const FleetUpstream& upstream) const {
  auto it = entries_.find(upstream.record.id);
  if (it == entries_.end()) return std::nullopt;
  const RateLimitStatement& known = it->second.statement;
  // A successor has no limit until it states one.
  if (known.start_time_ms < upstream.StartTimeMs()) return std::nullopt;
  return known.limit;
}

int64_t UpstreamRateLimits::Share(const Entry& entry, int64_t period) const {
  return EstimatedShareOfPeriod(*entry.statement.limit, period,
                                entry.statement.upstream_id, router_id_,
                                router_count_.value());
}

bool UpstreamRateLimits::MaySend(const FleetUpstream& upstream,
                                 MonotonicTime now, int64_t unix_ms) {
  if (!LimitOf(upstream)) return true;
  Entry& entry = entries_.at(upstream.record.id);
  entry.last_wanted_at = now;
  int64_t period = RateLimitPeriodAt(unix_ms);
  int64_t sent = entry.period == period ? entry.sent : 0;
  if (sent < Share(entry, period)) return true;
  ++counters_.skips;
  ++entry.logged_skips;
  return false;
}

void UpstreamRateLimits::OnSent(const FleetUpstream& upstream,
                                int64_t unix_ms) {
  if (!LimitOf(upstream)) return;
  ++counters_.sends;
  Entry& entry = entries_.at(upstream.record.id);
  ++entry.logged_sends;
  int64_t period = RateLimitPeriodAt(unix_ms);
  if (entry.period != period) entry.sent = 0;
  entry.period = period;
  ++entry.sent;
}

void UpstreamRateLimits::OnNotSent(const std::string& upstream_id,
                                   int64_t unix_ms) {
  auto it = entries_.find(upstream_id);
  if (it == entries_.end()) return;
  bool is_same_period = it->second.period == RateLimitPeriodAt(unix_ms);
  if (is_same_period && it->second.sent > 0) --it->second.sent;
}

Milliseconds UpstreamRateLimits::TimeToNextRequest(
    const FleetUpstream& upstream, int64_t unix_ms) const {
  auto limit = LimitOf(upstream);
  if (!limit) return Milliseconds(0);
  return primrosecove::TimeToNextRequest(*limit, unix_ms);
}

void UpstreamRateLimits::Update(const UpstreamRegistry& registry) {
  std::erase_if(entries_, [&](const auto& it) {
    return !registry.all().contains(it.first);
  });
  for (auto& [id, entry] : entries_) {
    int sends = std::exchange(entry.logged_sends, 0);
    int skips = std::exchange(entry.logged_skips, 0);
    if (sends == 0 && skips == 0) continue;
    PC_INFO(kMembership,
            "event=rate_limit_use id="
                << id << " limit=" << entry.statement.limit.value_or(kNoLimit)
                << " sends=" << sends << " skips=" << skips
                << " routers=" << router_count_.value());
  }
}

size_t UpstreamRateLimits::size() const {
  return static_cast<size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [](const auto& it) { return it.second.statement.limit.has_value(); }));
}

}  // namespace primrosecove
