// Keeps transfers of weights from filling a host's link, which its engine's
// callers share.
#pragma once

#include <cstddef>
#include <cstdint>

#include "Core/Net/event_loop.h"
#include "Core/Net/token_bucket.h"

namespace primrosecove {

/// Decides when the next piece may be asked for, so that what is queued at the
/// narrowest link on the way delays a caller's request by no more than about
/// two pieces. Not thread safe; time is handed in.
class FetchPacer {
 public:
  /// Whether another piece may be asked for.
  bool MayStart(SteadyTime now) const;
  void OnStart() { ++under_way_; }
  /// A piece came, or won't; `took` is since it was asked for. A piece that
  /// came slowly makes room for others by a pause.
  void OnEnd(Milliseconds took, SteadyTime now);
  size_t under_way() const { return under_way_; }

 private:
  size_t under_way_ = 0;
  size_t most_ = 4;
  SteadyTime not_before_{};
};

/// Decides when the next piece may be sent, at a share of the link's rate. Not
/// thread safe; time is handed in.
class UploadPacer {
 public:
  /// `link_bytes_per_second` 0 means unlimited.
  UploadPacer(double link_bytes_per_second, double piece_bytes);
  /// Takes the bytes of one piece if it may be sent now.
  bool TrySend(size_t bytes, SteadyTime now) {
    return bucket_.TryTake(static_cast<double>(bytes), now);
  }
  /// Time until a piece of that size may be sent.
  Milliseconds Wait(size_t bytes, SteadyTime now) {
    return bucket_.Wait(static_cast<double>(bytes), now);
  }

 private:
  TokenBucket bucket_;
};

}  // namespace primrosecove
