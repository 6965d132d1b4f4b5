#include <memory>
#include <random>

#include "Core/Control/metrics.h"
#include "Core/Router/request_task.h"
#include "Core/Routing/request_headers.h"
#include "UnitTests/test_support.h"

namespace primrosecove {
namespace {

constexpr size_t kUpstreams = 3;

Configuration MakeConfig() {
  Configuration out;
  out.places.push_back({"p", "r", "d"});
  out.services.push_back({.name = "llm", .kind = ServiceKind::kEngine});
  Service shop{.name = "shop", .path_prefix = "/shop/"};
  shop.non_idempotent.push_back({"POST", "/shop/orders"});
  out.services.push_back(shop);
  for (size_t i = 0; i < kUpstreams; ++i) {
    out.upstreams.push_back({"shop-" + std::to_string(i), "shop", "p"});
  }
  Model model;
  model.name = "chat";
  model.service = "llm";
  model.version = "v1";
  model.versions = {{"v1", Sha256("v1")}};
  model.adapters = {{"listing", Sha256("a")}};
  out.models.push_back(model);
  out.workspaces.push_back({.name = "w"});
  return out;
}

HttpRequest ChatRequest(const std::string& body) {
  HttpRequest out{.method = "POST",
                  .target = "/v1/chat/completions",
                  .headers = {},
                  .body = body};
  out.headers.Set(kWorkspaceHeader, "w");
  return out;
}

// A router's request path with three agents whose responses the test supplies.
struct RequestTaskFixture {
  EventLoop loop;
  KeyRing keys = TestKeys();
  HostView view;
  std::vector<std::unique_ptr<HttpServer>> agents;
  std::vector<std::pair<size_t, std::shared_ptr<HttpExchange>>> agent_requests;
  HttpClient client;
  UpstreamTable upstream_table;
  RetryBudget retry_budget{1, 10};
  SuspectTable suspects;
  std::shared_ptr<const Configuration> config;
  std::unique_ptr<HttpServer> router_server;
  HttpClient caller;
  std::vector<std::unique_ptr<HttpCall>> calls;
  std::vector<RequestSummary> summaries;
  std::weak_ptr<RequestTask> last_task;
  Endpoint router_endpoint;

  explicit RequestTaskFixture(int n)
      : client(&loop),
        upstream_table(MakeRoundRobinPicker()),
        config(std::make_shared<Configuration>(MakeConfig())),
        caller(&loop),
        router_endpoint(TestEndpoint(21, n)) {
    for (size_t i = 0; i < kUpstreams; ++i) {
      Endpoint at{"127.77.22." + std::to_string(n),
                  static_cast<uint16_t>(18080 + i)};
      agents.push_back(std::make_unique<HttpServer>(
          &loop, HttpServer::Limits{},
          [this, i](auto it) { agent_requests.emplace_back(i, it); }));
      if (!agents.back()->Listen(at)) FAIL("agent");
      HostRecord record;
      record.name = "shop-" + std::to_string(i);
      record.role = Role::kAgent;
      record.incarnation = 1;
      record.http = at;
      record.peer = at;
      record.serving.model = "shop";
      view.Merge(record);
    }
    router_server = std::make_unique<HttpServer>(
        &loop, HttpServer::Limits{}, [this](auto it) { StartTask(it); });
    if (!router_server->Listen(router_endpoint)) FAIL("router server");
  }

  void StartTask(const std::shared_ptr<HttpExchange>& exchange) {
    CallerRequest request;
    RequestError error;
    if (!ParseCallerRequest(*config, exchange->request(), &request, &error)) {
      return exchange->Respond(error.status, {}, error.message);
    }
    RequestContext context{&loop,
                           &client,
                           &keys,
                           &view,
                           &upstream_table,
                           &retry_budget,
                           &suspects,
                           [this](const CrashObservation& it) {
                             suspects.Add(it, WallClockMs());
                           }};
    auto task = std::make_shared<RequestTask>(
        context, config, std::move(request), exchange,
        [this](const RequestSummary& it) { summaries.push_back(it); });
    last_task = task;
    task->Start();
  }

