#include "Core/Agent/version_reconciler.h"

#include <memory>

#include "UnitTests/test_support.h"

namespace primrosecove {
namespace {

constexpr uint32_t kChunkBytes = 1000;

// Serves two versions' weights from memory.
class MemoryOrigin : public Origin {
 public:
  explicit MemoryOrigin(EventLoop* loop) : loop_(loop) {
    for (char it : {'o', 'n'}) {
      std::string bytes(3 * kChunkBytes, it);
      manifests.push_back(
          Manifest::FromBytes(std::string(1, it), bytes, kChunkBytes));
      bytes_.push_back(std::move(bytes));
    }
  }
  std::unique_ptr<OriginFetch> FetchManifest(const Digest& digest,
                                             Callbacks callbacks) override {
    return Later([this, digest, callbacks] {
      callbacks.on_bytes(manifests[Index(digest)].text);
    });
  }
  std::unique_ptr<OriginFetch> FetchRange(const Digest& digest, uint64_t offset,
                                          uint64_t size,
                                          Callbacks callbacks) override {
    return Later([this, digest, offset, size, callbacks] {
      callbacks.on_bytes(bytes_[Index(digest)].substr(offset, size));
    });
  }
  uint64_t bytes_received() const override { return 0; }
  std::vector<Manifest> manifests;

 private:
  struct Fetch : OriginFetch {
    Timer timer;
  };
  size_t Index(const Digest& digest) const {
    return digest == manifests[0].digest ? 0 : 1;
  }
  std::unique_ptr<OriginFetch> Later(std::function<void()> callback) {
    auto fetch = std::make_unique<Fetch>();
    fetch->timer = loop_->After(Milliseconds(1), std::move(callback));
    return fetch;
  }
  EventLoop* loop_;
  std::vector<std::string> bytes_;
};

// An engine that obeys at once, or as its faults say.
class FakeEngine : public EngineClient {
 public:
  explicit FakeEngine(EventLoop* loop) : loop_(loop) {}
  void ReadState(StateCallback done) override {
    loop_->Post([this, done] {
      if (unreachable) return done(Fail(ErrorCode::kUnavailable, "gone"));
      done(state);
    });
  }
  void Load(const EngineWeights& weights, uint64_t fencing, const Endpoint&,
            DoneCallback done) override {
    orders.push_back(weights);
    fencings.push_back(fencing);
    loop_->Post([this, weights, done] {
      if (refuse == weights.version) {
        state = {};
        return done(Fail(ErrorCode::kUnavailable, "refused"));
      }
      if (lie == weights.version) return done(outcome::success());
      state.model = weights.model;
      state.version = weights.version;
      state.manifest = weights.manifest;
      done(outcome::success());
    });
  }
  void UnloadAdapter(const std::string&, uint64_t, DoneCallback done) override {
    loop_->Post([done] { done(outcome::success()); });
  }

  EngineState state;
  std::string refuse;
  std::string lie;
  bool unreachable = false;
  std::vector<EngineWeights> orders;
  std::vector<uint64_t> fencings;

 private:
  EventLoop* loop_;
};

HostRecord SelfRecord(int n) {
  HostRecord out;
  out.name = "llm-1";
  out.role = Role::kAgent;
  out.incarnation = 1000;
  out.http = TestEndpoint(18, n);
  out.peer = TestEndpoint(18, n);
  return out;
}

struct Bench {
  EventLoop loop;
  KeyRing keys = TestKeys();
  MemoryOrigin origin;
  FakeEngine engine;
  Gossip gossip;
  PeerService peers;
  Gate gate;
  Swarm swarm;
  VersionKeeper keeper;
  Configuration config;

  explicit Bench(int n)
      : origin(&loop),
        engine(&loop),
        gossip(&loop, &keys, {}, SelfRecord(n), {}),
        peers(&loop, &keys, {"llm-1", 1}),
        gate(&loop, &keys, TestEndpoint(19, n), {}, [] {}),
        swarm(
            &loop, &peers, &origin, {"llm-1", "p", "r", TestEndpoint(18, n)},
            {}, MakeSwarmPolicy(),
            [this](const Digest&, const Result<void>&) { keeper.OnChange(); }),
        keeper(&loop, &gossip, &swarm, &gate, &engine, "llm-1",
               TestEndpoint(20, n)) {
    if (!gossip.Start(TestEndpoint(18, n))) FAIL("gossip");
    swarm.SetMembers({{"llm-1", "p", "r", TestEndpoint(18, n)}});
    config.places.push_back({"p", "r", "d"});
    config.services.push_back({.name = "llm", .kind = ServiceKind::kEngine});
    config.upstreams.push_back({"llm-1", "llm", "p"});
    Model model;
    model.name = "chat";
    model.service = "llm";
    model.version = "old";
    model.versions = {{"old", origin.manifests[0].digest},
                      {"new", origin.manifests[1].digest}};
    config.models.push_back(model);
    keeper.OnConfig(&config);
    keeper.Start();
  }

