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

// A router's request path before three agents whose answers the test gives.
struct Bench {
  EventLoop loop;
  KeyRing keys = TestKeys();
  HostView view;
  std::vector<std::unique_ptr<HttpServer>> agents;
  std::vector<std::pair<size_t, std::shared_ptr<HttpExchange>>> seen;
  HttpClient client;
  UpstreamTable table;
  RetryBudget retries{1, 10};
  SuspectTable suspects;
  std::shared_ptr<const Configuration> config;
  std::unique_ptr<HttpServer> front;
  HttpClient caller;
  std::vector<std::unique_ptr<HttpCall>> calls;
  std::vector<RequestReport> reports;
  Endpoint front_at;

  explicit Bench(int n)
      : client(&loop),
        table(MakeRoundRobinPicker()),
        config(std::make_shared<Configuration>(MakeConfig())),
        caller(&loop),
        front_at(TestEndpoint(21, n)) {
    for (size_t i = 0; i < kUpstreams; ++i) {
      Endpoint at{"127.77.22." + std::to_string(n),
                  static_cast<uint16_t>(18080 + i)};
      agents.push_back(std::make_unique<HttpServer>(
          &loop, HttpServer::Limits{},
          [this, i](auto it) { seen.emplace_back(i, it); }));
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
    front = std::make_unique<HttpServer>(&loop, HttpServer::Limits{},
                                         [this](auto it) { StartTask(it); });
    if (!front->Listen(front_at)) FAIL("front");
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
                           &table,
                           &retries,
                           &suspects,
                           [this](const CrashObservation& it) {
                             suspects.Add(it, WallClockMs());
                           }};
    auto task = std::make_shared<RequestTask>(
        context, config, std::move(request), exchange,
        [this](const RequestReport& it) { reports.push_back(it); });
    task->Start();
  }

  struct Sent {
    std::optional<HttpResponse> response;
    std::optional<HttpFailure> failure;
    bool ended() const { return response || failure; }
    std::string outcome() const {
      return std::string(
          response ? response->headers.Find(kOutcomeHeader).value_or("") : "");
    }
  };

  std::shared_ptr<Sent> Send(const std::string& method,
                             const std::string& target,
                             const std::string& key = "",
                             const std::string& timeout_ms = "5000") {
    HttpRequest req{
        .method = method, .target = target, .headers = {}, .body = "x"};
    req.headers.Set(kWorkspaceHeader, "w");
    req.headers.Set(kTimeoutHeader, timeout_ms);
    if (!key.empty()) req.headers.Set(kIdempotencyKeyHeader, key);
    auto sent = std::make_shared<Sent>();
    HttpCallbacks callbacks;
    callbacks.on_response = [sent](const HttpResponse& it) {
      sent->response = it;
    };
    callbacks.on_failure = [sent](const HttpFailure& it) {
      sent->failure = it;
    };
    calls.push_back(
        caller.Send(front_at, std::move(req), {}, std::move(callbacks)));
    return sent;
  }

  void Await(const std::function<bool()>& done) { RunUntil(&loop, done); }
  std::shared_ptr<HttpExchange> AwaitSeen(size_t n) {
    Await([&] { return seen.size() >= n; });
    return seen[n - 1].second;
  }
};

HttpHeaders Outcome(std::string_view outcome) {
  return {{std::string(kOutcomeHeader), std::string(outcome)}};
}

}  // namespace

TEST_CASE("a caller's request is understood or refused in words", "[router]") {
  struct Row {
    HttpRequest request;
    int status;  // 0 when it is understood.
  };
  HttpRequest stranger = ChatRequest(R"({"model":"chat"})");
  stranger.headers.Set(kWorkspaceHeader, "nobody");
  HttpRequest hurried = ChatRequest(R"({"model":"chat"})");
  hurried.headers.Set(kTimeoutHeader, "soon");
  HttpRequest elsewhere = ChatRequest("");
  elsewhere.target = "/nowhere";
  HttpRequest getting = ChatRequest("");
  getting.method = "GET";
  auto row = GENERATE_COPY(values<Row>({
      {ChatRequest(R"({"model":"chat"})"), 0},
      {ChatRequest(R"({"model":"chat:listing","stream":true,"max_tokens":9})"),
       0},
      {ChatRequest(R"({"model":"chat:other"})"), 404},
      {ChatRequest(R"({"model":"other"})"), 404},
      {ChatRequest(R"({"model":"chat","max_tokens":-1})"), 400},
      {ChatRequest("not json"), 400},
      {ChatRequest(R"([1,2])"), 400},
      {stranger, 403},
      {hurried, 400},
      {elsewhere, 404},
      {getting, 405},
  }));
  CAPTURE(row.request.body, row.request.target);
  Configuration config = MakeConfig();
  CallerRequest out;
  RequestError error;
  bool understood = ParseCallerRequest(config, row.request, &out, &error);
  CHECK(understood == (row.status == 0));
  if (!understood) CHECK(error.status == row.status);
}

