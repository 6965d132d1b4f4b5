// A router's state of its upstreams after changes in the store, statuses from
// agents and request outcomes.
#include "Core/Fleet/upstream_registry.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>

namespace primrosecove {
namespace {

UpstreamChange Registered(const std::string& id, bool leaving = false) {
  UpstreamRecord record;
  record.id = id;
  record.service = "s";
  record.endpoint = {"10.0.0.1", 80};
  record.slots = 4;
  record.leaving = leaving;
  record.weights = {{"m", 1, true}};
  return {id, record, ""};
}

TEST_CASE("an ended registration stops work unless the store just returned") {
  struct Row {
    const char* name;
    int64_t reachable_since_ms;
    int64_t ended_ms;
    int64_t at_ms;
    bool usable;
  };
  const Row rows[] = {
      {"the store was always reachable", -9000, 1000, 1000, false},
      {"expired during the outage, right after it", 1000, 1010, 1010, true},
      {"still missing after the grace", 1000, 1010, 2800, false},
      {"ended shortly before the grace is over", 1000, 2700, 2790, true},
      {"no further grace for a late end", 1000, 2700, 2801, false},
      {"ended after the grace", 1000, 3000, 3000, false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    UpstreamRegistry registry;
    registry.Apply(Registered("a"), MonotonicTime(row.reachable_since_ms),
                   MonotonicTime(0));
    registry.Apply({"a", std::nullopt, ""},
                   MonotonicTime(row.reachable_since_ms),
                   MonotonicTime(row.ended_ms));
    registry.Expire(MonotonicTime(row.at_ms));
    CHECK(registry.Usable("s", MonotonicTime(row.at_ms)).empty() != row.usable);
  }
}

// The slow hosts of a deployment change every 600 ms. Guards against a host
// that counts as slow, or as fast, by a statement that is no longer true.
TEST_CASE("a stated slowdown loses weight with its age") {
  struct Row {
    const char* name;
    std::optional<uint32_t> status_percent;  // At 0 ms.
    std::optional<int> stated_percent;       // At 1000 ms.
    int64_t at_ms;
    double slowdown;
  };
  const Row rows[] = {
      {"nothing stated", {}, {}, 1000, 1},
      {"just stated", {}, 250, 1000, 2.5},
      {"stated half a period ago", {}, 250, 1300, 1.75},
      {"stated a period ago", {}, 250, 1600, 1},
      {"stated long ago", {}, 250, 9000, 1},
      {"faster than usual", {}, 50, 1000, 1},
      {"zero", {}, 0, 1000, 1},
      {"by the agent's status", 200, {}, 1000, 2},
      {"an old status", 200, {}, 1500, 1},
      {"a new statement before the status", 200, 100, 1000, 1},
      {"an older statement with the status", 200, 100, 1300, 1.5},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    UpstreamRegistry registry;
    registry.Apply(Registered("a"), MonotonicTime(-9000), MonotonicTime(0));
    if (row.status_percent) {
      UpstreamStatus status;
      status.upstream = {"10.0.0.1", 80};
      status.slowdown_percent = *row.status_percent;
      registry.RecordStatus(status, MonotonicTime(0));
    }
    if (row.stated_percent) {
      registry.RecordResponseLoad("a", {1, 0, 4, row.stated_percent},
                                  MonotonicTime(1000));
    }
    CHECK(registry.Find("a")->Slowdown(MonotonicTime(row.at_ms)) ==
          Approx(row.slowdown));
  }
}

// Guards against a log line for each response of an upstream whose load header
// is malformed, and against a load that such a response changes.
TEST_CASE("malformed loads are counted, and logged once for each upstream") {
  UpstreamRegistry registry;
  registry.Apply(Registered("a"), MonotonicTime(-9000), MonotonicTime(0));
  registry.RecordResponseLoad("a", {2, 1, 4, {}}, MonotonicTime(0));
  CHECK_FALSE(registry.Find("a")->has_logged_malformed_load);
  for (int i = 0; i < 3; ++i) registry.RecordMalformedLoad("a");
  registry.RecordMalformedLoad("unknown");
  CHECK(registry.malformed_loads() == 4);
  CHECK(registry.Find("a")->has_logged_malformed_load);
  CHECK(registry.Find("a")->ExpectedLoad(MonotonicTime(0)) == 3);
}

TEST_CASE("a registration that returns within the grace stays") {
  UpstreamRegistry registry;
  registry.Apply(Registered("a"), MonotonicTime(1000), MonotonicTime(0));
  registry.Apply({"a", std::nullopt, ""}, MonotonicTime(1000),
                 MonotonicTime(1010));
  registry.Apply(Registered("a"), MonotonicTime(1000), MonotonicTime(2000));
  registry.Expire(MonotonicTime(9000));
  CHECK(registry.Usable("s", MonotonicTime(9000)).size() == 1);
}

// Guards against taking an upstream for crashed whose writes to the store are
// lost: on a quiet day of 153 upstreams, 334 registrations of sound ones ended.
TEST_CASE("an upstream that the store has lost is no crash while it lives") {
  struct Row {
    const char* name;
    bool reachable;
    bool responding;
    int64_t start_time_ms;
    int64_t status_at_ms;  // Registration ends at 5000.
    int64_t success_at_ms;
    bool crashed;
  };
  const Row rows[] = {
      {"its agent reaches it", true, true, 70, 4800, 0, false},
      {"its agent last reached it long ago", true, true, 70, 3000, 0, true},
      {"its agent finds it silent", true, false, 70, 4800, 0, true},
      {"its agent reaches another process", true, true, 71, 4800, 0, true},
      {"it has just answered", true, false, 70, 4800, 4700, false},
      {"it answered long ago", true, false, 70, 4800, 4000, true},
  };
  for (bool store_was_away : {false, true}) {
    for (const Row& row : rows) {
      INFO(row.name << ", after an outage of the store: " << store_was_away);
      MonotonicTime reachable_since(store_was_away ? 4000 : -9000);
      UpstreamRegistry registry;
      UpstreamChange change = Registered("a");
      change.record->start_time_ms = 70;
      registry.Apply(change, reachable_since, MonotonicTime(0));
      UpstreamStatus status;
      status.upstream = change.record->endpoint;
      status.sequence = 1;
      status.reachable = row.reachable;
      status.responding = row.responding;
      status.start_time_ms = row.start_time_ms;
      registry.RecordStatus(status, MonotonicTime(row.status_at_ms));
      if (row.success_at_ms != 0) {
        registry.OnSent("a", MonotonicTime(row.success_at_ms - 100));
        registry.OnEnded("a", true, MonotonicTime(row.success_at_ms));
      }
      registry.PopCrashes();
      registry.Apply({"a", std::nullopt, ""}, reachable_since,
                     MonotonicTime(5000));
      if (store_was_away) {
        CHECK(registry.Find("a") != nullptr);
        registry.Expire(MonotonicTime(5800));
        CHECK(registry.Find("a") == nullptr);
        continue;
      }
      CHECK(registry.Find("a") == nullptr);
      CHECK(registry.PopCrashes().empty() != row.crashed);
    }
  }
}

TEST_CASE("registrations that one read returns do not replace each other") {
  UpstreamRegistry registry;
  registry.Apply(Registered("a"), MonotonicTime(-9000), MonotonicTime(0));
  registry.Apply(Registered("b"), MonotonicTime(-9000), MonotonicTime(50));
  CHECK(registry.all().size() == 2);
  CHECK(registry.PopCrashes().empty());
}

// Guards against using a process that has ended, because a late write returns
// its registration, and against losing one that lives, because another writer
// has registered its address.
TEST_CASE("a replaced upstream returns only if it goes on registering") {
  UpstreamRegistry registry;
  registry.Apply(Registered("a"), MonotonicTime(-9000), MonotonicTime(0));
  registry.Apply(Registered("b"), MonotonicTime(-9000), MonotonicTime(3000));
  CHECK(registry.Find("a") == nullptr);
  for (int64_t at : {4000, 5200}) {
    registry.Apply(Registered("a"), MonotonicTime(-9000), MonotonicTime(at));
    CHECK(registry.Find("a") == nullptr);
    CHECK(registry.Find("b") != nullptr);
  }
  registry.Apply(Registered("a"), MonotonicTime(-9000), MonotonicTime(6400));
  CHECK(registry.Find("a") != nullptr);
  CHECK(registry.Find("b") == nullptr);
}

// Guards against taking a running process for a crashed one: its agent's status
// shows a restart before the registration does.
TEST_CASE("a restart that the agent reported first is the same crash") {
  for (bool has_earlier_status : {true, false}) {
    CAPTURE(has_earlier_status);
    UpstreamRegistry registry;
    UpstreamChange change = Registered("a");
    change.record->start_time_ms = 1000;
    registry.Apply(change, MonotonicTime(-9000), MonotonicTime(0));
    UpstreamStatus status;
    status.upstream = change.record->endpoint;
    status.reachable = true;
    status.sequence = 1;
    status.start_time_ms = 1000;
    if (has_earlier_status) registry.RecordStatus(status, MonotonicTime(100));
    ++status.sequence;
    status.start_time_ms = 4000;
    registry.RecordStatus(status, MonotonicTime(3000));
    change.record->start_time_ms = 4000;
    registry.Apply(change, MonotonicTime(-9000), MonotonicTime(3500));
    auto crashes = registry.PopCrashes();
    REQUIRE_FALSE(crashes.empty());
    for (const UpstreamCrash& it : crashes) CHECK(it.start_time_ms == 1000);
  }
}

UpstreamStatus StatusOf(int64_t start_time_ms, uint64_t sequence) {
  UpstreamStatus out;
  out.upstream = {"10.0.0.1", 80};
  out.sequence = sequence;
  out.reachable = true;
  out.start_time_ms = start_time_ms;
  return out;
}

// Guards against another writer's registration that removes the upstream at its
// address: no later change would return it.
TEST_CASE("a registration that names no upstream to use replaces none") {
  struct Row {
    const char* name;
    const char* service;
    bool leaving;
    int slots;
    int64_t start_time_ms;  // That of the upstream is 1000.
  };
  const Row rows[] = {
      {"unknown service, later start", "inventory", false, 4, 4000},
      {"unknown service, start far in the future", "inventory", false, 4,
       4'000'000'000'000},
      {"unknown service, no start", "inventory", false, 1, 0},
      {"no service", "", false, 4, 0},
      {"leaving", "s", true, 4, 4000},
      {"no slots", "s", false, 0, 4000},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    UpstreamRegistry registry;
    registry.SetServices({"s", "t"}, MonotonicTime(0));
    UpstreamChange change = Registered("a");
    change.record->start_time_ms = 1000;
    registry.Apply(change, MonotonicTime(-9000), MonotonicTime(0));
    UpstreamChange foreign = Registered("b", row.leaving);
    foreign.record->service = row.service;
    foreign.record->slots = row.slots;
    foreign.record->start_time_ms = row.start_time_ms;
    registry.Apply(foreign, MonotonicTime(-9000), MonotonicTime(3000));
    CHECK(registry.Usable("s", MonotonicTime(3000)).size() >= 1);
    CHECK(registry.Find("a") != nullptr);
    registry.RecordStatus(StatusOf(1000, 1), MonotonicTime(3100));
    CHECK(registry.Usable("s", MonotonicTime(3100)).size() == 1);
    CHECK(registry.PopCrashes().empty());
  }
}

// The service may be named by a configuration that is read later.
TEST_CASE("a registration counts from the naming of its service on") {
  UpstreamRegistry registry;
  registry.SetServices({"s"}, MonotonicTime(0));
  registry.Apply(Registered("a"), MonotonicTime(-9000), MonotonicTime(0));
  UpstreamChange later = Registered("b");
  later.record->service = "t";
  registry.Apply(later, MonotonicTime(-9000), MonotonicTime(3000));
  REQUIRE(registry.Find("a") != nullptr);
  registry.SetServices({"s", "t"}, MonotonicTime(4000));
  CHECK(registry.Find("a") == nullptr);
  registry.SetServices({"s"}, MonotonicTime(5000));
  CHECK(registry.Find("a") != nullptr);
}

TEST_CASE("an upstream that answers is not replaced by a registration") {
  struct Row {
    const char* name;
    int64_t status_at_ms;   // The registration is seen at 3000.
    int64_t success_at_ms;  // 0: none.
    bool is_replaced;
  };
  const Row rows[] = {
      {"its agent reaches it", 2500, 0, false},
      {"its agent reached it long ago", 1000, 0, true},
      {"it has just answered", 0, 2800, false},
      {"it answered long ago", 0, 2000, true},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    UpstreamRegistry registry;
    UpstreamChange change = Registered("a");
    change.record->start_time_ms = 1000;
    registry.Apply(change, MonotonicTime(-9000), MonotonicTime(0));
    registry.RecordStatus(StatusOf(1000, 1), MonotonicTime(row.status_at_ms));
    if (row.success_at_ms != 0) {
      registry.OnSent("a", MonotonicTime(row.success_at_ms));
      registry.OnEnded("a", true, MonotonicTime(row.success_at_ms));
    }
    UpstreamChange later = Registered("b");
    later.record->start_time_ms = 4000;
    registry.Apply(later, MonotonicTime(-9000), MonotonicTime(3000));
    CHECK((registry.Find("a") == nullptr) == row.is_replaced);
    CHECK(registry.PopCrashes().empty() != row.is_replaced);
  }
}

// What a registration removes must not be beyond return: the registration of
// the removed upstream does not change, so the store does not return it again.
TEST_CASE("a replaced upstream returns once its successor proves wrong") {
  struct Row {
    const char* name;
    std::function<void(UpstreamRegistry*, MonotonicTime now)> prove;
    bool returns;
  };
  const MonotonicTime reachable_since(-9000);
  auto apply = [&](const UpstreamChange& change) {
    return [=](UpstreamRegistry* registry, MonotonicTime now) {
      registry->Apply(change, reachable_since, now);
    };
  };
  UpstreamChange moved = Registered("b");
  moved.record->endpoint.port = 81;
  UpstreamChange unknown = Registered("b");
  unknown.record->service = "inventory";
  const Row rows[] = {
      {"nothing", [](auto*, auto) {}, false},
      {"it ends", apply({"b", std::nullopt, ""}), true},
      {"it becomes unreadable", apply({"b", std::nullopt, "no service"}), true},
      {"it moves", apply(moved), true},
      {"it names an unknown service", apply(unknown), true},
      {"another process answers for it",
       [](auto* it, auto now) { it->OnMisdirected("b", now); }, true},
      {"the agent reaches the replaced one",
       [](auto* it, auto now) { it->RecordStatus(StatusOf(1000, 9), now); },
       true},
      {"the agent reaches the successor",
       [](auto* it, auto now) { it->RecordStatus(StatusOf(4000, 9), now); },
       false},
      {"the replaced one ends first",
       [&](auto* it, auto now) {
         it->Apply({"a", std::nullopt, ""}, reachable_since, now);
         it->Apply({"b", std::nullopt, ""}, reachable_since, now);
       },
       false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    UpstreamRegistry registry;
    registry.SetServices({"s"}, MonotonicTime(0));
    UpstreamChange change = Registered("a");
    change.record->start_time_ms = 1000;
    registry.Apply(change, reachable_since, MonotonicTime(0));
    registry.OnSent("a", MonotonicTime(100));
    UpstreamChange later = Registered("b");
    later.record->start_time_ms = 4000;
    registry.Apply(later, reachable_since, MonotonicTime(3000));
    REQUIRE(registry.Find("a") == nullptr);
    row.prove(&registry, MonotonicTime(8000));
    REQUIRE((registry.Find("a") != nullptr) == row.returns);
    if (!row.returns) continue;
    CHECK(registry.Find("a")->local_in_flight == 0);
    auto usable = registry.Usable("s", MonotonicTime(8000));
    auto is_restored = [](const auto* it) { return it->record.id == "a"; };
    CHECK(std::ranges::any_of(usable, is_restored));
    CHECK(usable.size() == (std::string(row.name) == "it moves" ? 2 : 1));
  }
}

TEST_CASE("a successor that is replaced itself returns no earlier upstream") {
  UpstreamRegistry registry;
  const char* ids[] = {"a", "b", "c"};
  MonotonicTime now(0);
  for (const char* id : ids) {
    UpstreamChange change = Registered(id);
    change.record->start_time_ms = 1000 + now.count();
    registry.Apply(change, MonotonicTime(-9000), now);
    now += Milliseconds(1500);
  }
  registry.Expire(now);
  CHECK(registry.all().size() == 1);
  CHECK(registry.Find("c") != nullptr);
  registry.Apply({"c", std::nullopt, ""}, MonotonicTime(-9000), now);
  CHECK(registry.all().size() == 2);
}

// No request may ever show who is at the address: those of the service go to
// other upstreams, and the successor gets none.
TEST_CASE("replaced upstreams are tried if nothing else is there") {
  struct Row {
    const char* name;
    bool has_other;  // The service has another upstream.
    int64_t at_ms;   // The registration of the successor is seen at 3000.
    bool returns;
  };
  const Row rows[] = {
      {"the only one, at once", false, 3000, true},
      {"one of two, at once", true, 3000, false},
      {"one of two, longer than a registration lasts", true, 13'100, true},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    UpstreamRegistry registry;
    registry.Apply(Registered("a"), MonotonicTime(-9000), MonotonicTime(0));
    if (row.has_other) {
      UpstreamChange other = Registered("c");
      other.record->endpoint.port = 81;
      registry.Apply(other, MonotonicTime(-9000), MonotonicTime(0));
    }
    UpstreamChange successor = Registered("b");
    successor.record->service = "t";
    registry.Apply(successor, MonotonicTime(-9000), MonotonicTime(3000));
    REQUIRE(registry.Find("a") == nullptr);
    MonotonicTime now(row.at_ms);
    registry.Expire(now);
    if (registry.Accepting("s", now).empty()) {
      CHECK_FALSE(registry.RestoreReplaced("t", now));
      CHECK(registry.RestoreReplaced("s", now));
    }
    REQUIRE((registry.Find("a") != nullptr) == row.returns);
    if (!row.returns) continue;
    registry.OnMisdirected("a", now);
    CHECK(registry.Accepting("s", now).size() == (row.has_other ? 1 : 0));
  }
}

TEST_CASE("an upstream that is not at its address is tried again later") {
  UpstreamRegistry registry;
  registry.Apply(Registered("a"), MonotonicTime(-9000), MonotonicTime(0));
  registry.OnSent("a", MonotonicTime(100));
  registry.OnMisdirected("a", MonotonicTime(200));
  CHECK(registry.Usable("s", MonotonicTime(300)).empty());
  CHECK(registry.Find("a")->local_in_flight == 0);
  CHECK(registry.Usable("s", MonotonicTime(10'300)).size() == 1);
  registry.OnMisdirected("a", MonotonicTime(10'400));
  UpstreamChange restarted = Registered("a");
  restarted.record->start_time_ms = 5;
  registry.Apply(restarted, MonotonicTime(-9000), MonotonicTime(10'500));
  CHECK(registry.Usable("s", MonotonicTime(10'500)).size() == 1);
}

// Guards against sending a request that crashed an upstream to its successor,
// because the registration of the crashed process is still valid.
TEST_CASE("a later process at an upstream's address shows that it has ended") {
  struct Row {
    const char* name;
    bool was_leaving;
    int64_t start_time_ms;
    int64_t later_start_time_ms;
    uint16_t later_port;
    bool is_replaced;
    size_t crashes;
  };
  const Row rows[] = {
      {"a successor", false, 1000, 4000, 80, true, 1},
      {"a successor of one that was leaving", true, 1000, 4000, 80, true, 0},
      {"another address", false, 1000, 4000, 81, false, 0},
      {"an outdated registration", false, 4000, 1000, 80, false, 0},
      {"unknown start of the first", false, 0, 4000, 80, true, 1},
      {"unknown start of the second", false, 1000, 0, 80, true, 1},
      {"unknown starts", false, 0, 0, 80, true, 1},
      {"unknown starts, another address", false, 0, 0, 81, false, 0},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    UpstreamRegistry registry;
    UpstreamChange first = Registered("a", row.was_leaving);
    first.record->start_time_ms = row.start_time_ms;
    registry.Apply(first, MonotonicTime(-9000), MonotonicTime(0));
    UpstreamChange later = Registered("b");
    later.record->start_time_ms = row.later_start_time_ms;
    later.record->endpoint.port = row.later_port;
    registry.Apply(later, MonotonicTime(-9000), MonotonicTime(3000));
    CHECK((registry.Find("a") == nullptr) == row.is_replaced);
    CHECK(registry.Find("b") != nullptr);
    auto crashes = registry.PopCrashes();
    REQUIRE(crashes.size() == row.crashes);
    if (row.crashes == 0) continue;
    CHECK(crashes[0].id == "a");
    CHECK(crashes[0].start_time_ms == row.start_time_ms);
    CHECK(crashes[0].evidence == CrashEvidence::kReplaced);
  }
}

// Guards against requests that crash upstreams unnoticed around a store outage:
// the removal after the grace was not reported as a crash.
TEST_CASE("a registration that ends without leaving is a crash, once") {
  struct Row {
    const char* name;
    int64_t reachable_since_ms;
    bool leaving;
    size_t crashes;
  };
  const Row rows[] = {
      {"the store was always reachable", -9000, false, 1},
      {"ended in an outage and still missing after the grace", 1000, false, 1},
      {"left", -9000, true, 0},
      {"left during an outage", 1000, true, 0},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    UpstreamRegistry registry;
    MonotonicTime reachable_since(row.reachable_since_ms);
    registry.Apply(Registered("a", row.leaving), reachable_since,
                   MonotonicTime(0));
    registry.Apply({"a", std::nullopt, ""}, reachable_since,
                   MonotonicTime(1010));
    registry.Expire(MonotonicTime(9000));
    registry.Expire(MonotonicTime(9100));
    auto crashes = registry.PopCrashes();
    REQUIRE(crashes.size() == row.crashes);
    if (!crashes.empty()) CHECK(crashes[0].id == "a");
    CHECK(registry.PopCrashes().empty());
  }
}

// Guards against crashes of plain services that are known only when the
// registration ends, seconds after the request could be sent again.
TEST_CASE("an upstream that refuses connections has crashed") {
  struct Row {
    const char* name;
    bool leaving;
    bool sends_data_between;
    size_t crashes;
  };
  const Row rows[] = {
      {"refused twice", false, false, 1},
      {"refused, running, refused", false, true, 2},
      {"leaving", true, false, 0},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    UpstreamRegistry registry;
    registry.Apply(Registered("a", row.leaving), MonotonicTime(0),
                   MonotonicTime(0));
    registry.OnConnectionRefused("a");
    if (row.sends_data_between) registry.OnProgress("a", MonotonicTime(10));
    registry.OnConnectionRefused("a");
    registry.OnConnectionRefused("unknown");
    CHECK(registry.PopCrashes().size() == row.crashes);
  }
}

TEST_CASE("leaving, unreachable and loading upstreams get no requests") {
  struct Row {
    const char* name;
    bool leaving;
    bool reachable;
    bool loading;
    int64_t status_age_ms;
    bool usable;
  };
  const Row rows[] = {
      {"healthy", false, true, false, 0, true},
      {"leaving", true, true, false, 0, false},
      {"unreachable", false, false, false, 0, false},
      {"loading", false, true, true, 0, false},
      {"unreachable by an expired status", false, false, false, 5000, true},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    UpstreamRegistry registry;
    registry.Apply(Registered("a", row.leaving), MonotonicTime(0),
                   MonotonicTime(0));
    UpstreamStatus status;
    status.upstream = {"10.0.0.1", 80};
    status.sequence = 1;
    status.reachable = row.reachable;
    status.loading = row.loading;
    status.served_version = 1;
    registry.RecordStatus(status, MonotonicTime(10'000));
    MonotonicTime now(10'000 + row.status_age_ms);
    CHECK(registry.Usable("s", now).empty() != row.usable);
  }
}

TEST_CASE("consecutive failures eject an upstream, unless all fail") {
  UpstreamRegistry registry;
  registry.Apply(Registered("a"), MonotonicTime(0), MonotonicTime(0));
  registry.Apply(Registered("b"), MonotonicTime(0), MonotonicTime(0));
  auto fail = [&](const std::string& id, int64_t at) {
    registry.OnSent(id, MonotonicTime(at));
    registry.OnEnded(id, false, MonotonicTime(at));
  };
  for (int i = 0; i < 3; ++i) fail("a", 100);
  auto usable = registry.Usable("s", MonotonicTime(200));
  REQUIRE(usable.size() == 1);
  CHECK(usable[0]->record.id == "b");
  for (int i = 0; i < 3; ++i) fail("b", 300);
  CHECK(registry.Usable("s", MonotonicTime(400)).size() == 2);
  CHECK(registry.Usable("s", MonotonicTime(9000)).size() == 2);
}

TEST_CASE("expected load adds requests sent since the last reported load") {
  UpstreamRegistry registry;
  registry.Apply(Registered("a"), MonotonicTime(0), MonotonicTime(0));
  registry.OnSent("a", MonotonicTime(10));
  UpstreamStatus status;
  status.upstream = {"10.0.0.1", 80};
  status.sequence = 1;
  status.reachable = true;
  status.running = 5;
  status.waiting = 1;
  status.active_routers = 3;
  registry.RecordStatus(status, MonotonicTime(100));
  registry.OnSent("a", MonotonicTime(110));
  FleetUpstream* it = registry.Find("a");
  // The other two routers see the same free slots.
  CHECK(it->ExpectedLoad(MonotonicTime(120)) == 8);
  registry.OnEnded("a", true, MonotonicTime(130));
  CHECK(it->ExpectedLoad(MonotonicTime(140)) == 6);
  // Once the reported load has expired, each other router is assumed to send as
  // much as this one.
  CHECK(it->ExpectedLoad(MonotonicTime(9000)) == 3);
}

// Guards against crash evidence, and an ejection that outlasts the silence, for
// an upstream that falls silent and goes on.
TEST_CASE("a silent upstream has not crashed and is used again at once") {
  struct Row {
    const char* name;
    bool by_agent;
    Milliseconds own_stall;  // Of this process.
    bool is_silent;
  };
  const Row rows[] = {
      {"no data for its requests", false, Milliseconds(0), true},
      {"no response to its agent", true, Milliseconds(0), true},
      {"this process stood still", false, Milliseconds(900), false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    UpstreamRegistry registry;
    registry.Apply(Registered("a"), MonotonicTime(-9000), MonotonicTime(0));
    UpstreamStatus status;
    status.upstream = registry.Find("a")->record.endpoint;
    status.sequence = 1;
    status.reachable = true;
    registry.RecordStatus(status, MonotonicTime(0));
    for (int i = 0; i < 4; ++i) registry.OnSent("a", MonotonicTime(0));
    status.sequence = 2;
    status.responding = !row.by_agent;
    registry.RecordStatus(status, MonotonicTime(500));
    registry.ExcuseSilence(row.own_stall, MonotonicTime(900));
    registry.UpdateSilence(MonotonicTime(1000));
    CHECK(registry.Find("a")->silent_since.has_value() == row.is_silent);
    // The last three failures would eject it.
    for (int i = 0; i < 3; ++i)
      registry.OnEndedSilent("a", MonotonicTime(1000));
    status.sequence = 3;
    status.responding = true;
    registry.RecordStatus(status, MonotonicTime(1100));
    registry.OnProgress("a", MonotonicTime(1100));
    registry.UpdateSilence(MonotonicTime(1100));
    CHECK_FALSE(registry.Find("a")->silent_since.has_value());
    CHECK(MonotonicTime(1100) >= registry.Find("a")->ejected_until);
    CHECK(registry.PopCrashes().empty());
  }
}

}  // namespace
}  // namespace primrosecove