  bool Serves(const std::string& version) const {
    return gate.is_open() && gossip.self().serving.version == version;
  }
  void Await(const std::function<bool()>& done) { RunUntil(&loop, done); }
  void ChangeVersion(const std::string& version) {
    config.models[0].version = version;
    keeper.OnConfig(&config);
  }
};

}  // namespace

TEST_CASE("an empty engine is brought to the version and then admitted",
          "[agent]") {
  Bench bench(1);
  CHECK_FALSE(bench.gate.is_open());
  bench.Await([&] { return bench.Serves("old"); });
  bench.ChangeVersion("new");
  bench.Await([&] { return bench.Serves("new"); });
  CHECK(bench.engine.state.manifest == bench.origin.manifests[1].digest);
  CHECK(bench.engine.fencings.back() > bench.engine.fencings.front());
  // The old version's bytes are gone once the new one is confirmed.
  bench.keeper.OnChange();
  CHECK(bench.swarm.KnownManifests().size() == 1);
}

TEST_CASE("a version that fails to load leaves the old one serving",
          "[agent]") {
  Bench bench(2);
  bench.Await([&] { return bench.Serves("old"); });
  bench.engine.refuse = "new";
  bench.ChangeVersion("new");
  bench.Await([&] {
    return bench.keeper.phase() == KeeperPhase::kStopped && bench.Serves("old");
  });
  CHECK(bench.gossip.self().failed_manifest ==
        bench.origin.manifests[1].digest.Prefix64());
  CHECK_FALSE(bench.keeper.last_error().empty());
  // A newer edit ends the stop.
  bench.ChangeVersion("old");
  bench.Await([&] { return bench.gossip.self().failed_manifest == 0; });
  CHECK(bench.Serves("old"));
}

TEST_CASE("an engine that only says that it has loaded is not believed",
          "[agent]") {
  Bench bench(3);
  bench.Await([&] { return bench.Serves("old"); });
  bench.engine.lie = "new";
  bench.ChangeVersion("new");
  // The engine still runs the old version, which serves again once the new one
  // has failed.
  bench.Await([&] {
    return bench.keeper.phase() == KeeperPhase::kStopped && bench.Serves("old");
  });
  CHECK(bench.gossip.self().failed_manifest ==
        bench.origin.manifests[1].digest.Prefix64());
}

TEST_CASE("another's order is noticed and repaired", "[agent]") {
  Bench bench(4);
  bench.Await([&] { return bench.Serves("old"); });
  // An agent that was paused wakes and orders an engine that ignores fencing
  // numbers.
  bench.engine.state.manifest = bench.origin.manifests[1].digest;
  bench.engine.state.version = "new";
  bench.Await([&] { return bench.keeper.repairs() == 1; });
  bench.Await([&] { return bench.Serves("old"); });
  CHECK(bench.engine.state.manifest == bench.origin.manifests[0].digest);
}

TEST_CASE("an engine that crashes is taken out and loaded again", "[agent]") {
  Bench bench(5);
  bench.Await([&] { return bench.Serves("old"); });
  bench.engine.unreachable = true;
  bench.Await([&] { return !bench.gate.is_open(); });
  CHECK(bench.gossip.self().serving.model.empty());
  bench.engine.state = {};
  bench.engine.unreachable = false;
  bench.Await([&] { return bench.Serves("old"); });
}

TEST_CASE("a newer edit supersedes one under way", "[agent]") {
  Bench bench(6);
  bench.Await([&] { return bench.Serves("old"); });
  bench.ChangeVersion("new");
  bench.ChangeVersion("old");
  bench.Await([&] { return bench.Serves("old"); });
  CHECK(bench.engine.orders.size() == 1);
}

}  // namespace primrosecove
