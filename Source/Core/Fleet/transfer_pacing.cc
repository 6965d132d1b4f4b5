#include "Core/Fleet/transfer_pacing.h"

#include <algorithm>

namespace primrosecove {
namespace {

// Each piece passes the queues of two links and a pause at its source, so that
// this many keep a link of a few Mbit/s busy.
constexpr size_t kMostUnderWay = 4;
// A piece that takes longer than this met a narrowed link or a busy source.
constexpr Milliseconds kSlowPiece{250};
// After a slow piece the link is left to callers for as long again, at most
// this.
constexpr Milliseconds kLongestPause{400};
// Of a link's rate; the rest is for the engine's answers.
constexpr double kUploadShare = 0.8;

}  // namespace

bool FetchPacer::MayStart(SteadyTime now) const {
  return under_way_ < most_ && now >= not_before_;
}

void FetchPacer::OnEnd(Milliseconds took, SteadyTime now) {
  if (under_way_ > 0) --under_way_;
  if (took <= kSlowPiece) {
    most_ = kMostUnderWay;
    return;
  }
  most_ = 1;
  not_before_ = now + std::min(took / 2, kLongestPause);
}

UploadPacer::UploadPacer(double link_bytes_per_second, double piece_bytes)
    : bucket_(kUploadShare * link_bytes_per_second, piece_bytes) {}

}  // namespace primrosecove
