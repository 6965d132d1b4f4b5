// Guards against requests in a zone whose evacuation this router has lost, or
// has not heard the end of.
#include "Core/Fleet/zone_evacuations.h"

#include <catch2/catch.hpp>

namespace primrosecove {
namespace {

using Ms = Milliseconds;

TEST_CASE("an evacuation lasts until its end is known") {
  struct Event {
    int64_t at_ms;
    enum { kSet, kRemoved, kMissing, kRestored } kind;
  };
  struct Row {
    const char* name;
    std::vector<Event> events;
    int64_t at_ms;
    bool evacuated;
    std::optional<int64_t> since_end_ms;
  };
  const Row rows[] = {
      {"never", {}, 100, false, std::nullopt},
      {"set", {{100, Event::kSet}}, 100, true, std::nullopt},
      {"set twice", {{100, Event::kSet}, {200, Event::kSet}}, 300, true, {}},
      {"removed", {{100, Event::kSet}, {200, Event::kRemoved}}, 250, false, 50},
      {"set twice, removed once",
       {{100, Event::kSet}, {150, Event::kSet}, {200, Event::kRemoved}},
       200,
       false,
       0},
      {"removed without being set", {{100, Event::kRemoved}}, 100, false, {}},
      {"removed twice",
       {{100, Event::kSet}, {200, Event::kRemoved}, {300, Event::kRemoved}},
       400,
       false,
       200},
      {"set again",
       {{100, Event::kSet}, {200, Event::kRemoved}, {300, Event::kSet}},
       400,
       true,
       {}},
      {"missing in a read",
       {{100, Event::kSet}, {200, Event::kMissing}},
       200,
       false,
       0},
      {"missing after a restore",
       {{100, Event::kSet}, {200, Event::kRestored}, {300, Event::kMissing}},
       10'199,
       true,
       {}},
      {"missing long after a restore",
       {{100, Event::kSet}, {200, Event::kRestored}, {300, Event::kMissing}},
       10'200,
       false,
       0},
      {"missing, then restored again",
       {{100, Event::kSet},
        {200, Event::kRestored},
        {300, Event::kMissing},
        {8200, Event::kRestored}},
       18'199,
       true,
       {}},
      {"removed after a restore",
       {{100, Event::kSet},
        {200, Event::kRestored},
        {300, Event::kMissing},
        {400, Event::kRemoved}},
       400,
       false,
       0},
      {"written again after a restore",
       {{100, Event::kSet},
        {200, Event::kRestored},
        {300, Event::kMissing},
        {400, Event::kSet}},
       20'000,
       true,
       {}},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    ZoneEvacuations evacuations;
    for (const Event& it : row.events) {
      if (it.kind == Event::kRestored) {
        evacuations.OnStoreRestored(Ms(it.at_ms));
      } else {
        evacuations.Apply(
            {"z1", it.kind == Event::kSet, it.kind == Event::kMissing},
            Ms(it.at_ms));
      }
    }
    CHECK(evacuations.IsEvacuated("z1", Ms(row.at_ms)) == row.evacuated);
    CHECK_FALSE(evacuations.IsEvacuated("z2", Ms(row.at_ms)));
    CHECK(evacuations.Count(Ms(row.at_ms)) == (row.evacuated ? 1 : 0));
    auto since_end = evacuations.TimeSinceEnd("z1", Ms(row.at_ms));
    REQUIRE(since_end.has_value() == row.since_end_ms.has_value());
    if (since_end) CHECK(since_end->count() == *row.since_end_ms);
  }
}

}  // namespace
}  // namespace primrosecove