TEST_CASE("requests that must run once are known by key or by path",
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
  CHECK(parse("GET", "/shop/orders/1", "").once_id.empty());
  CHECK_FALSE(parse("POST", "/shop/orders/1", "").once_id.empty());
  CHECK_FALSE(parse("POST", "/shop/orders/1", "").keyed);
  CHECK(parse("POST", "/shop/x", "k").keyed);
  CHECK(parse("POST", "/shop/x", "k").once_id ==
        parse("POST", "/shop/x", "k").once_id);
  CHECK(parse("POST", "/shop/x", "k").once_id !=
        parse("POST", "/shop/x", "l").once_id);
}

TEST_CASE("what has not run is tried elsewhere", "[router]") {
  Bench bench(1);
  auto sent = bench.Send("GET", "/shop/stock");
  bench.AwaitSeen(1)->Respond(503, Outcome(kOutcomeNotExecuted), "");
  bench.AwaitSeen(2)->Respond(200, Outcome(kOutcomeResponded), "stock");
  bench.Await([&] { return sent->ended(); });
  CHECK(sent->response->body == "stock");
  CHECK(bench.seen[0].first != bench.seen[1].first);
  CHECK(bench.reports[0].attempts == 2);
}

TEST_CASE("when all refuse, the caller is told at once and when to come back",
          "[router]") {
  Bench bench(2);
  auto sent = bench.Send("GET", "/shop/stock");
  for (size_t n = 1; n <= kUpstreams; ++n) {
    HttpHeaders headers = Outcome(kOutcomeNotExecuted);
    headers.Set(kRetryAfterHeader, "7");
    bench.AwaitSeen(n)->Respond(503, headers, "");
  }
  bench.Await([&] { return sent->ended(); });
  CHECK(sent->outcome() == kOutcomeNotExecuted);
  CHECK(sent->response->headers.Find(kRetryAfterHeader) == "7");
}

TEST_CASE("a request that may have run is tried again only if it may run again",
          "[router]") {
  Bench bench(3);
  SECTION("idempotent") {
    auto sent = bench.Send("GET", "/shop/stock");
    bench.AwaitSeen(1)->Abort();
    bench.AwaitSeen(2)->Respond(200, Outcome(kOutcomeResponded), "stock");
    bench.Await([&] { return sent->ended(); });
    CHECK(sent->response->body == "stock");
  }
  SECTION("to run once, and its agent says that it ran") {
    auto sent = bench.Send("POST", "/shop/orders", "key");
    bench.AwaitSeen(1)->Abort();
    auto bar = bench.AwaitSeen(2);
    CHECK(bar->request().target == kRevokeRequestTarget);
    bar->Respond(200, {}, "passed-on");
    bench.Await([&] { return sent->ended(); });
    CHECK(sent->outcome() == kOutcomeUnknown);
    CHECK(bench.seen[0].first == bench.seen[1].first);
  }
  SECTION("to run once, and its agent has barred it") {
    auto sent = bench.Send("POST", "/shop/orders", "key");
    bench.AwaitSeen(1)->Abort();
    bench.AwaitSeen(2)->Respond(200, {}, "barred");
    bench.Await([&] { return sent->ended(); });
    CHECK(sent->outcome() == kOutcomeNotExecuted);
  }
  SECTION("to run once, and its agent does not answer") {
    auto sent = bench.Send("POST", "/shop/orders", "key");
    bench.AwaitSeen(1)->Abort();
    bench.AwaitSeen(2)->Abort();
    bench.Await([&] { return sent->ended(); });
    CHECK(sent->outcome() == kOutcomeUnknown);
  }
}