  struct PendingResult {
    std::optional<HttpResponse> response;
    std::optional<HttpFailure> failure;
    bool ended() const { return response || failure; }
    std::string outcome() const {
      return std::string(
          response ? response->headers.Find(kOutcomeHeader).value_or("") : "");
    }
  };

  std::shared_ptr<PendingResult> Send(const std::string& method,
                                      const std::string& target,
                                      const std::string& key = "",
                                      const std::string& timeout_ms = "5000") {
    HttpRequest req{
        .method = method, .target = target, .headers = {}, .body = "x"};
    req.headers.Set(kWorkspaceHeader, "w");
    req.headers.Set(kTimeoutHeader, timeout_ms);
    if (!key.empty()) req.headers.Set(kIdempotencyKeyHeader, key);
    auto pending = std::make_shared<PendingResult>();
    HttpCallbacks callbacks;
    callbacks.on_response = [pending](const HttpResponse& it) {
      pending->response = it;
    };
    callbacks.on_failure = [pending](const HttpFailure& it) {
      pending->failure = it;
    };
    calls.push_back(
        caller.Send(router_endpoint, req, {}, std::move(callbacks)));
    return pending;
  }

  void Await(const std::function<bool()>& done) { RunUntil(&loop, done); }
  std::shared_ptr<HttpExchange> AwaitAgentRequest(size_t n) {
    Await([&] { return agent_requests.size() >= n; });
    return agent_requests[n - 1].second;
  }
};

HttpHeaders OutcomeHeaders(std::string_view outcome) {
  return {{std::string(kOutcomeHeader), std::string(outcome)}};
}

}  // namespace

TEST_CASE("a caller's request is parsed or rejected with a status",
          "[router]") {
  struct Row {
    HttpRequest request;
    int status;  // 0 if parsing succeeds.
  };
  HttpRequest unknown_workspace = ChatRequest(R"({"model":"chat"})");
  unknown_workspace.headers.Set(kWorkspaceHeader, "nobody");
  HttpRequest invalid_timeout = ChatRequest(R"({"model":"chat"})");
  invalid_timeout.headers.Set(kTimeoutHeader, "soon");
  HttpRequest unknown_path = ChatRequest("");
  unknown_path.target = "/nowhere";
  HttpRequest get_method = ChatRequest("");
  get_method.method = "GET";
  auto row = GENERATE_COPY(values<Row>({
      {ChatRequest(R"({"model":"chat"})"), 0},
      {ChatRequest(R"({"model":"chat:listing","stream":true,"max_tokens":9})"),
       0},
      {ChatRequest(R"({"model":"chat:other"})"), 404},
      {ChatRequest(R"({"model":"other"})"), 404},
      {ChatRequest(R"({"model":"chat","max_tokens":-1})"), 400},
      {ChatRequest("not json"), 400},
      {ChatRequest(R"([1,2])"), 400},
      {unknown_workspace, 403},
      {invalid_timeout, 400},
      {unknown_path, 404},
      {get_method, 405},
  }));
  CAPTURE(row.request.body, row.request.target);
  Configuration config = MakeConfig();
  CallerRequest out;
  RequestError error;
  bool parsed = ParseCallerRequest(config, row.request, &out, &error);
  CHECK(parsed == (row.status == 0));
  if (!parsed) CHECK(error.status == row.status);
}

TEST_CASE("execute-once requests are identified by key or by path",
          "[router]") {
  Configuration config = MakeConfig();
  auto parse = [&](const std::string& method, const std::string& target,
                   const std::string& key) {
    HttpRequest req{
        .method = method, .target = target, .headers = {}, .body = {}};
    req.headers.Set(kWorkspaceHeader, "w");
    if (!key.empty()) req.headers.Set(kIdempotencyKeyHeader, key);
    CallerRequest out;
    RequestError error;
    REQUIRE(ParseCallerRequest(config, req, &out, &error));
    return out;
  };
  CHECK(parse("GET", "/shop/orders/1", "").execute_once_id.empty());
  CHECK_FALSE(parse("POST", "/shop/orders/1", "").execute_once_id.empty());
  CHECK_FALSE(parse("POST", "/shop/orders/1", "").has_idempotency_key);
  CHECK(parse("POST", "/shop/x", "k").has_idempotency_key);
  CHECK(parse("POST", "/shop/x", "k").execute_once_id ==
        parse("POST", "/shop/x", "k").execute_once_id);
  CHECK(parse("POST", "/shop/x", "k").execute_once_id !=
        parse("POST", "/shop/x", "l").execute_once_id);
}

TEST_CASE("a request that was not executed is retried at another upstream",
          "[router]") {
  RequestTaskFixture fixture(1);
  auto pending = fixture.Send("GET", "/shop/stock");
  fixture.AwaitAgentRequest(1)->Respond(
      503, OutcomeHeaders(kOutcomeNotExecuted), "");
  fixture.AwaitAgentRequest(2)->Respond(200, OutcomeHeaders(kOutcomeResponded),
                                        "stock");
  fixture.Await([&] { return pending->ended(); });
  CHECK(pending->response->body == "stock");
  CHECK(fixture.agent_requests[0].first != fixture.agent_requests[1].first);
  CHECK(fixture.summaries[0].attempts == 2);
}

TEST_CASE("when all upstreams refuse, the caller gets their Retry-After",
          "[router]") {
  RequestTaskFixture fixture(2);
  auto pending = fixture.Send("GET", "/shop/stock");
  for (size_t n = 1; n <= kUpstreams; ++n) {
    HttpHeaders headers = OutcomeHeaders(kOutcomeNotExecuted);
    headers.Set(kRetryAfterHeader, "7");
    fixture.AwaitAgentRequest(n)->Respond(503, headers, "");
  }
  fixture.Await([&] { return pending->ended(); });
  CHECK(pending->outcome() == kOutcomeNotExecuted);
  CHECK(pending->response->headers.Find(kRetryAfterHeader) == "7");
}

TEST_CASE(
    "a request that may have executed is retried only if it may execute twice",
    "[router]") {
  RequestTaskFixture fixture(3);
  SECTION("idempotent") {
    auto pending = fixture.Send("GET", "/shop/stock");
    fixture.AwaitAgentRequest(1)->Abort();
    fixture.AwaitAgentRequest(2)->Respond(
        200, OutcomeHeaders(kOutcomeResponded), "stock");
    fixture.Await([&] { return pending->ended(); });
    CHECK(pending->response->body == "stock");
  }
  SECTION("execute-once, and its agent had forwarded it") {
    auto pending = fixture.Send("POST", "/shop/orders", "key");
    fixture.AwaitAgentRequest(1)->Abort();
    auto revocation = fixture.AwaitAgentRequest(2);
    CHECK(revocation->request().target == kRevokeRequestTarget);
    revocation->Respond(200, {}, "passed-on");
    fixture.Await([&] { return pending->ended(); });
    CHECK(pending->outcome() == kOutcomeUnknown);
    CHECK(fixture.agent_requests[0].first == fixture.agent_requests[1].first);
  }
  SECTION("execute-once, and its agent has revoked it") {
    auto pending = fixture.Send("POST", "/shop/orders", "key");
    fixture.AwaitAgentRequest(1)->Abort();
    fixture.AwaitAgentRequest(2)->Respond(200, {}, "barred");
    fixture.Await([&] { return pending->ended(); });
    CHECK(pending->outcome() == kOutcomeNotExecuted);
  }
  SECTION("execute-once, and its agent does not respond") {
    auto pending = fixture.Send("POST", "/shop/orders", "key");
    fixture.AwaitAgentRequest(1)->Abort();
    fixture.AwaitAgentRequest(2)->Abort();
    fixture.Await([&] { return pending->ended(); });
    CHECK(pending->outcome() == kOutcomeUnknown);
  }
}

TEST_CASE(
    "after an attempt with an unknown outcome, refusals elsewhere don't make "
    "it not executed",
    "[router]") {
  RequestTaskFixture fixture(8);
  auto pending = fixture.Send("GET", "/shop/stock");
  fixture.AwaitAgentRequest(1)->Abort();
  fixture.AwaitAgentRequest(2)->Respond(
      503, OutcomeHeaders(kOutcomeNotExecuted), "");
  fixture.AwaitAgentRequest(3)->Respond(
      503, OutcomeHeaders(kOutcomeNotExecuted), "");
  fixture.Await([&] { return pending->ended(); });
  CHECK(pending->outcome() == kOutcomeUnknown);
}

TEST_CASE("retries with a key go to the same agent or to none", "[router]") {
  RequestTaskFixture fixture(4);
  auto first = fixture.Send("POST", "/shop/orders", "key");
  fixture.AwaitAgentRequest(1)->Respond(200, OutcomeHeaders(kOutcomeResponded),
                                        "");
  fixture.Await([&] { return first->ended(); });
  size_t home = fixture.agent_requests[0].first;
  auto second = fixture.Send("POST", "/shop/orders", "key");
  fixture.AwaitAgentRequest(2)->Respond(200, OutcomeHeaders(kOutcomeResponded),
                                        "");
  CHECK(fixture.agent_requests[1].first == home);
  HostRecord dead_home = *fixture.view.Find("shop-" + std::to_string(home));
  dead_home.liveness = Liveness::kDead;
  fixture.view.Merge(dead_home);
  auto third = fixture.Send("POST", "/shop/orders", "key");
  fixture.Await([&] { return third->ended(); });
  CHECK(third->outcome() == kOutcomeUnknown);
  CHECK(fixture.agent_requests.size() == 2);
}

TEST_CASE(
    "a request that has crashed two upstreams is refused without an attempt",
    "[router]") {
  RequestTaskFixture fixture(9);
  HttpHeaders crashed = OutcomeHeaders(kOutcomeUnknown);
  crashed.Set(kConnectionLostHeader, "1");
  auto pending = fixture.Send("GET", "/shop/crash");
  fixture.AwaitAgentRequest(1)->Respond(502, crashed, "");
  fixture.AwaitAgentRequest(2)->Respond(502, crashed, "");
  fixture.Await([&] { return pending->ended(); });
  CHECK(pending->outcome() == kOutcomeUnknown);
  CHECK(fixture.agent_requests.size() == 2);
  auto second_try = fixture.Send("GET", "/shop/crash");
  fixture.Await([&] { return second_try->ended(); });
  CHECK(second_try->outcome() == kOutcomeNotExecuted);
  CHECK(second_try->response->headers.Find(kRetryAfterHeader));
  CHECK(fixture.agent_requests.size() == 2);
  // Other requests are not blocked.
  auto other = fixture.Send("GET", "/shop/stock");
  fixture.AwaitAgentRequest(3)->Respond(200, OutcomeHeaders(kOutcomeResponded),
                                        "stock");
  fixture.Await([&] { return other->ended(); });
  CHECK(other->outcome() == kOutcomeResponded);
}

TEST_CASE("an aborted response does not reach the caller as complete",
          "[router]") {
  RequestTaskFixture fixture(5);
  auto pending = fixture.Send("GET", "/shop/stock");
  auto agent = fixture.AwaitAgentRequest(1);
  agent->StartStream(200, OutcomeHeaders(kOutcomeResponded));
  agent->Write("half");
  for (int i = 0; i < 5; ++i) fixture.loop.RunOnce(Milliseconds(5));
  agent->Abort();
  fixture.Await([&] { return pending->ended(); });
  CHECK(pending->failure);
  CHECK(fixture.agent_requests.size() == 1);
}

TEST_CASE("at the deadline the outcome is reported as unknown", "[router]") {
  RequestTaskFixture fixture(6);
  auto pending = fixture.Send("GET", "/shop/stock", "", "50");
  fixture.AwaitAgentRequest(1);
  fixture.Await([&] { return pending->ended(); });
  CHECK(pending->outcome() == kOutcomeUnknown);
}

// Guards against a stopping router that closes the connections of requests that
// outlast its drain timeout without a response.
TEST_CASE("a request whose time is cut short gets a response", "[router]") {
  for (bool is_streaming : {false, true}) {
    INFO(is_streaming);
    RequestTaskFixture fixture(is_streaming ? 14 : 15);
    auto pending = fixture.Send("GET", "/shop/stock", "", "60000");
    auto agent = fixture.AwaitAgentRequest(1);
    if (is_streaming) {
      agent->StartStream(200, OutcomeHeaders(kOutcomeResponded));
      agent->Write("half");
      for (int i = 0; i < 5; ++i) fixture.loop.RunOnce(Milliseconds(5));
    }
    SteadyTime begin = EventLoop::Now();
    fixture.last_task.lock()->LimitTime(begin + Milliseconds(50));
    fixture.Await([&] { return pending->ended(); });
    CHECK(EventLoop::Now() - begin < Milliseconds(5000));
    if (is_streaming) {
      CHECK(pending->failure);
    } else {
      CHECK(pending->outcome() == kOutcomeUnknown);
    }
  }
}

TEST_CASE("a caller's disconnect cancels its request", "[router]") {
  RequestTaskFixture fixture(7);
  auto pending = fixture.Send("GET", "/shop/stock");
  auto agent = fixture.AwaitAgentRequest(1);
  bool cancelled = false;
  agent->OnDisconnect([&] { cancelled = true; });
  fixture.calls.clear();
  fixture.Await([&] { return cancelled && fixture.summaries.size() == 1; });
}

// Guards against refusing a harmless request whose attempts were lost several
// times: it runs to its end, which a request that crashes upstreams never does.
TEST_CASE("a suspect that runs to its end is not blocked by later crashes",
          "[router]") {
  RequestTaskFixture fixture(10);
  uint64_t fingerprint = RequestFingerprint("w", "/shop/lost", "x");
  auto add_crash = [&](uint64_t upstream) {
    fixture.suspects.Add({fingerprint, upstream, false,
                          WallClockMs() + SuspectTable::kLifetimeMs},
                         WallClockMs());
  };
  add_crash(101);
  for (size_t n = 1; n <= 2; ++n) {
    CAPTURE(n);
    auto pending = fixture.Send("GET", "/shop/lost");
    fixture.Await(
        [&] { return pending->ended() || fixture.agent_requests.size() == n; });
    REQUIRE_FALSE(pending->ended());
    fixture.AwaitAgentRequest(n)->Respond(
        200, OutcomeHeaders(kOutcomeResponded), "ok");
    fixture.Await([&] { return pending->ended(); });
    CHECK(pending->outcome() == kOutcomeResponded);
    add_crash(102);
    add_crash(103);
  }
}

TEST_CASE("10000 malformed requests cause neither a crash nor memory growth",
          "[router][malformed]") {
  constexpr int kInputs = 10000;
  constexpr uint64_t kAllowedGrowthBytes = 32 << 20;
  Configuration config = MakeConfig();
  const std::string good =
      R"({"model":"chat","max_tokens":5,"stream":true,"messages":[{"role":"user","content":"hi"}]})";
  std::mt19937_64 random(20261203);
  uint64_t before = ResidentBytes();
  for (int i = 0; i < kInputs; ++i) {
    HttpRequest req = ChatRequest(good);
    for (uint64_t n = random() % 6 + 1; n > 0; --n) {
      req.body[random() % req.body.size()] = static_cast<char>(random());
    }
    if (random() % 4 == 0) req.body.resize(random() % req.body.size());
    if (random() % 4 == 0)
      req.target[random() % req.target.size()] = static_cast<char>(random());
    CallerRequest out;
    RequestError error;
    (void)ParseCallerRequest(config, req, &out, &error);
  }
  CHECK(ResidentBytes() < before + kAllowedGrowthBytes);
}

}  // namespace primrosecove
