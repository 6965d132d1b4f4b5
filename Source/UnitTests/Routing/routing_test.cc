#include <catch2/catch.hpp>
#include <set>

#include "Core/Routing/picker.h"
#include "Core/Routing/retry_budget.h"
#include "Core/Routing/workspace_limiter.h"

namespace primrosecove {
namespace {

struct CandidateSet {
  std::vector<HostRecord> records;
  std::vector<UpstreamStats> stats;
  std::vector<PickCandidate> list;

  explicit CandidateSet(size_t n) : records(n), stats(n) {
    for (size_t i = 0; i < n; ++i) {
      records[i].name = "llm-" + std::to_string(i);
      list.push_back({&records[i], &stats[i]});
    }
  }
};

}  // namespace

TEST_CASE("equal prefixes pick one upstream until its load exceeds the bound",
          "[routing]") {
  CandidateSet candidates(8);
  auto picker = MakeAffinityPicker(1);
  std::string prefix = "You answer shopkeepers.";
  size_t preferred = picker->Pick(candidates.list, {prefix});
  for (int i = 0; i < 3; ++i)
    CHECK(picker->Pick(candidates.list, {prefix}) == preferred);
  // Other routers, and this one after a restart, prefer the same upstream.
  CHECK(MakeAffinityPicker(99)->Pick(candidates.list, {prefix}) == preferred);
  for (int i = 0; i < 6; ++i) candidates.stats[preferred].OnSent();
  CHECK(picker->Pick(candidates.list, {prefix}) != preferred);
}

TEST_CASE(
    "without a prefix the upstream with the shorter expected delay is "
    "preferred",
    "[routing]") {
  CandidateSet candidates(2);
  candidates.stats[0].OnFirstToken(20);
  candidates.stats[1].OnFirstToken(200);
  auto picker = MakeAffinityPicker(1);
  int fast = 0;
  constexpr int kPicks = 200;
  for (int i = 0; i < kPicks; ++i)
    fast += picker->Pick(candidates.list, {}) == 0 ? 1 : 0;
  CHECK(fast > kPicks * 6 / 10);
}

TEST_CASE("requests sent since the last load report add to the estimated load",
          "[routing]") {
  UpstreamStats stats;
  stats.OnLoadReport(4, 2);
  CHECK(stats.EstimatedLoad() == 6);
  stats.OnSent();
  stats.OnSent();
  CHECK(stats.EstimatedLoad() == 8);
  stats.OnLoadReport(3, 0);
  CHECK(stats.EstimatedLoad() == 3);
}

TEST_CASE("consecutive failures eject an upstream until a probe succeeds",
          "[routing]") {
  UpstreamStats stats;
  SteadyTime now = EventLoop::Now();
  stats.OnFailure(now);
  stats.OnFailure(now);
  CHECK(stats.IsAvailable(now));
  stats.OnFailure(now);
  CHECK_FALSE(stats.IsAvailable(now));
  CHECK(stats.IsAvailable(now + Milliseconds(600)));
  stats.OnSent();
  CHECK_FALSE(stats.IsAvailable(now + Milliseconds(600)));
  stats.OnEnded();
  stats.OnFailure(now);
  CHECK_FALSE(stats.IsAvailable(now + Milliseconds(600)));
  stats.OnSuccess();
  CHECK(stats.IsAvailable(now));
}

TEST_CASE("retries stay a bounded ratio of requests", "[routing]") {
  RetryBudget budget(0.1, 5);
  int retries = 0;
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    budget.OnRequest();
    for (int n = 0; n < 3; ++n) retries += budget.TryRetry() ? 1 : 0;
  }
  CHECK(retries <= kRequests / 10 + 5);
  CHECK(retries >= kRequests / 10 - 1);
}

TEST_CASE("a router enforces its share of a workspace's limits", "[routing]") {
  WorkspaceLimiter limiter;
  Workspace workspace{.name = "w",
                      .requests_per_second = 20,
                      .requests_in_flight = 10,
                      .tokens_in_flight = 1000};
  SteadyTime now = EventLoop::Now();

  SECTION("requests in flight") {
    limiter.Configure({workspace}, 2);
    int admitted = 0;
    for (int i = 0; i < 20; ++i)
      admitted += limiter.Admit("w", 1, now).admitted ? 1 : 0;
    CHECK(admitted == 5);
    limiter.OnEnded("w", 1);
    CHECK(limiter.Admit("w", 1, now).admitted);
  }
  SECTION("request rate and Retry-After") {
    workspace.requests_in_flight = 1000;
    limiter.Configure({workspace}, 2);
    int admitted = 0;
    AdmissionDecision decision;
    for (int i = 0; i < 50; ++i) {
      decision = limiter.Admit("w", 1, now);
      admitted += decision.admitted ? 1 : 0;
    }
    CHECK(admitted == 20);  // Two seconds at ten requests per second.
    CHECK(decision.retry_after > Milliseconds(0));
    CHECK(decision.retry_after <= Milliseconds(200));
  }
  SECTION("tokens in flight, with a single request above the limit admitted") {
    limiter.Configure({workspace}, 1);
    CHECK(limiter.Admit("w", 5000, now).admitted);
    CHECK_FALSE(limiter.Admit("w", 1, now).admitted);
    limiter.OnEnded("w", 5000);
    CHECK(limiter.Admit("w", 1, now).admitted);
  }
  SECTION("unknown workspace") {
    limiter.Configure({workspace}, 1);
    CHECK_FALSE(limiter.Admit("x", 1, now).admitted);
  }
}

}  // namespace primrosecove
