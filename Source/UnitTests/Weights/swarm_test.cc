#include "Core/Weights/swarm.h"

#include <memory>

#include "UnitTests/test_support.h"

namespace primrosecove {
namespace {

constexpr uint32_t kChunkBytes = 1000;
constexpr size_t kChunks = 40;

std::string MakeBytes(char seed) {
  std::string out;
  for (size_t i = 0; i < kChunks * kChunkBytes; ++i) {
    out.push_back(static_cast<char>(seed + i / kChunkBytes * 7 + i % 13));
  }
  return out;
}

// An origin that serves ranges from memory, counts the bytes and can fail.
class FakeOrigin : public Origin {
 public:
  FakeOrigin(EventLoop* loop, std::string bytes)
      : loop_(loop),
        bytes_(std::move(bytes)),
        manifest_(Manifest::FromBytes("w", bytes_, kChunkBytes)) {}

  std::unique_ptr<OriginFetch> FetchManifest(const Digest&,
                                             Callbacks callbacks) override {
    return CallLater([this, callbacks] {
      if (down)
        return callbacks.on_failure(
            {Error{ErrorCode::kUnavailable, "down"}, {}});
      callbacks.on_bytes(manifest_text.empty() ? manifest_.text
                                               : manifest_text);
    });
  }

  std::unique_ptr<OriginFetch> FetchRange(const Digest&, uint64_t offset,
                                          uint64_t size,
                                          Callbacks callbacks) override {
    return CallLater([this, offset, size, callbacks] {
      if (down || chunks_left == 0) {
        return callbacks.on_failure(
            {Error{ErrorCode::kUnavailable, "down"}, Milliseconds(20)});
      }
      --chunks_left;
      std::string out = bytes_.substr(offset, size);
      if (corrupt_next > 0) {
        --corrupt_next;
        out[0] ^= 1;
      }
      bytes_sent_ += out.size();
      callbacks.on_bytes(std::move(out));
    });
  }

  uint64_t bytes_received() const override { return bytes_sent_; }
  const Manifest& manifest() const { return manifest_; }

  bool down = false;
  int chunks_left = 1 << 30;
  int corrupt_next = 0;
  std::string manifest_text;

 private:
  struct Fetch : OriginFetch {
    Timer timer;
  };

  std::unique_ptr<OriginFetch> CallLater(std::function<void()> callback) {
    auto fetch = std::make_unique<Fetch>();
    fetch->timer = loop_->After(Milliseconds(1), std::move(callback));
    return fetch;
  }

  EventLoop* loop_;
  std::string bytes_;
  Manifest manifest_;
  uint64_t bytes_sent_ = 0;
};

struct Member {
  SwarmMember info;
  std::unique_ptr<PeerService> peers;
  std::unique_ptr<Swarm> swarm;
  std::optional<Result<void>> done;
};

// Swarm members of several hosts on one loop, over real connections.
class Hosts {
 public:
  Hosts(int group, int n, std::string bytes = MakeBytes('a'))
      : group_(group), keys(TestKeys()), origin(&loop, std::move(bytes)) {
    for (int i = 0; i < n; ++i) Add(i);
    UpdateMembers();
  }

  Member* Add(int i, SwarmOptions options = {}) {
    auto member = std::make_unique<Member>();
    Member* raw = member.get();
    std::string name = "host-" + std::to_string(i);
    member->info = {name, "place", "region", TestEndpoint(group_, i + 1)};
    member->peers =
        std::make_unique<PeerService>(&loop, &keys, IdentifyMessage{name, 1});
    member->swarm = std::make_unique<Swarm>(
        &loop, member->peers.get(), &origin, member->info, options,
        MakeSwarmPolicy(), [raw](const Digest&, const Result<void>& result) {
          raw->done = result;
        });
    auto listening = member->peers->Listen(member->info.peer);
    if (!listening) FAIL(listening.error().message);
    members.push_back(std::move(member));
    return raw;
  }

  void UpdateMembers() {
    std::vector<SwarmMember> all;
    for (const auto& it : members) all.push_back(it->info);
    for (const auto& it : members) it->swarm->SetMembers(all);
  }

  void StartAll(const Digest& manifest) {
    for (const auto& it : members) it->swarm->StartFetch(manifest);
  }

  bool AllComplete(const Digest& manifest) const {
    for (const auto& it : members) {
      if (!it->swarm->IsComplete(manifest)) return false;
    }
    return true;
  }

 private:
  int group_;

