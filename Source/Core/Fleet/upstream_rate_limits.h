// The request rates to which upstreams limit all routers together, as they
// state them in their responses.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Core/Fleet/request_fields.h"
#include "Core/Fleet/upstream_registry.h"

namespace primrosecove {

/// A statement of one process of an upstream about its rate limit.
struct RateLimitStatement {
  std::string upstream_id;
  int64_t start_time_ms = 0;    ///< Of the process; 0 if unknown.
  std::optional<double> limit;  ///< Requests per second; empty if it has none.
  MonotonicTime made_at{0};
};

/// Counters that the metrics endpoint exports.
struct RateLimitCounters {
  uint64_t changes = 0;  ///< Of known limits, including their ends.
  uint64_t sends = 0;    ///< Requests sent to limited upstreams.
};

/// Rate limits of upstreams as one router knows them. Not thread safe; callers
/// pass the current time.
class UpstreamRateLimits {
 public:
  /// Records what a response says. `request_sent_at` is when its request was
  /// sent: a response that was under way when the upstream stated a limit does
  /// not end that limit.
  void OnResponse(const FleetUpstream& upstream, const ResponseFields& response,
                  MonotonicTime request_sent_at, MonotonicTime now);
  /// Counts a request that is sent to an upstream.
  void OnSent(const FleetUpstream& upstream);
  /// Forgets upstreams that are not registered, and logs the use of limits
  /// since the last call.
  void Update(const UpstreamRegistry& registry);

  /// Returns the limit of an upstream's present process, if it has one.
  std::optional<double> LimitOf(const FleetUpstream& upstream) const;
  /// Number of upstreams with a limit.
  size_t size() const;
  const RateLimitCounters& counters() const { return counters_; }

 private:
  struct Entry {
    RateLimitStatement statement;
    int sends = 0;  // Since the last line in the log.
  };

  // Records a statement if it is newer than the known one.
  void Record(const RateLimitStatement& statement, const char* source,
              MonotonicTime now);

  std::map<std::string, Entry> entries_;  // By upstream.
  RateLimitCounters counters_;
};

}  // namespace primrosecove
