// A fake origin server of weights whose link has a limited rate.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Core/Net/event_loop.h"
#include "Core/Net/http_server.h"
#include "Core/Net/token_bucket.h"
#include "Lab/weights_spec.h"

namespace primrosecove {

/// Injected faults of the origin. All are off by default.
struct OriginFaults {
  bool down = false;          ///< Closes connections without a response.
  uint32_t busy_percent = 0;  ///< Requests answered with 429 and Retry-After.
  uint32_t corrupt_percent = 0;  ///< Ranges in which one bit is flipped.
  uint64_t down_after_bytes =
      0;  ///< Sets `down` when this many bytes of ranges are sent; 0: never.
};

/// Serves /manifests/DIGEST and ranges of /weights/DIGEST. Ranges are sent one
/// after another at the link's rate. Not thread safe.
class FakeOrigin {
 public:
  FakeOrigin(EventLoop* loop, uint64_t bytes_per_second, uint64_t seed);
  void AddWeights(const WeightsSpec& spec);
  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  void SetFaults(OriginFaults faults);
  const OriginFaults& faults() const { return faults_; }
  /// Total bytes of the ranges sent.
  uint64_t bytes_sent() const { return bytes_sent_; }

 private:
  struct Object {
    Manifest manifest;
    std::string bytes;
  };
  struct PendingResponse {
    std::shared_ptr<HttpExchange> exchange;
    std::string body;
    uint64_t offset;
    uint64_t total;
  };
  void SendRange(const Object& object,
                 const std::shared_ptr<HttpExchange>& exchange);
  void SendPending();

  EventLoop* loop_;
  TokenBucket link_;
  std::mt19937_64 random_;
  OriginFaults faults_;
  std::map<std::string, Object> objects_;
  std::deque<PendingResponse> pending_;
  uint64_t bytes_sent_ = 0;
  Timer send_timer_;
};

}  // namespace primrosecove
