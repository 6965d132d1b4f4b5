// Tests FleetRouter against upstreams that stand still for a while and go on.
#include "../test_support.h"
#include "Core/Common/text.h"
#include "fleet_router_fixture.h"

namespace primrosecove {
namespace {

// Longer than the silence after which a second attempt may start.
constexpr Milliseconds kStandstill{1200};
// Events of a stream that lasts for several checks of the requests in flight.
constexpr int kLongStream = 40;

// Two engines and two plain services; the first to get the request stands still
// while the other one refuses all requests or serves them.
class StandstillFixture : public RouterFixture {
 public:
  explicit StandstillFixture(int group) : RouterFixture(group) {
    for (auto& [id, engine] : engines) engine->SetEvents(kLongStream);
    auto config = MakeConfigJson(2);
    for (auto& route : config["routes"]) route["timeout_ms"] = 8000;
    store.Put("op/config", config.dump());
    caller_deadline_ms = "8000";
    RunUntil(&loop, [this] { return router->config_version() == 2; });
  }

  // Starts a request, and waits until it has reached an upstream.
  void Start(const std::string& path) {
    size_t before = ExecutionCount();
    call = StartRequest(path, kApiKey, {}, &result);
    RunUntil(&loop, [&] { return ExecutionCount() > before; });
    bool plain = !path.starts_with("/stream");
    std::string kind = plain ? "plain-" : "engine-";
    bool is_first = !engines[kind + "0"]->runs().empty();
    first = engines[kind + (is_first ? "0" : "1")].get();
    second = engines[kind + (is_first ? "1" : "0")].get();
  }

  // Lets the first upstream stand still for `duration`.
  void StandStill(Milliseconds duration) {
    first->StandStill();
    timer = loop.After(duration, [this] { first->GoOn(); });
  }

  void WaitForResult() {
    RunUntil(&loop, [&] { return result.has_value(); });
  }

  // Returns the id of an upstream.
  std::string IdOf(const EngineStandIn* upstream) const {
    for (const auto& [id, it] : engines) {
      if (it.get() == upstream) return id;
    }
    return "";
  }

  std::optional<CallResult> result;
  std::unique_ptr<Http1Call> call;
  EngineStandIn* first = nullptr;
  EngineStandIn* second = nullptr;
  Timer timer;
};

// Guards against ending what a silent upstream would have completed: its
// requests were abandoned after 900 ms, and the refusal of the retry ended the
// response.
TEST_CASE("requests are completed by an upstream that stood still",
          "[fleet][silence]") {
  struct Row {
    const char* name;
    const char* path;
    bool begins_before;  // The response begins before the standstill.
    bool second_refuses;
  };
  const Row rows[] = {
      {"stream with events", "/stream/1", true, true},
      {"stream without events", "/stream/1", false, true},
      {"idempotent request", "/safe/1", false, true},
      {"request that may run once", "/once/1", false, true},
      {"stream with events, another engine has free slots", "/stream/1", true,
       false},
      {"stream without events, another engine has free slots", "/stream/1",
       false, false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    StandstillFixture fixture(101);
    fixture.Start(row.path);
    if (row.begins_before) {
      RunUntil(&fixture.loop, [&] { return fixture.first->events_sent() > 0; });
    }
    fixture.StandStill(kStandstill);
    if (row.second_refuses) fixture.second->SetFault(EngineFault::kRefuse, 100);
    fixture.WaitForResult();
    REQUIRE(fixture.result->end == CallEnd::kComplete);
    CHECK(fixture.result->head->status == 200);
    bool is_stream = std::string(row.path).starts_with("/stream");
    if (is_stream) CHECK(fixture.result->body == CompleteStream(kLongStream));
    CHECK(fixture.router->counters().failed == 0);
    CHECK(fixture.router->counters().aborted == 0);
  }
}

// Guards against a stream that waits for an upstream which never goes on, and
// against an execution that continues there.
TEST_CASE("a stream continues elsewhere if its upstream stands still for good",
          "[fleet][silence]") {
  for (bool begins_before : {true, false}) {
    INFO("begins before the standstill: " << begins_before);
    StandstillFixture fixture(102);
    fixture.Start("/stream/1");
    if (begins_before) {
      RunUntil(&fixture.loop, [&] { return fixture.first->events_sent() > 0; });
    }
    fixture.first->StandStill();
    fixture.WaitForResult();
    REQUIRE(fixture.result->end == CallEnd::kComplete);
    CHECK(fixture.result->body == CompleteStream(kLongStream));
    CHECK(fixture.ExecutionCount() == 2);
    RunUntil(&fixture.loop, [&] { return fixture.first->cancelled() == 1; });
  }
}

// Guards against new requests that wait at a silent upstream, and against its
// ejection after it has gone on.
TEST_CASE("a silent upstream gets no new requests until it goes on",
          "[fleet][silence]") {
  StandstillFixture fixture(103);
  fixture.Start("/stream/1");
  RunUntil(&fixture.loop, [&] { return fixture.first->events_sent() > 0; });
  auto& upstreams = fixture.router->registry().all();
  std::string id = fixture.IdOf(fixture.first);
  fixture.first->StandStill();
  RunUntil(&fixture.loop,
           [&] { return upstreams.at(id).silent_since.has_value(); });
  size_t before = fixture.first->runs().size();
  for (int i = 0; i < 3; ++i) {
    CHECK(fixture.SendAndWait("/stream/2").head->status == 200);
  }
  fixture.first->GoOn();
  CHECK(fixture.first->runs().size() == before);
  RunUntil(&fixture.loop, [&] { return !upstreams.at(id).silent_since; });
  CHECK(upstreams.at(id).consecutive_failures == 0);
  fixture.WaitForResult();
  CHECK(fixture.result->body == CompleteStream(kLongStream));
  RunUntil(&fixture.loop, [&] {
    fixture.SendAndWait("/stream/3");
    return fixture.first->runs().size() > before;
  });
}

// Guards against requests that wait until their deadline although no engine can
// start them.
TEST_CASE("requests are refused at once while all engines are silent",
          "[fleet][silence]") {
  StandstillFixture fixture(104);
  EngineStandIn& engine_0 = *fixture.engines["engine-0"];
  EngineStandIn& engine_1 = *fixture.engines["engine-1"];
  std::vector<std::unique_ptr<Http1Call>> calls;
  std::vector<std::optional<CallResult>> results(6);
  calls.reserve(results.size());
  for (auto& it : results) {
    calls.push_back(fixture.StartRequest("/stream/1", kApiKey, {}, &it));
  }
  RunUntil(&fixture.loop, [&] {
    return engine_0.events_sent() > 0 && engine_1.events_sent() > 0;
  });
  engine_0.StandStill();
  engine_1.StandStill();
  auto& upstreams = fixture.router->registry().all();
  RunUntil(&fixture.loop, [&] {
    return upstreams.at("engine-0").silent_since &&
           upstreams.at("engine-1").silent_since;
  });
  CallResult refused = fixture.SendAndWait("/stream/2");
  REQUIRE(refused.end == CallEnd::kComplete);
  CHECK(refused.head->status == 503);
  CHECK(refused.head->headers.Find("Retry-After"));
  engine_0.GoOn();
  engine_1.GoOn();
  for (size_t i = 0; i < calls.size(); ++i) {
    RunUntil(&fixture.loop, [&] { return results[i].has_value(); });
    CHECK(results[i]->end == CallEnd::kComplete);
    CHECK(results[i]->body == CompleteStream(kLongStream));
  }
}

}  // namespace
}  // namespace primrosecove