 public:
  EventLoop loop;
  KeyRing keys;
  FakeOrigin origin;
  std::vector<std::unique_ptr<Member>> members;
};

}  // namespace

TEST_CASE("weights reach every host with one download from the origin",
          "[weights][swarm]") {
  Hosts hosts(8, 8);
  Digest manifest = hosts.origin.manifest().digest;
  hosts.StartAll(manifest);
  RunUntil(&hosts.loop, [&] { return hosts.AllComplete(manifest); });
  uint64_t received = 0;
  uint64_t sent = 0;
  for (const auto& it : hosts.members) {
    received += it->swarm->counters().chunk_bytes_from_peers;
    sent += it->swarm->bytes_sent();
  }
  CHECK(hosts.origin.bytes_received() == kChunks * kChunkBytes);
  CHECK(received == sent);
  CHECK(received >= 7 * kChunks * kChunkBytes);
}

TEST_CASE("a corrupt chunk from the origin is not stored and is fetched again",
          "[weights][swarm]") {
  Hosts hosts(9, 3);
  hosts.origin.corrupt_next = 5;
  Digest manifest = hosts.origin.manifest().digest;
  hosts.StartAll(manifest);
  RunUntil(&hosts.loop, [&] { return hosts.AllComplete(manifest); });
  uint64_t corrupt = 0;
  for (const auto& it : hosts.members)
    corrupt += it->swarm->counters().corrupt_chunks;
  CHECK(corrupt == 5);
}

TEST_CASE("chunks whose only holder stopped are fetched from the origin again",
          "[weights][swarm]") {
  Hosts hosts(10, 3);
  Digest manifest = hosts.origin.manifest().digest;
  hosts.StartAll(manifest);
  RunUntil(&hosts.loop, [&] { return hosts.origin.bytes_received() > 0; });
  hosts.members.erase(hosts.members.begin());
  hosts.UpdateMembers();
  RunUntil(&hosts.loop, [&] { return hosts.AllComplete(manifest); });
}

TEST_CASE("a transfer resumes when the origin recovers after half the chunks",
          "[weights][swarm]") {
  Hosts hosts(11, 4);
  hosts.origin.chunks_left = kChunks / 2;
  Digest manifest = hosts.origin.manifest().digest;
  hosts.StartAll(manifest);
  RunUntil(&hosts.loop, [&] {
    for (const auto& it : hosts.members) {
      if (it->swarm->PercentComplete(manifest) < 50) return false;
    }
    return true;
  });
  CHECK_FALSE(hosts.AllComplete(manifest));
  hosts.origin.chunks_left = 1 << 30;
  RunUntil(&hosts.loop, [&] { return hosts.AllComplete(manifest); });
  CHECK(hosts.origin.bytes_received() == kChunks * kChunkBytes);
}

TEST_CASE("a host that joins later fetches all chunks from peers",
          "[weights][swarm]") {
  Hosts hosts(12, 3);
  Digest manifest = hosts.origin.manifest().digest;
  hosts.StartAll(manifest);
  RunUntil(&hosts.loop, [&] { return hosts.AllComplete(manifest); });
  hosts.origin.down = true;
  Member* late = hosts.Add(7);
  hosts.UpdateMembers();
  late->swarm->StartFetch(manifest);
  RunUntil(&hosts.loop, [&] { return late->swarm->IsComplete(manifest); });
  RunUntil(&hosts.loop, [&] { return late->done.has_value(); });
  CHECK(late->done->has_value());
}

TEST_CASE("a truncated manifest is rejected and a complete one accepted later",
          "[weights][swarm]") {
  Hosts hosts(13, 2);
  hosts.origin.manifest_text = hosts.origin.manifest().text.substr(0, 100);
  Digest manifest = hosts.origin.manifest().digest;
  hosts.StartAll(manifest);
  RunUntil(&hosts.loop, [&] {
    return hosts.members[0]->swarm->counters().corrupt_chunks +
               hosts.members[1]->swarm->counters().corrupt_chunks >
           0;
  });
  CHECK(hosts.members[0]->swarm->FindManifest(manifest) == nullptr);
  hosts.origin.manifest_text.clear();
  RunUntil(&hosts.loop, [&] { return hosts.AllComplete(manifest); });
}

TEST_CASE("weights removed during a transfer leave no bytes in the store",
          "[weights][swarm]") {
  Hosts hosts(14, 2);
  Digest manifest = hosts.origin.manifest().digest;
  hosts.StartAll(manifest);
  RunUntil(&hosts.loop, [&] {
    return hosts.members[0]->swarm->PercentComplete(manifest) > 10;
  });
  for (const auto& it : hosts.members) it->swarm->Remove(manifest);
  for (int i = 0; i < 10; ++i) hosts.loop.RunOnce(Milliseconds(5));
  for (const auto& it : hosts.members) CHECK(it->swarm->store().bytes() == 0);
  hosts.StartAll(manifest);
  RunUntil(&hosts.loop, [&] { return hosts.AllComplete(manifest); });
}

TEST_CASE("weights that exceed a host's memory budget fail with kTooLarge",
          "[weights][swarm]") {
  Hosts hosts(15, 2);
  Member* small = hosts.Add(5, {.memory_bytes = kChunks * kChunkBytes / 2});
  hosts.UpdateMembers();
  Digest manifest = hosts.origin.manifest().digest;
  hosts.StartAll(manifest);
  RunUntil(&hosts.loop, [&] { return small->done.has_value(); });
  CHECK(small->done->error().code == ErrorCode::kTooLarge);
}

}  // namespace primrosecove
