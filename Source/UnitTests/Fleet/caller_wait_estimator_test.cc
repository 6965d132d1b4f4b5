// Estimates of a caller's earlier wait from its remaining wait.
#include "Core/Fleet/caller_wait_estimator.h"

#include <catch2/catch.hpp>

namespace primrosecove {
namespace {

constexpr Milliseconds kNow{1000};

TEST_CASE("a retrying caller has waited for the rest of the full wait") {
  struct Row {
    const char* name;
    std::optional<Milliseconds> remaining_wait;
    Milliseconds waited;
  };
  const Row rows[] = {
      {"first attempt", Milliseconds(6000), Milliseconds(0)},
      {"first attempt, slightly late", Milliseconds(5900), Milliseconds(0)},
      {"retry after a refusal", Milliseconds(4500), Milliseconds(1500)},
      {"no wait stated", std::nullopt, Milliseconds(0)},
  };
  CallerWaitEstimator estimator;
  estimator.RecordAndEstimate("drafts", Milliseconds(6000), kNow);
  for (const Row& row : rows) {
    INFO(row.name);
    CHECK(estimator.RecordAndEstimate("drafts", row.remaining_wait, kNow) ==
          row.waited);
  }
}

TEST_CASE("waits of one route do not affect another") {
  CallerWaitEstimator estimator;
  estimator.RecordAndEstimate("drafts", Milliseconds(6000), kNow);
  CHECK(estimator.RecordAndEstimate("pushes", Milliseconds(1500), kNow) ==
        Milliseconds(0));
}

TEST_CASE("a full wait that callers no longer state is forgotten") {
  CallerWaitEstimator estimator;
  estimator.RecordAndEstimate("drafts", Milliseconds(6000), kNow);
  Milliseconds later = kNow + Milliseconds(10'000);
  CHECK(estimator.RecordAndEstimate("drafts", Milliseconds(3000), later) ==
        Milliseconds(3000));
  later += Milliseconds(10'000);
  CHECK(estimator.RecordAndEstimate("drafts", Milliseconds(3000), later) ==
        Milliseconds(0));
}

}  // namespace
}  // namespace primrosecove
