#include "Core/Net/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace primrosecove {

TokenBucket::TokenBucket(double tokens_per_second, double burst)
    : rate_(tokens_per_second),
      burst_(burst),
      available_(burst),
      refilled_(EventLoop::Now()) {}

void TokenBucket::Refill(SteadyTime now) {
  if (now <= refilled_) return;
  double seconds = std::chrono::duration<double>(now - refilled_).count();
  available_ = std::min(burst_, available_ + seconds * rate_);
  refilled_ = now;
}

bool TokenBucket::TryTake(double n, SteadyTime now) {
  if (rate_ <= 0) return true;
  Refill(now);
  if (available_ < std::min(n, burst_)) return false;
  available_ -= n;
  return true;
}

void TokenBucket::Take(double n, SteadyTime now) {
  if (rate_ <= 0) return;
  Refill(now);
  available_ -= n;
}

Milliseconds TokenBucket::Wait(double n, SteadyTime now) {
  if (rate_ <= 0) return Milliseconds(0);
  Refill(now);
  double missing = std::min(n, burst_) - available_;
  if (missing <= 0) return Milliseconds(0);
  constexpr double kMsPerSecond = 1000;
  return Milliseconds(
      static_cast<int64_t>(std::ceil(missing / rate_ * kMsPerSecond)));
}

void TokenBucket::SetRate(double tokens_per_second, double burst) {
  rate_ = tokens_per_second;
  burst_ = burst;
  available_ = std::min(available_, burst_);
}

}  // namespace primrosecove
