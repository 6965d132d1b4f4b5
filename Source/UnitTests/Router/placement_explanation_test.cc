// Explanations of placements by a router. Guards against explanations that
// differ from what the router then does, and against those that change what it
// does.
#include <catch2/catch.hpp>
#include <cmath>
#include <future>
#include <nlohmann/json.hpp>
#include <regex>

#include "../test_support.h"
#include "Core/Fleet/placement_question.h"
#include "Core/Operator/explanation_client.h"
#include "fleet_router_fixture.h"

namespace primrosecove {
namespace {

CallResult Ask(RouterFixture* fixture, const HttpRequest& request) {
  std::optional<CallResult> out;
  CallEvents events;
  events.on_end = [&out](CallResult result) { out = std::move(result); };
  auto call = fixture->client.Send(fixture->router->metrics_endpoint(), request,
                                   {}, std::move(events));
  RunUntil(&fixture->loop, [&] { return out.has_value(); });
  return std::move(*out);
}

std::string Explain(RouterFixture* fixture, const std::string& path,
                    const std::string& key,
                    std::optional<Milliseconds> deadline = std::nullopt) {
  PlacementQuestion question;
  question.host = "h.example";
  question.target = path;
  question.fields.model = "m";
  question.fields.deadline = deadline;
  if (!key.empty()) question.fields.key = key;
  CallResult result = Ask(fixture, EncodeQuestion(question));
  REQUIRE(result.head.has_value());
  CHECK(result.head->status == 200);
  CHECK(result.body.find(key.empty() ? kApiKey : key) == std::string::npos);
  return result.body;
}

// Returns the part of `text` that the group of `pattern` matches, or "".
std::string Extract(const std::string& text, const char* pattern) {
  std::smatch match;
  return std::regex_search(text, match, std::regex(pattern)) ? match[1].str()
                                                             : "";
}

int64_t RetryAfterMs(const CallResult& result) {
  auto text = result.head->headers.Find("Retry-After");
  return text ? std::llround(std::stod(std::string(*text)) * 1000) : -1;
}

// What a request must find as it was before its explanation.
auto VisibleState(const FleetRouter& router) {
  const FleetCounters& it = router.counters();
  return std::make_tuple(it.requests, it.sent, it.refused, it.denied, it.failed,
                         it.retries, it.exclusions,
                         router.rate_limits().counters().skips);
}

TEST_CASE("a request is served as it was explained", "[fleet][explain]") {
  struct Row {
    const char* name;
    const char* path;
    std::string key;
    std::vector<std::string> regions;
    bool is_evacuated;
    int status;
    const char* expected;  // A part of the explanation.
  };
  const Row rows[] = {
      {"a free plain upstream",
       "/once/1",
       kApiKey,
       {},
       false,
       200,
       "request route=/once/ service=desk workspace=w1 priority=1"},
      {"a free engine",
       "/stream/1",
       kApiKey,
       {},
       false,
       200,
       "request route=/stream/ service=llm workspace=w1 priority=1"},
      {"a query that has to be encoded",
       "/once/1?a=b&c=%20+",
       kApiKey,
       {},
       false,
       200,
       "upstream plain-1 zone=z1 wait_ms=0 load="},
      {"a region that is not allowed",
       "/once/1",
       kApiKey,
       {"r2"},
       false,
       503,
       "upstream plain-0 zone=z1 excluded=region\n"
       "upstream plain-1 zone=z1 excluded=region\n"
       "refused status=503 why=\"no upstream in an allowed region\""},
      {"a service without upstreams",
       "/raw/1",
       kApiKey,
       {},
       false,
       503,
       "refused status=503 why=\"no upstream available\""},
      {"no route",
       "/nowhere/1",
       kApiKey,
       {},
       false,
       404,
       "request route=- service=- workspace=-\n"
       "denied status=404 why=\"no matching route\" retry_after_ms=-"},
      {"an unknown key",
       "/once/1",
       "wrong-key",
       {},
       false,
       401,
       "denied status=401 why=\"missing or unknown API key\""},
      {"no key",
       "/once/1",
       "",
       {},
       false,
       401,
       "denied status=401 why=\"missing or unknown API key\""},
      {"an evacuated zone",
       "/stream/1",
       kApiKey,
       {},
       true,
       503,
       "upstream engine-0 zone=z1 excluded=evacuation\n"
       "upstream engine-1 zone=z1 excluded=evacuation\n"
       "refused status=503 why=\"all upstreams in evacuated zones\""},
  };
  RouterFixture fixture(125);
  uint64_t version = 1;
  for (const Row& row : rows) {
    INFO(row.name);
    auto config = RouterFixture::MakeConfigJson(++version);
    for (auto& it : config["routes"]) it["allowed_regions"] = row.regions;
    fixture.store.Put("op/config", config.dump());
    RunUntil(&fixture.loop,
             [&] { return fixture.router->config_version() == version; });
    if (row.is_evacuated) {
      fixture.store.Put("op/evacuate/z1", "{}");
      RunUntil(&fixture.loop, [&] {
        return fixture.SendAndWait(row.path).head->status == 503;
      });
    }
    auto before = VisibleState(*fixture.router);
    size_t runs = fixture.ExecutionCount();
    std::string text = Explain(&fixture, row.path, row.key);
    INFO(text);
    CHECK(text.find(row.expected) != std::string::npos);
    CHECK(VisibleState(*fixture.router) == before);
    CHECK(fixture.ExecutionCount() == runs);

    std::string chosen = Extract(text, "\nsent upstream=([^ ]*) ");
    std::map<std::string, size_t> runs_of;
    for (auto& [id, it] : fixture.engines) runs_of[id] = it->runs().size();
    CallResult result = fixture.SendAndWait(row.path, row.key);
    CHECK(result.head->status == row.status);
    CHECK(chosen.empty() == (row.status != 200));
    for (auto& [id, it] : fixture.engines)
      CHECK(it->runs().size() == runs_of[id] + (id == chosen ? 1 : 0));
    std::string min = Extract(text, "retry_after_ms=(\\d+)\\.\\.");
    CHECK(min.empty() == (row.status != 503));
    if (min.empty()) continue;
    int64_t max = std::stoll(Extract(text, "retry_after_ms=\\d+\\.\\.(\\d+)"));
    CHECK(RetryAfterMs(result) >= std::stoll(min));
    CHECK(RetryAfterMs(result) <= max);
  }
}

TEST_CASE("an explanation counts as no demand for a limited upstream",
          "[fleet][explain]") {
  RouterFixture fixture(126);
  for (const char* id : {"plain-0", "plain-1"})
    fixture.engines[id]->SetRateLimit("0");
  RunUntil(&fixture.loop,
           [&] { return fixture.SendAndWait("/once/1").head->status == 503; });
  auto before = VisibleState(*fixture.router);
  std::string text = Explain(&fixture, "/once/1", kApiKey);
  INFO(text);
  CHECK(text.find("upstream plain-0 zone=z1 excluded=rate_limit\n"
                  "upstream plain-1 zone=z1 excluded=rate_limit\n"
                  "refused status=503 why=\"all upstreams at their rate "
                  "limit\"") != std::string::npos);
  CHECK(VisibleState(*fixture.router) == before);
  CHECK(fixture.SendAndWait("/once/1").head->status == 503);
  CHECK(VisibleState(*fixture.router) != before);
}

TEST_CASE("an explained deadline makes no caller late", "[fleet][explain]") {
  // The longest deadline of a route's requests is taken for the full wait of
  // all its callers.
  RouterFixture fixture(126);
  REQUIRE(fixture.SendAndWait("/once/1").head->status == 200);
  for (int deadline_ms : {60'000, 2000}) {
    std::string text =
        Explain(&fixture, "/once/1", kApiKey, Milliseconds(deadline_ms));
    INFO(text);
    CHECK(text.find(" waited_before_ms=0\n") != std::string::npos);
  }
  CHECK(Explain(&fixture, "/once/1", kApiKey, Milliseconds(1500))
            .find(" waited_before_ms=500\n") != std::string::npos);
}

TEST_CASE("questions with bad input get one line that says what is wrong",
          "[fleet][explain]") {
  struct Row {
    const char* query;
    const char* message;
  };
  const Row rows[] = {
      {"", "parameter 'host' is missing\n"},
      {"?", "parameter 'host' is missing\n"},
      {"?path=/once/1", "parameter 'host' is missing\n"},
      {"?host=h.example",
       "parameter 'path' is missing or does not begin with '/'\n"},
      {"?host=h.example&path=once",
       "parameter 'path' is missing or does not begin with '/'\n"},
      {"?host=h.example&path=/a%0Asent",
       "parameter 'path' is empty or malformed\n"},
      {"?host=h.example&path=/a%00b",
       "parameter 'path' is empty or malformed\n"},
      {"?host=&path=/a", "parameter 'host' is empty or malformed\n"},
      {"?host=h.example&path=/a&path=/b", "parameter 'path' is repeated\n"},
      {"?host=h.example&path=/a&key=k", "unknown parameter 'key'\n"},
      {"?host=h.example&path=/a&deadline_ms=soon",
       "parameter 'deadline_ms' is not an integer from 0 to 4294967295\n"},
      {"?host=h.example&path=/a&prompt_tokens=-1",
       "parameter 'prompt_tokens' is not an integer from 0 to 4294967295\n"},
      {"?host=h.example&path=/a&output_tokens=4294967296",
       "parameter 'output_tokens' is not an integer from 0 to 4294967295\n"},
  };
  RouterFixture fixture(126);
  auto before = VisibleState(*fixture.router);
  for (const Row& row : rows) {
    INFO(row.query);
    HttpRequest request;
    request.target = PlacementQuestion::kPath + std::string(row.query);
    CallResult result = Ask(&fixture, request);
    REQUIRE(result.head.has_value());
    CHECK(result.head->status == 400);
    CHECK(result.body == row.message);
  }
  CHECK(VisibleState(*fixture.router) == before);
  CHECK(fixture.router->counters().explanations == 0);
}

TEST_CASE("the command gets the explanation or the reason why there is none",
          "[fleet][explain]") {
  RouterFixture fixture(126);
  auto fetch = [&](const Endpoint& router, const PlacementQuestion& question) {
    auto out = std::async(std::launch::async,
                          [&] { return FetchExplanation(router, question); });
    RunUntil(&fixture.loop, [&] {
      return out.wait_for(Milliseconds(0)) == std::future_status::ready;
    });
    return out.get();
  };
  PlacementQuestion question;
  question.host = "h.example";
  question.target = "/once/1";
  question.fields.key = kApiKey;
  Endpoint router = fixture.router->metrics_endpoint();
  auto explanation = fetch(router, question);
  REQUIRE(explanation.has_value());
  CHECK(explanation.value().find("\nsent upstream=plain-") !=
        std::string::npos);
  auto unreachable = fetch(fixture.EndpointAt(99), question);
  REQUIRE(unreachable.has_error());
  CHECK(unreachable.error().code == ErrorCode::kUnavailable);
  question.target = "once";
  auto refused = fetch(router, question);
  REQUIRE(refused.has_error());
  CHECK(refused.error().code == ErrorCode::kInvalidArgument);
  CHECK(refused.error().message ==
        router.ToString() +
            ": 400 parameter 'path' is missing or does not begin with '/'");
}

}  // namespace
}  // namespace primrosecove
