#include "Core/Fleet/retry_after.h"

#include <algorithm>

namespace primrosecove {
namespace {

// Callers come back once, so they are asked to wait until a loading engine or a
// newcomer is likely to have room, and spread over some time. They heed a third
// of what is left of their wait, about 2 s.
constexpr Milliseconds kLoadPause{700};
constexpr double kSpreadMs = 1200;

}  // namespace

Milliseconds ComputeRetryAfter(Milliseconds soonest, double draw) {
  auto spread = Milliseconds(static_cast<int64_t>(draw * kSpreadMs));
  return std::max(soonest, kLoadPause) + spread;
}

}  // namespace primrosecove
