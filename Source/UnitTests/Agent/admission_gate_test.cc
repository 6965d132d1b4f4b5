#include "Core/Agent/admission_gate.h"

#include <memory>

#include "Core/Routing/request_auth.h"
#include "Core/Routing/request_headers.h"
#include "UnitTests/test_support.h"

namespace primrosecove {
namespace {

constexpr uint64_t kManifestPrefix = 42;

// A gate behind its own server, in front of an upstream whose responses the
// test sends.
struct GateFixture {
  EventLoop loop;
  KeyRing keys = TestKeys();
  Endpoint gate_endpoint;
  Endpoint upstream_endpoint;
  int version_mismatches = 0;
  std::vector<std::shared_ptr<HttpExchange>> upstream_seen;
  HttpServer upstream;
  AdmissionGate gate;
  HttpServer server;
  HttpClient client;
  std::vector<std::unique_ptr<HttpCall>> calls;

  explicit GateFixture(int n)
      : gate_endpoint(TestEndpoint(16, n)),
        upstream_endpoint(TestEndpoint(17, n)),
        upstream(&loop, {},
                 [this](auto exchange) { upstream_seen.push_back(exchange); }),
        gate(&loop, &keys, upstream_endpoint, {},
             [this] { ++version_mismatches; }),
        server(&loop, {}, [this](auto exchange) { gate.Handle(exchange); }),
        client(&loop) {
    if (!server.Listen(gate_endpoint)) FAIL("gate");
    if (!upstream.Listen(upstream_endpoint)) FAIL("upstream");
    gate.SetDedupTableComplete(true);
  }

  struct PendingCall {
    std::optional<HttpResponse> response;
    std::string body;
    std::optional<HttpFailure> failure;
    bool ended() const { return response || failure; }
    std::string outcome() const {
      return std::string(
          response ? response->headers.Find(kOutcomeHeader).value_or("") : "");
    }
  };

  std::shared_ptr<PendingCall> Send(const std::string& execute_once_id = "",
                                    uint64_t manifest_prefix = kManifestPrefix,
                                    bool has_idempotency_key = true,
                                    const std::string& target = "/work") {
    HttpRequest req{
        .method = "POST", .target = target, .headers = {}, .body = "input"};
    req.headers.Set(kRequestIdHeader, "r");
    req.headers.Set(kManifestHeader, std::to_string(manifest_prefix));
    if (!execute_once_id.empty())
      req.headers.Set(kExecuteOnceIdHeader, execute_once_id);
    if (!execute_once_id.empty() && has_idempotency_key)
      req.headers.Set(kHasIdempotencyKeyHeader, "1");
    req.headers.Set(kAuthHeader, SignRequest(keys, req, WallClockMs()));
    return SendRaw(req);
  }

  std::shared_ptr<PendingCall> SendRaw(HttpRequest req) {
    auto call = std::make_shared<PendingCall>();
    HttpCallbacks callbacks;
    callbacks.on_response = [call](const HttpResponse& it) {
      call->response = it;
    };
    callbacks.on_failure = [call](const HttpFailure& it) {
      call->failure = it;
    };
    calls.push_back(client.Send(gate_endpoint, req, {}, std::move(callbacks)));
    return call;
  }

