#include "Core/Agent/chunk_staging.h"

#include <utility>

#include "Core/Common/log.h"

namespace primrosecove {
namespace {

// Pieces that are laid at the engine or read back at once.
constexpr uint32_t kAtOnce = 8;

}  // namespace

void EngineStaging::Add(uint32_t n) {
  waiting_.insert(n);
  StageNext();
}

void EngineStaging::StageNext() {
  while (under_way_ < kAtOnce && !waiting_.empty()) {
    uint32_t n = *waiting_.begin();
    waiting_.erase(waiting_.begin());
    ++under_way_;
    engine_.StageChunk(copy_->model(), n, copy_->ChunkData(n),
                       [this](bool taken) {
                         --under_way_;
                         // The verification finds what was not taken.
                         if (taken) StageNext();
                       });
  }
}

void EngineStaging::Verify(std::function<void()> good) {
  good_ = std::move(good);
  verifying_ = true;
  verify_next_ = 0;
  verify_pending_ = 0;
  verify_bad_ = 0;
  VerifyNext();
}

void EngineStaging::VerifyNext() {
  while (verify_pending_ < kAtOnce && verify_next_ < copy_->size()) {
    uint32_t n = verify_next_++;
    ++verify_pending_;
    engine_.ReadStagedChunk(copy_->model(), n,
                            [this, n](const Result<std::string>& bytes) {
                              TakeVerified(n, bytes);
                            });
  }
  if (verify_pending_ > 0) return;
  verifying_ = false;
  if (verify_bad_ == 0) return good_();
  PC_WARN(kWeights, "event=staged_pieces_wrong version="
                        << copy_->version() << " count=" << verify_bad_);
}

void EngineStaging::TakeVerified(uint32_t n, const Result<std::string>& bytes) {
  --verify_pending_;
  if (!bytes || !copy_->Matches(n, bytes.value())) {
    ++verify_bad_;
    waiting_.insert(n);
  }
  VerifyNext();
}

}  // namespace primrosecove
