// Pacing of weight transfers for chunk sizes and links of any deployment.
#include "Core/Fleet/transfer_pacing.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <optional>

#include "Core/Net/token_bucket.h"

namespace primrosecove {
namespace {

constexpr double kBitsPerByte = 8;
constexpr double kBytesPerMebibyte = 1 << 20;

double BytesPerSecond(double mbit_per_second) {
  return mbit_per_second * 1e6 / kBitsPerByte;
}

// Sends chunks as soon as the pacer allows and returns how long that takes, or
// nothing if the pacer never allows one of them.
std::optional<Milliseconds> TimeToSend(UploadPacer* pacer, size_t chunk_bytes,
                                       int chunks) {
  constexpr int kMaxWaitsPerChunk = 20;
  SteadyTime start = EventLoop::Now();
  SteadyTime now = start;
  for (int i = 0; i < chunks; ++i) {
    int waits = 0;
    while (!pacer->TrySend(chunk_bytes, now)) {
      if (++waits > kMaxWaitsPerChunk) return std::nullopt;
      now += std::max(pacer->Wait(chunk_bytes, now), Milliseconds(1));
    }
  }
  return std::chrono::duration_cast<Milliseconds>(now - start);
}

// Chunks larger than the burst were never sent, so that weights reached no
// upstream of a deployment with such chunks.
TEST_CASE("chunks of any size are sent at the paced rate", "[pacing]") {
  struct Row {
    double link_mbit;
    size_t chunk_bytes;
  };
  const Row rows[] = {
      {7.3, 24'576},         {9.4, 49'152}, {9.4, 32 << 10},
      {9.4, (32 << 10) + 1}, {1, 4 << 20},  {1000, 4 << 20},
      {1000, 1024},          {7.3, 1},      {100, 1 << 20},
  };
  for (const Row& row : rows) {
    INFO(row.link_mbit << " Mbit/s, chunks of " << row.chunk_bytes);
    constexpr int kChunks = 40;
    UploadPacer pacer(BytesPerSecond(row.link_mbit));
    auto time = TimeToSend(&pacer, row.chunk_bytes, kChunks);
    REQUIRE(time);
    double link_ms = kChunks * static_cast<double>(row.chunk_bytes) /
                     BytesPerSecond(row.link_mbit) * 1000;
    // 80 % of the link, and one wait that is rounded up a chunk.
    CHECK(static_cast<double>(time->count()) <= link_ms / 0.8 + kChunks);
  }
}

TEST_CASE("random chunk sizes and links never block a transfer", "[pacing]") {
  bool ok = rc::check("each chunk is sent", [] {
    auto chunk_bytes = *rc::gen::inRange<size_t>(1, 4 << 20);
    auto link_kbit = *rc::gen::inRange(1'000, 1'000'000);
    UploadPacer pacer(BytesPerSecond(link_kbit / 1000.0));
    RC_ASSERT(TimeToSend(&pacer, chunk_bytes, 5).has_value());
  });
  REQUIRE(ok);
}

TEST_CASE("a token bucket grants more than its burst and then waits for it",
          "[pacing]") {
  struct Row {
    double burst;
    double unit;
  };
  for (const Row& row :
       {Row{0.5, 1}, Row{0, 1}, Row{1, 10}, Row{32 << 10, kBytesPerMebibyte}}) {
    INFO("burst " << row.burst << ", unit " << row.unit);
    constexpr double kRate = 100;
    TokenBucket bucket(kRate, row.burst);
    SteadyTime now = EventLoop::Now();
    REQUIRE(bucket.TryTake(row.unit, now));
    CHECK_FALSE(bucket.TryTake(row.unit, now));
    Milliseconds wait = bucket.Wait(row.unit, now);
    CHECK(wait >= Milliseconds(static_cast<int64_t>(row.unit / kRate * 1000)));
    CHECK(bucket.TryTake(row.unit, now + wait));
  }
}

}  // namespace
}  // namespace primrosecove