  void Await(const std::function<bool()>& done) { RunUntil(&loop, done); }
  void AwaitUpstream(size_t n) {
    Await([&] { return upstream_seen.size() >= n; });
  }
};

}  // namespace

TEST_CASE("an open gate forwards a request and its response", "[agent]") {
  GateFixture fixture(1);
  fixture.gate.Open({kManifestPrefix, {}});
  auto call = fixture.Send();
  fixture.AwaitUpstream(1);
  CHECK(fixture.upstream_seen[0]->request().body == "input");
  CHECK_FALSE(fixture.upstream_seen[0]->request().headers.Find(kAuthHeader));
  fixture.upstream_seen[0]->Respond(201, {{"X-Own", "1"}}, "output");
  fixture.Await([&] { return call->ended(); });
  REQUIRE(call->response);
  CHECK(call->response->status == 201);
  CHECK(call->response->body == "output");
  CHECK(call->response->headers.Find("X-Own") == "1");
  CHECK(call->outcome() == kOutcomeResponded);
}

TEST_CASE(
    "a rejected request is reported as not executed and its id can run later",
    "[agent]") {
  GateFixture fixture(2);
  SECTION("closed") { fixture.gate.Close("test"); }
  SECTION("another version") { fixture.gate.Open({kManifestPrefix + 1, {}}); }
  auto call = fixture.Send("id");
  fixture.Await([&] { return call->ended(); });
  CHECK(call->outcome() == kOutcomeNotExecuted);
  CHECK(call->response->headers.Find("Retry-After"));
  CHECK(fixture.upstream_seen.empty());
  // The rejected request's id can still run.
  fixture.gate.Open({kManifestPrefix, {}});
  auto retry = fixture.Send("id");
  fixture.AwaitUpstream(1);
}

TEST_CASE("a request with a foreign or expired signature is rejected",
          "[agent]") {
  GateFixture fixture(3);
  fixture.gate.Open({kManifestPrefix, {}});
  HttpRequest req{
      .method = "POST", .target = "/work", .headers = {}, .body = {}};
  req.headers.Set(kManifestHeader, std::to_string(kManifestPrefix));
  KeyRing other = TestKeys('x');
  bool expired = GENERATE(true, false);
  if (expired) {
    req.headers.Set(kAuthHeader,
                    SignRequest(fixture.keys, req, WallClockMs() - 3'600'000));
  } else {
    req.headers.Set(kAuthHeader, SignRequest(other, req, WallClockMs()));
  }
  auto call = fixture.SendRaw(req);
  fixture.Await([&] { return call->ended(); });
  CHECK(call->response->status == 403);
  CHECK(fixture.upstream_seen.empty());
}

TEST_CASE("a retry gets the recorded response and does not run again",
          "[agent]") {
  GateFixture fixture(4);
  fixture.gate.Open({kManifestPrefix, {}});
  auto first = fixture.Send("id");
  fixture.AwaitUpstream(1);
  auto concurrent = fixture.Send("id");
  fixture.Await([&] { return concurrent->ended(); });
  CHECK(concurrent->outcome() == kOutcomeUnknown);
  fixture.upstream_seen[0]->Respond(200, {}, "output");
  fixture.Await([&] { return first->ended(); });
  auto resent = fixture.Send("id");
  fixture.Await([&] { return resent->ended(); });
  CHECK(resent->outcome() == kOutcomeResponded);
  CHECK(resent->response->body == "output");
  CHECK(fixture.upstream_seen.size() == 1);
}

TEST_CASE("a lost upstream connection leaves the outcome unknown", "[agent]") {
  GateFixture fixture(5);
  fixture.gate.Open({kManifestPrefix, {}});
  auto call = fixture.Send("id");
  fixture.AwaitUpstream(1);
  fixture.upstream_seen[0]->Abort();
  fixture.Await([&] { return call->ended(); });
  CHECK(call->outcome() == kOutcomeUnknown);
  auto resent = fixture.Send("id");
  fixture.Await([&] { return resent->ended(); });
  CHECK(resent->outcome() == kOutcomeUnknown);
  CHECK(fixture.upstream_seen.size() == 1);
}

TEST_CASE("a revoked request does not run, and one that ran is not revoked",
          "[agent]") {
  GateFixture fixture(6);
  fixture.gate.Open({kManifestPrefix, {}});
  auto revocation = fixture.Send("id", kManifestPrefix, true,
                                 std::string(kRevokeRequestTarget));
  fixture.Await([&] { return revocation->ended(); });
  CHECK(revocation->response->body == "barred");
  auto call = fixture.Send("id");
  fixture.Await([&] { return call->ended(); });
  CHECK(call->outcome() == kOutcomeNotExecuted);
  auto other = fixture.Send("other");
  fixture.AwaitUpstream(1);
  auto late_revocation = fixture.Send("other", kManifestPrefix, true,
                                      std::string(kRevokeRequestTarget));
  fixture.Await([&] { return late_revocation->ended(); });
  CHECK(late_revocation->response->body == "passed-on");
}

TEST_CASE(
    "the outcome of a keyed request is unknown while the table is incomplete",
    "[agent]") {
  GateFixture fixture(7);
  fixture.gate.SetDedupTableComplete(false);
  fixture.gate.Open({kManifestPrefix, {}});
  auto with_key = fixture.Send("id", kManifestPrefix, true);
  fixture.Await([&] { return with_key->ended(); });
  CHECK(with_key->outcome() == kOutcomeUnknown);
  CHECK(fixture.upstream_seen.empty());
  auto without_key = fixture.Send("made-by-router", kManifestPrefix, false);
  fixture.AwaitUpstream(1);
}

TEST_CASE("responses from other weights than the admitted ones are withheld",
          "[agent]") {
  GateFixture fixture(8);
  fixture.gate.Open({Sha256("right").Prefix64(), {}});
  auto call = fixture.Send("", Sha256("right").Prefix64());
  fixture.AwaitUpstream(1);
  fixture.upstream_seen[0]->Respond(
      200, {{std::string(kEngineManifestHeader), Sha256("wrong").ToHex()}},
      "tokens");
  fixture.Await([&] { return call->ended(); });
  CHECK(call->outcome() == kOutcomeUnknown);
  CHECK(call->response->body.find("tokens") == std::string::npos);
  CHECK(fixture.version_mismatches == 1);
}

TEST_CASE("two suspects never run at one upstream at once", "[agent]") {
  GateFixture fixture(12);
  SuspectTable suspects;
  std::vector<bool> observations;
  fixture.gate.SetSuspects(&suspects, [&](uint64_t, bool as_suspect) {
    observations.push_back(as_suspect);
  });
  fixture.gate.Open({kManifestPrefix, {}});
  int64_t expires = WallClockMs() + SuspectTable::kLifetimeMs;
  for (uint64_t request : {1, 2})
    suspects.Add({request, 9, false, expires}, WallClockMs());
  auto send = [&](const std::string& fingerprint) {
    HttpRequest req{
        .method = "GET", .target = "/work", .headers = {}, .body = {}};
    req.headers.Set(kManifestHeader, std::to_string(kManifestPrefix));
    req.headers.Set(kFingerprintHeader, fingerprint);
    req.headers.Set(kAuthHeader, SignRequest(fixture.keys, req, WallClockMs()));
    return fixture.SendRaw(req);
  };
  auto first = send("1");
  fixture.AwaitUpstream(1);
  auto second = send("2");
  fixture.Await([&] { return second->ended(); });
  CHECK(second->outcome() == kOutcomeNotExecuted);
  auto unrelated = send("3");
  fixture.AwaitUpstream(2);
  fixture.upstream_seen[1]->Abort();
  fixture.upstream_seen[0]->Abort();
  fixture.Await([&] { return first->ended() && unrelated->ended(); });
  CHECK(observations == std::vector<bool>{false, true});
  auto third = send("2");
  fixture.AwaitUpstream(3);
}

TEST_CASE("closing rejects queued requests and lets running ones finish",
          "[agent]") {
  GateFixture fixture(9);
  fixture.gate.SetLimits({.concurrency = 1, .queue = 1});
  fixture.gate.Open({kManifestPrefix, {}});
  auto running = fixture.Send();
  fixture.AwaitUpstream(1);
  auto waiting = fixture.Send();
  fixture.Await([&] { return fixture.gate.waiting() == 1; });
  auto excess = fixture.Send();
  fixture.Await([&] { return excess->ended(); });
  CHECK(excess->outcome() == kOutcomeNotExecuted);
  bool idle = false;
  fixture.gate.OnIdle([&] { idle = true; });
  fixture.gate.Close("test");
  fixture.Await([&] { return waiting->ended(); });
  CHECK(waiting->outcome() == kOutcomeNotExecuted);
  CHECK_FALSE(idle);
  fixture.upstream_seen[0]->Respond(200, {}, "whole");
  fixture.Await([&] { return running->ended() && idle; });
  CHECK(running->response->body == "whole");
}

TEST_CASE("a queued request is rejected as not executed at its deadline",
          "[agent]") {
  GateFixture fixture(10);
  fixture.gate.SetLimits({.concurrency = 1, .queue = 4});
  fixture.gate.Open({kManifestPrefix, {}});
  auto running = fixture.Send();
  fixture.AwaitUpstream(1);
  HttpRequest req{
      .method = "GET", .target = "/work", .headers = {}, .body = {}};
  req.headers.Set(kManifestHeader, std::to_string(kManifestPrefix));
  req.headers.Set(kDeadlineHeader, "30");
  req.headers.Set(kAuthHeader, SignRequest(fixture.keys, req, WallClockMs()));
  auto waiting = fixture.SendRaw(req);
  fixture.Await([&] { return waiting->ended(); });
  CHECK(waiting->outcome() == kOutcomeNotExecuted);
  CHECK(fixture.upstream_seen.size() == 1);
}

TEST_CASE("a caller's disconnect cancels the generation", "[agent]") {
  GateFixture fixture(11);
  fixture.gate.Open({kManifestPrefix, {}});
  auto call = fixture.Send();
  fixture.AwaitUpstream(1);
  bool cancelled = false;
  fixture.upstream_seen[0]->OnDisconnect([&] { cancelled = true; });
  fixture.calls.clear();
  fixture.Await([&] { return cancelled && fixture.gate.idle(); });
}

}  // namespace primrosecove
