#include <catch2/catch.hpp>
#include <random>
#include <set>

#include "Core/Peering/peer_messages.h"
#include "Core/Weights/chunk_store.h"
#include "Core/Weights/manifest.h"
#include "Core/Weights/swarm_policy.h"
#include "Core/Weights/swarm_transfer.h"

namespace primrosecove {
namespace {

constexpr uint32_t kChunkBytes = 100;

Manifest MakeManifest(const std::string& bytes) {
  return Manifest::FromBytes("w", bytes, kChunkBytes);
}

std::string MakeBytes(size_t n, char first) {
  std::string out;
  for (size_t i = 0; i < n; ++i)
    out.push_back(static_cast<char>(first + i / kChunkBytes));
  return out;
}

}  // namespace

TEST_CASE("a manifest must match its digest and be complete", "[weights]") {
  Manifest manifest = MakeManifest(MakeBytes(250, 'a'));
  CHECK(manifest.chunks.size() == 3);
  CHECK(manifest.ChunkSize(2) == 50);
  CHECK(Manifest::Parse(manifest.digest, manifest.text));
  // Truncated in transit.
  std::string truncated = manifest.text.substr(0, manifest.text.size() / 2);
  CHECK(Manifest::Parse(manifest.digest, truncated).error().code ==
        ErrorCode::kCorrupt);
  // Truncated at its creation: the digest matches, the content is invalid.
  std::string incomplete =
      R"({"name":"w","chunk_bytes":100,"total_bytes":250,"chunks":[]})";
  CHECK(Manifest::Parse(Sha256(incomplete), incomplete).error().code ==
        ErrorCode::kInvalidArgument);
  CHECK_FALSE(Manifest::Parse(Sha256(truncated), truncated));
}

TEST_CASE("the store accepts only verified chunks of held manifests",
          "[weights]") {
  std::string bytes = MakeBytes(250, 'a');
  Manifest manifest = MakeManifest(bytes);
  ChunkStore store(1000);
  CHECK(store.Put(manifest.chunks[0], bytes.substr(0, 100)).error().code ==
        ErrorCode::kNotFound);
  REQUIRE(store.AddManifest(manifest));
  CHECK(store.Put(manifest.chunks[0], "other").error().code ==
        ErrorCode::kCorrupt);
  std::string corrupted = bytes.substr(0, 100);
  corrupted[50] ^= 1;
  CHECK(store.Put(manifest.chunks[0], corrupted).error().code ==
        ErrorCode::kCorrupt);
  CHECK(store.Find(manifest.chunks[0]) == nullptr);
  CHECK(store.Put(manifest.chunks[0], bytes.substr(0, 100)));
  CHECK(*store.Find(manifest.chunks[0]) == bytes.substr(0, 100));
  CHECK(store.PresentChunks(manifest).count() == 1);
}

TEST_CASE("a chunk in two manifests is stored once until both are removed",
          "[weights]") {
  std::string bytes = MakeBytes(300, 'a');
  std::string next = bytes.substr(0, 200) + std::string(100, 'z');
  Manifest a = MakeManifest(bytes);
  Manifest b = MakeManifest(next);
  ChunkStore store(400);
  REQUIRE(store.AddManifest(a));
  REQUIRE(store.AddManifest(b));
  for (size_t i = 0; i < 3; ++i)
    REQUIRE(store.Put(a.chunks[i], bytes.substr(i * 100, 100)));
  CHECK(store.PresentChunks(b).count() == 2);
  CHECK(store.bytes() == 300);
  store.RemoveManifest(a.digest);
  CHECK(store.bytes() == 200);
  CHECK(store.Find(b.chunks[0]) != nullptr);
  store.RemoveManifest(b.digest);
  CHECK(store.bytes() == 0);
}

TEST_CASE("a manifest that exceeds the budget is rejected", "[weights]") {
  ChunkStore store(250);
  REQUIRE(store.AddManifest(MakeManifest(MakeBytes(200, 'a'))));
  CHECK(store.AddManifest(MakeManifest(MakeBytes(200, 'k'))).error().code ==
        ErrorCode::kTooLarge);
}

TEST_CASE("a transfer counts holders and requests", "[weights]") {
  Manifest manifest = MakeManifest(MakeBytes(400, 'a'));
  SwarmTransfer transfer(manifest.digest);
  transfer.SetManifest(manifest, Bitmap(4));
  SteadyTime now = EventLoop::Now();
  CHECK(transfer.OnlyAtOrigin(0));
  Bitmap some(4);
  some.Set(0);
  some.Set(1);
  transfer.AddNeighbourChunks("p", some);
  transfer.AddNeighbourChunks("q", some);
  transfer.AddNeighbourChunk("q", 2);
  CHECK(transfer.holders(0) == 2);
  CHECK(transfer.holders(2) == 1);
  CHECK_FALSE(transfer.OnlyAtOrigin(0));
  CHECK(transfer.OnlyAtOrigin(3));
  transfer.AddRequest(0, "p", now);
  CHECK(transfer.Candidates("p", 0, 10).size() == 1);
  transfer.MarkStalled(now + Milliseconds(10), Milliseconds(5));
  // A stalled chunk may be requested from another neighbour, but not from the
  // same one.
  CHECK(transfer.Candidates("p", 0, 10).size() == 1);
  CHECK(transfer.Candidates("q", 0, 10).size() == 3);
  transfer.AddRequest(0, "q", now);
  CHECK(transfer.MarkComplete(0) == std::vector<std::string>{"p", "q"});
  CHECK(transfer.open_requests() == 0);
  transfer.AddRequest(2, "q", now);
  transfer.RemoveNeighbour("q");
  CHECK(transfer.open_requests() == 0);
  CHECK(transfer.OnlyAtOrigin(2));
}

TEST_CASE("each chunk has one fetcher; each stall moves it to the next",
          "[weights]") {
  SwarmPolicy policy = MakeSwarmPolicy();
  std::vector<std::string> ranked = {"a", "b", "c", "d", "e", "f"};
  for (uint32_t chunk = 0; chunk < 12; ++chunk) {
    std::set<std::string> seen;
    for (uint32_t stalled = 0; stalled < ranked.size(); ++stalled) {
      std::vector<std::string> fetching;
      for (const std::string& it : ranked) {
        if (policy.origin->ShouldFetch(it, ranked, chunk, stalled))
          fetching.push_back(it);
      }
      REQUIRE(fetching.size() == 1);
      seen.insert(fetching[0]);
    }
    CHECK(seen.size() == ranked.size());
  }
}

TEST_CASE("most neighbours are in the same place and some in others",
          "[weights]") {
  constexpr int kMembers = 60;
  std::vector<SwarmMember> members;
  members.reserve(kMembers);
  for (int i = 0; i < kMembers; ++i) {
    members.push_back(
        {"m" + std::to_string(i), "place-" + std::to_string(i % 3), "", {}});
  }
  SwarmPolicy policy = MakeSwarmPolicy();
  auto chosen = policy.neighbours->Choose(members[0], members);
  size_t same_place = 0;
  for (const std::string& it : chosen) {
    size_t n = static_cast<size_t>(std::stoi(it.substr(1)));
    if (members[n].place == members[0].place) ++same_place;
    CHECK(it != members[0].name);
  }
  CHECK(same_place > chosen.size() / 2);
  CHECK(same_place < chosen.size());
}

TEST_CASE("the chunk with the fewest holders is chosen", "[weights]") {
  std::mt19937_64 random(1);
  const std::vector<ChunkCandidate> candidates = {
      {4, 3}, {9, 1}, {2, 2}, {7, 1}};
  std::set<uint32_t> chosen;
  for (int i = 0; i < 50; ++i) {
    chosen.insert(
        candidates[MakeSwarmPolicy().chunks->Choose(candidates, &random)]
            .chunk);
  }
  CHECK(chosen == std::set<uint32_t>{7, 9});
}

TEST_CASE("10000 mutated peer messages are decoded or rejected",
          "[weights][malformed]") {
  ChunkMessage chunk{Sha256("m"), 3, 1, "bytes"};
  const std::string valid = Encode(chunk);
  ChunkMessage decoded;
  REQUIRE(Decode(valid, &decoded));
  CHECK(decoded.bytes == "bytes");
  std::mt19937_64 random(20261203);
  for (int i = 0; i < 10000; ++i) {
    std::string bytes = valid;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    bytes.resize(random() % (bytes.size() + 1));
    HaveMessage have;
    HaveUpdateMessage update;
    ChunkId id;
    (void)Decode(bytes, &decoded);
    (void)Decode(bytes, &have);
    (void)Decode(bytes, &update);
    (void)Decode(bytes, &id);
  }
  CHECK_FALSE(Decode("", &decoded));
}

}  // namespace primrosecove
