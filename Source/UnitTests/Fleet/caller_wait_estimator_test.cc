// Estimates of a caller's earlier wait from its remaining wait.
#include "Core/Fleet/caller_wait_estimator.h"

#include <catch2/catch.hpp>
#include <random>

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

// Callers differ in how long they wait in all. First attempts of the less
// patient ones were taken for returns and refused while slots were free.
TEST_CASE("first attempts of callers with different full waits are in time") {
  struct Row {
    const char* name;
    int64_t full_ms;
    int64_t spread_ms;
    double returned_share;
  };
  const Row rows[] = {
      {"equal waits", 6000, 1, 0},
      {"equal waits, many return", 6000, 1, 0.6},
      {"waits differ by 15 %", 6000, 900, 0},
      {"waits differ, a tenth returns", 6000, 900, 0.1},
      {"waits differ, half returns", 6000, 900, 0.5},
      {"short waits differ", 1200, 180, 0.1},
  };
  for (const Row& row : rows) {
    for (uint32_t seed = 1; seed <= 10; ++seed) {
      INFO(row.name << ", seed " << seed);
      std::minstd_rand random(seed);
      CallerWaitEstimator estimator;
      int first = 0;
      int first_late = 0;
      int returned = 0;
      int returned_late = 0;
      for (int i = 0; i < 1000; ++i) {
        std::uniform_int_distribution<int64_t> spread(0, row.spread_ms);
        std::uniform_int_distribution<int64_t> delay(700, 1900);
        bool returns =
            std::uniform_real_distribution<>(0, 1)(random) < row.returned_share;
        int64_t full = row.full_ms - spread(random);
        int64_t wait =
            returns ? full - std::min(delay(random), full / 3 + 200) : full;
        Milliseconds estimate = estimator.RecordAndEstimate(
            "drafts", Milliseconds(wait), Milliseconds(i * 15));
        if (i < 200) continue;
        ++(returns ? returned : first);
        bool is_late = estimate > Milliseconds(row.full_ms / 15);
        if (is_late) ++(returns ? returned_late : first_late);
      }
      // Clearly late, since most returns are below all full waits.
      CHECK(first_late <= first / 20);
      CHECK(returned_late >= returned * 7 / 10);
    }
  }
}

// A router that has just started sees few requests of each route.
TEST_CASE("first attempts are in time before the spread is measured") {
  std::minstd_rand random(1);
  std::uniform_int_distribution<int64_t> wait(5100, 6000);
  CallerWaitEstimator estimator;
  for (int i = 0; i < 99; ++i) {
    CHECK(estimator.RecordAndEstimate("drafts", Milliseconds(wait(random)),
                                      Milliseconds(i * 15)) == Milliseconds(0));
  }
}

}  // namespace
}  // namespace primrosecove
