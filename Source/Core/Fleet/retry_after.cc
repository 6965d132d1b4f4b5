#include "Core/Fleet/retry_after.h"

#include <algorithm>

namespace primrosecove {
namespace {

// Callers retry once. They are asked to wait until an engine that loads weights
// or a new upstream is likely to have a free slot, and are spread over some
// time. They honour the delay up to a third of their remaining wait, about 2 s.
constexpr Milliseconds kMinDelay{700};
constexpr double kSpreadMs = 1200;

}  // namespace

Milliseconds ComputeRetryAfter(Milliseconds soonest, double random_value) {
  auto spread = Milliseconds(static_cast<int64_t>(random_value * kSpreadMs));
  return std::max(soonest, kMinDelay) + spread;
}

Milliseconds ComputeRetryAfter(Milliseconds soonest, double random_value,
                               size_t rank, size_t ranks) {
  double part = (static_cast<double>(rank) + random_value) /
                static_cast<double>(std::max<size_t>(ranks, 1));
  return ComputeRetryAfter(soonest, part);
}

}  // namespace primrosecove
