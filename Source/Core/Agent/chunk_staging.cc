#include "Core/Agent/chunk_staging.h"

#include <utility>

#include "Core/Common/log.h"

namespace primrosecove {
namespace {

// Chunks that are uploaded or read back concurrently.
constexpr uint32_t kMaxConcurrentChunks = 8;

}  // namespace

void ChunkStaging::AddChunk(uint32_t n) {
  queued_.insert(n);
  StageQueued();
}

void ChunkStaging::StageQueued() {
  while (in_flight_ < kMaxConcurrentChunks && !queued_.empty()) {
    uint32_t n = *queued_.begin();
    queued_.erase(queued_.begin());
    // The copy drops a chunk whose digest is replaced.
    if (!copy_->Has(n)) continue;
    ++in_flight_;
    engine_.StageChunk(copy_->model(), n, copy_->ChunkData(n),
                       [this](bool accepted) {
                         --in_flight_;
                         // Verification detects chunks that the engine
                         // rejected.
                         if (accepted) StageQueued();
                       });
  }
}

void ChunkStaging::Verify(std::function<void()> on_verified) {
  on_verified_ = std::move(on_verified);
  verifying_ = true;
  verify_next_ = 0;
  verify_pending_ = 0;
  verify_failed_ = 0;
  VerifyNext();
}

void ChunkStaging::VerifyNext() {
  while (verify_pending_ < kMaxConcurrentChunks &&
         verify_next_ < copy_->size()) {
    uint32_t n = verify_next_++;
    ++verify_pending_;
    engine_.ReadStagedChunk(
        copy_->model(), n,
        [this, n](const Result<std::string>& bytes) { OnChunkRead(n, bytes); });
  }
  if (verify_pending_ > 0) return;
  verifying_ = false;
  if (verify_failed_ == 0) return on_verified_();
  PC_WARN(kWeights, "event=staged_pieces_wrong version="
                        << copy_->version() << " count=" << verify_failed_);
}

void ChunkStaging::OnChunkRead(uint32_t n, const Result<std::string>& bytes) {
  --verify_pending_;
  if (!bytes || !copy_->Matches(n, bytes.value())) {
    ++verify_failed_;
    queued_.insert(n);
  }
  VerifyNext();
}

}  // namespace primrosecove
