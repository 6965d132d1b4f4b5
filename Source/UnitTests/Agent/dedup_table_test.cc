#include <catch2/catch.hpp>

#include "Core/Agent/dedup_table.h"

namespace primrosecove {
namespace {

HttpResponse Answer(const std::string& body) { return {200, {}, body}; }

}  // namespace

TEST_CASE("an id runs once, whatever became of it", "[agent]") {
  RequestLedger ledger({});
  SteadyTime now = EventLoop::Now();
  REQUIRE(ledger.Begin("id", now) == LedgerVerdict::kRun);
  CHECK(ledger.Begin("id", now) == LedgerVerdict::kRunning);
  CHECK_FALSE(ledger.Bar("id", now));

  SECTION("finished") {
    ledger.Finish("id", Answer("done"), now);
    CHECK(ledger.Begin("id", now) == LedgerVerdict::kFinished);
    CHECK(ledger.FindAnswer("id")->body == "done");
    CHECK_FALSE(ledger.Bar("id", now));
  }
  SECTION("finished with an answer too large to keep") {
    ledger.Finish("id", Answer(std::string(1 << 20, 'x')), now);
    CHECK(ledger.Begin("id", now) == LedgerVerdict::kLost);
  }
  SECTION("lost") {
    ledger.Lose("id", now);
    CHECK(ledger.Begin("id", now) == LedgerVerdict::kLost);
    CHECK_FALSE(ledger.Bar("id", now));
  }
  SECTION("withdrawn before it was passed on") {
    ledger.Withdraw("id");
    CHECK(ledger.Begin("id", now) == LedgerVerdict::kRun);
  }
}

TEST_CASE("a barred id never runs", "[agent]") {
  RequestLedger ledger({});
  SteadyTime now = EventLoop::Now();
  CHECK(ledger.Bar("id", now));
  CHECK(ledger.Begin("id", now) == LedgerVerdict::kBarred);
  CHECK(ledger.Bar("id", now));
}

TEST_CASE("ids are kept for the window after their last change", "[agent]") {
  RequestLedger ledger({.window = Milliseconds(100)});
  SteadyTime now = EventLoop::Now();
  ledger.Begin("id", now);
  CHECK(ledger.Begin("id", now + Milliseconds(1000)) ==
        LedgerVerdict::kRunning);
  ledger.Finish("id", Answer("done"), now + Milliseconds(1000));
  CHECK(ledger.Begin("id", now + Milliseconds(1100)) ==
        LedgerVerdict::kFinished);
  CHECK(ledger.Begin("id", now + Milliseconds(1101)) == LedgerVerdict::kRun);
}

TEST_CASE("a full ledger refuses new ids instead of forgetting old ones",
          "[agent]") {
  RequestLedger ledger({.max_entries = 2});
  SteadyTime now = EventLoop::Now();
  ledger.Begin("a", now);
  ledger.Begin("b", now);
  CHECK(ledger.Begin("c", now) == LedgerVerdict::kFull);
  CHECK_FALSE(ledger.Bar("c", now));
  CHECK(ledger.Begin("a", now) == LedgerVerdict::kRunning);
}

}  // namespace primrosecove
