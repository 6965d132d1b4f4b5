#include <algorithm>
#include <catch2/catch.hpp>

#include "Core/Membership/suspect_table.h"

namespace primrosecove {
namespace {

constexpr int64_t kNow = 1'000'000;
constexpr int64_t kExpiry = kNow + SuspectTable::kLifetimeMs;

}  // namespace

TEST_CASE("requests are classified by their crash observations",
          "[membership]") {
  struct Row {
    const char* rule;
    std::vector<CrashObservation> observations;
    SuspectVerdict verdict;
  };
  auto row = GENERATE(values<Row>({
      {"no observation", {}, SuspectVerdict::kClear},
      {"one crash makes the request a suspect",
       {{1, 10, false, kExpiry}},
       SuspectVerdict::kSuspect},
      {"crashes of two shared batches do not block the request",
       {{1, 10, false, kExpiry}, {1, 11, false, kExpiry}},
       SuspectVerdict::kSuspect},
      {"a second crash as the only suspect blocks the request",
       {{1, 10, false, kExpiry}, {1, 11, true, kExpiry}},
       SuspectVerdict::kBlocked},
      {"two crashes of the same upstream do not block the request",
       {{1, 10, false, kExpiry}, {1, 10, true, kExpiry}},
       SuspectVerdict::kSuspect},
      {"two crashes of an upstream that restarts do not block the request",
       {{1, 10, false, kExpiry, 1}, {1, 10, true, kExpiry, 2}},
       SuspectVerdict::kSuspect},
      {"three crashes of an upstream that restarts block the request",
       {{1, 10, false, kExpiry, 1},
        {1, 10, false, kExpiry, 2},
        {1, 10, false, kExpiry, 3}},
       SuspectVerdict::kBlocked},
      {"three crashes in shared batches block the request",
       {{1, 10, false, kExpiry},
        {1, 11, false, kExpiry},
        {1, 12, false, kExpiry}},
       SuspectVerdict::kBlocked},
      {"an expired observation does not count",
       {{1, 10, false, kNow + 1}, {1, 11, true, kNow}},
       SuspectVerdict::kSuspect},
      {"observations of another request do not count",
       {{2, 10, false, kExpiry}, {2, 11, true, kExpiry}},
       SuspectVerdict::kClear},
  }));
  CAPTURE(row.rule);
  SuspectTable table;
  for (const CrashObservation& it : row.observations) table.Add(it, kNow);
  for (const CrashObservation& it : row.observations)
    CHECK_FALSE(table.Add(it, kNow));
  CHECK(table.Classify(1, kNow) == row.verdict);
}

// Guards against blocking a harmless request that shared several crashes: a
// request that crashes upstreams never runs to its end.
TEST_CASE("a completed execution voids the crashes before it, in any order",
          "[membership]") {
  struct Row {
    const char* name;
    std::vector<CrashObservation> observations;
    SuspectVerdict verdict;
  };
  const CrashObservation kCompletion{
      .subject = 1, .expires_ms = kExpiry, .completed = true};
  auto row = GENERATE_COPY(values<Row>({
      {"crashes before it",
       {{1, 10, false, kExpiry - 1}, {1, 11, true, kExpiry - 1}, kCompletion},
       SuspectVerdict::kClear},
      {"a crash after it",
       {{1, 10, false, kExpiry - 1}, {1, 11, true, kExpiry + 1}, kCompletion},
       SuspectVerdict::kSuspect},
      {"crashes after it",
       {{1, 10, false, kExpiry + 1}, {1, 11, true, kExpiry + 1}, kCompletion},
       SuspectVerdict::kBlocked},
      {"a completion of another request",
       {{2, 10, false, kExpiry - 1}, kCompletion},
       SuspectVerdict::kClear},
  }));
  CAPTURE(row.name);
  for (int i = 0; i < 3; ++i) {
    std::rotate(row.observations.begin(), row.observations.begin() + 1,
                row.observations.end());
    SuspectTable table;
    for (const CrashObservation& it : row.observations) table.Add(it, kNow);
    for (const CrashObservation& it : row.observations)
      CHECK_FALSE(table.Add(it, kNow));
    CHECK(table.Classify(1, kNow) == row.verdict);
  }
}

TEST_CASE("the table drops the observation that expires first when it is full",
          "[membership]") {
  SuspectTable table;
  for (uint64_t i = 0; i < SuspectTable::kMaxObservations + 10; ++i) {
    table.Add({i, 1, false, kExpiry + static_cast<int64_t>(i)}, kNow);
  }
  CHECK(table.List(kNow).size() == SuspectTable::kMaxObservations);
  // The observation that expires first has been dropped.
  CHECK(table.Classify(0, kNow) == SuspectVerdict::kClear);
  CHECK(table.Classify(SuspectTable::kMaxObservations, kNow) ==
        SuspectVerdict::kSuspect);
}

}  // namespace primrosecove