TEST_CASE(
    "after an attempt that may have run, refusals elsewhere are not called not "
    "run",
    "[router]") {
  Bench bench(8);
  auto sent = bench.Send("GET", "/shop/stock");
  bench.AwaitSeen(1)->Abort();
  bench.AwaitSeen(2)->Respond(503, Outcome(kOutcomeNotExecuted), "");
  bench.AwaitSeen(3)->Respond(503, Outcome(kOutcomeNotExecuted), "");
  bench.Await([&] { return sent->ended(); });
  CHECK(sent->outcome() == kOutcomeUnknown);
}

TEST_CASE("resends with a key come to the same agent, or to none", "[router]") {
  Bench bench(4);
  auto first = bench.Send("POST", "/shop/orders", "key");
  bench.AwaitSeen(1)->Respond(200, Outcome(kOutcomeResponded), "");
  bench.Await([&] { return first->ended(); });
  size_t home = bench.seen[0].first;
  auto second = bench.Send("POST", "/shop/orders", "key");
  bench.AwaitSeen(2)->Respond(200, Outcome(kOutcomeResponded), "");
  CHECK(bench.seen[1].first == home);
  HostRecord gone = *bench.view.Find("shop-" + std::to_string(home));
  gone.liveness = Liveness::kDead;
  bench.view.Merge(gone);
  auto third = bench.Send("POST", "/shop/orders", "key");
  bench.Await([&] { return third->ended(); });
  CHECK(third->outcome() == kOutcomeUnknown);
  CHECK(bench.seen.size() == 2);
}

TEST_CASE("a request that has crashed two upstreams is refused at once",
          "[router]") {
  Bench bench(9);
  HttpHeaders crashed = Outcome(kOutcomeUnknown);
  crashed.Set(kConnectionLostHeader, "1");
  auto sent = bench.Send("GET", "/shop/crash");
  bench.AwaitSeen(1)->Respond(502, crashed, "");
  bench.AwaitSeen(2)->Respond(502, crashed, "");
  bench.Await([&] { return sent->ended(); });
  CHECK(sent->outcome() == kOutcomeUnknown);
  CHECK(bench.seen.size() == 2);
  auto again = bench.Send("GET", "/shop/crash");
  bench.Await([&] { return again->ended(); });
  CHECK(again->outcome() == kOutcomeNotExecuted);
  CHECK(again->response->headers.Find(kRetryAfterHeader));
  CHECK(bench.seen.size() == 2);
  // Others are not held responsible.
  auto other = bench.Send("GET", "/shop/stock");
  bench.AwaitSeen(3)->Respond(200, Outcome(kOutcomeResponded), "stock");
  bench.Await([&] { return other->ended(); });
  CHECK(other->outcome() == kOutcomeResponded);
}

TEST_CASE("an answer that breaks off is not passed on as whole", "[router]") {
  Bench bench(5);
  auto sent = bench.Send("GET", "/shop/stock");
  auto agent = bench.AwaitSeen(1);
  agent->StartStream(200, Outcome(kOutcomeResponded));
  agent->Write("half");
  for (int i = 0; i < 5; ++i) bench.loop.RunOnce(Milliseconds(5));
  agent->Abort();
  bench.Await([&] { return sent->ended(); });
  CHECK(sent->failure);
  CHECK(bench.seen.size() == 1);
}

TEST_CASE("at the deadline the outcome is told as unknown", "[router]") {
  Bench bench(6);
  auto sent = bench.Send("GET", "/shop/stock", "", "50");
  bench.AwaitSeen(1);
  bench.Await([&] { return sent->ended(); });
  CHECK(sent->outcome() == kOutcomeUnknown);
}

TEST_CASE("a caller that leaves cancels its request", "[router]") {
  Bench bench(7);
  auto sent = bench.Send("GET", "/shop/stock");
  auto agent = bench.AwaitSeen(1);
  bool cancelled = false;
  agent->OnDisconnect([&] { cancelled = true; });
  bench.calls.clear();
  bench.Await([&] { return cancelled && bench.reports.size() == 1; });
}

TEST_CASE("10000 malformed requests neither crash the HTTP front nor grow it",
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
