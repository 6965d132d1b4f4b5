// Uploads a copy of weights to the engine on this host, chunk by chunk, and
// verifies it there before a load order.
#pragma once

#include <functional>
#include <set>

#include "Core/Fleet/weight_copy.h"
#include "platform/engine_and_origin_client.h"

namespace primrosecove {

/// Stages one copy. Staged chunks may become corrupt at any time, so they are
/// read back right before a load order. Use it on its loop's thread only.
class ChunkStaging {
 public:
  /// Precondition: `copy` outlives this object.
  ChunkStaging(Http1Client* client, const Endpoint& engine,
               const WeightCopy* copy)
      : engine_(client, engine), copy_(copy) {}

  /// Uploads a chunk. Precondition: the copy holds it.
  void AddChunk(uint32_t n);
  /// Resumes uploading: starts chunks that are still queued, such as those that
  /// failed verification.
  void Resume() { StageQueued(); }
  /// Whether no upload is queued or in flight.
  bool done() const { return queued_.empty() && in_flight_ == 0; }
  bool verifying() const { return verifying_; }
  /// Reads all chunks back and calls `on_verified` if all match their digests.
  /// Chunks that do not match are queued for another upload. Precondition: the
  /// copy is complete, and verifying() is false.
  void Verify(std::function<void()> on_verified);
  const WeightCopy& copy() const { return *copy_; }

 private:
  void StageQueued();
  void VerifyNext();
  void OnChunkRead(uint32_t n, const Result<std::string>& bytes);

  platform::LocalEngineClient engine_;
  const WeightCopy* copy_;
  std::set<uint32_t> queued_;
  uint32_t in_flight_ = 0;
  bool verifying_ = false;
  uint32_t verify_next_ = 0;
  uint32_t verify_pending_ = 0;
  uint32_t verify_failed_ = 0;
  std::function<void()> on_verified_;
};

}  // namespace primrosecove
