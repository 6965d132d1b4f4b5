#include "Core/Fleet/transfer_pacing.h"

#include <algorithm>

namespace primrosecove {
namespace {

// Each chunk passes the queues of two links and a pause at its source; this
// many requests keep a link of a few Mbit/s busy.
constexpr size_t kMaxInFlight = 4;
// A chunk that takes longer, and more than so many times its time on the link,
// is assumed to be delayed by a narrowed link or a busy source.
constexpr Milliseconds kSlowChunk{250};
constexpr int kSlowChunkFactor = 9;
// After a slow chunk the link is left to callers for half its time, at most
// this long.
constexpr Milliseconds kMaxPause{400};
// Share of a link's rate; the rest is for the engine's responses.
constexpr double kUploadShare = 0.9;
// An idle link sends as many bytes at once as it carries in this time.
constexpr double kUploadBurstSeconds = 0.05;

}  // namespace

bool FetchPacer::MayStart(SteadyTime now) const {
  return in_flight_ < max_in_flight_ && now >= not_before_;
}

void FetchPacer::SetChunkTime(Milliseconds on_link) {
  slow_chunk_ = kSlowChunkFactor * on_link;
}

void FetchPacer::OnEnd(Milliseconds elapsed, SteadyTime now) {
  if (in_flight_ > 0) --in_flight_;
  if (elapsed <= std::max(kSlowChunk, slow_chunk_)) {
    max_in_flight_ = kMaxInFlight;
    return;
  }
  max_in_flight_ = 1;
  not_before_ = now + std::min(elapsed / 2, kMaxPause);
}

UploadPacer::UploadPacer(double link_bytes_per_second)
    : bucket_(kUploadShare * link_bytes_per_second,
              kUploadShare * link_bytes_per_second * kUploadBurstSeconds) {}

}  // namespace primrosecove
