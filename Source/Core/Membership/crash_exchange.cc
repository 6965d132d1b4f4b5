#include "Core/Membership/crash_exchange.h"

#include <algorithm>

namespace primrosecove {

std::vector<CrashReport> MakeCrashReports(
    const std::vector<CrashObservation>& observations, int64_t now_ms) {
  std::vector<CrashReport> out;
  for (const CrashObservation& it : observations) {
    if (it.expires_ms <= now_ms) continue;
    if (out.empty() || out.back().entries.size() >= CrashReport::kMaxEntries)
      out.emplace_back();
    out.back().entries.push_back(
        {it.request, it.upstream, it.incarnation, it.as_suspect, it.completed,
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
    out.push_back({.request = it.request_fingerprint,
                   .upstream = it.upstream_hash,
                   .as_suspect = it.as_suspect,
                   .expires_ms = now_ms + valid_for_ms,
                   .incarnation = it.incarnation,
                   .completed = it.completed});
  }
  return out;
}

}  // namespace primrosecove
