#include <catch2/catch.hpp>

#include "Core/Membership/suspect_table.h"

namespace primrosecove {
namespace {

constexpr int64_t kNow = 1'000'000;
constexpr int64_t kLater = kNow + SuspectTable::kLifetimeMs;

}  // namespace

TEST_CASE("sightings are judged by rule", "[membership]") {
  struct Row {
    const char* rule;
    std::vector<CrashObservation> sightings;
    SuspectVerdict verdict;
  };
  auto row = GENERATE(values<Row>({
      {"nothing seen", {}, SuspectVerdict::kClear},
      {"one crash makes a suspect",
       {{1, 10, false, kLater}},
       SuspectVerdict::kSuspect},
      {"two shared batches do not convict",
       {{1, 10, false, kLater}, {1, 11, false, kLater}},
       SuspectVerdict::kSuspect},
      {"a second crash as the only suspect does",
       {{1, 10, false, kLater}, {1, 11, true, kLater}},
       SuspectVerdict::kBlocked},
      {"not at the same upstream",
       {{1, 10, false, kLater}, {1, 10, true, kLater}},
       SuspectVerdict::kSuspect},
      {"sightings expire",
       {{1, 10, false, kNow + 1}, {1, 11, true, kNow}},
       SuspectVerdict::kSuspect},
      {"another request's",
       {{2, 10, false, kLater}, {2, 11, true, kLater}},
       SuspectVerdict::kClear},
  }));
  CAPTURE(row.rule);
  SuspectTable table;
  for (const CrashObservation& it : row.sightings) table.Add(it, kNow);
  for (const CrashObservation& it : row.sightings)
    CHECK_FALSE(table.Add(it, kNow));
  CHECK(table.Classify(1, kNow) == row.verdict);
}

TEST_CASE("the table is bounded", "[membership]") {
  SuspectTable table;
  for (uint64_t i = 0; i < SuspectTable::kMaxSightings + 10; ++i) {
    table.Add({i, 1, false, kLater + static_cast<int64_t>(i)}, kNow);
  }
  CHECK(table.List(kNow).size() == SuspectTable::kMaxSightings);
  // What expires first goes first.
  CHECK(table.Classify(0, kNow) == SuspectVerdict::kClear);
  CHECK(table.Classify(SuspectTable::kMaxSightings, kNow) ==
        SuspectVerdict::kSuspect);
}

}  // namespace primrosecove
