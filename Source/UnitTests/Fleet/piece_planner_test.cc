// Where pieces of weights come from, over whole fleets.
#include <catch2/catch.hpp>
#include <map>

#include "Core/Fleet/chunk_planner.h"
#include "Core/Fleet/weight_copy.h"

namespace primrosecove {
namespace {

constexpr uint32_t kPieces = 96;

std::vector<FleetMember> Fleet(int zones, int per_zone, uint64_t whole) {
  std::vector<FleetMember> out;
  for (int zone = 0; zone < zones; ++zone) {
    for (int i = 0; i < per_zone; ++i) {
      FleetMember it;
      it.id = "u" + std::to_string(zone) + "-" + std::to_string(i);
      it.zone = "z" + std::to_string(zone);
      it.served_version = whole;
      out.push_back(it);
    }
  }
  return out;
}

ChunkPlanInput ViewOf(const std::string& self,
                      const std::vector<FleetMember>& members,
                      const std::set<std::string>& avoided) {
  return {self, "m", 2, members, &avoided};
}

// The load: a new version for a whole fleet at once.
TEST_CASE("a piece leaves the origin once and enters each zone once") {
  const std::set<std::string> none;
  struct Row {
    int zones;
    int per_zone;
  };
  for (const Row& row : {Row{3, 5}, Row{1, 1}, Row{4, 10}, Row{2, 1}}) {
    INFO(row.zones << " zones of " << row.per_zone);
    auto members = Fleet(row.zones, row.per_zone, 1);
    for (uint32_t n = 0; n < kPieces; ++n) {
      int drawn = 0;
      std::map<std::string, int> imported;
      for (const FleetMember& self : members) {
        ChunkSources plan =
            PlanChunk(ViewOf(self.id, members, none), n, Milliseconds(0));
        bool has_source = plan.origin || !plan.zone_peers.empty() ||
                          !plan.remote_peers.empty();
        REQUIRE(has_source);
        drawn += plan.origin ? 1 : 0;
        bool imports = plan.origin || !plan.remote_peers.empty();
        imported[self.zone] += imports ? 1 : 0;
        REQUIRE(imports == (plan.zone_rank == 0));
      }
      REQUIRE(drawn == 1);
      for (auto& [zone, count] : imported) REQUIRE(count == 1);
      REQUIRE(imported.size() == static_cast<size_t>(row.zones));
    }
  }
}

TEST_CASE("a newcomer takes all from members of its zone that serve it") {
  const std::set<std::string> none;
  auto members = Fleet(3, 3, 2);
  members.push_back({"new", {}, "z1", 0, false});
  for (uint32_t n = 0; n < kPieces; ++n) {
    ChunkSources plan =
        PlanChunk(ViewOf("new", members, none), n, Milliseconds(60'000));
    REQUIRE_FALSE(plan.origin);
    REQUIRE(plan.remote_peers.empty());
    for (const std::string& id : plan.zone_peers) {
      REQUIRE(id.starts_with("u1-"));
    }
  }
}

TEST_CASE("sources that did not deliver are passed over, the origin stays") {
  auto members = Fleet(2, 2, 1);
  std::set<std::string> all_others = {"u0-1", "u1-0", "u1-1"};
  for (uint32_t n = 0; n < kPieces; ++n) {
    ChunkSources plan =
        PlanChunk(ViewOf("u0-0", members, all_others), n, Milliseconds(0));
    REQUIRE(plan.origin);
    REQUIRE(plan.zone_peers.empty());
  }
}

TEST_CASE("a leaving member is asked only for what it serves") {
  const std::set<std::string> none;
  auto members = Fleet(1, 3, 1);
  members[1].leaving = true;
  for (uint32_t n = 0; n < kPieces; ++n) {
    ChunkSources plan =
        PlanChunk(ViewOf("u0-0", members, none), n, Milliseconds(0));
    for (const std::string& id : plan.zone_peers) REQUIRE(id != "u0-1");
  }
}

// The load: the member that should draw a piece sits behind a narrowed link.
TEST_CASE("others draw a piece that does not come, one after the other") {
  const std::set<std::string> none;
  auto members = Fleet(3, 5, 1);
  struct Row {
    int64_t overdue_ms;
    int drawers;
  };
  for (const Row& row :
       {Row{0, 1}, Row{299, 1}, Row{300, 2}, Row{600, 3}, Row{60'000, 3}}) {
    INFO(row.overdue_ms);
    int drawers = 0;
    for (const FleetMember& self : members) {
      ChunkSources plan = PlanChunk(ViewOf(self.id, members, none), 7,
                                    Milliseconds(row.overdue_ms));
      drawers += plan.origin ? 1 : 0;
    }
    CHECK(drawers == row.drawers);
  }
}

TEST_CASE("each holder hands a piece on to two others") {
  const size_t needed[] = {0, 1, 1, 2, 2, 3};
  for (size_t rank = 0; rank < std::size(needed); ++rank) {
    CHECK(HoldersNeeded(rank) == needed[rank]);
  }
}

TEST_CASE("a copy keeps only pieces that match their digests") {
  WeightCopy copy("m", 2);
  CHECK_FALSE(copy.Add(0, "a"));
  REQUIRE(copy.SetDigests({Sha256("a").ToHex(), Sha256("b").ToHex()}));
  CHECK_FALSE(copy.Add(0, "b"));
  CHECK_FALSE(copy.Add(7, "a"));
  CHECK(copy.Add(0, "a"));
  CHECK(copy.Missing() == std::vector<uint32_t>{1});
  CHECK_FALSE(copy.complete());
  CHECK(copy.Add(1, "b"));
  CHECK(copy.complete());
  CHECK_FALSE(copy.SetDigests({"not hexadecimal"}));
  CHECK_FALSE(copy.SetDigests({}));
}

}  // namespace
}  // namespace primrosecove
