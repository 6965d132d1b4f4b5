// Which requests are blamed for crashes, by what a router sees and hears.
#include "Core/Router/crash_watch.h"

#include <catch2/catch.hpp>

namespace primrosecove {
namespace {

constexpr uint64_t kCulprit = 7;
constexpr MonotonicTime kStart{10'000};

TEST_CASE("a broken connection counts only together with a crash") {
  struct Row {
    const char* name;
    int64_t broken_at;
    int64_t crashed_at;  // -1: never
    bool suspect;
  };
  const Row rows[] = {
      {"the crash is noticed later", 0, 900, true},
      {"the crash is noticed first", 900, 0, true},
      {"the connection broke for another reason", 0, -1, false},
      {"the crash came much later", 0, 6000, false},
      {"the crash was long before", 6000, 0, false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    CrashWatch watch;
    auto crash = [&] {
      if (row.crashed_at >= 0)
        watch.OnCrash("u1", kStart + Milliseconds(row.crashed_at));
    };
    auto broken = [&] {
      watch.OnBroken(kCulprit, "u1", false,
                     kStart + Milliseconds(row.broken_at));
    };
    bool crash_first = row.crashed_at >= 0 && row.crashed_at < row.broken_at;
    if (crash_first) crash();
    broken();
    if (!crash_first) crash();
    MonotonicTime now = kStart + Milliseconds(7000);
    CHECK((watch.Judge(kCulprit, now) == SuspectVerdict::kSuspect) ==
          row.suspect);
    CHECK(watch.TakeNews().size() == (row.suspect ? 1 : 0));
    CHECK(watch.TakeNews().empty());
  }
}

TEST_CASE("another upstream's crash blames nobody here") {
  CrashWatch watch;
  watch.OnBroken(kCulprit, "u1", false, kStart);
  watch.OnCrash("u2", kStart);
  CHECK(watch.Judge(kCulprit, kStart) == SuspectVerdict::kClear);
}

TEST_CASE("two crashes at two upstreams block a request, also by hearsay") {
  CrashWatch first;
  CrashWatch second;
  first.OnBroken(kCulprit, "u1", false, kStart);
  first.OnCrash("u1", kStart);
  second.OnBroken(kCulprit, "u2", true, kStart);
  second.OnCrash("u2", kStart);
  for (const CrashObservation& it : first.TakeNews()) second.Learn(it, kStart);
  CHECK(first.Judge(kCulprit, kStart) == SuspectVerdict::kSuspect);
  CHECK(second.Judge(kCulprit, kStart) == SuspectVerdict::kBlocked);
  CHECK(second.BlockedFor(kCulprit, kStart) ==
        Milliseconds(SuspectTable::kLifetimeMs));
}

TEST_CASE("suspects at an upstream are counted") {
  CrashWatch watch;
  watch.AddSuspectAt("u1");
  watch.AddSuspectAt("u1");
  watch.RemoveSuspectAt("u1");
  CHECK(watch.HasSuspectAt("u1"));
  watch.RemoveSuspectAt("u1");
  CHECK_FALSE(watch.HasSuspectAt("u1"));
}

}  // namespace
}  // namespace primrosecove
