// The rests that upstreams ask this router for as they turn requests away.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Core/Fleet/request_fields.h"
#include "Core/Fleet/upstream_registry.h"

namespace primrosecove {

/// Keeps, for each process of an upstream, until when it wants no request from
/// this router. Answers the load in which all requests for an upstream that is
/// in need wait for the end of its rest: afterwards a single one is sent, and
/// others once that one has not been turned away. Not thread safe; callers pass
/// the time since the process's start.
class UpstreamRests {
 public:
  /// Records what a response of a process says. `request_sent_at` is when its
  /// request was sent; `random_value`, from 0 to 1, spreads the returns of the
  /// routers.
  void OnResponse(const std::string& upstream_id, int64_t start_time_ms,
                  const ResponseFields& response, MonotonicTime request_sent_at,
                  double random_value, MonotonicTime now);
  /// Records that a request is sent to an upstream.
  void OnSent(const FleetUpstream& upstream, MonotonicTime now);
  /// Removes the upstreams that may get no request now. Returns the time until
  /// one of them may, or nothing if none was removed.
  std::optional<Milliseconds> RemoveResting(
      std::vector<FleetUpstream*>* candidates, MonotonicTime now) const;
  /// Forgets rests that ended long ago.
  void RemoveExpired(MonotonicTime now);
  /// Number of upstreams that rest or have not been sent a request since.
  size_t size() const { return rests_.size(); }

 private:
  struct Rest {
    int64_t start_time_ms = 0;  // Of the process; 0 if unknown.
    MonotonicTime until{0};
    MonotonicTime resumes_at{0};  // When this router may send again.
    std::optional<MonotonicTime> first_sent_at;  // Since then.

    bool IsOf(int64_t process_start_time_ms) const {
      return start_time_ms == 0 || process_start_time_ms == 0 ||
             start_time_ms == process_start_time_ms;
    }
  };

  const Rest* Find(const FleetUpstream& upstream) const;

  std::map<std::string, Rest> rests_;  // By upstream.
};

}  // namespace primrosecove
