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

/// Returns the messages to send to a process whose digest has arrived: none if
/// it has the same observations.
std::vector<FleetMessage> AnswerCrashDigest(const SuspectTable& table,
                                            const CrashDigest& digest,
                                            int64_t now_ms);

/// Keeps crash observations at an agent on behalf of the routers, which may
/// restart or be cut off. Not thread safe; callers pass the current time.
class CrashRelay {
 public:
  /// Adds the observations of a router's report; returns reports of those that
  /// are new, for the other routers.
  std::vector<CrashReport> OnReport(const CrashReport& report, int64_t now_ms);
  /// Returns the answer to a router's digest.
  std::vector<FleetMessage> OnDigest(const CrashDigest& digest,
                                     int64_t now_ms) const {
    return AnswerCrashDigest(table_, digest, now_ms);
  }
  const SuspectTable& table() const { return table_; }

 private:
  SuspectTable table_;
};

}  // namespace primrosecove
