// Chunks that do not match their digests, and when they are fetched again.
#include "Core/Fleet/chunk_mismatches.h"

#include <catch2/catch.hpp>

namespace primrosecove {
namespace {

constexpr Milliseconds kDelay{60};

SteadyTime At(int64_t ms) { return SteadyTime(Milliseconds(ms)); }

// Guards against an origin that is asked for the same chunk without end.
TEST_CASE("the wait for a chunk grows with each arrival of the same bytes") {
  ChunkMismatches mismatches;
  CHECK(mismatches.MayFetch(3, At(0)));
  int64_t now = 0;
  int64_t wait = kDelay.count();
  for (int count = 1; count <= 12; ++count) {
    CHECK(mismatches.Record(3, "bytes", "", kDelay, At(now)) == count);
    wait = std::min(wait, ChunkMismatches::kMaxDelay.count());
    CHECK_FALSE(mismatches.MayFetch(3, At(now + wait - 1)));
    CHECK(mismatches.MayFetch(3, At(now + wait)));
    CHECK(mismatches.MayFetch(4, At(now)));
    now += wait;
    wait *= 2;
  }
}

TEST_CASE("bytes that differ each time are spoilt on their way") {
  ChunkMismatches mismatches;
  for (int n = 0; n < 100; ++n) {
    CHECK(mismatches.Record(3, std::to_string(n), "peer", kDelay, At(0)) == 1);
    CHECK(mismatches.MayFetch(3, At(kDelay.count())));
  }
  CHECK(mismatches.RepeatedSources().empty());
}

TEST_CASE("the sources of repeated bytes are known until other digests") {
  ChunkMismatches mismatches;
  mismatches.Record(3, "same", "a", kDelay, At(0));
  mismatches.Record(3, "other", "b", kDelay, At(0));
  mismatches.Record(4, "same", "c", kDelay, At(0));
  CHECK(mismatches.Record(3, "same", "d", kDelay, At(0)) == 2);
  CHECK(mismatches.RepeatedSources() == std::set<std::string>{"a", "d"});
  mismatches.Clear();
  CHECK(mismatches.RepeatedSources().empty());
  CHECK(mismatches.MayFetch(3, At(0)));
}

}  // namespace
}  // namespace primrosecove
