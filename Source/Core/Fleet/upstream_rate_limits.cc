#include "Core/Fleet/upstream_rate_limits.h"

#include <algorithm>
#include <utility>

#include "Core/Common/log.h"
#include "Core/Fleet/rate_limit_share.h"

namespace primrosecove {
namespace {

constexpr double kNoLimit = -1;  // In the log.
// A router shares a limit while it had requests for the upstream within this
// time.
constexpr Milliseconds kDemandLifetime{3000};
// Sharers that no relay has listed for this long are dropped, unless no list
// has arrived for kMaxListGap.
constexpr Milliseconds kSharerLifetime{1500};
constexpr Milliseconds kMaxListGap{1000};
// A router that relays begin to list is known to all sharers after this time.
// If many begin at once, each would know itself first and the others later.
constexpr Milliseconds kSettlingTime{800};
// The end of a limit is reported for this long, so that all routers learn it.
constexpr Milliseconds kWithdrawalLifetime{5000};
// A statement that returns by way of a relay looks younger by the time that
// the datagrams took.
constexpr Milliseconds kMaxDatagramTime{100};
// For how long the requests after the end of a limit are counted.
constexpr Milliseconds kRecentEndLifetime{5000};

}  // namespace

RateLimitStatement ReadStatement(const RateLimitStatementEntry& entry,
                                 MonotonicTime now) {
  return {entry.upstream_id, entry.start_time_ms, entry.limit,
          now - Milliseconds(entry.age_ms)};
}

RateLimitStatementEntry WriteStatement(const RateLimitStatement& statement,
                                       MonotonicTime now) {
  auto age = std::max(now - statement.made_at, Milliseconds(0));
  return {statement.upstream_id, statement.start_time_ms, statement.limit,
          static_cast<uint32_t>(age.count())};
}

void RateLimitStatement::ReplaceBy(RateLimitStatement newer) {
  if (newer.start_time_ms == 0) newer.start_time_ms = start_time_ms;
  *this = std::move(newer);
}

bool RateLimitStatement::IsEchoOf(const RateLimitStatement& other) const {
  return !Contradicts(other) && made_at <= other.made_at + kMaxDatagramTime;
}

void UpstreamRateLimits::OnResponse(const std::string& upstream_id,
                                    int64_t start_time_ms,
                                    const ResponseFields& response,
                                    MonotonicTime request_sent_at,
                                    MonotonicTime now) {
  auto known = entries_.find(upstream_id);
  if (response.has_malformed_rate_limit) {
    std::optional<double> limit;
    if (known != entries_.end()) limit = known->second.statement.limit;
    PC_WARN(kMembership, "event=rate_limit_malformed id="
                             << upstream_id
                             << " limit=" << limit.value_or(kNoLimit));
    return;
  }
  RateLimitStatement statement{upstream_id, start_time_ms, response.rate_limit,
                               now};
  if (!statement.limit) {
    // An unsigned response may be another process's, and a failure or a refusal
    // may not be made by the part of the upstream that states its limit.
    if (!response.is_signed || !response.is_success) return;
    if (known == entries_.end()) return;
    statement.made_at = request_sent_at;
    if (!ConfirmsEnd(statement, &known->second)) return;
  } else if (known != entries_.end()) {
    known->second.responses_without_limit = 0;
    known->second.extra_requests = 0;
  }
  Record(statement, "response", now);
}

bool UpstreamRateLimits::ConfirmsEnd(const RateLimitStatement& statement,
                                     Entry* entry) {
  const RateLimitStatement& known = entry->statement;
  if (!known.limit) return true;
  if (!statement.IsNewerThan(known)) return false;
  if (statement.IsOfSuccessor(known)) return true;
  if (++entry->responses_without_limit >= kResponsesToEnd) return true;
  entry->extra_requests = 1;
  PC_INFO(kMembership, "event=rate_limit_missing id="
                           << known.upstream_id << " limit=" << *known.limit
                           << " responses=" << entry->responses_without_limit);
  return false;
}

void UpstreamRateLimits::Record(const RateLimitStatement& statement,
                                const char* source, MonotonicTime now) {
  auto [it, is_new] = entries_.try_emplace(statement.upstream_id);
  RateLimitStatement& known = it->second.statement;
  if (is_new) it->second.last_registered_at = now;
  if (!is_new && !statement.IsNewerThan(known)) return;
  if (is_new || statement.Contradicts(known)) {
    ++counters_.changes;
    has_news_ = true;
    PC_INFO(kMembership, "event=rate_limit id="
                             << statement.upstream_id
                             << " started=" << statement.start_time_ms
                             << " limit=" << statement.limit.value_or(kNoLimit)
                             << " before=" << known.limit.value_or(kNoLimit)
                             << " source=" << source << " age_ms="
                             << (now - statement.made_at).count());
  }
  bool is_other_limit = statement.limit != known.limit;
  if (!is_new && known.limit && !statement.limit) RecordEnd(known, source, now);
  known.ReplaceBy(statement);
  it->second.responses_without_limit = 0;
  it->second.extra_requests = 0;
  if (is_other_limit) UpdateShare(&it->second);
}

void UpstreamRateLimits::RecordEnd(const RateLimitStatement& statement,
                                   const char* why, MonotonicTime now) {
  ++counters_.ends;
  recent_ends_[statement.upstream_id] = {now, why,
                                         statement.limit.value_or(kNoLimit), 0};
}

void UpstreamRateLimits::LogRecentEnds(MonotonicTime now) {
  std::erase_if(recent_ends_, [now](const auto& it) {
    const RecentEnd& end = it.second;
    if (now - end.at <= kRecentEndLifetime) return false;
    PC_INFO(kMembership,
            "event=rate_limit_end id=" << it.first << " limit=" << end.limit
                                       << " why=\"" << end.why
                                       << "\" ago_ms=" << (now - end.at).count()
                                       << " sends=" << end.sends);
    return true;
  });
}

std::optional<double> UpstreamRateLimits::LimitOf(
    const FleetUpstream& upstream) const {
  auto it = entries_.find(upstream.record.id);
  if (it == entries_.end()) return std::nullopt;
  return it->second.statement.limit;
}

std::vector<RateLimitReport> UpstreamRateLimits::MakeReports(
    MonotonicTime now) {
  has_news_ = false;
  std::vector<RateLimitReport> out{{.router_id = router_id_}};
  for (const auto& [id, entry] : entries_) {
    if (out.back().entries.size() >= RateLimitReport::kMaxEntries)
      out.push_back({.router_id = router_id_});
    out.back().entries.push_back(
        {WriteStatement(entry.statement, now),
         now - entry.last_wanted_at <= kDemandLifetime});
  }
  return out;
}

void UpstreamRateLimits::OnSummary(const RateLimitSummary& summary,
                                   const UpstreamRegistry& registry,
                                   MonotonicTime now) {
  for (const RateLimitSummaryEntry& it : summary.entries) {
    const std::string& id = it.statement.upstream_id;
    // What all routers have forgotten must not return by way of a relay.
    bool is_old = Milliseconds(it.statement.age_ms) > kUnregisteredLifetime;
    if (is_old && !registry.all().contains(id)) continue;
    // The end of a limit matters only to a router that knows the limit.
    if (!it.statement.limit && !entries_.contains(id)) continue;
    RateLimitStatement statement = ReadStatement(it.statement, now);
    auto known = entries_.find(id);
    bool is_echo =
        known != entries_.end() && statement.IsEchoOf(known->second.statement);
    if (!is_echo) Record(statement, "report", now);
    MergeSharers(it, &entries_.at(id), now);
  }
}

void UpstreamRateLimits::MergeSharers(const RateLimitSummaryEntry& summary,
                                      Entry* entry, MonotonicTime now) const {
  // Without any list, nobody can have been removed from it.
  Milliseconds gap = now - std::exchange(entry->last_list_at, now);
  if (gap > kMaxListGap) {
    for (auto& [router, at] : entry->listed_at) at += gap;
  }
  if (summary.is_truncated) entry->last_truncated_at = now;
  for (uint64_t it : summary.sharers) entry->listed_at[it] = now;
  std::erase_if(entry->listed_at, [now](const auto& it) {
    return now - it.second > kSharerLifetime;
  });
  std::vector<uint64_t> sharers;
  for (const auto& [router, at] : entry->listed_at) sharers.push_back(router);
  bool is_listed = entry->listed_at.contains(router_id_);
  if (!is_listed) entry->listed_since.reset();
  if (is_listed && !entry->listed_since) entry->listed_since = now;
  if (sharers != entry->sharers) {
    entry->sharers = std::move(sharers);
    UpdateShare(entry);
  }
  UpdateSettled(entry, now);
}

void UpstreamRateLimits::UpdateSettled(Entry* entry, MonotonicTime now) const {
  // Routers that a truncated list leaves out may send nothing.
  bool is_left_out =
      !entry->listed_since && now - entry->last_truncated_at <= kSharerLifetime;
  bool is_settled =
      is_left_out ||
      (entry->listed_since && now - *entry->listed_since >= kSettlingTime);
  if (is_settled == entry->is_settled) return;
  entry->is_settled = is_settled;
  UpdateShare(entry);
}

int64_t UpstreamRateLimits::ComputeShare(const Entry& entry,
                                         int64_t period) const {
  const RateLimitStatement& statement = entry.statement;
  if (entry.is_settled) {
    return ShareOfPeriod(*statement.limit, period, statement.upstream_id,
                         router_id_, entry.sharers);
  }
  return EstimatedShareOfPeriod(*statement.limit, period, statement.upstream_id,
                                router_id_, router_count_.value());
}

void UpstreamRateLimits::EnterPeriod(Entry* entry, int64_t unix_ms) const {
  // The clock may be stepped back.
  bool is_present =
      unix_ms >= entry->period_start_ms && unix_ms < entry->period_end_ms;
  if (is_present) return;
  double limit = *entry->statement.limit;
  int64_t length = RateLimitPeriodLength(limit).count();
  int64_t period = RateLimitPeriodAt(limit, unix_ms);
  entry->period_start_ms = period * length;
  entry->period_end_ms = entry->period_start_ms + length;
  entry->sent = 0;
  entry->share = ComputeShare(*entry, period);
}

void UpstreamRateLimits::UpdateShare(Entry* entry) const {
  if (!entry->statement.limit || entry->period_end_ms == 0) return;
  int64_t period =
      RateLimitPeriodAt(*entry->statement.limit, entry->period_start_ms);
  entry->share = ComputeShare(*entry, period);
}

bool UpstreamRateLimits::MaySend(const FleetUpstream& upstream,
                                 MonotonicTime now, int64_t unix_ms) {
  if (!LimitOf(upstream)) return true;
  Entry& entry = entries_.at(upstream.record.id);
  if (now - entry.last_wanted_at > kDemandLifetime) has_news_ = true;
  entry.last_wanted_at = now;
  UpdateSettled(&entry, now);
  EnterPeriod(&entry, unix_ms);
  if (entry.sent < entry.share || entry.extra_requests > 0) return true;
  ++counters_.skips;
  ++entry.logged_skips;
  return false;
}

std::optional<Milliseconds> UpstreamRateLimits::RemoveLimited(
    std::vector<FleetUpstream*>* candidates, MonotonicTime now,
    int64_t unix_ms) {
  std::optional<Milliseconds> out;
  std::erase_if(*candidates, [&](const FleetUpstream* it) {
    if (MaySend(*it, now, unix_ms)) return false;
    Milliseconds time = TimeToNextRequest(*LimitOf(*it), unix_ms);
    out = std::min(out.value_or(time), time);
    return true;
  });
  return out;
}

void UpstreamRateLimits::OnSent(const FleetUpstream& upstream,
                                int64_t unix_ms) {
  auto ended = recent_ends_.find(upstream.record.id);
  if (ended != recent_ends_.end()) {
    ++counters_.sends_after_end;
    ++ended->second.sends;
  }
  if (!LimitOf(upstream)) return;
  ++counters_.sends;
  Entry& entry = entries_.at(upstream.record.id);
  ++entry.logged_sends;
  EnterPeriod(&entry, unix_ms);
  if (entry.sent >= entry.share && entry.extra_requests > 0) {
    --entry.extra_requests;
  } else {
    ++entry.sent;
  }
}

void UpstreamRateLimits::OnNotSent(const std::string& upstream_id,
                                   int64_t unix_ms) {
  auto it = entries_.find(upstream_id);
  if (it == entries_.end() || !it->second.statement.limit) return;
  EnterPeriod(&it->second, unix_ms);
  if (it->second.sent > 0) --it->second.sent;
}

void UpstreamRateLimits::Update(const UpstreamRegistry& registry,
                                MonotonicTime now) {
  for (auto& [id, entry] : entries_)
    if (registry.all().contains(id)) entry.last_registered_at = now;
  std::erase_if(entries_, [&](const auto& it) {
    const RateLimitStatement& statement = it.second.statement;
    bool is_gone = now - it.second.last_registered_at > kUnregisteredLifetime;
    if (is_gone && statement.limit)
      RecordEnd(statement, "no registration", now);
    bool has_ended =
        !statement.limit && now - statement.made_at > kWithdrawalLifetime;
    return has_ended || is_gone;
  });
  LogRecentEnds(now);
  for (auto& [id, entry] : entries_) {
    int sends = std::exchange(entry.logged_sends, 0);
    int skips = std::exchange(entry.logged_skips, 0);
    if (sends == 0 && skips == 0) continue;
    PC_INFO(kMembership,
            "event=rate_limit_use id="
                << id << " limit=" << entry.statement.limit.value_or(kNoLimit)
                << " sends=" << sends << " skips=" << skips << " sharers="
                << entry.sharers.size() << " settled=" << entry.is_settled
                << " routers=" << router_count_.value());
  }
}

size_t UpstreamRateLimits::size() const {
  return static_cast<size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [](const auto& it) { return it.second.statement.limit.has_value(); }));
}

}  // namespace primrosecove
