#include "Core/Agent/admission_gate.h"

#include <memory>

#include "Core/Routing/request_auth.h"
#include "Core/Routing/request_headers.h"
#include "UnitTests/test_support.h"

namespace primrosecove {
namespace {

constexpr uint64_t kTag = 42;

// A gate behind its own server, before an upstream whose answers the test
// gives.
struct Bench {
  EventLoop loop;
  KeyRing keys = TestKeys();
  Endpoint gate_at;
  Endpoint upstream_at;
  int mismatches = 0;
  std::vector<std::shared_ptr<HttpExchange>> upstream_seen;
  HttpServer upstream;
  Gate gate;
  HttpServer server;
  HttpClient client;
  std::vector<std::unique_ptr<HttpCall>> calls;

  explicit Bench(int n)
      : gate_at(TestEndpoint(16, n)),
        upstream_at(TestEndpoint(17, n)),
        upstream(&loop, {},
                 [this](auto exchange) { upstream_seen.push_back(exchange); }),
        gate(&loop, &keys, upstream_at, {}, [this] { ++mismatches; }),
        server(&loop, {}, [this](auto exchange) { gate.Handle(exchange); }),
        client(&loop) {
    if (!server.Listen(gate_at)) FAIL("gate");
    if (!upstream.Listen(upstream_at)) FAIL("upstream");
    gate.SetLedgerComplete(true);
  }

  struct Sent {
    std::optional<HttpResponse> response;
    std::string body;
    std::optional<HttpFailure> failure;
    bool ended() const { return response || failure; }
    std::string outcome() const {
      return std::string(
          response ? response->headers.Find(kOutcomeHeader).value_or("") : "");
    }
  };

  std::shared_ptr<Sent> Send(const std::string& once_id = "",
                             uint64_t tag = kTag, bool keyed = true,
                             const std::string& target = "/work") {
    HttpRequest req{
        .method = "POST", .target = target, .headers = {}, .body = "input"};
    req.headers.Set(kRequestIdHeader, "r");
    req.headers.Set(kManifestHeader, std::to_string(tag));
    if (!once_id.empty()) req.headers.Set(kExecuteOnceIdHeader, once_id);
    if (!once_id.empty() && keyed)
      req.headers.Set(kHasIdempotencyKeyHeader, "1");
    req.headers.Set(kAuthHeader, SignRequest(keys, req, WallClockMs()));
    return SendRaw(std::move(req));
  }

  std::shared_ptr<Sent> SendRaw(HttpRequest req) {
    auto sent = std::make_shared<Sent>();
    HttpCallbacks callbacks;
    callbacks.on_response = [sent](const HttpResponse& it) {
      sent->response = it;
    };
    callbacks.on_failure = [sent](const HttpFailure& it) {
      sent->failure = it;
    };
    calls.push_back(
        client.Send(gate_at, std::move(req), {}, std::move(callbacks)));
    return sent;
  }

