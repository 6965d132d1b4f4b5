// Keeps the rate limits that routers have learned from upstreams, and which
// routers share them, at an agent: routers have no addresses of each other.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Core/Fleet/fleet_messages.h"
#include "Core/Fleet/upstream_rate_limits.h"
#include "Core/Net/endpoint.h"

namespace primrosecove {

/// Not thread safe; callers pass the current time in ms of a clock that is not
/// stepped.
class RateLimitRelay {
 public:
  /// Upstreams with a known limit; reports of more are ignored.
  static constexpr size_t kMaxUpstreams = 256;
  /// A router that has not wanted to send for this long no longer shares.
  static constexpr int64_t kSharerLifetimeMs = 3500;
  /// Changes of a limit are sent to other routers at most this often.
  static constexpr int64_t kMinNewsIntervalMs = 200;
  /// A limit that no router has reported for this long is forgotten.
  static constexpr int64_t kEntryLifetimeMs = 10'000;
  /// An agent that no router has chosen for this long is no relay.
  static constexpr int64_t kChosenLifetimeMs = 2000;
  /// A router that has reported within this time is sent answers only.
  static constexpr int64_t kReporterLifetimeMs = 1000;
  /// A router that reports more often is not sent all limits each time.
  static constexpr int64_t kMinAnswerIntervalMs = 200;

  /// Summaries to send after a report.
  struct Answer {
    /// All known limits, unless the sender was sent them just before.
    std::vector<RateLimitSummary> to_sender;
    std::vector<RateLimitSummary> to_others;  ///< Those that have changed.
  };

  /// Adds what a router at `sender` reports and returns what routers are to
  /// learn.
  Answer OnReport(const RateLimitReport& report, const Endpoint& sender,
                  int64_t now_ms);
  /// Returns what to send periodically to routers that do not report here, so
  /// that they do: all known limits, at least one summary; nothing if no router
  /// has chosen this agent.
  std::vector<RateLimitSummary> MakeAnnouncements(int64_t now_ms);
  /// Whether the router at this address reports here.
  bool ReportsHere(const Endpoint& router, int64_t now_ms) const;
  /// Number of upstreams with a known limit, or one that has just ended.
  size_t size() const { return entries_.size(); }

 private:
  struct Sharer {
    int64_t wanted_at_ms = 0;
    uint64_t rank = 0;  // Among the sharers, equal at all relays.
  };
  struct Entry {
    RateLimitStatement statement;
    int64_t reported_at_ms = 0;
    // Whether other routers are yet to learn of a change, and when they last
    // did.
    bool has_news = false;
    int64_t news_sent_at_ms = 0;
    std::map<uint64_t, Sharer> sharers;  // By router.
  };

  void Merge(const RateLimitReportEntry& reported, uint64_t router_id,
             int64_t now_ms);
  void RemoveExpired(int64_t now_ms);
  static RateLimitSummaryEntry Summarize(const Entry& entry, int64_t now_ms);

  struct Reporter {
    int64_t reported_at_ms = 0;
    std::optional<int64_t> answered_at_ms;  // With all limits.
  };

  bool IsChosen(int64_t now_ms) const {
    return now_ms - chosen_at_ms_ <= kChosenLifetimeMs;
  }
  std::vector<RateLimitSummary> SummarizeAll(int64_t now_ms) const;

  std::map<std::string, Entry> entries_;  // By upstream.
  std::map<Endpoint, Reporter> reporters_;
  int64_t chosen_at_ms_ = -kChosenLifetimeMs - 1;  // By any router, last.
};

}  // namespace primrosecove
