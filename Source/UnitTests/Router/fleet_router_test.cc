// A fleet's router against stand-ins of the store and of upstreams, with
// induced failures.
#include "Core/Router/fleet_router.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>

#include "../test_support.h"
#include "platform/testing/engine_stand_in.h"
#include "platform/testing/store_stand_in.h"

namespace primrosecove {
namespace {

using platform::EngineFault;
using platform::EngineStandIn;
using platform::StoreFault;
using platform::StoreStandIn;

constexpr char kKey[] = "secret-key";
// Events of a stream that lasts over several looks at the requests under way.
constexpr int kLongStream = 40;

nlohmann::json RouteJson(const char* prefix, const char* type,
                         const char* service, int attempts) {
  bool stream = std::string(type) == "streaming";
  return {
      {"name", prefix},      {"host", "h.example"}, {"prefix", prefix},
      {"route_type", type},  {"timeout_ms", 2000},  {"latency_target_ms", 500},
      {"priority", 1},       {"service", service},  {"max_attempts", attempts},
      {"resumable", stream}, {"sticky", stream},    {"public", false}};
}

// One router before two engines and two plain services.
class Fleet {
 public:
  explicit Fleet(int group, Milliseconds version_bound = Milliseconds(8000))
      : group_(group), store(&loop) {
    if (!store.Listen(At(1))) FAIL("store");
    store.Put("op/config", Config(1).dump());
    for (int i = 0; i < 2; ++i) {
      Add("engine-" + std::to_string(i), "llm", "m", 2 + i);
      Add("plain-" + std::to_string(i), "desk", "", 4 + i);
    }
    HostSettings settings;
    settings.name = "router-1";
    settings.zone = "z1";
    settings.region = "r1";
    settings.region_of_zone = {{"z1", "r1"}};
    settings.ip = At(10).ip;
    settings.caller_endpoint = {At(10).ip, 18081};
    settings.readiness_endpoint = {At(10).ip, 18082};
    settings.first_internal_port = 18083;
    settings.store_endpoint = At(1);
    settings.max_descriptors = 1000;
    settings.bounds.strict_revoke = true;
    settings.bounds.revoke = Milliseconds(1500);
    settings.bounds.config_apply = Milliseconds(600);
    settings.bounds.version = version_bound;
    callers = settings.caller_endpoint;
    router =
        std::make_unique<FleetRouter>(&loop, FleetRouterOptions{}, settings);
    if (!router->Start()) FAIL("router");
    RunUntil(&loop, [&] {
      return router->Ready() && router->registry().all().size() == 4;
    });
  }

  Endpoint At(int n) const { return TestEndpoint(group_, n); }

  static nlohmann::json Config(uint64_t version) {
    return {{"version", version},
            {"routes",
             {RouteJson("/stream/", "streaming", "llm", 2),
              RouteJson("/once/", "unsafe", "desk", 1),
              RouteJson("/safe/", "safe", "desk", 2)}},
            {"services",
             {{{"name", "llm"},
               {"max_conns", 50},
               {"runtime",
                {{"slots", 4},
                 {"models", {{{"name", "m"}, {"warm_s", 0.01}}}},
                 {"chunks", 4},
                 {"chunk_bytes", 512}}}},
              {{"name", "desk"}, {"max_conns", 50}}}},
            {"tenants", {{{"name", "w1"}, {"api_keys", {kKey}}}}},
            {"limits", {{"idle_timeout_ms", 15000}}}};
  }

  void Add(const std::string& id, const std::string& service,
           const std::string& model, int at) {
    EngineStandIn::Options options;
    options.id = id;
    options.service = service;
    options.zone = "z1";
    options.endpoint = At(at);
    options.model = model;
    options.version = model.empty() ? 0 : 1;
    auto engine = std::make_unique<EngineStandIn>(&loop, &store, options);
    if (!engine->Start()) FAIL(id);
    engines[id] = std::move(engine);
  }

  // Sends a request and returns how it ended.
  CallResult Ask(const std::string& path, const std::string& key = kKey,
                 HttpHeaders more = {}) {
    std::optional<CallResult> out;
    auto call = Begin(path, key, std::move(more), &out);
    RunUntil(&loop, [&] { return out.has_value(); });
    return std::move(*out);
  }

