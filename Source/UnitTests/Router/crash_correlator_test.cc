// Tests which requests are suspected of crashes, from a router's own
// observations and those of others.
#include "Core/Router/crash_correlator.h"

#include <catch2/catch.hpp>

namespace primrosecove {
namespace {

constexpr uint64_t kCrashingRequest = 7;
constexpr MonotonicTime kStart{10'000};

TEST_CASE(
    "a lost connection makes a suspect only near a crash of its upstream") {
  struct Row {
    const char* name;
    int64_t lost_at;
    int64_t crashed_at;  // -1: never.
    bool suspect;
  };
  const Row rows[] = {
      {"crash detected after the connection loss", 0, 900, true},
      {"crash detected before the connection loss", 900, 0, true},
      {"connection loss without a crash", 0, -1, false},
      {"crash outside the window after the loss", 0, 6000, false},
      {"crash outside the window before the loss", 6000, 0, false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    CrashCorrelator correlator;
    auto crash = [&] {
      if (row.crashed_at >= 0)
        correlator.OnUpstreamCrash("u1", kStart + Milliseconds(row.crashed_at));
    };
    auto lost_connection = [&] {
      correlator.OnConnectionLost(kCrashingRequest, "u1", false,
                                  kStart + Milliseconds(row.lost_at));
    };
    bool crash_first = row.crashed_at >= 0 && row.crashed_at < row.lost_at;
    if (crash_first) crash();
    lost_connection();
    if (!crash_first) crash();
    MonotonicTime now = kStart + Milliseconds(7000);
    CHECK((correlator.ClassifyRequest(kCrashingRequest, now) ==
           SuspectVerdict::kSuspect) == row.suspect);
    CHECK(correlator.PopNewObservations().size() == (row.suspect ? 1 : 0));
    CHECK(correlator.PopNewObservations().empty());
  }
}

TEST_CASE("a crash of another upstream makes no suspect") {
  CrashCorrelator correlator;
  correlator.OnConnectionLost(kCrashingRequest, "u1", false, kStart);
  correlator.OnUpstreamCrash("u2", kStart);
  CHECK(correlator.ClassifyRequest(kCrashingRequest, kStart) ==
        SuspectVerdict::kClear);
}

TEST_CASE("crashes at two upstreams block a request, also across routers") {
  CrashCorrelator first;
  CrashCorrelator second;
  first.OnConnectionLost(kCrashingRequest, "u1", false, kStart);
  first.OnUpstreamCrash("u1", kStart);
  second.OnConnectionLost(kCrashingRequest, "u2", true, kStart);
  second.OnUpstreamCrash("u2", kStart);
  for (const CrashObservation& it : first.PopNewObservations())
    second.AddRemoteObservation(it, kStart);
  CHECK(first.ClassifyRequest(kCrashingRequest, kStart) ==
        SuspectVerdict::kSuspect);
  CHECK(second.ClassifyRequest(kCrashingRequest, kStart) ==
        SuspectVerdict::kBlocked);
  CHECK(second.BlockedTimeLeft(kCrashingRequest, kStart) ==
        Milliseconds(SuspectTable::kLifetimeMs));
}

TEST_CASE("active suspects are counted by upstream") {
  CrashCorrelator correlator;
  correlator.AddActiveSuspect("u1");
  correlator.AddActiveSuspect("u1");
  correlator.RemoveActiveSuspect("u1");
  CHECK(correlator.HasActiveSuspect("u1"));
  correlator.RemoveActiveSuspect("u1");
  CHECK_FALSE(correlator.HasActiveSuspect("u1"));
}

}  // namespace
}  // namespace primrosecove
