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
    return Delayed([this, digest, callbacks] {
      callbacks.on_bytes(manifests[Index(digest)].text);
    });
  }
  std::unique_ptr<OriginFetch> FetchRange(const Digest& digest, uint64_t offset,
                                          uint64_t size,
                                          Callbacks callbacks) override {
    return Delayed([this, digest, offset, size, callbacks] {
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
  std::unique_ptr<OriginFetch> Delayed(std::function<void()> callback) {
    auto fetch = std::make_unique<Fetch>();
    fetch->timer = loop_->After(Milliseconds(1), std::move(callback));
    return fetch;
  }
  EventLoop* loop_;
  std::vector<std::string> bytes_;
};

// An engine that executes orders at once, unless a fault is set.
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
    fencing_tokens.push_back(fencing);
    loop_->Post([this, weights, done] {
      if (failing_version == weights.version) {
        state = {};
        return done(Fail(ErrorCode::kUnavailable, "refused"));
      }
      if (misreported_version == weights.version)
        return done(outcome::success());
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
  std::string failing_version;
  std::string misreported_version;
  bool unreachable = false;
  std::vector<EngineWeights> orders;
  std::vector<uint64_t> fencing_tokens;

 private:
  EventLoop* loop_;
};

HostRecord OwnRecord(int n) {
  HostRecord out;
  out.name = "llm-1";
  out.role = Role::kAgent;
  out.incarnation = 1000;
  out.http = TestEndpoint(18, n);
  out.peer = TestEndpoint(18, n);
  return out;
}

struct ReconcilerFixture {
  EventLoop loop;
  KeyRing keys = TestKeys();
  MemoryOrigin origin;
  FakeEngine engine;
  Gossip gossip;
  PeerService peers;
  AdmissionGate gate;
  Swarm swarm;
  VersionReconciler reconciler;
  Configuration config;

  explicit ReconcilerFixture(int n)
      : origin(&loop),
        engine(&loop),
        gossip(&loop, &keys, {}, OwnRecord(n), {}),
        peers(&loop, &keys, {"llm-1", 1}),
        gate(&loop, &keys, TestEndpoint(19, n), {}, [] {}),
        swarm(&loop, &peers, &origin, {"llm-1", "p", "r", TestEndpoint(18, n)},
              {}, MakeSwarmPolicy(),
              [this](const Digest&, const Result<void>&) {
                reconciler.OnChange();
              }),
        reconciler(&loop, &gossip, &swarm, &gate, &engine, "llm-1",
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
    reconciler.OnConfig(&config);
    reconciler.Start();
  }

  bool Serves(const std::string& version) const {
    return gate.is_open() && gossip.self().serving.version == version;
  }
  void Await(const std::function<bool()>& done) { RunUntil(&loop, done); }
  void ChangeVersion(const std::string& version) {
    config.models[0].version = version;
    reconciler.OnConfig(&config);
  }
};

}  // namespace

TEST_CASE("an empty engine loads the target before requests are admitted",
          "[agent]") {
  ReconcilerFixture fixture(1);
  CHECK_FALSE(fixture.gate.is_open());
  fixture.Await([&] { return fixture.Serves("old"); });
  fixture.ChangeVersion("new");
  fixture.Await([&] { return fixture.Serves("new"); });
  CHECK(fixture.engine.state.manifest == fixture.origin.manifests[1].digest);
  CHECK(fixture.engine.fencing_tokens.back() >
        fixture.engine.fencing_tokens.front());
  // The old version's weights are removed once the new one is confirmed.
  fixture.reconciler.OnChange();
  CHECK(fixture.swarm.KnownManifests().size() == 1);
}

TEST_CASE("the old version is served when the target fails to load",
          "[agent]") {
  ReconcilerFixture fixture(2);
  fixture.Await([&] { return fixture.Serves("old"); });
  fixture.engine.failing_version = "new";
  fixture.ChangeVersion("new");
  fixture.Await([&] {
    return fixture.reconciler.phase() == ReconcilePhase::kStopped &&
           fixture.Serves("old");
  });
  CHECK(fixture.gossip.self().failed_manifest ==
        fixture.origin.manifests[1].digest.Prefix64());
  CHECK_FALSE(fixture.reconciler.last_error().empty());
  // A newer target ends the stopped state.
  fixture.ChangeVersion("old");
  fixture.Await([&] { return fixture.gossip.self().failed_manifest == 0; });
  CHECK(fixture.Serves("old"));
}

TEST_CASE(
    "a load reported as done counts as failed if other weights are read back",
    "[agent]") {
  ReconcilerFixture fixture(3);
  fixture.Await([&] { return fixture.Serves("old"); });
  fixture.engine.misreported_version = "new";
  fixture.ChangeVersion("new");
  // The engine still runs the old version, which is served again once the new
  // one has failed.
  fixture.Await([&] {
    return fixture.reconciler.phase() == ReconcilePhase::kStopped &&
           fixture.Serves("old");
  });
  CHECK(fixture.gossip.self().failed_manifest ==
        fixture.origin.manifests[1].digest.Prefix64());
}

TEST_CASE("weights loaded by another agent's order are detected and replaced",
          "[agent]") {
  ReconcilerFixture fixture(4);
  fixture.Await([&] { return fixture.Serves("old"); });
  // Simulates a paused agent that resumes and sends an order to an engine that
  // ignores fencing numbers.
  fixture.engine.state.manifest = fixture.origin.manifests[1].digest;
  fixture.engine.state.version = "new";
  fixture.Await([&] { return fixture.reconciler.repairs() == 1; });
  fixture.Await([&] { return fixture.Serves("old"); });
  CHECK(fixture.engine.state.manifest == fixture.origin.manifests[0].digest);
}

TEST_CASE("a crashed engine stops serving and is loaded again", "[agent]") {
  ReconcilerFixture fixture(5);
  fixture.Await([&] { return fixture.Serves("old"); });
  fixture.engine.unreachable = true;
  fixture.Await([&] { return !fixture.gate.is_open(); });
  CHECK(fixture.gossip.self().serving.model.empty());
  fixture.engine.state = {};
  fixture.engine.unreachable = false;
  fixture.Await([&] { return fixture.Serves("old"); });
}

TEST_CASE("a newer target replaces one whose load has not started", "[agent]") {
  ReconcilerFixture fixture(6);
  fixture.Await([&] { return fixture.Serves("old"); });
  fixture.ChangeVersion("new");
  fixture.ChangeVersion("old");
  fixture.Await([&] { return fixture.Serves("old"); });
  CHECK(fixture.engine.orders.size() == 1);
}

}  // namespace primrosecove