  std::unique_ptr<Http1Call> Begin(const std::string& path,
                                   const std::string& key, HttpHeaders more,
                                   std::optional<CallResult>* out) {
    HttpRequest request;
    request.method = "POST";
    request.target = path;
    request.headers = std::move(more);
    request.headers.Add("Host", "h.example");
    request.headers.Add("Request-Id", "req-" + std::to_string(++sent));
    request.headers.Add("Deadline-Ms", "2000");
    request.headers.Add("Model", "m");
    if (!key.empty()) request.headers.Add("Authorization", "Bearer " + key);
    request.body = "body";
    CallOptions options;
    options.timeout = Milliseconds(10'000);
    options.fresh_connection = true;
    CallEvents events;
    events.on_end = [out](CallResult result) { *out = std::move(result); };
    return client.Send(callers, request, options, std::move(events));
  }

  // How often requests ran at all upstreams together.
  size_t Runs() const {
    size_t out = 0;
    for (auto& [id, engine] : engines) out += engine->runs().size();
    return out;
  }

  void SetFault(EngineFault fault, int count) {
    for (auto& [id, engine] : engines) engine->SetFault(fault, count);
  }

 private:
  int group_;

 public:
  EventLoop loop;
  StoreStandIn store;
  Http1Client client{&loop};
  std::map<std::string, std::unique_ptr<EngineStandIn>> engines;
  std::unique_ptr<FleetRouter> router;
  Endpoint callers;
  int sent = 0;
};

std::string WholeStream(int events) {
  std::string out;
  for (int n = 1; n <= events; ++n) {
    out += "id: " + std::to_string(n) + "\ndata: token " + std::to_string(n) +
           "\n\n";
  }
  return out;
}

TEST_CASE("a fleet's router answers truthfully under each fault", "[fleet]") {
  struct Row {
    const char* name;
    const char* path;
    EngineFault fault;
    int count;    // at each upstream
    int status;   // 0: the answer is broken off
    size_t runs;  // at all upstreams
  };
  const Row rows[] = {
      {"a stream", "/stream/1", EngineFault::kNone, 0, 200, 1},
      {"a stream whose upstreams refuse", "/stream/1", EngineFault::kRefuse, 9,
       503, 0},
      {"a request that runs once, all well", "/once/1", EngineFault::kNone, 0,
       200, 1},
      {"refused as not run when no upstream ran it", "/once/1",
       EngineFault::kRefuse, 9, 503, 0},
      {"no promise after a reset", "/once/1", EngineFault::kReset, 9, 502, 1},
      {"no promise while silent", "/once/1", EngineFault::kNoResponse, 9, 504,
       1},
      {"a server's own failure passes", "/once/1", EngineFault::kError, 9, 500,
       1},
      {"an unsigned success doesn't", "/once/1", EngineFault::kUnsigned, 9, 502,
       1},
      {"an idempotent request is repeated", "/safe/1", EngineFault::kReset, 1,
       502, 2},
      {"but on no more upstreams than its route allows", "/safe/1",
       EngineFault::kReset, 9, 502, 2},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    Fleet fleet(70);
    fleet.SetFault(row.fault, row.count);
    CallResult result = fleet.Ask(row.path);
    REQUIRE(result.end == CallEnd::kComplete);
    CHECK(result.head->status == row.status);
    CHECK(fleet.Runs() == row.runs);
    bool is_refusal = row.status == 503;
    CHECK(result.head->headers.Find("Retry-After").has_value() == is_refusal);
  }
}

TEST_CASE("a stream goes on elsewhere without gap or repeat", "[fleet]") {
  Fleet fleet(71);
  fleet.SetFault(EngineFault::kTruncateEvent, 1);
  // The second upstream must not cut: only the first to run does.
  CallResult result = fleet.Ask("/stream/1");
  if (result.end == CallEnd::kComplete) {
    CHECK(result.body == WholeStream(6));
  } else {
    // Both cut; a broken answer must not look complete.
    CHECK(result.end == CallEnd::kConnectionLost);
  }
  fleet.SetFault(EngineFault::kNone, 0);
  fleet.engines["engine-0"]->SetFault(EngineFault::kTruncateEvent, 1);
  for (int i = 0; i < 4; ++i) {
    CallResult again = fleet.Ask("/stream/1");
    REQUIRE(again.end == CallEnd::kComplete);
    CHECK(again.body == WholeStream(6));
  }
}

TEST_CASE("keys become workspaces and go no further", "[fleet]") {
  Fleet fleet(72);
  fleet.Ask("/once/1", kKey, {{"Tenant", "somebody-else"}});
  CHECK(fleet.Ask("/once/1", "wrong").head->status == 401);
  CHECK(fleet.Ask("/once/1", "").head->status == 401);
  CHECK(fleet.Ask("/nowhere/1").head->status == 404);
  REQUIRE(fleet.Runs() == 1);
  for (auto& [id, engine] : fleet.engines) {
    for (const platform::EngineRun& run : engine->runs()) {
      CHECK(run.workspace == "w1");
      CHECK_FALSE(run.had_credentials);
      CHECK(run.body == "body");
    }
  }
}

TEST_CASE("keys run nothing once the configuration may be too old", "[fleet]") {
  struct Row {
    const char* name;
    StoreFault fault;
  };
  const Row rows[] = {{"silent", StoreFault::kNoResponse},
                      {"busy", StoreFault::kBusy},
                      {"too many", StoreFault::kTooMany},
                      {"reset", StoreFault::kReset},
                      {"answers lost", StoreFault::kLoseResponse}};
  for (const Row& row : rows) {
    INFO(row.name);
    Fleet fleet(73);
    REQUIRE(fleet.Ask("/once/1").head->status == 200);
    fleet.store.SetFault(row.fault);
    fleet.store.CutWatches();
    int status = 200;
    RunUntil(&fleet.loop, [&] {
      status = fleet.Ask("/once/1").head->status;
      return status != 200;
    });
    CHECK(status == 503);
    size_t runs = fleet.Runs();
    // A key taken meanwhile must not run, and none is denied for good.
    CHECK(fleet.Ask("/once/1").head->status == 503);
    CHECK(fleet.Ask("/once/1", "new-key").head->status == 503);
    CHECK(fleet.Runs() == runs);
    fleet.store.SetFault(StoreFault::kNone);
    RunUntil(&fleet.loop,
             [&] { return fleet.Ask("/once/1").head->status == 200; });
  }
}

TEST_CASE("a taken key is refused as soon as the store says so", "[fleet]") {
  Fleet fleet(74);
  auto config = Fleet::Config(2);
  config["tenants"][0]["api_keys"] = {"another"};
  fleet.store.Put("op/config", config.dump());
  RunUntil(&fleet.loop,
           [&] { return fleet.Ask("/once/1").head->status == 401; });
  CHECK(fleet.Ask("/once/1", "another").head->status == 200);
  // An older configuration is not taken, whatever the store says.
  fleet.store.Put("op/config", Fleet::Config(1).dump());
  fleet.store.Put("servers/marker", "{}");
  for (int i = 0; i < 20; ++i) fleet.loop.RunOnce(Milliseconds(30));
  CHECK(fleet.Ask("/once/1").head->status == 401);
}

TEST_CASE("the deployment is read anew when the store forgot its history",
          "[fleet]") {
  Fleet fleet(75);
  fleet.store.SetPageSize(2);
  fleet.store.SetFault(StoreFault::kBusy);
  fleet.store.CutWatches();
  fleet.engines["plain-0"]->Unregister();
  auto config = Fleet::Config(3);
  config["routes"][1]["prefix"] = "/moved/";
  fleet.store.Put("op/config", config.dump());
  fleet.store.Compact();
  fleet.store.SetFault(StoreFault::kNone);
  RunUntil(&fleet.loop,
           [&] { return fleet.Ask("/moved/1").head->status == 200; });
  RunUntil(&fleet.loop,
           [&] { return !fleet.router->registry().all().contains("plain-0"); });
  CHECK(fleet.router->registry().all().size() == 3);
}

TEST_CASE("malformed registrations take only their own upstream away",
          "[fleet]") {
  Fleet fleet(76);
  fleet.store.Put("servers/plain-0", "\xff not json");
  fleet.store.Put("servers/stranger", R"({"service":3})");
  fleet.store.Put("somebody/else", "x");
  RunUntil(&fleet.loop,
           [&] { return !fleet.router->registry().all().contains("plain-0"); });
  for (int i = 0; i < 4; ++i) {
    CHECK(fleet.Ask("/once/1").head->status == 200);
  }
  CHECK(fleet.engines["plain-0"]->runs().empty());
}

TEST_CASE("a leaving upstream gets nothing new and ends what it has",
          "[fleet]") {
  struct Row {
    const char* name;
    bool says_so;
  };
  for (const Row& row :
       {Row{"says it is leaving", true}, Row{"just leaves the list", false}}) {
    INFO(row.name);
    Fleet fleet(77);
    // Long enough that the stream is cut if its upstream's end on the list
    // counted as its own end.
    std::optional<CallResult> result;
    auto call = fleet.Begin("/stream/1", kKey, {}, &result);
    RunUntil(&fleet.loop, [&] { return fleet.Runs() == 1; });
    std::string id =
        fleet.engines["engine-0"]->runs().empty() ? "engine-1" : "engine-0";
    if (row.says_so) {
      fleet.engines[id]->Register(true);
    } else {
      fleet.engines[id]->Unregister();
    }
    RunUntil(&fleet.loop, [&] { return result.has_value(); });
    REQUIRE(result->end == CallEnd::kComplete);
    CHECK(result->body == WholeStream(6));
    RunUntil(&fleet.loop, [&] {
      auto& all = fleet.router->registry().all();
      auto it = all.find(id);
      return it == all.end() || it->second.record.leaving;
    });
    size_t before = fleet.engines[id]->runs().size();
    for (int i = 0; i < 3; ++i) {
      CHECK(fleet.Ask("/stream/1").head->status == 200);
    }
    CHECK(fleet.engines[id]->runs().size() == before);
  }
}

TEST_CASE("a caller that leaves takes its request with it", "[fleet]") {
  Fleet fleet(78);
  for (const char* path : {"/stream/1", "/safe/1"}) {
    INFO(path);
    fleet.SetFault(EngineFault::kNoResponse, 9);
    std::optional<CallResult> result;
    size_t before = fleet.Runs();
    auto call = fleet.Begin(path, kKey, {}, &result);
    RunUntil(&fleet.loop, [&] { return fleet.Runs() == before + 1; });
    call.reset();
    RunUntil(&fleet.loop, [&] {
      int running = 0;
      for (auto& [id, engine] : fleet.engines) running += engine->running();
      return running == 0;
    });
    CHECK(fleet.Runs() == before + 1);
  }
}

TEST_CASE("a planned stop ends no request and takes no new one for long",
          "[fleet]") {
  Fleet fleet(79);
  std::optional<CallResult> result;
  auto call = fleet.Begin("/stream/1", kKey, {}, &result);
  RunUntil(&fleet.loop, [&] { return fleet.Runs() == 1; });
  fleet.router->BeginStop();
  CHECK_FALSE(fleet.router->Ready());
  // The balancer notices only after a while.
  CallResult late = fleet.Ask("/once/1");
  CHECK(late.head->status == 200);
  CHECK_FALSE(late.head->keep_alive);
  RunUntil(&fleet.loop, [&] { return result.has_value(); });
  CHECK(result->body == WholeStream(6));
}

// The load: an engine is ordered to load right after it was sent a request.
TEST_CASE("a request that waits at a loading engine goes elsewhere",
          "[fleet]") {
  Fleet fleet(82);
  fleet.SetFault(EngineFault::kNoResponse, 1);
  std::optional<CallResult> result;
  auto call = fleet.Begin("/stream/1", kKey, {}, &result);
  RunUntil(&fleet.loop, [&] { return fleet.Runs() == 1; });
  bool first = !fleet.engines["engine-0"]->runs().empty();
  fleet.engines[first ? "engine-1" : "engine-0"]->SetFault(EngineFault::kNone,
                                                           0);
  UdpSocket agent(&fleet.loop, [](std::string_view, const Endpoint&) {});
  REQUIRE(agent.Bind({fleet.At(11).ip, 18083}));
  UpstreamStatus status;
  status.upstream = fleet.At(first ? 2 : 3);
  status.sequence = 1;
  status.reachable = true;
  status.loading = true;
  status.served_version = 1;
  agent.Send(EncodeMessage(status), {fleet.callers.ip, 18083});
  RunUntil(&fleet.loop, [&] { return result.has_value(); });
  REQUIRE(result->end == CallEnd::kComplete);
  CHECK(result->body == WholeStream(6));
  CHECK(fleet.Runs() == 2);
}

// An upstream that leaves takes no new connections, so its agent reports it as
// unreachable while its streams go on.
TEST_CASE("streams of an upstream that takes no new connections stay there",
          "[fleet]") {
  Fleet fleet(83);
  for (auto& [id, engine] : fleet.engines) engine->SetEvents(kLongStream);
  std::optional<CallResult> result;
  auto call = fleet.Begin("/stream/1", kKey, {}, &result);
  RunUntil(&fleet.loop, [&] { return fleet.Runs() == 1; });
  bool first = !fleet.engines["engine-0"]->runs().empty();
  UdpSocket agent(&fleet.loop, [](std::string_view, const Endpoint&) {});
  REQUIRE(agent.Bind({fleet.At(11).ip, 18083}));
  UpstreamStatus status;
  status.upstream = fleet.At(first ? 2 : 3);
  status.sequence = 1;
  status.reachable = false;
  Timer repeat = fleet.loop.Every(Milliseconds(5), [&] {
    ++status.sequence;
    agent.Send(EncodeMessage(status), {fleet.callers.ip, 18083});
  });
  RunUntil(&fleet.loop, [&] { return result.has_value(); });
  REQUIRE(result->end == CallEnd::kComplete);
  CHECK(result->body == WholeStream(kLongStream));
  CHECK(fleet.Runs() == 1);
  CHECK(fleet.router->counters().repeats == 0);
}

TEST_CASE("a request that waits at old weights is taken back in time",
          "[fleet]") {
  Fleet fleet(81, Milliseconds(2000));
  RunUntil(&fleet.loop,
           [&] { return fleet.Ask("/stream/1").head->status == 200; });
  size_t before = fleet.Runs();
  // The engines take the request and begin nothing.
  fleet.SetFault(EngineFault::kNoResponse, 9);
  fleet.store.Put("op/version/m", R"({"model":"m","version":2})");
  std::optional<CallResult> result;
  auto call = fleet.Begin("/stream/1", kKey, {}, &result);
  RunUntil(&fleet.loop, [&] { return result.has_value(); });
  CHECK(result->head->status == 502);
  CHECK(fleet.Runs() >= before + 1);
  RunUntil(&fleet.loop, [&] {
    int running = 0;
    for (auto& [id, engine] : fleet.engines) running += engine->running();
    return running == 0;
  });
  // Nothing new is sent to them either.
  CHECK(fleet.Ask("/stream/1").head->status == 503);
}

TEST_CASE("a request that crashes what runs it is soon refused", "[fleet]") {
  Fleet fleet(64);
  for (auto& [id, engine] : fleet.engines) engine->SetCrashingBody("body");
  auto crashes = [&] {
    int out = 0;
    for (auto& [id, engine] : fleet.engines) out += engine->crashes();
    return out;
  };
  // It comes again and again, each time with an id of its own. At first it is
  // like any other, then a suspect that runs alone where it runs.
  for (uint64_t sightings : {2, 4}) {
    CHECK(fleet.Ask("/safe/x").head->status == 502);
    RunUntil(&fleet.loop, [&] {
      return fleet.router->counters().crash_sightings == sightings;
    });
  }
  CHECK(crashes() == 4);
  for (int i = 0; i < 5; ++i) {
    CallResult result = fleet.Ask("/safe/x");
    CHECK(result.head->status == 503);
    CHECK(result.head->headers.Find("Retry-After"));
  }
  CHECK(crashes() == 4);
  // Others are served all the while.
  for (auto& [id, engine] : fleet.engines) engine->SetCrashingBody("");
  CHECK(fleet.Ask("/safe/other").head->status == 200);
}

TEST_CASE("another server at a known address runs nothing", "[fleet]") {
  Fleet fleet(80);
  // The address now belongs to another server; the registration is old.
  fleet.engines["plain-0"]->Unregister();
  nlohmann::json entry = {{"service", "desk"},
                          {"address", fleet.At(4).ToString()},
                          {"zone", "z1"},
                          {"slots", 4},
                          {"state", "ready"}};
  fleet.store.Put("servers/ghost", entry.dump());
  fleet.engines["plain-1"]->Unregister();
  RunUntil(&fleet.loop, [&] {
    auto& all = fleet.router->registry().all();
    return all.contains("ghost") && !all.contains("plain-1");
  });
  CallResult result = fleet.Ask("/once/1");
  CHECK(result.head->status == 503);
  CHECK(fleet.engines["plain-0"]->misdirected() == 1);
  CHECK(fleet.engines["plain-0"]->runs().empty());
}

}  // namespace
}  // namespace primrosecove
