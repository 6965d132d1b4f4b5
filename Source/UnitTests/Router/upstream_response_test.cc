// Tests of responses that do not belong where they arrive: an earlier refusal
// that a server sends again, and errors that follow a broken stream.
#include "raw_upstreams.h"

namespace primrosecove {
namespace {

using Response = RawServer::ScriptedResponse;
using End = RawServer::End;

// Returns a response with a length.
std::string Http(const char* status, const std::string& request_id,
                 const std::string& headers, const std::string& body) {
  std::string out = std::string("HTTP/1.1 ") + status + "\r\n";
  if (!request_id.empty()) out += "Request-Id: " + request_id + "\r\n";
  return out + headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string Refusal(const std::string& request_id) {
  return Http("503 Service Unavailable", request_id, "Not-Executed: 1\r\n",
              "full");
}

// Guards against 'not executed' for a request that its upstream runs: the
// upstream sends an earlier refusal once more on a kept connection.
TEST_CASE("a refusal that is sent again refuses no other request", "[fleet]") {
  struct Row {
    const char* name;
    const char* path;
    // Sent to the second request; the first has been refused.
    std::string second;
    int status;
    std::string body;
  };
  const std::string signature = "Server-Signature: s\r\n";
  const Row rows[] = {
      {"before the response", "/raw/1",
       Refusal("req-1") + Http("200 OK", "req-2", signature, "mine"), 200,
       "mine"},
      {"without an id", "/raw/1",
       Refusal("") + Http("200 OK", "req-2", signature, "mine"), 502, ""},
      {"of a non-idempotent request", "/raw-once/1",
       Refusal("req-1") + Http("200 OK", "req-2", signature, "mine"), 200,
       "mine"},
      {"after the response", "/raw/1",
       Http("200 OK", "req-2", signature, "mine") + Refusal("req-1"), 200,
       "mine"},
      {"twice", "/raw/1",
       Refusal("req-1") + Refusal("req-1") +
           Http("200 OK", "req-2", signature, "mine"),
       200, "mine"},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    RawUpstreams upstreams(109, 1);
    upstreams.servers[0]->Add({Refusal("req-1")});
    upstreams.servers[0]->Add({row.second});
    upstreams.servers[0]->Add({Http("200 OK", "req-3", signature, "next")});
    CHECK(upstreams.fixture.SendAndWait("/raw/1").head->status == 503);
    CallResult result = upstreams.fixture.SendAndWait(row.path);
    CHECK(result.head->status == row.status);
    CHECK(result.body == row.body);
    CHECK(upstreams.Requests() == 2);
    // The next request gets its own response.
    CHECK(upstreams.fixture.SendAndWait("/raw/1").body == "next");
  }
}

// Guards against a request that runs twice, because the refusal of an earlier
// one was taken for its own.
TEST_CASE("a refusal that is sent again starts no second run", "[fleet]") {
  for (const char* path : {"/raw-once/1", "/raw-twice/1"}) {
    INFO(path);
    RawUpstreams upstreams(109, 2);
    RouterFixture& fixture = upstreams.fixture;
    const std::string ok =
        Http("200 OK", "req-2", "Server-Signature: s\r\n", "mine");
    // Both refuse the first request.
    upstreams.servers[0]->Add({Refusal("req-1")});
    upstreams.servers[0]->Add({Refusal("req-1")});
    upstreams.servers[0]->Add({Refusal("req-1") + ok});
    CHECK(fixture.SendAndWait("/raw-twice/1").head->status == 503);
    CHECK(upstreams.Requests() == 2);
    CHECK(fixture.SendAndWait(path).body == "mine");
    CHECK(upstreams.Requests() == 3);
  }
}

// Guards against an error inside a stream, and against a stream that seems to
// be complete: it broke off, and the next upstream responds with an error.
TEST_CASE("an error after a broken stream does not reach the caller",
          "[fleet]") {
  const std::string signature = "Server-Signature: s\r\n";
  const std::string stream = "HTTP/1.1 200 OK\r\n" + signature +
                             "Content-Type: text/event-stream\r\n\r\n";
  const std::string first = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  const std::string rest = "id: 3\ndata: c\n\n";
  const std::string error_head =
      "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: req-1\r\n\r\n";
  const Response broken = {stream + first, End::kReset};
  struct Row {
    const char* name;
    std::vector<Response> responses;
    CallEnd end;
    std::string body;
  };
  const Row rows[] = {
      {"the rest follows",
       {broken, {stream + rest, End::kClose}},
       CallEnd::kComplete,
       first + rest},
      {"a refusal",
       {broken, {Refusal("req-1")}},
       CallEnd::kConnectionLost,
       first},
      {"status 000",
       {broken, {Http("000 Unknown", "req-1", signature, rest)}},
       CallEnd::kConnectionLost,
       first},
      {"an error",
       {broken, {Http("500 Internal Server Error", "req-1", signature, rest)}},
       CallEnd::kConnectionLost,
       first},
      {"a client error",
       {broken, {Http("404 Not Found", "req-1", signature, rest)}},
       CallEnd::kConnectionLost,
       first},
      {"a stream without events",
       {broken, {Http("200 OK", "req-1", signature, "")}},
       CallEnd::kConnectionLost,
       first},
      {"a stream of events that were sent before",
       {broken, {stream + first, End::kClose}},
       CallEnd::kConnectionLost,
       first},
      {"an unsigned stream",
       {broken, {Http("200 OK", "req-1", "", rest)}},
       CallEnd::kConnectionLost,
       first},
      {"a head in the body",
       {broken, {stream + error_head, End::kClose}},
       CallEnd::kConnectionLost,
       first},
      {"a text in the body",
       {broken, {stream + "data: overloaded\n\n", End::kClose}},
       CallEnd::kConnectionLost,
       first},
      {"nothing", {broken, {"", End::kClose}}, CallEnd::kConnectionLost, first},
      {"a head amid the first stream",
       {{stream + first + error_head, End::kClose}, {Refusal("req-1")}},
       CallEnd::kConnectionLost,
       first},
      {"a text amid the first stream",
       {{stream + first + "{\"error\": \"overloaded\"}\n\n", End::kClose},
        {Refusal("req-1")}},
       CallEnd::kConnectionLost,
       first},
      {"a comment amid the first stream",
       {{stream + first + ": still here\n\n" + rest, End::kClose}},
       CallEnd::kComplete,
       first + ": still here\n\n" + rest},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    RawUpstreams upstreams(110, 2);
    for (const Response& it : row.responses) upstreams.servers[0]->Add(it);
    CallResult result = upstreams.fixture.SendAndWait("/raw-resumed/1");
    CHECK(result.end == row.end);
    CHECK(result.body == row.body);
  }
}

// Guards against a response that the upstream cut, in its head above all, and
// that reaches the caller framed as a complete one with an empty or short body.
TEST_CASE("a response that is cut anywhere reaches no caller as complete",
          "[fleet]") {
  struct Row {
    const char* name;
    const char* path;
    std::string head;
    std::string body;
    bool ends_by_close;  // A cut of its body can't be told from its end.
  };
  const std::string signed_head =
      "HTTP/1.1 200 OK\r\nServer-Signature: s\r\nX-Last: 1\r\n";
  const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  const std::string with_length =
      signed_head + "Content-Length: " + std::to_string(events.size()) +
      "\r\n\r\n";
  const Row rows[] = {
      {"runs once, length", "/raw-once/", with_length, events, false},
      {"runs once, no length", "/raw-once/", signed_head + "\r\n", events,
       true},
      {"repeatable, length", "/raw-twice/", with_length, events, false},
      {"repeatable, no length", "/raw-twice/", signed_head + "\r\n", events,
       true},
      {"stream, length", "/raw-stream/", with_length, events, false},
      {"resumable stream, length", "/raw-resumed/", with_length, events, false},
      {"resumable stream, no length", "/raw-resumed/", signed_head + "\r\n",
       events, true},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    RawUpstreams upstreams(118, 1);
    std::string whole = row.head + row.body;
    size_t last = row.ends_by_close ? row.head.size() : whole.size();
    for (size_t n = 0; n < last; n += 3) {
      CAPTURE(n);
      // Also for a second attempt.
      for (int i = 0; i < 2; ++i)
        upstreams.servers[0]->Add({whole.substr(0, n), End::kClose});
      int requests = upstreams.Requests();
      CallResult result =
          upstreams.fixture.SendAndWait(row.path + std::to_string(n));
      CHECK(upstreams.Requests() > requests);
      bool is_success = result.head && IsSuccess(result.head->status);
      CHECK_FALSE((result.end == CallEnd::kComplete && is_success));
    }
  }
}

}  // namespace
}  // namespace primrosecove
