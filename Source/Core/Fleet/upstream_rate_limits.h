// The request rates to which upstreams limit all routers together, as they
// state them in their responses.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "Core/Fleet/fleet_messages.h"
#include "Core/Fleet/request_fields.h"
#include "Core/Fleet/router_count.h"
#include "Core/Fleet/upstream_registry.h"

namespace primrosecove {

/// A statement of one process of an upstream about its rate limit.
struct RateLimitStatement {
  std::string upstream_id;
  int64_t start_time_ms = 0;    ///< Of the process; 0 if unknown.
  std::optional<double> limit;  ///< Requests per second; empty if it has none.
  MonotonicTime made_at{0};

  /// Whether it is of a process that has replaced that of `other`.
  bool IsOfSuccessor(const RateLimitStatement& other) const {
    return start_time_ms != 0 && other.start_time_ms != 0 &&
           start_time_ms > other.start_time_ms;
  }
  /// Whether this statement replaces `other` of the same upstream. Start times
  /// do not decide: an entry of another writer may give a wrong one.
  bool IsNewerThan(const RateLimitStatement& other) const {
    return made_at > other.made_at;
  }
  /// Takes over a newer statement. The start time stays if the newer one's is
  /// unknown.
  void ReplaceBy(RateLimitStatement newer);
  /// Whether it may be `other`, returned by way of a relay.
  bool IsEchoOf(const RateLimitStatement& other) const;
  /// Whether it says something else than `other`.
  bool Contradicts(const RateLimitStatement& other) const {
    return limit != other.limit || IsOfSuccessor(other);
  }
};

/// Convert between times of this process's clock and ages. Thread safe.
RateLimitStatement ReadStatement(const RateLimitStatementEntry& entry,
                                 MonotonicTime now);
RateLimitStatementEntry WriteStatement(const RateLimitStatement& statement,
                                       MonotonicTime now);

/// Counters that the metrics endpoint exports.
struct RateLimitCounters {
  uint64_t changes = 0;  ///< Of known limits, including their ends.
  uint64_t sends = 0;    ///< Requests sent to limited upstreams.
  uint64_t skips = 0;    ///< Choices that left out an upstream at its limit.
  uint64_t ends = 0;     ///< Limits that ended or were forgotten.
  /// Requests sent in the seconds after the end of a limit.
  uint64_t sends_after_end = 0;
};

/// Rate limits of upstreams as one router knows them, and its share of each.
/// Answers the load in which many routers each have more requests for an
/// upstream than all together may send. Not thread safe; callers pass the time
/// since the process's start and, where `unix_ms` is asked for, the wall clock.
class UpstreamRateLimits {
 public:
  /// A registration that lapsed may return within this time, and the process
  /// goes on meanwhile.
  static constexpr Milliseconds kUnregisteredLifetime{120'000};
  /// A single response may lack the limit for another reason, and all routers
  /// would send at once.
  static constexpr int kResponsesToEnd = 3;

  /// `router_id` identifies this router across restarts; `router_count_window`
  /// is the time for which a report of the number of routers counts.
  explicit UpstreamRateLimits(
      uint64_t router_id = 0,
      Milliseconds router_count_window = Milliseconds(10'000))
      : router_id_(router_id), router_count_(router_count_window) {}

  void SetRouterCountWindow(Milliseconds window) {
    router_count_.SetWindow(window);
  }
  /// Records what a response of a process says; `start_time_ms` is 0 if
  /// unknown. `request_sent_at` is when its request was sent: a response that
  /// was under way when the upstream stated a limit does not end that limit.
  /// The limit ends with kResponsesToEnd consecutive successful ones without
  /// it, or with a single one of a later process.
  void OnResponse(const std::string& upstream_id, int64_t start_time_ms,
                  const ResponseFields& response, MonotonicTime request_sent_at,
                  MonotonicTime now);
  /// Records the number of routers that an agent knows. It determines this
  /// router's share until the sharers themselves are known.
  void SetRouterCount(int routers, MonotonicTime now) {
    router_count_.Report(routers, now);
  }
  /// Returns reports of the known limits, for the relays; one without entries
  /// if none is known.
  std::vector<RateLimitReport> MakeReports(MonotonicTime now);
  /// Whether, since the last report, a limit has changed,
  /// or this router has requests for a limited upstream again.
  bool HasNews() const { return has_news_; }
  /// Records a summary that a relay sent.
  void OnSummary(const RateLimitSummary& summary,
                 const UpstreamRegistry& registry, MonotonicTime now);
  /// Forgets upstreams that have not been registered for kUnregisteredLifetime,
  /// and limits that ended some time ago, and logs the use of limits since the
  /// last call. A limit holds for a successor of its process until that one
  /// responds.
  void Update(const UpstreamRegistry& registry, MonotonicTime now);

  /// Returns whether a request may be sent to an upstream now, and records that
  /// there is one.
  bool MaySend(const FleetUpstream& upstream, MonotonicTime now,
               int64_t unix_ms);
  /// Removes the upstreams that may get no request now. Returns the time to the
  /// next request that any router may send to one of them, or nothing if none
  /// was removed.
  std::optional<Milliseconds> RemoveLimited(
      std::vector<FleetUpstream*>* candidates, MonotonicTime now,
      int64_t unix_ms);
  /// Counts a request that is sent to an upstream. Precondition: MaySend. The
  /// requests that follow the end of a limit are counted as well.
  void OnSent(const FleetUpstream& upstream, int64_t unix_ms);
  /// Takes back a request that did not reach the upstream.
  void OnNotSent(const std::string& upstream_id, int64_t unix_ms);

  /// Returns the limit that an upstream has last stated, if it has one.
  std::optional<double> LimitOf(const FleetUpstream& upstream) const;
  /// Number of upstreams with a limit.
  size_t size() const;
  const RateLimitCounters& counters() const { return counters_; }

 private:
  struct Entry {
    RateLimitStatement statement;
    MonotonicTime last_registered_at{0};  // Or when it was first recorded.
    // When any relay last listed each sharer, and last sent a list at all.
    std::map<uint64_t, MonotonicTime> listed_at;
    MonotonicTime last_list_at{0};
    // When a relay last left out routers because there are too many.
    MonotonicTime last_truncated_at{-1'000'000};
    std::vector<uint64_t> sharers;  // Sorted.
    // Since when the relays list this router.
    std::optional<MonotonicTime> listed_since;
    // The other routers know this one as a sharer.
    bool is_settled = false;
    // Consecutive successful responses without the limit, and the requests that
    // this router may send beyond its share to get the next one.
    int responses_without_limit = 0;
    int extra_requests = 0;
    // The present period, from and to a Unix time in ms, and the requests that
    // this router may send and has sent in it.
    int64_t period_start_ms = 0;
    int64_t period_end_ms = 0;
    int64_t share = 0;
    int64_t sent = 0;
    MonotonicTime last_wanted_at{-1'000'000};
    // Since the last line in the log.
    int logged_sends = 0;
    int logged_skips = 0;
  };

  // A limit that has ended in the last seconds.
  struct RecentEnd {
    MonotonicTime at{0};
    const char* why = "";
    double limit = 0;
    int sends = 0;  // Since.
  };

  // Records the end of a limit, for the log and the counters.
  void RecordEnd(const RateLimitStatement& statement, const char* why,
                 MonotonicTime now);
  void LogRecentEnds(MonotonicTime now);
  // Records a successful response without a limit. Returns whether it ends the
  // known limit.
  static bool ConfirmsEnd(const RateLimitStatement& statement, Entry* entry);
  // Records a statement if it is newer than the known one.
  void Record(const RateLimitStatement& statement, const char* source,
              MonotonicTime now);
  // Begins the period of this time unless it is the present one.
  void EnterPeriod(Entry* entry, int64_t unix_ms) const;
  // Determines whether the other routers know this one as a sharer.
  void UpdateSettled(Entry* entry, MonotonicTime now) const;
  int64_t ComputeShare(const Entry& entry, int64_t period) const;
  // Computes the share of the period again, but keeps the requests sent in it.
  void UpdateShare(Entry* entry) const;
  void MergeSharers(const RateLimitSummaryEntry& summary, Entry* entry,
                    MonotonicTime now) const;

  uint64_t router_id_;
  RouterCount router_count_;
  std::map<std::string, Entry> entries_;          // By upstream.
  std::map<std::string, RecentEnd> recent_ends_;  // By upstream.
  RateLimitCounters counters_;
  bool has_news_ = false;
};

}  // namespace primrosecove
