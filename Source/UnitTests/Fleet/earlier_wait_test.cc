// What a caller's remaining wait says of its earlier attempts.
#include <catch2/catch.hpp>

#include "Core/Fleet/caller_wait_estimator.h"

namespace primrosecove {
namespace {

constexpr Milliseconds kNow{1000};

TEST_CASE("a caller that comes back has waited for what it no longer will") {
  struct Row {
    const char* name;
    std::optional<Milliseconds> will_wait;
    Milliseconds waited;
  };
  const Row rows[] = {
      {"first attempt", Milliseconds(6000), Milliseconds(0)},
      {"first attempt, a little late", Milliseconds(5900), Milliseconds(0)},
      {"back after a refusal", Milliseconds(4500), Milliseconds(1500)},
      {"tells nothing", std::nullopt, Milliseconds(0)},
  };
  CallerWaitEstimator wait;
  wait.RecordAndEstimate("drafts", Milliseconds(6000), kNow);
  for (const Row& row : rows) {
    INFO(row.name);
    CHECK(wait.RecordAndEstimate("drafts", row.will_wait, kNow) == row.waited);
  }
}

TEST_CASE("routes are told apart") {
  CallerWaitEstimator wait;
  wait.RecordAndEstimate("drafts", Milliseconds(6000), kNow);
  CHECK(wait.RecordAndEstimate("pushes", Milliseconds(1500), kNow) ==
        Milliseconds(0));
}

TEST_CASE("a longest wait that nobody tells any more is forgotten") {
  CallerWaitEstimator wait;
  wait.RecordAndEstimate("drafts", Milliseconds(6000), kNow);
  Milliseconds later = kNow + Milliseconds(10'000);
  CHECK(wait.RecordAndEstimate("drafts", Milliseconds(3000), later) ==
        Milliseconds(3000));
  later += Milliseconds(10'000);
  CHECK(wait.RecordAndEstimate("drafts", Milliseconds(3000), later) ==
        Milliseconds(0));
}

}  // namespace
}  // namespace primrosecove
