// Agents, engines and an origin: how named weights get into service, with
// induced failures.
#include "Core/Agent/fleet_agent.h"

#include <catch2/catch.hpp>

#include "../test_support.h"
#include "Core/Fleet/fleet_ports.h"
#include "Core/Net/udp_socket.h"
#include "platform/testing/engine_stand_in.h"
#include "platform/testing/store_stand_in.h"

namespace primrosecove {
namespace {

using platform::EngineStandIn;
using platform::OriginStandIn;
using platform::StoreStandIn;

constexpr size_t kPieces = 12;
constexpr uint16_t kPeerPort = 18090;

// Engines with their agents, and a router that tells them what is named.
class Burst {
 public:
  Burst(int group, int engines_count, uint64_t version)
      : group_(group), store(&loop), origin(&loop, kPieces) {
    router = std::make_unique<UdpSocket>(
        &loop, [this](std::string_view bytes, const Endpoint& from) {
          auto message = DecodeMessage(bytes);
          if (!message) return;
          statuses[from.ip] = std::get<UpstreamStatus>(message.value());
        });
    if (!store.Listen(At(1)) || !origin.Listen(At(2))) FAIL("listen");
    if (!router->Bind({At(3).ip, kPeerPort})) FAIL("bind");
    notice.service = "llm";
    notice.model = "m";
    notice.target_weights_version = 1;
    notice.version_bound_ms = 1000;
    notice.chunks = kPieces;
    notice.origin = At(2);
    for (int i = 0; i < engines_count; ++i) Add(i, version);
    Tell();
  }

  Endpoint At(int n) const { return TestEndpoint(group_, n); }

  void Add(int i, uint64_t version) {
    EngineStandIn::Options options;
    options.id = "e" + std::to_string(i);
    options.service = "llm";
    options.zone = i % 2 == 0 ? "z1" : "z2";
    options.endpoint = At(10 + i);
    options.model = "m";
    options.version = version;
    auto engine = std::make_unique<EngineStandIn>(&loop, &store, options);
    if (!engine->Start()) FAIL(options.id);
    for (uint32_t n = 0; version != 0 && n < kPieces; ++n) {
      engine->SetStagedChunk(n, OriginStandIn::ChunkContent(version, n));
    }
    HostSettings settings;
    settings.name = options.id;
    settings.zone = options.zone;
    settings.ip = options.endpoint.ip;
    settings.first_internal_port = kPeerPort;
    settings.upstream_endpoint = options.endpoint;
    settings.service = "llm";
    settings.link_bytes_per_second = 10e6;
    auto agent = std::make_unique<FleetAgent>(&loop, settings);
    if (!agent->Start()) FAIL("agent");
    notice.members.push_back(
        {options.id, options.endpoint, options.zone, version, false});
    engines.push_back(std::move(engine));
    agents.push_back(std::move(agent));
  }

  void Tell() {
    ++notice.store_revision;
    std::string datagram = EncodeMessage(notice);
    for (const FleetMember& it : notice.members) {
      router->Send(datagram, {it.upstream.ip, kPeerPort});
    }
  }

  void Name(uint64_t version) {
    notice.target_weights_version = version;
    Tell();
  }

  // Waits until all engines serve `version`, and checks what they loaded.
  void RunUntilServed(uint64_t version) {
    RunUntil(&loop, [&] {
      Repeat();
      for (auto& it : engines) {
        if (it->version() != version) return false;
      }
      return true;
    });
    for (auto& it : engines) {
      if (it->orders() == 0) continue;
      REQUIRE(it->loaded().size() == kPieces);
      for (auto& [n, bytes] : it->loaded()) {
        REQUIRE(bytes == OriginStandIn::ChunkContent(version, n));
      }
    }
  }

  // A router repeats its notice; a test's loop turns many times a second.
  void Repeat() {
    if (EventLoop::Now() - told_at_ < Milliseconds(200)) return;
    told_at_ = EventLoop::Now();
    Tell();
  }

 private:
  int group_;
  SteadyTime told_at_{};

