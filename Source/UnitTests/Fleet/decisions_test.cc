// Decisions of the fleet's processes, without network or clock.
#include <catch2/catch.hpp>
#include <set>

#include "Core/Fleet/event_framer.h"
#include "Core/Fleet/fleet_retry_budget.h"
#include "Core/Fleet/freshness.h"
#include "Core/Fleet/minimum_version.h"
#include "Core/Fleet/reload_schedule.h"
#include "Core/Fleet/route_table.h"
#include "Core/Fleet/transfer_pacing.h"

namespace primrosecove {
namespace {

// The usual bounds: keys 5 s, configuration 2 s.
FleetBounds Bounds(bool strict) {
  FleetBounds out;
  out.revoke = Milliseconds(5000);
  out.config_apply = Milliseconds(2000);
  out.strict_revoke = strict;
  return out;
}

BootTime BootAt(int64_t ms) { return Milliseconds(ms); }

TEST_CASE("a configuration's age bounds what may be decided with it") {
  struct Row {
    const char* name;
    bool strict;
    std::optional<int64_t> age_ms;
    bool keys;
    bool deny;
    bool callers;
  };
  const Row rows[] = {
      {"never read", true, std::nullopt, false, false, false},
      {"just proved", true, 0, true, true, true},
      {"one answer lost", true, 1900, true, true, true},
      {"a while without the store", true, 2700, true, false, false},
      {"near the bound", true, 4749, true, false, false},
      {"within the margin", true, 4751, false, false, false},
      {"woken after a long suspension", true, 60'000, false, false, false},
      {"old, where hosts out of touch are excused", false, 60'000, true, false,
       false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    ConfigFreshness freshness(Bounds(row.strict));
    BootTime now = BootAt(100'000);
    if (row.age_ms) freshness.Confirm(now - Milliseconds(*row.age_ms));
    CHECK(freshness.MayUseKeys(now) == row.keys);
    CHECK(freshness.MayDenyUnknown(now) == row.deny);
    CHECK(freshness.MayAcceptCallers(now) == row.callers);
  }
}

TEST_CASE("a late answer to an early question proves nothing newer") {
  ConfigFreshness freshness(Bounds(true));
  freshness.Confirm(BootAt(10'000));
  freshness.Confirm(BootAt(4000));
  CHECK(freshness.Age(BootAt(11'000)) == Milliseconds(1000));
}

// Every interleaving of a key's removal, proofs and requests on a coarse grid:
// no request that a caller sends later than the bound after the removal runs.
TEST_CASE("no taken key runs after its bound in any order of events") {
  constexpr int64_t kStep = 500;
  constexpr int64_t kEnd = 12'000;
  const Milliseconds bound = Bounds(true).revoke;
  for (int64_t removed = 0; removed <= kEnd; removed += kStep) {
    for (int64_t asked = 0; asked <= kEnd; asked += kStep) {
      for (int64_t answered = asked; answered <= kEnd; answered += kStep) {
        ConfigFreshness freshness(Bounds(true));
        // The answer shows the removal when the question came after it.
        freshness.Confirm(BootAt(asked));
        bool knows = removed <= asked;
        for (int64_t sent = answered; sent <= kEnd; sent += kStep) {
          bool runs = !knows && freshness.MayUseKeys(BootAt(sent));
          bool too_late = sent > removed + bound.count();
          REQUIRE_FALSE((runs && too_late));
        }
      }
    }
  }
}

// The load: all hosts repeat as much as they may while callers come and go.
TEST_CASE(
    "repeats of all routers stay within the fleet's bound in any window") {
  struct Row {
    int routers;
    int requests_per_second;  // of each router
    uint32_t seed;
  };
  const Row rows[] = {{1, 40, 1}, {4, 10, 2}, {4, 40, 3}, {16, 30, 4}};
  for (const Row& row : rows) {
    INFO(row.routers << " routers, seed " << row.seed);
    FleetBounds bounds;
    std::vector<FleetRetryBudget> routers(static_cast<size_t>(row.routers),
                                          FleetRetryBudget(bounds));
    for (FleetRetryBudget& it : routers) it.SetRouterCount(row.routers);
    std::mt19937 random(row.seed);
    constexpr int kTickMs = 100;
    constexpr int kTicks = 600;
    std::vector<int> requests;
    std::vector<int> repeats;
    for (int tick = 0; tick < kTicks; ++tick) {
      Milliseconds now(tick * kTickMs);
      int sent = 0;
      int again = 0;
      // Quiet spells make the earned share shrink while repeats go on.
      bool quiet = tick / 100 % 2 == 1;
      for (FleetRetryBudget& it : routers) {
        int n = quiet
                    ? 0
                    : static_cast<int>(
                          random() %
                          (2 * static_cast<uint32_t>(row.requests_per_second) *
                               kTickMs / 1000 +
                           1));
        for (int i = 0; i < n; ++i) it.OnRequest(now);
        sent += n;
        while (it.TryRetry(now)) ++again;
      }
      requests.push_back(sent);
      repeats.push_back(again);
    }
    constexpr int kWindow = 100;
    for (int from = 0; from + kWindow <= kTicks; ++from) {
      int again = 0;
      for (int i = from; i < from + kWindow; ++i) again += repeats[i];
      // Requests count in the window, the one before or half a window before.
      int most = 0;
      for (int back : {0, kWindow / 2, kWindow}) {
        int sum = 0;
        for (int i = from - back; i < from - back + kWindow; ++i) {
          if (i >= 0) sum += requests[static_cast<size_t>(i)];
        }
        most = std::max(most, sum);
      }
      REQUIRE(again <= bounds.retry_ratio * most + bounds.retry_slack);
    }
  }
}

TEST_CASE("events pass whole or not at all, however their bytes are cut") {
  const std::string text =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweight: 3\nid:3\ndata: c\n\n";
  const std::string tail = "id: 4\ndata: cut o";
  for (size_t step = 1; step <= text.size(); ++step) {
    EventFramer framer;
    std::string out;
    std::vector<uint64_t> ids;
    std::string all = text + tail;
    std::string_view bytes = all;
    for (size_t at = 0; at < all.size(); at += step) {
      framer.Push(bytes.substr(at, step), [&](const StreamEvent& event) {
        out += event.text;
        ids.push_back(event.id.value_or(0));
      });
    }
    REQUIRE(out == text);
    REQUIRE(ids == std::vector<uint64_t>{1, 2, 3});
    REQUIRE(framer.partial_bytes() == tail.size());
  }
}

TEST_CASE("older weights are barred before their bound, never at once") {
  MinimumVersion floor(Milliseconds(8000));
  floor.SetTarget("m", 1, true, Milliseconds(0));
  floor.SetTarget("m", 2, false, Milliseconds(20'000));
  floor.SetTarget("m", 3, false, Milliseconds(24'000));
  struct Row {
    int64_t at_ms;
    uint64_t lowest;           // that a request may be sent to
    uint64_t lowest_to_begin;  // that a waiting request may begin on
  };
  const Row rows[] = {{0, 0, 0},      {3000, 1, 1},   {20'000, 1, 1},
                      {26'800, 1, 1}, {27'000, 2, 1}, {27'400, 2, 2},
                      {28'000, 2, 2}, {31'000, 3, 2}, {31'400, 3, 3}};
  for (const Row& row : rows) {
    INFO(row.at_ms);
    CHECK(floor.MinimumToSend("m", Milliseconds(row.at_ms)) == row.lowest);
    CHECK(floor.MinimumToStart("m", Milliseconds(row.at_ms)) ==
          row.lowest_to_begin);
  }
  CHECK(floor.NewestTarget("m") == 3);
  CHECK(floor.MinimumToSend("other", Milliseconds(0)) == 0);
}

TEST_CASE("a host that starts amid a change bars older weights soon") {
  MinimumVersion floor(Milliseconds(8000));
  floor.SetTarget("m", 5, true, Milliseconds(100));
  CHECK(floor.MinimumToSend("m", Milliseconds(200)) == 0);
  CHECK(floor.MinimumToSend("m", Milliseconds(2200)) == 5);
}

TEST_CASE("engines load when it costs callers least") {
  struct Row {
    const char* name;
    uint64_t whole;
    bool loading;
    bool idle;
    bool complete;
    int64_t age_ms;
    int64_t completed_ms;
    double turn;
    bool loads;
  };
  const Row rows[] = {
      {"an empty engine loads at once", 0, false, false, true, 4000, 4000, 1,
       true},
      {"an idle engine loads at once", 1, false, true, true, 4000, 4000, 1,
       true},
      {"a busy one waits for its turn", 1, false, false, true, 4100, 4000, 0.5,
       false},
      {"its turn comes", 1, false, false, true, 6000, 4000, 0.5, true},
      {"the first in turn goes on completion", 1, false, false, true, 4000,
       4000, 0, true},
      {"the last waits while it serves somebody", 1, false, false, true, 7900,
       4000, 1, false},
      {"the last goes at the bound", 1, false, false, true, 8000, 4000, 1,
       true},
      {"a late copy leaves no time for turns", 1, false, false, true, 9000,
       9000, 1, true},
      {"without all pieces nothing is ordered", 0, false, true, false, 9000, 0,
       0, false},
      {"one order at a time", 0, true, true, true, 9000, 4000, 0, false},
      {"what is served already isn't ordered", 2, false, true, true, 9000, 4000,
       0, false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    ReloadState it;
    it.target_version = 2;
    it.served_version = row.whole;
    it.loading = row.loading;
    it.idle = row.idle;
    it.copy_complete = row.complete;
    it.target_age = Milliseconds(row.age_ms);
    it.copy_complete_age = Milliseconds(row.completed_ms);
    it.version_bound = Milliseconds(8000);
    it.reload_slot = row.turn;
    CHECK(ShouldReload(it) == row.loads);
  }
}

TEST_CASE("a copy's usual time follows from its bytes and the link") {
  // 2.4 MB at three quarters of 0.9 MB/s, and the last pieces' way.
  CHECK(TypicalCopyTime(2'400'000, 900'000) == Milliseconds(4155));
  CHECK(TypicalCopyTime(2'400'000, 0) == Milliseconds(600));
}

TEST_CASE("turns are the same in every process and fill the time evenly") {
  DeploymentUpdate notice;
  notice.model = "m";
  notice.target_weights_version = 2;
  for (int i = 0; i < 9; ++i) {
    notice.members.push_back({"u" + std::to_string(i), {}, "z", 1, false});
  }
  std::set<double> turns;
  for (const FleetMember& it : notice.members) {
    turns.insert(ReloadSlot(notice, it.id));
  }
  REQUIRE(turns.size() == 9);
  CHECK(*turns.begin() == 0);
  CHECK(*turns.rbegin() == 1);
}

TEST_CASE("a slow piece leaves the link to callers for a while") {
  FetchPacer pacer;
  SteadyTime now{};
  now += std::chrono::hours(1);
  REQUIRE(pacer.MayStart(now));
  pacer.OnStart();
  pacer.OnEnd(Milliseconds(900), now);
  CHECK_FALSE(pacer.MayStart(now + Milliseconds(300)));
  CHECK(pacer.MayStart(now + Milliseconds(401)));
  pacer.OnStart();
  CHECK_FALSE(pacer.MayStart(now + Milliseconds(500)));
  pacer.OnEnd(Milliseconds(30), now + Milliseconds(500));
  pacer.OnStart();
  CHECK(pacer.MayStart(now + Milliseconds(500)));
}

FleetConfig ConfigWithRoutes() {
  FleetConfig out;
  Route wide{.name = "wide", .host = "a.example", .prefix = "/x/"};
  wide.services = {{"s1", 1}};
  Route narrow{.name = "narrow", .host = "a.example", .prefix = "/x/y/"};
  narrow.services = {{"s1", 90}, {"s2", 10}};
  out.routes = {wide, narrow};
  out.workspaces = {{"w1", {"k1", "k2"}, std::nullopt}};
  return out;
}

TEST_CASE("the longest prefix of the host decides the route") {
  RouteTable table(ConfigWithRoutes());
  struct Row {
    const char* host;
    const char* path;
    const char* route;  // null: none
  };
  const Row rows[] = {{"a.example", "/x/1", "wide"},
                      {"A.Example:80", "/x/1", "wide"},
                      {"a.example", "/x/y/1", "narrow"},
                      {"a.example", "/x/y", "wide"},
                      {"a.example", "/x", nullptr},
                      {"b.example", "/x/1", nullptr},
                      {"", "/x/1", nullptr}};
  for (const Row& row : rows) {
    INFO(row.host << row.path);
    const Route* route = table.Match(row.host, row.path);
    REQUIRE((route != nullptr) == (row.route != nullptr));
    if (route != nullptr) CHECK(route->name == row.route);
  }
  CHECK(table.FindKey("k2")->name == "w1");
  CHECK(table.FindKey("k3") == nullptr);
}

TEST_CASE("a split route divides its requests by weight") {
  RouteTable table(ConfigWithRoutes());
  const Route* route = table.Match("a.example", "/x/y/1");
  int second = 0;
  constexpr int kDraws = 1000;
  for (int i = 0; i < kDraws; ++i) {
    double draw = static_cast<double>(i) / kDraws;
    if (table.ChooseService(*route, draw) == "s2") ++second;
  }
  CHECK(second == kDraws / 10);
}

}  // namespace
}  // namespace primrosecove
