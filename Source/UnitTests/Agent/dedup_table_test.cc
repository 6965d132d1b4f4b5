#include "Core/Agent/dedup_table.h"

#include <catch2/catch.hpp>

namespace primrosecove {
namespace {

HttpResponse MakeResponse(const std::string& body) { return {200, {}, body}; }

}  // namespace

TEST_CASE("an id that was forwarded never runs again", "[agent]") {
  DedupTable table({});
  SteadyTime now = EventLoop::Now();
  REQUIRE(table.TryStart("id", now) == DedupVerdict::kRun);
  CHECK(table.TryStart("id", now) == DedupVerdict::kRunning);
  CHECK_FALSE(table.Revoke("id", now));

  SECTION("finished") {
    table.RecordResponse("id", MakeResponse("done"), now);
    CHECK(table.TryStart("id", now) == DedupVerdict::kFinished);
    CHECK(table.FindResponse("id")->body == "done");
    CHECK_FALSE(table.Revoke("id", now));
  }
  SECTION("finished with a response too large to record") {
    table.RecordResponse("id", MakeResponse(std::string(1 << 20, 'x')), now);
    CHECK(table.TryStart("id", now) == DedupVerdict::kOutcomeLost);
  }
  SECTION("outcome lost") {
    table.RecordOutcomeLost("id", now);
    CHECK(table.TryStart("id", now) == DedupVerdict::kOutcomeLost);
    CHECK_FALSE(table.Revoke("id", now));
  }
  SECTION("removed before it was forwarded") {
    table.RemoveNotForwarded("id");
    CHECK(table.TryStart("id", now) == DedupVerdict::kRun);
  }
}

TEST_CASE("a revoked id never runs", "[agent]") {
  DedupTable table({});
  SteadyTime now = EventLoop::Now();
  CHECK(table.Revoke("id", now));
  CHECK(table.TryStart("id", now) == DedupVerdict::kRevoked);
  CHECK(table.Revoke("id", now));
}

TEST_CASE("ids are kept for the window after their last change", "[agent]") {
  DedupTable table({.window = Milliseconds(100)});
  SteadyTime now = EventLoop::Now();
  table.TryStart("id", now);
  CHECK(table.TryStart("id", now + Milliseconds(1000)) ==
        DedupVerdict::kRunning);
  table.RecordResponse("id", MakeResponse("done"), now + Milliseconds(1000));
  CHECK(table.TryStart("id", now + Milliseconds(1100)) ==
        DedupVerdict::kFinished);
  CHECK(table.TryStart("id", now + Milliseconds(1101)) == DedupVerdict::kRun);
}

TEST_CASE("a full table rejects new ids instead of removing old ones",
          "[agent]") {
  DedupTable table({.max_entries = 2});
  SteadyTime now = EventLoop::Now();
  table.TryStart("a", now);
  table.TryStart("b", now);
  CHECK(table.TryStart("c", now) == DedupVerdict::kFull);
  CHECK_FALSE(table.Revoke("c", now));
  CHECK(table.TryStart("a", now) == DedupVerdict::kRunning);
}

}  // namespace primrosecove
