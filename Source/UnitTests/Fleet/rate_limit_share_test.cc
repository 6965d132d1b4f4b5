// Tests how routers divide the rate limit of an upstream.
#include "Core/Fleet/rate_limit_share.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <vector>

namespace primrosecove {
namespace {

constexpr int64_t kUnixMs = 1'796'000'000'000;

constexpr int64_t kFirstPeriod = 1'796'000'000;

std::vector<uint64_t> Sharers(size_t n) {
  std::vector<uint64_t> out;
  for (size_t i = 0; i < n; ++i) out.push_back(100 + i);
  return out;
}

TEST_CASE("the shares of a period add up to the rate limit") {
  for (size_t routers : {1, 2, 5, 16, 340}) {
    for (double limit : {0.2, 0.5, 1.0, 1.7, 3.0, 12.5, 100.0}) {
      CAPTURE(routers, limit);
      auto sharers = Sharers(routers);
      constexpr int kPeriods = 40;
      int64_t first = RateLimitPeriodAt(limit, kUnixMs);
      int64_t total = 0;
      for (int64_t period = first; period < first + kPeriods; ++period) {
        int64_t sum = 0;
        int64_t least = INT64_MAX;
        int64_t most = 0;
        for (uint64_t self : sharers) {
          int64_t share = ShareOfPeriod(limit, period, "a", self, sharers);
          sum += share;
          least = std::min(least, share);
          most = std::max(most, share);
        }
        REQUIRE(sum == RequestsInPeriod(limit, period));
        REQUIRE(most - least <= 1);
        total += sum;
      }
      std::chrono::duration<double> length = RateLimitPeriodLength(limit);
      double allowed = limit * length.count() * kPeriods;
      CHECK(std::abs(static_cast<double>(total) - allowed) <= 1);
    }
  }
}

TEST_CASE("all sharers get their turn at a low rate limit") {
  auto sharers = Sharers(5);
  for (uint64_t self : sharers) {
    int64_t sum = 0;
    for (int64_t i = 0; i < 200; ++i)
      sum += ShareOfPeriod(1, kFirstPeriod + i, "a", self, sharers);
    CHECK(sum >= 40);
  }
}

TEST_CASE("a router outside the sharers has no share") {
  for (int64_t i = 0; i < 20; ++i)
    CHECK(ShareOfPeriod(100, kFirstPeriod + i, "a", 7, Sharers(5)) == 0);
}

TEST_CASE("estimated shares keep the rate limit on average") {
  for (int routers : {1, 5, 16, 340}) {
    for (double limit : {0.5, 1.0, 7.0, 100.0}) {
      CAPTURE(routers, limit);
      constexpr int kPeriods = 2000;
      int64_t total = 0;
      for (int64_t i = 0; i < kPeriods; ++i) {
        for (uint64_t self : Sharers(static_cast<size_t>(routers))) {
          total += EstimatedShareOfPeriod(limit, kFirstPeriod + i, "a", self,
                                          routers);
        }
      }
      std::chrono::duration<double> length = RateLimitPeriodLength(limit);
      double mean = static_cast<double>(total) / (kPeriods * length.count());
      CHECK(std::abs(mean - limit) <= 0.1 * limit);
    }
  }
}

TEST_CASE("the next request is due when a period has one") {
  struct Row {
    const char* name;
    double limit;
    int64_t unix_ms;
    int64_t min_ms;
    int64_t max_ms;
  };
  const Row rows[] = {
      {"in the next period", 1, kUnixMs + 250, 1750, 1750},
      {"at the start of a period", 3, kUnixMs, 1000, 1000},
      {"a long period", 0.25, kUnixMs + 250, 7750, 7750},
      {"a limit of zero is probed", 0, kUnixMs + 250, 9750, 9750},
      {"a very large one", 1e15, kUnixMs + 999, 1, 1},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    Milliseconds time = TimeToNextRequest(row.limit, row.unix_ms);
    CHECK(time >= Milliseconds(row.min_ms));
    CHECK(time <= Milliseconds(row.max_ms));
    int64_t period = RateLimitPeriodAt(row.limit, row.unix_ms + time.count());
    CHECK(RequestsInPeriod(row.limit, period) > 0);
  }
}

}  // namespace
}  // namespace primrosecove
