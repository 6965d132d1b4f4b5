// One router's statistics of one upstream.
#pragma once

#include <cstdint>
#include <string>

#include "Core/Net/event_loop.h"

namespace primrosecove {

/// In-flight requests, latency and health of one upstream as one router
/// observes them. Responses carry load reports; between reports the router adds
/// the requests that it has sent itself. Not thread safe.
class UpstreamStats {
 public:
  /// Records a sent request.
  void OnSent() {
    ++in_flight_;
    ++sent_since_report_;
  }
  /// Records the end of a request, with any outcome.
  void OnEnded() { --in_flight_; }
  /// Records the agent's count of running and waiting requests of all routers.
  void OnLoadReport(uint32_t running, uint32_t waiting);
  /// Records that the first token or the complete response arrived after `ms`.
  void OnFirstToken(double ms);
  /// Records a failed or successful attempt. Consecutive failures eject the
  /// upstream for an exponentially growing time.
  void OnFailure(SteadyTime now);
  void OnSuccess();

  uint32_t in_flight() const { return in_flight_; }
  /// Returns the estimated number of requests at the upstream: the last report
  /// plus this router's requests sent since, but at least this router's
  /// requests in flight.
  double EstimatedLoad() const;
  /// Returns the expected time to the first token in ms.
  double ExpectedDelayMs() const;
  /// Whether requests may be sent. After an ejection one request at a time
  /// probes the upstream.
  bool IsAvailable(SteadyTime now) const;

 private:
  uint32_t in_flight_ = 0;
  uint32_t reported_load_ = 0;
  uint32_t sent_since_report_ = 0;
  double first_token_ms_ = 0;        // Moving average; 0 without a sample.
  double mean_load_at_samples_ = 0;  // Over the samples above.
  uint32_t consecutive_failures_ = 0;
  SteadyTime ejected_until_;
  bool probing_ = false;
};

}  // namespace primrosecove
