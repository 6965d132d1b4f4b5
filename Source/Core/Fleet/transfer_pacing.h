// Limits transfers of weights so that they do not saturate a host's link, which
// the engine's requests share.
#pragma once

#include <cstddef>
#include <cstdint>

#include "Core/Net/event_loop.h"
#include "Core/Net/token_bucket.h"

namespace primrosecove {

/// Decides when the next chunk may be requested, so that the data queued at the
/// bottleneck link delays a caller's request by no more than about two chunks.
/// Not thread safe; the caller supplies the time.
class FetchPacer {
 public:
  /// Whether another chunk may be requested.
  bool MayStart(SteadyTime now) const;
  void OnStart() { ++in_flight_; }
  /// Records that a chunk arrived or failed `elapsed` after its request. A slow
  /// chunk causes a pause that leaves the link to other traffic.
  void OnEnd(Milliseconds elapsed, SteadyTime now);
  /// Sets the time that one chunk takes on this host's link, from which the
  /// time of a slow chunk follows.
  void SetChunkTime(Milliseconds on_link);
  size_t in_flight() const { return in_flight_; }

 private:
  size_t in_flight_ = 0;
  size_t max_in_flight_ = 4;
  SteadyTime not_before_{};
  Milliseconds slow_chunk_{0};
};

/// Decides when the next chunk may be sent, at a share of the link's rate. Not
/// thread safe; the caller supplies the time.
class UploadPacer {
 public:
  /// `link_bytes_per_second` 0 means unlimited.
  explicit UploadPacer(double link_bytes_per_second);
  /// Consumes the bytes of one chunk if it may be sent now.
  bool TrySend(size_t bytes, SteadyTime now) {
    return bucket_.TryTake(static_cast<double>(bytes), now);
  }
  /// Time until a chunk of that size may be sent.
  Milliseconds Wait(size_t bytes, SteadyTime now) {
    return bucket_.Wait(static_cast<double>(bytes), now);
  }

 private:
  TokenBucket bucket_;
};

}  // namespace primrosecove