 public:
  EventLoop loop;
  StoreStandIn store;
  OriginStandIn origin;
  std::unique_ptr<UdpSocket> router;
  DeploymentUpdate notice;
  std::vector<std::unique_ptr<EngineStandIn>> engines;
  std::vector<std::unique_ptr<FleetAgent>> agents;
  std::map<std::string, UpstreamStatus> statuses;
};

TEST_CASE("a new version reaches all engines from one copy of the origin",
          "[burst]") {
  Burst burst(85, 4, 1);
  burst.Name(2);
  burst.RunUntilServed(2);
  CHECK(burst.origin.chunks_sent() == kPieces);
}

TEST_CASE("empty engines take their weights from those that serve them",
          "[burst]") {
  Burst burst(86, 2, 1);
  RunUntil(&burst.loop, [&] {
    burst.Repeat();
    return burst.statuses.size() == 2;
  });
  burst.Add(2, 0);
  burst.Add(3, 0);
  burst.RunUntilServed(1);
  CHECK(burst.origin.chunks_sent() == 0);
}

TEST_CASE("wrong pieces of the origin are not kept or passed on", "[burst]") {
  Burst burst(87, 3, 1);
  burst.origin.CorruptNext(7);
  burst.Name(2);
  burst.RunUntilServed(2);
  CHECK(burst.origin.chunks_sent() >= kPieces + 7);
}

TEST_CASE("pieces that turned bad at the engine are laid there anew",
          "[burst]") {
  Burst burst(88, 1, 1);
  RunUntil(&burst.loop, [&] {
    burst.Repeat();
    return !burst.statuses.empty() &&
           burst.statuses.begin()->second.staged_version == 1;
  });
  for (uint32_t n : {0U, 5U, 11U}) burst.engines[0]->CorruptStagedChunk(n);
  burst.engines[0]->Restart();
  burst.RunUntilServed(1);
  CHECK(burst.engines[0]->orders() == 1);
}

TEST_CASE("a newer name in the midst of a copy wins everywhere", "[burst]") {
  Burst burst(89, 3, 1);
  burst.Name(2);
  RunUntil(&burst.loop, [&] {
    burst.Repeat();
    return burst.origin.chunks_sent() > 2;
  });
  burst.Name(3);
  burst.RunUntilServed(3);
  // An older word of a router that lags changes nothing.
  burst.notice.target_weights_version = 2;
  burst.notice.store_revision -= 3;
  burst.Tell();
  for (int i = 0; i < 10; ++i) burst.loop.RunOnce(Milliseconds(20));
  for (auto& it : burst.engines) CHECK(it->version() == 3);
}

TEST_CASE("a peer that ends while it has pieces is done without", "[burst]") {
  Burst burst(90, 3, 1);
  burst.Name(2);
  RunUntil(&burst.loop, [&] {
    burst.Repeat();
    return burst.origin.chunks_sent() > 2;
  });
  burst.agents.erase(burst.agents.begin());
  burst.engines.erase(burst.engines.begin());
  burst.RunUntilServed(2);
}

TEST_CASE("datagrams that are no messages are dropped", "[burst]") {
  Burst burst(91, 1, 1);
  for (const char* bytes : {"", "n", "s\xff", "x123", "n\x91\x01"}) {
    CHECK_FALSE(DecodeMessage(bytes));
    burst.router->Send(bytes, {burst.At(10).ip, kPeerPort});
  }
  std::string whole = EncodeMessage(burst.notice);
  for (size_t n = 0; n < whole.size(); ++n) {
    CHECK_FALSE(DecodeMessage(std::string_view(whole).substr(0, n)));
  }
  auto again = DecodeMessage(whole);
  REQUIRE(again);
  const auto& notice = std::get<DeploymentUpdate>(again.value());
  CHECK(notice.members.size() == 1);
  CHECK(notice.origin == burst.notice.origin);
  burst.Name(2);
  burst.RunUntilServed(2);
}

}  // namespace
}  // namespace primrosecove
