// Tests FleetRouter with injected faults against stand-ins of the store and of
// upstreams.
#include "Core/Router/fleet_router.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>

#include "../raw_server.h"
#include "../test_support.h"
#include "Core/Common/text.h"
#include "fleet_router_fixture.h"

namespace primrosecove {
namespace {

// Events of a stream that lasts for several checks of the requests in flight.
constexpr int kLongStream = 40;

TEST_CASE("the response reflects what executed, for each upstream fault",
          "[fleet]") {
  struct Row {
    const char* name;
    const char* path;
    EngineFault fault;
    int count;    // Faulty requests at each upstream.
    int status;   // Expected HTTP status.
    size_t runs;  // Expected executions at all upstreams.
  };
  const Row rows[] = {
      {"stream without a fault", "/stream/1", EngineFault::kNone, 0, 200, 1},
      {"stream refused by all upstreams", "/stream/1", EngineFault::kRefuse, 9,
       503, 0},
      {"unsafe request without a fault", "/once/1", EngineFault::kNone, 0, 200,
       1},
      {"unsafe request refused by all upstreams", "/once/1",
       EngineFault::kRefuse, 9, 503, 0},
      {"unsafe request is not retried after a reset", "/once/1",
       EngineFault::kReset, 9, 502, 1},
      {"unsafe request times out at a silent upstream", "/once/1",
       EngineFault::kNoResponse, 9, 504, 1},
      {"upstream error status is forwarded", "/once/1", EngineFault::kError, 9,
       500, 1},
      {"unsigned success is not forwarded", "/once/1", EngineFault::kUnsigned,
       9, 502, 1},
      {"safe request is retried after a reset", "/safe/1", EngineFault::kReset,
       1, 502, 2},
      {"retries are limited by the route's max_attempts", "/safe/1",
       EngineFault::kReset, 9, 502, 2},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    RouterFixture fixture(70);
    fixture.SetFault(row.fault, row.count);
    CallResult result = fixture.SendAndWait(row.path);
    REQUIRE(result.end == CallEnd::kComplete);
    CHECK(result.head->status == row.status);
    CHECK(fixture.ExecutionCount() == row.runs);
    bool is_refusal = row.status == 503;
    CHECK(result.head->headers.Find("Retry-After").has_value() == is_refusal);
  }
}

TEST_CASE(
    "a stream resumes at another upstream without missing or duplicate events",
    "[fleet]") {
  RouterFixture fixture(71);
  fixture.SetFault(EngineFault::kTruncateEvent, 1);
  // Either upstream may truncate its first stream.
  CallResult result = fixture.SendAndWait("/stream/1");
  if (result.end == CallEnd::kComplete) {
    CHECK(result.body == CompleteStream(6));
  } else {
    // Both truncated; an aborted response must not look complete.
    CHECK(result.end == CallEnd::kConnectionLost);
  }
  fixture.SetFault(EngineFault::kNone, 0);
  fixture.engines["engine-0"]->SetFault(EngineFault::kTruncateEvent, 1);
  for (int i = 0; i < 4; ++i) {
    CallResult resumed = fixture.SendAndWait("/stream/1");
    REQUIRE(resumed.end == CallEnd::kComplete);
    CHECK(resumed.body == CompleteStream(6));
  }
}

TEST_CASE("API keys are replaced by the workspace and not forwarded",
          "[fleet]") {
  RouterFixture fixture(72);
  fixture.SendAndWait("/once/1", kApiKey, {{"Tenant", "somebody-else"}});
  CHECK(fixture.SendAndWait("/once/1", "wrong").head->status == 401);
  CHECK(fixture.SendAndWait("/once/1", "").head->status == 401);
  CHECK(fixture.SendAndWait("/nowhere/1").head->status == 404);
  REQUIRE(fixture.ExecutionCount() == 1);
  for (auto& [id, engine] : fixture.engines) {
    for (const platform::EngineRun& run : engine->runs()) {
      CHECK(run.workspace == "w1");
      CHECK_FALSE(run.had_credentials);
      CHECK(run.body == "body");
    }
  }
}

TEST_CASE("requests with keys are refused while the configuration may be stale",
          "[fleet]") {
  struct Row {
    const char* name;
    StoreFault fault;
  };
  const Row rows[] = {{"silent", StoreFault::kNoResponse},
                      {"busy", StoreFault::kBusy},
                      {"too many", StoreFault::kTooMany},
                      {"reset", StoreFault::kReset},
                      {"responses lost", StoreFault::kLoseResponse}};
  for (const Row& row : rows) {
    INFO(row.name);
    RouterFixture fixture(73);
    REQUIRE(fixture.SendAndWait("/once/1").head->status == 200);
    fixture.store.SetFault(row.fault);
    fixture.store.CutWatches();
    int status = 200;
    RunUntil(&fixture.loop, [&] {
      status = fixture.SendAndWait("/once/1").head->status;
      return status != 200;
    });
    CHECK(status == 503);
    size_t runs = fixture.ExecutionCount();
    // A revoked key must not execute, and no key gets a final denial.
    CHECK(fixture.SendAndWait("/once/1").head->status == 503);
    CHECK(fixture.SendAndWait("/once/1", "new-key").head->status == 503);
    CHECK(fixture.ExecutionCount() == runs);
    fixture.store.SetFault(StoreFault::kNone);
    RunUntil(&fixture.loop, [&] {
      return fixture.SendAndWait("/once/1").head->status == 200;
    });
  }
}

TEST_CASE("a revoked key is denied after the configuration update", "[fleet]") {
  RouterFixture fixture(74);
  auto config = RouterFixture::MakeConfigJson(2);
  config["tenants"][0]["api_keys"] = {"another"};
  fixture.store.Put("op/config", config.dump());
  RunUntil(&fixture.loop,
           [&] { return fixture.SendAndWait("/once/1").head->status == 401; });
  CHECK(fixture.SendAndWait("/once/1", "another").head->status == 200);
  // An older configuration is rejected even if the store delivers it.
  fixture.store.Put("op/config", RouterFixture::MakeConfigJson(1).dump());
  fixture.store.Put("servers/marker", "{}");
  for (int i = 0; i < 20; ++i) fixture.loop.RunOnce(Milliseconds(30));
  CHECK(fixture.SendAndWait("/once/1").head->status == 401);
}

TEST_CASE("the deployment is read again after the store compacted its history",
          "[fleet]") {
  RouterFixture fixture(75);
  fixture.store.SetPageSize(2);
  fixture.store.SetFault(StoreFault::kBusy);
  fixture.store.CutWatches();
  fixture.engines["plain-0"]->Unregister();
  auto config = RouterFixture::MakeConfigJson(3);
  config["routes"][1]["prefix"] = "/moved/";
  fixture.store.Put("op/config", config.dump());
  fixture.store.Compact();
  fixture.store.SetFault(StoreFault::kNone);
  RunUntil(&fixture.loop,
           [&] { return fixture.SendAndWait("/moved/1").head->status == 200; });
  RunUntil(&fixture.loop, [&] {
    return !fixture.router->registry().all().contains("plain-0");
  });
  CHECK(fixture.router->registry().all().size() == 3);
}

TEST_CASE("a malformed registration removes only its own upstream", "[fleet]") {
  RouterFixture fixture(76);
  fixture.store.Put("servers/plain-0", "\xff not json");
  fixture.store.Put("servers/invalid", R"({"service":3})");
  fixture.store.Put("somebody/else", "x");
  RunUntil(&fixture.loop, [&] {
    return !fixture.router->registry().all().contains("plain-0");
  });
  for (int i = 0; i < 4; ++i) {
    CHECK(fixture.SendAndWait("/once/1").head->status == 200);
  }
  CHECK(fixture.engines["plain-0"]->runs().empty());
}

// Guards against a router that ends, or no longer follows the store, because
// another writer has left an odd entry among those of the upstreams.
TEST_CASE("a router follows the store beside odd entries", "[fleet]") {
  RouterFixture fixture(108);
  auto with = [](const char* field, const std::string& value) {
    return std::string(R"({"service":"desk","address":"127.77.108.9:80",)") +
           R"("zone":"z1","slots":4,"state":"ready",")" + field +
           "\":" + value + "}";
  };
  const std::string odd[] = {
      std::string(500'000, '['),
      "{\"models\":" + std::string(100'000, '{'),
      with("future", std::string(200'000, '[') + std::string(200'000, ']')),
      with("slots", "1e300"),
      with("slots", "99999999999999999999"),
      with("slots", "1e400"),
      with("born", "-1e300"),
      with("address", R"("127.77.108.9:65536")"),
      with("address", R"("127.77.108.9:-1")"),
      std::string(3 << 20, '9'),
      std::string("\0\xff\xfe", 3),
  };
  int n = 0;
  for (const std::string& it : odd) {
    std::string key = "servers/odd-" + std::to_string(++n);
    fixture.store.Put(key, it);
    // The writer goes on.
    fixture.store.Put(key, it);
  }
  // The history holds each of the odd entries twice.
  fixture.store.SetFault(StoreFault::kNone);
  fixture.AddUpstream("plain-9", "desk", "", 9);
  RunUntil(&fixture.loop, [&] {
    return fixture.router->registry().all().contains("plain-9");
  });
  // Only a readable entry whose field of no known name is odd is used.
  CHECK(fixture.router->registry().all().size() == 6);
  // A router that reads the whole list bears it as well.
  fixture.store.Compact();
  fixture.store.CutWatches();
  fixture.engines["plain-9"]->Unregister();
  RunUntil(&fixture.loop, [&] {
    return !fixture.router->registry().all().contains("plain-9");
  });
  CHECK(fixture.SendAndWait("/stream/1").head->status == 200);
}

TEST_CASE("a draining upstream gets no new requests and completes its streams",
          "[fleet]") {
  struct Row {
    const char* name;
    bool announces_leaving;
  };
  for (const Row& row : {Row{"registers as leaving", true},
                         Row{"removes its registration", false}}) {
    INFO(row.name);
    RouterFixture fixture(77);
    // The stream must not end when its upstream's registration does.
    std::optional<CallResult> result;
    auto call = fixture.StartRequest("/stream/1", kApiKey, {}, &result);
    RunUntil(&fixture.loop, [&] { return fixture.ExecutionCount() == 1; });
    std::string id =
        fixture.engines["engine-0"]->runs().empty() ? "engine-1" : "engine-0";
    if (row.announces_leaving) {
      fixture.engines[id]->Register(true);
    } else {
      fixture.engines[id]->Unregister();
    }
    RunUntil(&fixture.loop, [&] { return result.has_value(); });
    REQUIRE(result->end == CallEnd::kComplete);
    CHECK(result->body == CompleteStream(6));
    RunUntil(&fixture.loop, [&] {
      auto& all = fixture.router->registry().all();
      auto it = all.find(id);
      return it == all.end() || it->second.record.leaving;
    });
    size_t before = fixture.engines[id]->runs().size();
    for (int i = 0; i < 3; ++i) {
      CHECK(fixture.SendAndWait("/stream/1").head->status == 200);
    }
    CHECK(fixture.engines[id]->runs().size() == before);
  }
}

TEST_CASE("a caller's disconnect cancels its request at the upstream",
          "[fleet]") {
  RouterFixture fixture(78);
  for (const char* path : {"/stream/1", "/safe/1"}) {
    INFO(path);
    fixture.SetFault(EngineFault::kNoResponse, 9);
    std::optional<CallResult> result;
    size_t before = fixture.ExecutionCount();
    auto call = fixture.StartRequest(path, kApiKey, {}, &result);
    RunUntil(&fixture.loop,
             [&] { return fixture.ExecutionCount() == before + 1; });
    call.reset();
    RunUntil(&fixture.loop, [&] {
      int running = 0;
      for (auto& [id, engine] : fixture.engines) running += engine->running();
      return running == 0;
    });
    CHECK(fixture.ExecutionCount() == before + 1);
  }
}

TEST_CASE(
    "a graceful stop completes running requests and closes new connections",
    "[fleet]") {
  RouterFixture fixture(79);
  std::optional<CallResult> result;
  auto call = fixture.StartRequest("/stream/1", kApiKey, {}, &result);
  RunUntil(&fixture.loop, [&] { return fixture.ExecutionCount() == 1; });
  fixture.router->BeginStop();
  CHECK_FALSE(fixture.router->IsReady());
  // New connections arrive until the load balancer detects the stop.
  CallResult late = fixture.SendAndWait("/once/1");
  CHECK(late.head->status == 200);
  CHECK_FALSE(late.head->keep_alive);
  RunUntil(&fixture.loop, [&] { return result.has_value(); });
  CHECK(result->body == CompleteStream(6));
}

// Guards against a request that waits for seconds because its engine got a load
// order right after the request was sent.
TEST_CASE("a request queued at a reloading engine is retried elsewhere",
          "[fleet]") {
  RouterFixture fixture(82);
  fixture.SetFault(EngineFault::kNoResponse, 1);
  std::optional<CallResult> result;
  auto call = fixture.StartRequest("/stream/1", kApiKey, {}, &result);
  RunUntil(&fixture.loop, [&] { return fixture.ExecutionCount() == 1; });
  bool is_first = !fixture.engines["engine-0"]->runs().empty();
  fixture.engines[is_first ? "engine-1" : "engine-0"]->SetFault(
      EngineFault::kNone, 0);
  UdpSocket agent(&fixture.loop, [](std::string_view, const Endpoint&) {});
  REQUIRE(agent.Bind({fixture.EndpointAt(11).ip, 18083}));
  UpstreamStatus status;
  status.upstream = fixture.EndpointAt(is_first ? 2 : 3);
  status.sequence = 1;
  status.reachable = true;
  status.loading = true;
  status.served_version = 1;
  agent.Send(EncodeMessage(status), {fixture.callers.ip, 18083});
  RunUntil(&fixture.loop, [&] { return result.has_value(); });
  REQUIRE(result->end == CallEnd::kComplete);
  CHECK(result->body == CompleteStream(6));
  CHECK(fixture.ExecutionCount() == 2);
}

// Guards against moving streams off a draining upstream: it accepts no new
// connections, so its agent reports it as unreachable while its streams
// continue.
TEST_CASE("streams stay at an upstream that accepts no new connections",
          "[fleet]") {
  RouterFixture fixture(83);
  for (auto& [id, engine] : fixture.engines) engine->SetEvents(kLongStream);
  std::optional<CallResult> result;
  auto call = fixture.StartRequest("/stream/1", kApiKey, {}, &result);
  RunUntil(&fixture.loop, [&] { return fixture.ExecutionCount() == 1; });
  bool is_first = !fixture.engines["engine-0"]->runs().empty();
  UdpSocket agent(&fixture.loop, [](std::string_view, const Endpoint&) {});
  REQUIRE(agent.Bind({fixture.EndpointAt(11).ip, 18083}));
  UpstreamStatus status;
  status.upstream = fixture.EndpointAt(is_first ? 2 : 3);
  status.sequence = 1;
  status.reachable = false;
  Timer status_timer = fixture.loop.Every(Milliseconds(5), [&] {
    ++status.sequence;
    agent.Send(EncodeMessage(status), {fixture.callers.ip, 18083});
  });
  RunUntil(&fixture.loop, [&] { return result.has_value(); });
  REQUIRE(result->end == CallEnd::kComplete);
  CHECK(result->body == CompleteStream(kLongStream));
  CHECK(fixture.ExecutionCount() == 1);
  CHECK(fixture.router->counters().retries == 0);
}

TEST_CASE(
    "a request queued on expiring weights is cancelled before they expire",
    "[fleet]") {
  RouterFixture fixture(81, Milliseconds(2000));
  RunUntil(&fixture.loop, [&] {
    return fixture.SendAndWait("/stream/1").head->status == 200;
  });
  size_t before = fixture.ExecutionCount();
  // The engines accept the request but send no event.
  fixture.SetFault(EngineFault::kNoResponse, 9);
  fixture.store.Put("op/version/m", R"({"model":"m","version":2})");
  std::optional<CallResult> result;
  auto call = fixture.StartRequest("/stream/1", kApiKey, {}, &result);
  RunUntil(&fixture.loop, [&] { return result.has_value(); });
  CHECK(result->head->status == 502);
  CHECK(fixture.ExecutionCount() >= before + 1);
  RunUntil(&fixture.loop, [&] {
    int running = 0;
    for (auto& [id, engine] : fixture.engines) running += engine->running();
    return running == 0;
  });
  // New requests are not sent to them either.
  CHECK(fixture.SendAndWait("/stream/1").head->status == 503);
}

TEST_CASE("a request that crashes its upstreams is refused after two sends",
          "[fleet]") {
  RouterFixture fixture(64);
  for (auto& [id, engine] : fixture.engines) engine->SetCrashingBody("body");
  auto crashes = [&] {
    int out = 0;
    for (auto& [id, engine] : fixture.engines) out += engine->crashes();
    return out;
  };
  // The same request is sent repeatedly with different ids. The first one is
  // unsuspected; the second one is a suspect and the only one at its upstream.
  for (uint64_t observations : {2, 4}) {
    CHECK(fixture.SendAndWait("/safe/x").head->status == 502);
    RunUntil(&fixture.loop, [&] {
      return fixture.router->counters().crash_observations == observations;
    });
  }
  CHECK(crashes() == 4);
  for (int i = 0; i < 5; ++i) {
    CallResult result = fixture.SendAndWait("/safe/x");
    CHECK(result.head->status == 503);
    CHECK(result.head->headers.Find("Retry-After"));
  }
  CHECK(crashes() == 4);
  // Other requests are still served.
  for (auto& [id, engine] : fixture.engines) engine->SetCrashingBody("");
  CHECK(fixture.SendAndWait("/safe/other").head->status == 200);
}

// Guards against upstreams that crash one after the other under requests that
// are all different, but share one part of their prompts.
TEST_CASE("requests that share a crashing prompt part are contained",
          "[fleet]") {
  RouterFixture fixture(96);
  for (auto& [id, engine] : fixture.engines)
    engine->SetCrashingPromptPart("bad");
  auto crashes = [&] {
    int out = 0;
    for (auto& [id, engine] : fixture.engines) out += engine->crashes();
    return out;
  };
  const CrashCorrelator& correlator = fixture.router->crash_correlator();
  int sent = 0;
  auto send = [&](const std::string& parts) {
    std::string n = std::to_string(++sent);
    return fixture.SendAndWait("/safe/" + n, kApiKey,
                               {{"Prefix-Hash", parts + ",own" + n + ":250"}});
  };
  for (int i = 0; i < 12; ++i) {
    send("first:800,bad:410");
    RunUntil(&fixture.loop, [&] {
      return correlator.counters().crashes >= static_cast<uint64_t>(crashes());
    });
  }
  CHECK(crashes() <= 5);
  CallResult refused = send("first:800,bad:410");
  CHECK(refused.head->status == 503);
  CHECK(refused.head->headers.Find("Retry-After"));
  // Sound requests that share the other part are served, at the latest when
  // one of them has shown that the part is sound.
  RunUntil(&fixture.loop,
           [&] { return send("first:800").head->status == 200; });
  for (int i = 0; i < 5; ++i) CHECK(send("first:800").head->status == 200);
  CHECK(crashes() <= 5);
}

// Guards against crashing requests that stay unknown because their attempt is
// ended by its deadline or its caller while the crashed upstream is silent.
TEST_CASE("an attempt that ends at a silent upstream is a lost connection",
          "[fleet]") {
  struct Row {
    const char* name;
    bool caller_leaves;
    uint64_t observations;
  };
  const Row rows[] = {
      {"the deadline passes", false, 1},
      {"the caller leaves", true, 1},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    RouterFixture fixture(92);
    fixture.SetFault(EngineFault::kNoResponse, 1);
    std::optional<CallResult> result;
    auto call = fixture.StartRequest("/once/x", kApiKey, {}, &result);
    RunUntil(&fixture.loop, [&] { return fixture.ExecutionCount() == 1; });
    if (row.caller_leaves) {
      SteadyTime sent_at = EventLoop::Now();
      RunUntil(&fixture.loop,
               [&] { return EventLoop::Now() - sent_at > Milliseconds(500); });
      call.reset();
    } else {
      RunUntil(&fixture.loop, [&] { return result.has_value(); });
      CHECK(result->head->status == 504);
    }
    for (auto& [id, engine] : fixture.engines) engine->Restart();
    auto& router = *fixture.router;
    RunUntil(&fixture.loop,
             [&] { return router.crash_correlator().counters().crashes >= 4; });
    CHECK(router.counters().crash_observations == row.observations);
  }
}

// Guards against a crashing request that goes on to another upstream although
// it became known, while it was running, that it must be refused.
TEST_CASE("a request that is blocked while it runs is not retried", "[fleet]") {
  RouterFixture fixture(93);
  for (auto& [id, engine] : fixture.engines) engine->SetEvents(kLongStream);
  std::optional<CallResult> result;
  auto call = fixture.StartRequest("/stream/x", kApiKey, {}, &result);
  RunUntil(&fixture.loop, [&] { return fixture.ExecutionCount() == 1; });
  CrashReport report;
  uint64_t fingerprint = RequestFingerprint("w1", "/stream/x", "body");
  for (uint64_t upstream : {101, 102, 103})
    report.entries.push_back(
        {fingerprint, upstream, 1, false, false, false, 60'000});
  UdpSocket peer(&fixture.loop, [](std::string_view, const Endpoint&) {});
  REQUIRE(peer.Bind(fixture.EndpointAt(20)));
  peer.Send(EncodeMessage(report), fixture.router->peer_endpoint());
  const CrashCorrelator& correlator = fixture.router->crash_correlator();
  RunUntil(&fixture.loop, [&] { return correlator.table().size() == 3; });
  for (auto& [id, engine] : fixture.engines) engine->AbortExecutions();
  RunUntil(&fixture.loop, [&] { return result.has_value(); });
  CHECK(fixture.ExecutionCount() == 1);
}

// Guards against a router that sends a request on because it started, or was
// cut off, after the request's crashes.
TEST_CASE("a router learns earlier crash observations from agents", "[fleet]") {
  RouterFixture fixture(94);
  CrashReport report;
  uint64_t fingerprint = RequestFingerprint("w1", "/stream/x", "body");
  for (uint64_t upstream : {101, 102, 103})
    report.entries.push_back(
        {fingerprint, upstream, 1, false, false, false, 60'000});
  // The agent beside engine-0.
  Endpoint agent = fixture.router->peer_endpoint();
  agent.ip = fixture.EndpointAt(2).ip;
  size_t learned_back = 0;
  std::unique_ptr<UdpSocket> peer;
  peer = std::make_unique<UdpSocket>(
      &fixture.loop, [&](std::string_view bytes, const Endpoint& from) {
        auto message = DecodeMessage(bytes);
        if (!message) return;
        if (const auto* it = std::get_if<CrashReport>(&message.value())) {
          learned_back = it->entries.size();
        } else if (std::holds_alternative<CrashDigest>(message.value())) {
          peer->Send(EncodeMessage(report), from);
          peer->Send(EncodeMessage(CrashDigest{1, true}), from);
        }
      });
  REQUIRE(peer->Bind(agent));
  UpstreamStatus status;
  status.upstream = fixture.EndpointAt(2);
  status.reachable = true;
  status.served_version = 1;
  RunUntil(&fixture.loop, [&] {
    ++status.sequence;
    peer->Send(EncodeMessage(status), fixture.router->peer_endpoint());
    return learned_back == 3;
  });
  CHECK(fixture.SendAndWait("/stream/x").head->status == 503);
  CHECK(fixture.ExecutionCount() == 0);
}

// Guards against sending an upstream more requests than it takes: it states its
// limit in a response and goes on answering.
TEST_CASE("an upstream gets no more requests than the rate limit it states",
          "[fleet]") {
  constexpr double kLimit = 1;  // Requests per second.
  RouterFixture fixture(95);
  for (auto& [id, engine] : fixture.engines) engine->SetEvents(1);
  fixture.engines["engine-1"]->Unregister();
  RunUntil(&fixture.loop, [&] {
    return !fixture.router->registry().all().contains("engine-1");
  });
  EngineStandIn& engine = *fixture.engines["engine-0"];
  engine.SetRateLimit("1");
  REQUIRE(fixture.SendAndWait("/stream/1").head->status == 200);
  int before = engine.arrivals();
  SteadyTime start = EventLoop::Now();
  int refused = 0;
  for (int i = 0; i < 40; ++i) {
    CallResult result = fixture.SendAndWait("/stream/1");
    if (result.head->status == 200) continue;
    ++refused;
    CHECK(result.head->status == 503);
    CHECK(result.head->headers.Find("Retry-After"));
  }
  std::chrono::duration<double> elapsed = EventLoop::Now() - start;
  double seconds = std::max(elapsed.count(), 4.0);
  CHECK(engine.arrivals() - before <= 1.5 * kLimit * seconds + 5);
  CHECK(refused + engine.arrivals() - before == 40);
  // Without the limit, all requests are served again.
  engine.SetRateLimit("");
  RunUntil(&fixture.loop, [&] {
    return fixture.SendAndWait("/stream/1").head->status == 200;
  });
  for (int i = 0; i < 10; ++i)
    CHECK(fixture.SendAndWait("/stream/1").head->status == 200);
}

// Guards against routers that have not heard of an upstream's rate limit: only
// the routers whose requests it answered are told.
// Guards against sending requests to an upstream that has turned one away and
// asked for rest, and against keeping callers when all upstreams rest.
TEST_CASE("an upstream gets no request during the rest that it asks for",
          "[fleet]") {
  constexpr Milliseconds kRest{1500};
  // Until the end of the rest, with time for the last request.
  constexpr Milliseconds kChecked{1200};
  RouterFixture fixture(97);
  fixture.SetFault(EngineFault::kRefuse, 100);
  for (auto& [id, engine] : fixture.engines) engine->SetRest("1.5");
  auto arrivals = [&] {
    int out = 0;
    for (auto& [id, engine] : fixture.engines) out += engine->arrivals();
    return out;
  };
  SteadyTime asked_at = EventLoop::Now();
  CHECK(fixture.SendAndWait("/safe/x").head->status == 503);
  CHECK(arrivals() == 2);
  for (int i = 0; i < 8; ++i) {
    CallResult result = fixture.SendAndWait("/safe/x");
    if (EventLoop::Now() - asked_at > kChecked) break;
    CHECK(result.head->status == 503);
    CHECK(arrivals() == 2);
    auto retry_after =
        ParseDecimal(result.head->headers.Find("Retry-After").value_or(""));
    REQUIRE(retry_after);
    auto end =
        std::chrono::duration<double>(asked_at + kRest - EventLoop::Now());
    CHECK(*retry_after >= end.count());
  }
  // Another service is not affected, and the rest ends.
  fixture.SetFault(EngineFault::kNone, 0);
  CHECK(fixture.SendAndWait("/stream/x").head->status == 200);
  RunUntil(&fixture.loop,
           [&] { return fixture.SendAndWait("/safe/x").head->status == 200; });
  CHECK(EventLoop::Now() - asked_at >= kRest);
}

// Guards against sending new requests to an upstream that says in a response
// that it leaves, whatever its registration says then.
TEST_CASE("an upstream that states that it leaves gets no new request",
          "[fleet]") {
  RouterFixture fixture(98);
  EngineStandIn& leaving = *fixture.engines.at("plain-0");
  leaving.SetStatesLeaving(true);
  RunUntil(&fixture.loop, [&] {
    fixture.SendAndWait("/safe/x");
    return leaving.arrivals() > 0;
  });
  int arrivals = leaving.arrivals();
  for (int i = 0; i < 10; ++i)
    CHECK(fixture.SendAndWait("/safe/x").head->status == 200);
  CHECK(leaving.arrivals() == arrivals);
  // The registration lapses and is back.
  leaving.Unregister();
  const UpstreamRegistry& registry = fixture.router->registry();
  RunUntil(&fixture.loop, [&] { return registry.all().size() == 3; });
  leaving.Register();
  RunUntil(&fixture.loop, [&] { return registry.all().size() == 4; });
  for (int i = 0; i < 10; ++i)
    CHECK(fixture.SendAndWait("/safe/x").head->status == 200);
  CHECK(leaving.arrivals() == arrivals);
  // A new process has made no such statement.
  leaving.Restart();
  RunUntil(&fixture.loop, [&] {
    fixture.SendAndWait("/safe/x");
    return leaving.arrivals() > arrivals;
  });
}

// Guards against responses that end with their connection and are taken for
// whole, or for cut off, and against those without end, which would fill the
// memory of the router.
TEST_CASE("responses of unusual length reach the caller whole or as failures",
          "[fleet]") {
  using End = RawServer::End;
  struct Row {
    const char* name;
    const char* path;
    RawServer::ScriptedResponse response;
    CallEnd end;
    int status;
    std::string body;
  };
  const std::string head = "HTTP/1.1 200 OK\r\nServer-Signature: s\r\n";
  const std::string event = "id: 1\ndata: token\n\n";
  const std::string block(64 << 10, 'x');
  const Row rows[] = {
      {"ends with its connection",
       "/raw/x",
       {head + "\r\nabc", End::kClose},
       CallEnd::kComplete,
       200,
       "abc"},
      {"ends with a reset",
       "/raw/x",
       {head + "\r\nabc", End::kReset},
       CallEnd::kComplete,
       502,
       ""},
      {"a stream that ends with its connection",
       "/raw-stream/x",
       {head + "\r\n" + event, End::kClose},
       CallEnd::kComplete,
       200,
       event},
      {"a stream that ends with a reset",
       "/raw-stream/x",
       {head + "\r\n" + event, End::kReset},
       CallEnd::kConnectionLost,
       200,
       event},
      {"a stream that ends inside an event",
       "/raw-stream/x",
       {head + "\r\n" + event + "id: 2\nda", End::kClose},
       CallEnd::kConnectionLost,
       200,
       event},
      {"a body without end",
       "/raw/x",
       {head + "\r\n", End::kKeepOpen, block},
       CallEnd::kComplete,
       502,
       ""},
      {"a head without end",
       "/raw/x",
       {head, End::kKeepOpen, "X-Field: x\r\n"},
       CallEnd::kComplete,
       502,
       ""},
      {"an event without end",
       "/raw-stream/x",
       {head + "\r\n" + event + "id: 2\ndata: ", End::kKeepOpen, block},
       CallEnd::kConnectionLost,
       200,
       event},
  };
  constexpr size_t kMaxRepeatedBytes = 16 << 20;
  RouterFixture fixture(99);
  for (const Row& row : rows) {
    INFO(row.name);
    RawServer server(&fixture.loop, fixture.EndpointAt(7));
    server.Add(row.response);
    nlohmann::json entry = {{"service", "raw"},
                            {"address", fixture.EndpointAt(7).ToString()},
                            {"zone", "z1"},
                            {"version", "v1"},
                            {"slots", 4},
                            {"state", "ready"},
                            {"cold_remaining_ms", 0},
                            {"sequence", 1}};
    fixture.store.Put("servers/raw", entry.dump());
    const UpstreamRegistry& registry = fixture.router->registry();
    RunUntil(&fixture.loop, [&] { return registry.all().contains("raw"); });
    CallResult result = fixture.SendAndWait(row.path);
    CHECK(result.end == row.end);
    // The reset may overtake the events before it.
    bool has_lost_events =
        row.end == CallEnd::kConnectionLost && result.body.empty();
    if (result.head) CHECK(result.head->status == row.status);
    CHECK((has_lost_events || result.body == row.body));
    CHECK(server.repeated_bytes() <= kMaxRepeatedBytes);
    fixture.store.Remove("servers/raw");
    RunUntil(&fixture.loop, [&] { return !registry.all().contains("raw"); });
  }
}

TEST_CASE("routers tell each other the rate limits of upstreams", "[fleet]") {
  RouterFixture fixture(96);
  fixture.engines["engine-1"]->Unregister();
  RunUntil(&fixture.loop, [&] {
    return !fixture.router->registry().all().contains("engine-1");
  });
  // The agent beside engine-0.
  Endpoint agent = fixture.router->peer_endpoint();
  agent.ip = fixture.EndpointAt(2).ip;
  std::optional<RateLimitStatementEntry> reported;
  UdpSocket peer(&fixture.loop, [&](std::string_view bytes, const Endpoint&) {
    auto message = DecodeMessage(bytes);
    if (!message) return;
    const auto* report = std::get_if<RateLimitReport>(&message.value());
    if (report != nullptr && !report->entries.empty())
      reported = report->entries[0].statement;
  });
  REQUIRE(peer.Bind(agent));
  UpstreamStatus status;
  status.upstream = fixture.EndpointAt(2);
  status.reachable = true;
  status.served_version = 1;
  auto send_status = [&] {
    ++status.sequence;
    peer.Send(EncodeMessage(status), fixture.router->peer_endpoint());
  };
  // This router learns of the limit.
  fixture.engines["engine-0"]->SetRateLimit("1000");
  REQUIRE(fixture.SendAndWait("/stream/1").head->status == 200);
  RunUntil(&fixture.loop, [&] {
    send_status();
    return reported.has_value();
  });
  CHECK(reported->upstream_id == "engine-0");
  CHECK(reported->limit == 1000);
  // Another router has learned of a new one, and other routers share it.
  RateLimitSummaryEntry entry;
  entry.statement = *reported;
  entry.statement.limit = 2;
  entry.statement.age_ms = 0;
  entry.sharers = {1, 2, 3};
  entry.is_truncated = true;
  RunUntil(&fixture.loop, [&] {
    send_status();
    peer.Send(EncodeMessage(RateLimitSummary{{entry}}),
              fixture.router->peer_endpoint());
    return reported->limit == 2;
  });
  int before = fixture.engines["engine-0"]->arrivals();
  CallResult result = fixture.SendAndWait("/stream/1");
  CHECK(result.head->status == 503);
  CHECK(result.head->headers.Find("Retry-After"));
  CHECK(fixture.engines["engine-0"]->arrivals() == before);
}

// Guards against a retry budget that grows with failed connections: such an
// attempt is repeated without counting as a retry.
TEST_CASE("a request whose connection failed counts once in the retry budget",
          "[fleet]") {
  RouterFixture fixture(97);
  fixture.engines["plain-0"]->Unregister();
  fixture.engines["plain-1"]->Unregister();
  // Nothing listens at these addresses.
  for (int i = 0; i < 2; ++i) {
    nlohmann::json entry = {{"service", "desk"},
                            {"address", fixture.EndpointAt(30 + i).ToString()},
                            {"zone", "z1"},
                            {"slots", 4},
                            {"state", "ready"}};
    fixture.store.Put("servers/absent-" + std::to_string(i), entry.dump());
  }
  RunUntil(&fixture.loop, [&] {
    auto& all = fixture.router->registry().all();
    return all.contains("absent-1") && !all.contains("plain-1");
  });
  CHECK(fixture.SendAndWait("/safe/1").head->status == 503);
  CHECK(fixture.router->counters().sent == 1);
  CHECK(fixture.router->counters().retries == 0);
}

TEST_CASE("a request misdirected by a stale registration is not executed",
          "[fleet]") {
  RouterFixture fixture(80);
  // The address belongs to another server now; its registration is stale.
  fixture.engines["plain-0"]->Unregister();
  nlohmann::json entry = {{"service", "desk"},
                          {"address", fixture.EndpointAt(4).ToString()},
                          {"zone", "z1"},
                          {"slots", 4},
                          {"state", "ready"}};
  fixture.store.Put("servers/stale", entry.dump());
  fixture.engines["plain-1"]->Unregister();
  RunUntil(&fixture.loop, [&] {
    auto& all = fixture.router->registry().all();
    return all.contains("stale") && !all.contains("plain-1");
  });
  CallResult result = fixture.SendAndWait("/once/1");
  CHECK(result.head->status == 503);
  CHECK(fixture.engines["plain-0"]->misdirected() == 1);
  CHECK(fixture.engines["plain-0"]->runs().empty());
}

}  // namespace
}  // namespace primrosecove
