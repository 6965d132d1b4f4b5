#include <catch2/catch.hpp>
#include <random>
#include <set>

#include "Core/Peering/peer_messages.h"
#include "Core/Weights/chunk_store.h"
#include "Core/Weights/manifest.h"
#include "Core/Weights/swarm_object.h"
#include "Core/Weights/swarm_policy.h"

namespace primrosecove {
namespace {

constexpr uint32_t kChunk = 100;

Manifest MakeManifest(const std::string& bytes) {
  return Manifest::FromBytes("w", bytes, kChunk);
}

std::string MakeBytes(size_t n, char first) {
  std::string out;
  for (size_t i = 0; i < n; ++i)
    out.push_back(static_cast<char>(first + i / kChunk));
  return out;
}

}  // namespace

TEST_CASE("a manifest is bound to its address", "[weights]") {
  Manifest manifest = MakeManifest(MakeBytes(250, 'a'));
  CHECK(manifest.chunks.size() == 3);
  CHECK(manifest.ChunkSize(2) == 50);
  CHECK(Manifest::Parse(manifest.digest, manifest.text));
  // Truncated on the way, at any place.
  std::string cut = manifest.text.substr(0, manifest.text.size() / 2);
  CHECK(Manifest::Parse(manifest.digest, cut).error().code ==
        ErrorCode::kCorrupt);
  // Truncated where it was made: the digest fits, the content does not.
  std::string lying =
      R"({"name":"w","chunk_bytes":100,"total_bytes":250,"chunks":[]})";
  CHECK(Manifest::Parse(Sha256(lying), lying).error().code ==
        ErrorCode::kInvalidArgument);
  CHECK_FALSE(Manifest::Parse(Sha256(cut), cut));
}

TEST_CASE("the store keeps only verified chunks of held weights", "[weights]") {
  std::string bytes = MakeBytes(250, 'a');
  Manifest manifest = MakeManifest(bytes);
  ChunkStore store(1000);
  CHECK(store.Put(manifest.chunks[0], bytes.substr(0, 100)).error().code ==
        ErrorCode::kNotFound);
  REQUIRE(store.Hold(manifest));
  CHECK(store.Put(manifest.chunks[0], "other").error().code ==
        ErrorCode::kCorrupt);
  std::string flipped = bytes.substr(0, 100);
  flipped[50] ^= 1;
  CHECK(store.Put(manifest.chunks[0], flipped).error().code ==
        ErrorCode::kCorrupt);
  CHECK(store.Find(manifest.chunks[0]) == nullptr);
  CHECK(store.Put(manifest.chunks[0], bytes.substr(0, 100)));
  CHECK(*store.Find(manifest.chunks[0]) == bytes.substr(0, 100));
  CHECK(store.Present(manifest).count() == 1);
}

TEST_CASE("a chunk that two weights share is kept once and as long as either",
          "[weights]") {
  std::string bytes = MakeBytes(300, 'a');
  std::string next = bytes.substr(0, 200) + std::string(100, 'z');
  Manifest a = MakeManifest(bytes);
  Manifest b = MakeManifest(next);
  ChunkStore store(400);
  REQUIRE(store.Hold(a));
  REQUIRE(store.Hold(b));
  for (size_t i = 0; i < 3; ++i)
    REQUIRE(store.Put(a.chunks[i], bytes.substr(i * 100, 100)));
  CHECK(store.Present(b).count() == 2);
  CHECK(store.bytes() == 300);
  store.Release(a.digest);
  CHECK(store.bytes() == 200);
  CHECK(store.Find(b.chunks[0]) != nullptr);
  store.Release(b.digest);
  CHECK(store.bytes() == 0);
}

TEST_CASE("weights beyond the budget are refused whole", "[weights]") {
  ChunkStore store(250);
  REQUIRE(store.Hold(MakeManifest(MakeBytes(200, 'a'))));
  CHECK(store.Hold(MakeManifest(MakeBytes(200, 'k'))).error().code ==
        ErrorCode::kTooLarge);
}

TEST_CASE("an object counts holders and requests", "[weights]") {
  Manifest manifest = MakeManifest(MakeBytes(400, 'a'));
  SwarmObject object(manifest.digest);
  object.SetManifest(manifest, Bitmap(4));
  SteadyTime now = EventLoop::Now();
  CHECK(object.OnlyAtOrigin(0));
  Bitmap some(4);
  some.Set(0);
  some.Set(1);
  object.SetNeighbour("p", some);
  object.SetNeighbour("q", some);
  object.AddNeighbourChunk("q", 2);
  CHECK(object.holders(0) == 2);
  CHECK(object.holders(2) == 1);
  CHECK_FALSE(object.OnlyAtOrigin(0));
  CHECK(object.OnlyAtOrigin(3));
  object.AddRequest(0, "p", now);
  CHECK(object.Candidates("p", 0, 10).size() == 1);
  object.MarkStalled(now + Milliseconds(10), Milliseconds(5));
  // A stalled chunk may be asked of another, not of the same again.
  CHECK(object.Candidates("p", 0, 10).size() == 1);
  CHECK(object.Candidates("q", 0, 10).size() == 3);
  object.AddRequest(0, "q", now);
  CHECK(object.Complete(0) == std::vector<std::string>{"p", "q"});
  CHECK(object.open_requests() == 0);
  object.AddRequest(2, "q", now);
  object.RemoveNeighbour("q");
  CHECK(object.open_requests() == 0);
  CHECK(object.OnlyAtOrigin(2));
}

TEST_CASE("each chunk has one fetcher, and the next after each stall",
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

TEST_CASE("neighbours are mostly near and some are far", "[weights]") {
  constexpr int kMembers = 60;
  std::vector<SwarmMember> members;
  members.reserve(kMembers);
  for (int i = 0; i < kMembers; ++i) {
    members.push_back(
        {"m" + std::to_string(i), "place-" + std::to_string(i % 3), "", {}});
  }
  SwarmPolicy policy = MakeSwarmPolicy();
  auto chosen = policy.neighbours->Choose(members[0], members);
  size_t near = 0;
  for (const std::string& it : chosen) {
    size_t n = static_cast<size_t>(std::stoi(it.substr(1)));
    if (members[n].place == members[0].place) ++near;
    CHECK(it != members[0].name);
  }
  CHECK(near > chosen.size() / 2);
  CHECK(near < chosen.size());
}

TEST_CASE("the rarest chunk is chosen", "[weights]") {
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

TEST_CASE("malformed peer messages are refused", "[weights][malformed]") {
  ChunkMessage chunk{Sha256("m"), 3, 1, "bytes"};
  const std::string good = Encode(chunk);
  ChunkMessage back;
  REQUIRE(Decode(good, &back));
  CHECK(back.bytes == "bytes");
  std::mt19937_64 random(20261203);
  for (int i = 0; i < 10000; ++i) {
    std::string bytes = good;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    bytes.resize(random() % (bytes.size() + 1));
    HaveMessage have;
    HaveMoreMessage more;
    ChunkName name;
    (void)Decode(bytes, &back);
    (void)Decode(bytes, &have);
    (void)Decode(bytes, &more);
    (void)Decode(bytes, &name);
  }
  CHECK_FALSE(Decode("", &back));
}

}  // namespace primrosecove