  void Await(const std::function<bool()>& done) { RunUntil(&loop, done); }
  void AwaitUpstream(size_t n) {
    Await([&] { return upstream_seen.size() >= n; });
  }
};

}  // namespace

TEST_CASE("an open gate passes a request on and its answer back", "[agent]") {
  Bench bench(1);
  bench.gate.Open({kTag, {}});
  auto sent = bench.Send();
  bench.AwaitUpstream(1);
  CHECK(bench.upstream_seen[0]->request().body == "input");
  CHECK_FALSE(bench.upstream_seen[0]->request().headers.Find(kAuthHeader));
  bench.upstream_seen[0]->Respond(201, {{"X-Own", "1"}}, "output");
  bench.Await([&] { return sent->ended(); });
  REQUIRE(sent->response);
  CHECK(sent->response->status == 201);
  CHECK(sent->response->body == "output");
  CHECK(sent->response->headers.Find("X-Own") == "1");
  CHECK(sent->outcome() == kOutcomeResponded);
}

TEST_CASE("what is refused has not run", "[agent]") {
  Bench bench(2);
  SECTION("closed") { bench.gate.Close("test"); }
  SECTION("another version") { bench.gate.Open({kTag + 1, {}}); }
  auto sent = bench.Send("id");
  bench.Await([&] { return sent->ended(); });
  CHECK(sent->outcome() == kOutcomeNotExecuted);
  CHECK(sent->response->headers.Find("Retry-After"));
  CHECK(bench.upstream_seen.empty());
  // The id was not used up.
  bench.gate.Open({kTag, {}});
  auto again = bench.Send("id");
  bench.AwaitUpstream(1);
}

TEST_CASE("a request without the key's proof is refused", "[agent]") {
  Bench bench(3);
  bench.gate.Open({kTag, {}});
  HttpRequest req{
      .method = "POST", .target = "/work", .headers = {}, .body = {}};
  req.headers.Set(kManifestHeader, std::to_string(kTag));
  KeyRing other = TestKeys('x');
  bool stale = GENERATE(true, false);
  if (stale) {
    req.headers.Set(kAuthHeader,
                    SignRequest(bench.keys, req, WallClockMs() - 3'600'000));
  } else {
    req.headers.Set(kAuthHeader, SignRequest(other, req, WallClockMs()));
  }
  auto sent = bench.SendRaw(req);
  bench.Await([&] { return sent->ended(); });
  CHECK(sent->response->status == 403);
  CHECK(bench.upstream_seen.empty());
}

TEST_CASE("a resend gets the recorded answer and does not run again",
          "[agent]") {
  Bench bench(4);
  bench.gate.Open({kTag, {}});
  auto first = bench.Send("id");
  bench.AwaitUpstream(1);
  auto meanwhile = bench.Send("id");
  bench.Await([&] { return meanwhile->ended(); });
  CHECK(meanwhile->outcome() == kOutcomeUnknown);
  bench.upstream_seen[0]->Respond(200, {}, "output");
  bench.Await([&] { return first->ended(); });
  auto resent = bench.Send("id");
  bench.Await([&] { return resent->ended(); });
  CHECK(resent->outcome() == kOutcomeResponded);
  CHECK(resent->response->body == "output");
  CHECK(bench.upstream_seen.size() == 1);
}

TEST_CASE("an upstream that breaks off leaves the outcome unknown", "[agent]") {
  Bench bench(5);
  bench.gate.Open({kTag, {}});
  auto sent = bench.Send("id");
  bench.AwaitUpstream(1);
  bench.upstream_seen[0]->Abort();
  bench.Await([&] { return sent->ended(); });
  CHECK(sent->outcome() == kOutcomeUnknown);
  auto resent = bench.Send("id");
  bench.Await([&] { return resent->ended(); });
  CHECK(resent->outcome() == kOutcomeUnknown);
  CHECK(bench.upstream_seen.size() == 1);
}

TEST_CASE("a barred request does not run, and one that ran is not barred",
          "[agent]") {
  Bench bench(6);
  bench.gate.Open({kTag, {}});
  auto bar = bench.Send("id", kTag, true, std::string(kRevokeRequestTarget));
  bench.Await([&] { return bar->ended(); });
  CHECK(bar->response->body == "barred");
  auto sent = bench.Send("id");
  bench.Await([&] { return sent->ended(); });
  CHECK(sent->outcome() == kOutcomeNotExecuted);
  auto other = bench.Send("other");
  bench.AwaitUpstream(1);
  auto late_bar =
      bench.Send("other", kTag, true, std::string(kRevokeRequestTarget));
  bench.Await([&] { return late_bar->ended(); });
  CHECK(late_bar->response->body == "passed-on");
}

TEST_CASE("an agent that has started anew does not know of earlier sends",
          "[agent]") {
  Bench bench(7);
  bench.gate.SetLedgerComplete(false);
  bench.gate.Open({kTag, {}});
  auto keyed = bench.Send("id", kTag, true);
  bench.Await([&] { return keyed->ended(); });
  CHECK(keyed->outcome() == kOutcomeUnknown);
  CHECK(bench.upstream_seen.empty());
  auto fresh = bench.Send("made-by-router", kTag, false);
  bench.AwaitUpstream(1);
}

TEST_CASE("answers of other weights than the gate is open for are held back",
          "[agent]") {
  Bench bench(8);
  bench.gate.Open({Sha256("right").Prefix64(), {}});
  auto sent = bench.Send("", Sha256("right").Prefix64());
  bench.AwaitUpstream(1);
  bench.upstream_seen[0]->Respond(
      200, {{std::string(kEngineManifestHeader), Sha256("wrong").ToHex()}},
      "tokens");
  bench.Await([&] { return sent->ended(); });
  CHECK(sent->outcome() == kOutcomeUnknown);
  CHECK(sent->response->body.find("tokens") == std::string::npos);
  CHECK(bench.mismatches == 1);
}

TEST_CASE("two suspects never run at one upstream", "[agent]") {
  Bench bench(12);
  SuspectTable suspects;
  std::vector<bool> sightings;
  bench.gate.SetSuspects(&suspects, [&](uint64_t, bool as_suspect) {
    sightings.push_back(as_suspect);
  });
  bench.gate.Open({kTag, {}});
  int64_t expires = WallClockMs() + SuspectTable::kLifetimeMs;
  for (uint64_t request : {1, 2})
    suspects.Add({request, 9, false, expires}, WallClockMs());
  auto send = [&](const std::string& fingerprint) {
    HttpRequest req{
        .method = "GET", .target = "/work", .headers = {}, .body = {}};
    req.headers.Set(kManifestHeader, std::to_string(kTag));
    req.headers.Set(kFingerprintHeader, fingerprint);
    req.headers.Set(kAuthHeader, SignRequest(bench.keys, req, WallClockMs()));
    return bench.SendRaw(req);
  };
  auto first = send("1");
  bench.AwaitUpstream(1);
  auto second = send("2");
  bench.Await([&] { return second->ended(); });
  CHECK(second->outcome() == kOutcomeNotExecuted);
  auto innocent = send("3");
  bench.AwaitUpstream(2);
  bench.upstream_seen[1]->Abort();
  bench.upstream_seen[0]->Abort();
  bench.Await([&] { return first->ended() && innocent->ended(); });
  CHECK(sightings == std::vector<bool>{false, true});
  auto third = send("2");
  bench.AwaitUpstream(3);
}

TEST_CASE("closing refuses what waits and lets what runs finish", "[agent]") {
  Bench bench(9);
  bench.gate.SetLimits({.concurrency = 1, .queue = 1});
  bench.gate.Open({kTag, {}});
  auto running = bench.Send();
  bench.AwaitUpstream(1);
  auto waiting = bench.Send();
  bench.Await([&] { return bench.gate.waiting() == 1; });
  auto beyond = bench.Send();
  bench.Await([&] { return beyond->ended(); });
  CHECK(beyond->outcome() == kOutcomeNotExecuted);
  bool idle = false;
  bench.gate.OnIdle([&] { idle = true; });
  bench.gate.Close("test");
  bench.Await([&] { return waiting->ended(); });
  CHECK(waiting->outcome() == kOutcomeNotExecuted);
  CHECK_FALSE(idle);
  bench.upstream_seen[0]->Respond(200, {}, "whole");
  bench.Await([&] { return running->ended() && idle; });
  CHECK(running->response->body == "whole");
}

TEST_CASE("a waiting request is given up at its deadline, as not run",
          "[agent]") {
  Bench bench(10);
  bench.gate.SetLimits({.concurrency = 1, .queue = 4});
  bench.gate.Open({kTag, {}});
  auto running = bench.Send();
  bench.AwaitUpstream(1);
  HttpRequest req{
      .method = "GET", .target = "/work", .headers = {}, .body = {}};
  req.headers.Set(kManifestHeader, std::to_string(kTag));
  req.headers.Set(kDeadlineHeader, "30");
  req.headers.Set(kAuthHeader, SignRequest(bench.keys, req, WallClockMs()));
  auto waiting = bench.SendRaw(req);
  bench.Await([&] { return waiting->ended(); });
  CHECK(waiting->outcome() == kOutcomeNotExecuted);
  CHECK(bench.upstream_seen.size() == 1);
}

TEST_CASE("a caller that leaves cancels a generation", "[agent]") {
  Bench bench(11);
  bench.gate.Open({kTag, {}});
  auto sent = bench.Send();
  bench.AwaitUpstream(1);
  bool cancelled = false;
  bench.upstream_seen[0]->OnDisconnect([&] { cancelled = true; });
  bench.calls.clear();
  bench.Await([&] { return cancelled && bench.gate.idle(); });
}

}  // namespace primrosecove
