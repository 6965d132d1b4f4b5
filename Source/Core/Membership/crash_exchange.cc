#include "Core/Membership/crash_exchange.h"

#include <algorithm>
#include <utility>

namespace primrosecove {
namespace {

// Observations sent in answer to a digest; if there are more, the newest ones.
constexpr size_t kMaxAnsweredObservations = 512;

}  // namespace

std::vector<CrashReport> MakeCrashReports(
    const std::vector<CrashObservation>& observations, int64_t now_ms) {
  std::vector<CrashReport> out;
  for (const CrashObservation& it : observations) {
    if (it.expires_ms <= now_ms) continue;
    if (out.empty() || out.back().entries.size() >= CrashReport::kMaxEntries)
      out.emplace_back();
    out.back().entries.push_back(
        {it.subject, it.upstream, it.incarnation, it.as_suspect, it.completed,
         it.may_have_been_queued,
         static_cast<uint32_t>(it.expires_ms - now_ms)});
  }
  return out;
}

std::vector<CrashObservation> ReadCrashReport(const CrashReport& report,
                                              int64_t now_ms) {
  std::vector<CrashObservation> out;
  for (const CrashReportEntry& it : report.entries) {
    int64_t valid_for_ms =
        std::min<int64_t>(it.valid_for_ms, SuspectTable::kLifetimeMs);
    out.push_back({.subject = it.subject,
                   .upstream = it.upstream_hash,
                   .as_suspect = it.as_suspect,
                   .expires_ms = now_ms + valid_for_ms,
                   .incarnation = it.incarnation,
                   .completed = it.completed,
                   .may_have_been_queued = it.may_have_been_queued});
  }
  return out;
}

std::vector<FleetMessage> AnswerCrashDigest(const SuspectTable& table,
                                            const CrashDigest& digest,
                                            int64_t now_ms) {
  uint64_t own_digest = table.Digest(now_ms);
  if (own_digest == digest.digest) return {};
  auto observations = table.List(now_ms);
  std::stable_sort(
      observations.begin(), observations.end(),
      [](const auto& a, const auto& b) { return a.expires_ms > b.expires_ms; });
  if (observations.size() > kMaxAnsweredObservations)
    observations.resize(kMaxAnsweredObservations);
  std::vector<FleetMessage> out;
  for (CrashReport& report : MakeCrashReports(observations, now_ms))
    out.emplace_back(std::move(report));
  if (!digest.is_reply) out.emplace_back(CrashDigest{own_digest, true});
  return out;
}

std::vector<CrashReport> CrashRelay::OnReport(const CrashReport& report,
                                              int64_t now_ms) {
  std::vector<CrashObservation> added;
  for (const CrashObservation& it : ReadCrashReport(report, now_ms)) {
    if (table_.Add(it, now_ms)) added.push_back(it);
  }
  return MakeCrashReports(added, now_ms);
}

}  // namespace primrosecove
