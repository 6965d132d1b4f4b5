#include "Core/Membership/rate_limit_relay.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "Core/Common/digest.h"

namespace primrosecove {
namespace {

// Returns an upper bound of the encoded size.
size_t MaxEncodedBytes(const RateLimitSummaryEntry& entry) {
  constexpr size_t kNumberBytes = 9;
  constexpr size_t kOtherNumbers = 5;
  return entry.statement.upstream_id.size() +
         kNumberBytes * (kOtherNumbers + entry.sharers.size());
}

std::vector<RateLimitSummary> Pack(std::vector<RateLimitSummaryEntry> entries) {
  std::vector<RateLimitSummary> out;
  size_t bytes = RateLimitSummary::kMaxBytes;
  for (RateLimitSummaryEntry& it : entries) {
    bytes += MaxEncodedBytes(it);
    if (bytes > RateLimitSummary::kMaxBytes) {
      out.emplace_back();
      bytes = MaxEncodedBytes(it);
    }
    out.back().entries.push_back(std::move(it));
  }
  return out;
}

}  // namespace

RateLimitRelay::Answer RateLimitRelay::OnReport(const RateLimitReport& report,
                                                const Endpoint& sender,
                                                int64_t now_ms) {
  RemoveExpired(now_ms);
  if (report.is_chosen) chosen_at_ms_ = now_ms;
  Reporter& reporter = reporters_[sender];
  reporter.reported_at_ms = now_ms;
  for (const RateLimitReportEntry& it : report.entries)
    Merge(it, report.router_id, now_ms);
  // Without an answer, routers that have not chosen this agent leave it.
  if (!IsChosen(now_ms)) return {};
  std::vector<RateLimitSummaryEntry> news;
  for (auto& [id, entry] : entries_) {
    bool is_due = now_ms - entry.news_sent_at_ms >= kMinNewsIntervalMs;
    if (!entry.has_news || !is_due) continue;
    entry.has_news = false;
    entry.news_sent_at_ms = now_ms;
    news.push_back(Summarize(entry, now_ms));
  }
  Answer out{{}, Pack(std::move(news))};
  bool is_due = !reporter.answered_at_ms ||
                now_ms - *reporter.answered_at_ms >= kMinAnswerIntervalMs;
  if (is_due) {
    reporter.answered_at_ms = now_ms;
    out.to_sender = SummarizeAll(now_ms);
    if (!report.is_chosen && out.to_sender.empty())
      out.to_sender.emplace_back();
  } else {
    out.to_sender = out.to_others;
  }
  return out;
}

std::vector<RateLimitSummary> RateLimitRelay::SummarizeAll(
    int64_t now_ms) const {
  std::vector<RateLimitSummaryEntry> out;
  for (const auto& [id, entry] : entries_)
    out.push_back(Summarize(entry, now_ms));
  return Pack(std::move(out));
}

std::vector<RateLimitSummary> RateLimitRelay::MakeAnnouncements(
    int64_t now_ms) {
  RemoveExpired(now_ms);
  if (!IsChosen(now_ms)) return {};
  auto out = SummarizeAll(now_ms);
  if (out.empty()) out.emplace_back();
  return out;
}

bool RateLimitRelay::ReportsHere(const Endpoint& router, int64_t now_ms) const {
  auto it = reporters_.find(router);
  return it != reporters_.end() &&
         now_ms - it->second.reported_at_ms <= kReporterLifetimeMs;
}

void RateLimitRelay::Merge(const RateLimitReportEntry& reported,
                           uint64_t router_id, int64_t now_ms) {
  const std::string& id = reported.statement.upstream_id;
  auto it = entries_.find(id);
  bool is_new = it == entries_.end();
  if (is_new) {
    if (entries_.size() >= kMaxUpstreams) return;
    it = entries_.try_emplace(id).first;
  }
  Entry& entry = it->second;
  entry.reported_at_ms = now_ms;
  if (reported.wants_to_send) {
    auto [sharer, is_new_sharer] = entry.sharers.try_emplace(router_id);
    sharer->second.wanted_at_ms = now_ms;
    if (is_new_sharer) {
      sharer->second.rank = RendezvousScore(id, std::to_string(router_id));
      entry.has_news = true;
    }
  }
  RateLimitStatement statement =
      ReadStatement(reported.statement, MonotonicTime(now_ms));
  bool is_older = !is_new && (!statement.IsNewerThan(entry.statement) ||
                              statement.IsEchoOf(entry.statement));
  if (is_older) return;
  entry.has_news =
      entry.has_news || is_new || statement.Contradicts(entry.statement);
  entry.statement.ReplaceBy(std::move(statement));
}

void RateLimitRelay::RemoveExpired(int64_t now_ms) {
  std::erase_if(reporters_, [&](const auto& it) {
    return now_ms - it.second.reported_at_ms > kReporterLifetimeMs;
  });
  std::erase_if(entries_, [&](const auto& it) {
    return now_ms - it.second.reported_at_ms > kEntryLifetimeMs;
  });
  for (auto& [id, entry] : entries_) {
    std::erase_if(entry.sharers, [&](const auto& it) {
      return now_ms - it.second.wanted_at_ms > kSharerLifetimeMs;
    });
  }
}

RateLimitSummaryEntry RateLimitRelay::Summarize(const Entry& entry,
                                                int64_t now_ms) {
  RateLimitSummaryEntry out;
  out.statement = WriteStatement(entry.statement, MonotonicTime(now_ms));
  std::vector<std::pair<uint64_t, uint64_t>> ranked;
  for (const auto& [router, sharer] : entry.sharers)
    ranked.emplace_back(sharer.rank, router);
  if (ranked.size() > RateLimitSummaryEntry::kMaxSharers) {
    // All relays choose the same routers.
    auto end = ranked.begin() + RateLimitSummaryEntry::kMaxSharers;
    std::nth_element(ranked.begin(), end, ranked.end(), std::greater<>());
    ranked.erase(end, ranked.end());
    out.is_truncated = true;
  }
  for (const auto& [rank, router] : ranked) out.sharers.push_back(router);
  return out;
}

}  // namespace primrosecove
