// Lays a copy of weights at the engine beside this process, piece by piece, and
// checks it there before an order.
#pragma once

#include <functional>
#include <set>

#include "Core/Fleet/weight_copy.h"
#include "platform/engine_and_origin_client.h"

namespace primrosecove {

/// Work on one copy. What lies at the engine may turn bad at any time, so it is
/// read back right before an order. Use it on its loop's thread only.
class EngineStaging {
 public:
  /// `copy` outlives this object.
  EngineStaging(Http1Client* client, const Endpoint& engine,
                const WeightCopy* copy)
      : engine_(client, engine), copy_(copy) {}

  /// Lays a piece that the copy holds.
  void Add(uint32_t n);
  /// Goes on with pieces that were not taken.
  void Continue() { StageNext(); }
  /// Whether nothing is left to lay.
  bool done() const { return waiting_.empty() && under_way_ == 0; }
  bool verifying() const { return verifying_; }
  /// Reads all pieces back; `good` is called if all are right. Wrong ones are
  /// laid again. Precondition: the copy is complete, and not verifying().
  void Verify(std::function<void()> good);
  const WeightCopy& copy() const { return *copy_; }

 private:
  void StageNext();
  void VerifyNext();
  void TakeVerified(uint32_t n, const Result<std::string>& bytes);

  platform::LocalEngineClient engine_;
  const WeightCopy* copy_;
  std::set<uint32_t> waiting_;
  uint32_t under_way_ = 0;
  bool verifying_ = false;
  uint32_t verify_next_ = 0;
  uint32_t verify_pending_ = 0;
  uint32_t verify_bad_ = 0;
  std::function<void()> good_;
};

}  // namespace primrosecove
