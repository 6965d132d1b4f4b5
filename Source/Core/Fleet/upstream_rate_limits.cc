#include "Core/Fleet/upstream_rate_limits.h"

#include <algorithm>
#include <utility>

#include "Core/Common/log.h"

namespace primrosecove {
namespace {

constexpr double kNoLimit = -1;  // In the log.

}  // namespace

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
  bool is_newer = is_new || statement.start_time_ms > known.start_time_ms ||
                  (statement.start_time_ms == known.start_time_ms &&
                   statement.made_at >= known.made_at);
  if (!is_newer) return;
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

void UpstreamRateLimits::OnSent(const FleetUpstream& upstream) {
  if (!LimitOf(upstream)) return;
  ++counters_.sends;
  ++entries_.at(upstream.record.id).sends;
}

void UpstreamRateLimits::Update(const UpstreamRegistry& registry) {
  std::erase_if(entries_, [&](const auto& it) {
    return !registry.all().contains(it.first);
  });
  for (auto& [id, entry] : entries_) {
    int sends = std::exchange(entry.sends, 0);
    if (sends == 0) continue;
    PC_INFO(kMembership,
            "event=rate_limit_use id="
                << id << " limit=" << entry.statement.limit.value_or(kNoLimit)
                << " sends=" << sends);
  }
}

size_t UpstreamRateLimits::size() const {
  return static_cast<size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [](const auto& it) { return it.second.statement.limit.has_value(); }));
}

}  // namespace primrosecove
