// One attempt of a FleetRequest: the call to one upstream and the state of its
// response.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "Core/Fleet/event_framer.h"
#include "Core/Fleet/upstream_registry.h"
#include "Core/Net/http1_client.h"

namespace primrosecove {

/// Not thread safe; its request owns it.
struct FleetAttempt {
  uint64_t number = 0;  ///< Distinguishes the attempts of one request.
  std::unique_ptr<Http1Call> call;
  std::string upstream_id;
  int64_t upstream_start_time_ms = 0;  ///< 0 if unknown.
  /// Weights that the upstream is expected to start on; 0 if none are needed.
  uint64_t weights_version = 0;
  /// The request asks for these weights, so that others refuse it.
  bool expects_weights_version = false;
  bool counted_as_suspect = false;  ///< By the crash correlator.
  bool sent_as_suspect = false;     ///< No other suspect was there.
  MonotonicTime sent_at{0};
  MonotonicTime last_data_at{0};  ///< Or sent_at.
  /// How long this process itself stood still, since the attempt was sent and
  /// since its last data.
  Milliseconds own_stall{0};
  Milliseconds own_stall_since_data{0};
  bool is_loss_recorded = false;
  /// When a successful response began.
  std::optional<MonotonicTime> response_began_at;
  bool streaming = false;     ///< The response is an event stream.
  std::string response_body;  ///< Of a response that is not a stream.
  /// Weights that the response states for its first events.
  std::optional<uint64_t> response_weights;
  EventFramer framer;
  int event_count = 0;             ///< Events forwarded to the caller.
  bool has_foreign_event = false;  ///< The rest is not forwarded.

  /// Returns the bytes of the response that are held until more arrive.
  size_t HeldBytes() const {
    return response_body.size() + framer.partial_bytes();
  }
  void RecordData(MonotonicTime now) {
    last_data_at = now;
    own_stall_since_data = Milliseconds(0);
  }
  /// Returns how long it has been in flight, without stalls of this process.
  Milliseconds Age(MonotonicTime now) const {
    return now - sent_at - own_stall;
  }
  /// Returns how long no data has arrived, without stalls of this process.
  Milliseconds QuietTime(MonotonicTime now) const {
    return now - last_data_at - own_stall_since_data;
  }
  /// For how long a successful response has been arriving, or nothing if it has
  /// not begun.
  std::optional<Milliseconds> RespondingTime() const {
    if (!response_began_at) return std::nullopt;
    return std::max(last_data_at - *response_began_at, Milliseconds(0));
  }
};

}  // namespace primrosecove
