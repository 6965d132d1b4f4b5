// Messages that carry crash observations between routers and agents.
#pragma once

#include <cstdint>
#include <vector>

#include "Core/Fleet/fleet_messages.h"
#include "Core/Membership/suspect_table.h"

namespace primrosecove {

/// Packs observations into reports of at most CrashReport::kMaxEntries. Times
/// in ms of the sender's clock. Thread safe.
std::vector<CrashReport> MakeCrashReports(
    const std::vector<CrashObservation>& observations, int64_t now_ms);

/// Returns the observations of a report in ms of the receiver's clock. Thread
/// safe.
std::vector<CrashObservation> ReadCrashReport(const CrashReport& report,
                                              int64_t now_ms);

}  // namespace primrosecove
