#include "Core/Fleet/rate_limit_share.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "Core/Common/digest.h"

namespace primrosecove {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kMinPeriodMs = 1000;
// A limited upstream gets at least one request in this time, in response to
// which it may withdraw its limit.
constexpr double kMaxPeriodMs = 10'000;
constexpr double kMinLimit = kMsPerSecond / kMaxPeriodMs;
// Above it, the requests of a period no longer fit the arithmetic.
constexpr double kMaxLimit = 1e6;
// With more than one request in a period, a router that owns one has longer to
// get a request for it from its callers.
constexpr double kMinRequestsInPeriod = 2;

// Rank of a router for the requests that can't be divided evenly.
uint64_t Rank(std::string_view upstream_id, int64_t period, uint64_t router) {
  std::string item(upstream_id);
  item.append("/").append(std::to_string(period));
  return RendezvousScore(item, std::to_string(router));
}

}  // namespace

Milliseconds RateLimitPeriodLength(double limit) {
  double ms = kMinRequestsInPeriod * kMsPerSecond / std::max(limit, kMinLimit);
  return Milliseconds(
      static_cast<int64_t>(std::clamp(ms, kMinPeriodMs, kMaxPeriodMs)));
}

int64_t RateLimitPeriodAt(double limit, int64_t unix_ms) {
  return unix_ms / RateLimitPeriodLength(limit).count();
}

int64_t RequestsInPeriod(double limit, int64_t period) {
  double per_period =
      std::clamp(limit, kMinLimit, kMaxLimit) *
      static_cast<double>(RateLimitPeriodLength(limit).count()) / kMsPerSecond;
  auto total_before = [per_period](int64_t n) {
    return static_cast<int64_t>(
        std::floor(static_cast<double>(n) * per_period));
  };
  return total_before(period + 1) - total_before(period);
}

int64_t ShareOfPeriod(double limit, int64_t period,
                      std::string_view upstream_id, uint64_t self,
                      std::span<const uint64_t> sharers) {
  if (!std::binary_search(sharers.begin(), sharers.end(), self)) return 0;
  auto n = static_cast<int64_t>(sharers.size());
  int64_t requests = RequestsInPeriod(limit, period);
  int64_t remainder = requests % n;
  if (remainder == 0) return requests / n;
  uint64_t own_rank = Rank(upstream_id, period, self);
  auto higher = std::count_if(sharers.begin(), sharers.end(), [&](uint64_t it) {
    return Rank(upstream_id, period, it) > own_rank;
  });
  return requests / n + (higher < remainder ? 1 : 0);
}

int64_t EstimatedShareOfPeriod(double limit, int64_t period,
                               std::string_view upstream_id, uint64_t self,
                               int sharer_count) {
  auto n = static_cast<int64_t>(std::max(sharer_count, 1));
  int64_t requests = RequestsInPeriod(limit, period);
  auto draw = static_cast<int64_t>(Rank(upstream_id, period, self) %
                                   static_cast<uint64_t>(n));
  return requests / n + (draw < requests % n ? 1 : 0);
}

Milliseconds TimeToNextRequest(double limit, int64_t unix_ms) {
  int64_t period = RateLimitPeriodAt(limit, unix_ms);
  do {
    ++period;
  } while (RequestsInPeriod(limit, period) == 0);
  return period * RateLimitPeriodLength(limit) - Milliseconds(unix_ms);
}

}  // namespace primrosecove
