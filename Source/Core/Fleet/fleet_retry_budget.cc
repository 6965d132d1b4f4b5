#include "Core/Fleet/fleet_retry_budget.h"

#include <algorithm>

namespace primrosecove {
namespace {

// Share of the fleet's budget that is used. The rest covers requests that the
// upstreams count in another window than this host.
constexpr double kUsedShare = 0.7;
// Share of the above in the first window after the start, when the retries of
// the process before it still count. With it, a restart of all routers in one
// window keeps the budget: kUsedShare x (1 + kShareAfterStart) < 1.
constexpr double kShareAfterStart = 0.4;

}  // namespace

FleetRetryBudget::FleetRetryBudget(const FleetBounds& bounds)
    : bounds_(bounds), routers_(bounds.retry_window) {}

void FleetRetryBudget::SetBounds(const FleetBounds& bounds, Milliseconds now) {
  bool has_same_window = bounds.retry_window == bounds_.retry_window;
  bounds_ = bounds;
  if (has_same_window) return;
  routers_.SetWindow(bounds.retry_window);
  buckets_ = {};
  counts_since_ = now;
}

FleetRetryBudget::Bucket& FleetRetryBudget::CurrentBucket(Milliseconds now) {
  int64_t width =
      std::max<int64_t>(bounds_.retry_window.count() / (kBuckets - 1), 1);
  int64_t number = now.count() / width;
  Bucket& out = buckets_[static_cast<size_t>(number % kBuckets)];
  if (out.number != number) out = Bucket{number, 0, 0};
  return out;
}

void FleetRetryBudget::OnRequest(Milliseconds now) {
  ++CurrentBucket(now).requests;
}

double FleetRetryBudget::RemainingRetries(Milliseconds now) {
  int64_t newest = CurrentBucket(now).number;
  int64_t requests = 0;
  int64_t retries = 0;
  for (const Bucket& it : buckets_) {
    if (it.number <= newest - kBuckets || it.number < 0) continue;
    requests += it.requests;
    retries += it.retries;
  }
  double share = bounds_.retry_ratio * static_cast<double>(requests) +
                 bounds_.retry_slack / routers_.value();
  double used_share = kUsedShare;
  if (now - counts_since_ < bounds_.retry_window)
    used_share *= kShareAfterStart;
  return used_share * share - static_cast<double>(retries);
}

bool FleetRetryBudget::TryRetry(Milliseconds now) {
  if (RemainingRetries(now) < 1) return false;
  ++CurrentBucket(now).retries;
  return true;
}

}  // namespace primrosecove
