// Tests the HTTP/1.1 client and server against the bytes that faulty peers
// send.
#include <catch2/catch.hpp>

#include "../raw_server.h"
#include "../test_support.h"
#include "Core/Net/http1_client.h"
#include "Core/Net/http1_server.h"

namespace primrosecove {
namespace {

constexpr uint64_t kMaxBodyBytes = 1 << 20;
// Sent by a server without end before its client closes; many are in the
// buffers of the sockets.
constexpr size_t kMaxRepeatedBytes = 8 << 20;

CallResult SendRequest(EventLoop* loop, Http1Client* client,
                       const Endpoint& endpoint, const std::string& id) {
  std::optional<CallResult> out;
  CallOptions options;
  options.timeout = Milliseconds(400);
  options.max_body_bytes = kMaxBodyBytes;
  options.echo_header = "Request-Id";
  options.echo_value = id;
  CallEvents events;
  events.on_end = [&](CallResult result) { out = std::move(result); };
  HttpRequest request;
  request.headers.Add("Request-Id", id);
  auto call = client->Send(endpoint, request, options, std::move(events));
  RunUntil(loop, [&] { return out.has_value(); });
  return std::move(*out);
}

std::string ResponseText(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

TEST_CASE("the client accepts only complete responses to its own request",
          "[http1]") {
  using End = RawServer::End;
  struct Row {
    const char* name;
    RawServer::ScriptedResponse response;
    CallEnd end;
    const char* body;
  };
  const Row rows[] = {
      {"complete", {ResponseText("1", "abc")}, CallEnd::kComplete, "abc"},
      {"chunked",
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\n"
        "bc\r\n0\r\n\r\n"},
       CallEnd::kComplete,
       "abc"},
      {"close-delimited, closed",
       {"HTTP/1.1 200 OK\r\n\r\nabc", End::kClose},
       CallEnd::kComplete,
       "abc"},
      {"close-delimited, reset",
       {"HTTP/1.1 200 OK\r\n\r\nabc", End::kReset},
       CallEnd::kConnectionLost,
       nullptr},
      {"closed in the body",
       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", End::kClose},
       CallEnd::kConnectionLost,
       nullptr},
      {"closed in a chunk",
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
        End::kClose},
       CallEnd::kConnectionLost,
       nullptr},
      {"closed between chunks",
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        End::kClose},
       CallEnd::kConnectionLost,
       nullptr},
      {"closed in the head",
       {"HTTP/1.1 200 O", End::kClose},
       CallEnd::kConnectionLost,
       nullptr},
      {"no response, closed",
       {"", End::kClose},
       CallEnd::kConnectionLost,
       nullptr},
      {"not HTTP",
       {"\x16\x03\x01 garbage\r\n\r\n"},
       CallEnd::kMalformed,
       nullptr},
      {"no response", {""}, CallEnd::kTimeout, nullptr},
      {"response to another request first",
       {ResponseText("0", "late") + ResponseText("1", "abc")},
       CallEnd::kComplete,
       "abc"},
      {"only a response to another request",
       {ResponseText("0", "late")},
       CallEnd::kTimeout,
       nullptr},
      {"Content-Length with chunked encoding",
       {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: "
        "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
       CallEnd::kMalformed,
       nullptr},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    EventLoop loop;
    Http1Client client(&loop);
    RawServer server(&loop, TestEndpoint(95, 1));
    server.Add(row.response);
    CallResult result = SendRequest(&loop, &client, TestEndpoint(95, 1), "1");
    CHECK(result.end == row.end);
    if (row.body != nullptr) CHECK(result.body == row.body);
  }
}

// Guards against a server that sends bytes until its client closes: they would
// fill the memory, or keep the call beyond its timeout.
TEST_CASE("a response without end is cut off, in its head or its body",
          "[http1]") {
  struct Row {
    const char* name;
    std::string bytes;
    std::string repeated;
    Milliseconds period;
    CallEnd end;
  };
  const std::string ok_line = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok_line + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string block(64 << 10, 'x');
  const std::string blanks(64 << 10, ' ');
  const std::string zeros(64 << 10, '0');
  const std::string empty_lines(64 << 10, '\n');
  const Row rows[] = {
      {"a body without length", ok_line + "\r\n", block, Milliseconds(0),
       CallEnd::kMalformed},
      {"chunks", chunked, "10000\r\n" + block + "\r\n", Milliseconds(0),
       CallEnd::kMalformed},
      {"a length beyond the limit",
       ok_line + "Content-Length: 99999999999\r\n\r\n", block, Milliseconds(0),
       CallEnd::kMalformed},
      {"header fields", ok_line, "X-Field: " + std::string(1000, 'x') + "\r\n",
       Milliseconds(0), CallEnd::kMalformed},
      {"one header field", ok_line + "X-Field: ", block, Milliseconds(0),
       CallEnd::kMalformed},
      {"a status line", "HTTP/1.1 200 ", block, Milliseconds(0),
       CallEnd::kMalformed},
      {"empty lines", "", empty_lines, Milliseconds(0), CallEnd::kMalformed},
      {"blanks before a value", ok_line + "X-Field:", blanks, Milliseconds(0),
       CallEnd::kMalformed},
      {"blanks after a value", ok_line + "X-Field: x", blanks, Milliseconds(0),
       CallEnd::kMalformed},
      {"empty header fields", ok_line, "a:\r\n", Milliseconds(0),
       CallEnd::kMalformed},
      {"digits of a status", "HTTP/1.1 ", zeros, Milliseconds(0),
       CallEnd::kMalformed},
      {"digits of a chunk size", chunked, zeros, Milliseconds(0),
       CallEnd::kMalformed},
      {"a chunk extension", chunked + "1;", block, Milliseconds(0),
       CallEnd::kMalformed},
      {"trailer fields", chunked + "0\r\n",
       "X-Field: " + std::string(1000, 'x') + "\r\n", Milliseconds(0),
       CallEnd::kMalformed},
      {"blanks in a trailer field", chunked + "0\r\nX-Field:", blanks,
       Milliseconds(0), CallEnd::kMalformed},
      {"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n",
       Milliseconds(0), CallEnd::kTimeout},
      {"a body, slowly", ok_line + "\r\n", "x", Milliseconds(5),
       CallEnd::kTimeout},
      {"a head, slowly", ok_line + "X-Field: ", "x", Milliseconds(5),
       CallEnd::kTimeout},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    EventLoop loop;
    Http1Client client(&loop);
    RawServer server(&loop, TestEndpoint(95, 1));
    server.Add(
        {row.bytes, RawServer::End::kKeepOpen, row.repeated, row.period});
    CallResult result = SendRequest(&loop, &client, TestEndpoint(95, 1), "1");
    CHECK(result.end == row.end);
    CHECK(result.body.size() <= kMaxBodyBytes);
    if (row.end == CallEnd::kMalformed)
      CHECK(server.repeated_bytes() <= kMaxRepeatedBytes);
  }
}

// Guards against ending a slow but sound transfer, and against waiting for ever
// for one that is silent or sends a byte now and then.
TEST_CASE("silence or the whole limit ends a call, slowness does not",
          "[http1]") {
  struct Row {
    const char* name;
    std::string repeated;
    Milliseconds timeout;
    CallEnd end;
  };
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n";
  const Row rows[] = {
      {"slow data", "x", Milliseconds(30'000), CallEnd::kComplete},
      {"silence after the head", "", Milliseconds(30'000), CallEnd::kTimeout},
      {"data now and then beyond the whole limit", "x", Milliseconds(100),
       CallEnd::kTimeout},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    EventLoop loop;
    Http1Client client(&loop);
    RawServer server(&loop, TestEndpoint(95, 1));
    // Twenty bytes take twice the stall timeout.
    server.Add(
        {head, RawServer::End::kKeepOpen, row.repeated, Milliseconds(50)});
    CallOptions options;
    options.timeout = row.timeout;
    options.stall_timeout = Milliseconds(500);
    std::optional<CallResult> result;
    CallEvents events;
    events.on_end = [&](CallResult it) { result = std::move(it); };
    auto call = client.Send(TestEndpoint(95, 1), HttpRequest(), options,
                            std::move(events));
    RunUntil(&loop, [&] { return result.has_value(); });
    CHECK(result->end == row.end);
  }
}

TEST_CASE("a connection with unread bytes is not reused", "[http1]") {
  struct Row {
    const char* name;
    std::string first;
    int connections;
  };
  const Row rows[] = {
      {"no unread bytes", ResponseText("1", "a"), 1},
      {"a duplicate response",
       ResponseText("1", "a") + ResponseText("1", "again"), 2},
      {"stray bytes", ResponseText("1", "a") + "xx", 2},
      {"Connection: close",
       "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na", 2},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    EventLoop loop;
    Http1Client client(&loop);
    RawServer server(&loop, TestEndpoint(96, 1));
    server.Add({row.first});
    server.Add({ResponseText("2", "b")});
    CHECK(SendRequest(&loop, &client, TestEndpoint(96, 1), "1").body == "a");
    CHECK(SendRequest(&loop, &client, TestEndpoint(96, 1), "2").body == "b");
    CHECK(server.accepted() == row.connections);
  }
}

TEST_CASE("a call to a port without a listener ends with kNotSent", "[http1]") {
  EventLoop loop;
  Http1Client client(&loop);
  CallResult result = SendRequest(&loop, &client, TestEndpoint(97, 9), "1");
  CHECK(result.end == CallEnd::kNotSent);
  CHECK(result.refused);
}

// A process that exits as soon as in_flight() is zero would truncate the
// response, because a completed request may still have unsent bytes.
TEST_CASE("unsent_bytes counts the response of a completed request",
          "[http1]") {
  EventLoop loop;
  constexpr size_t kBytes = 3 << 20;
  Http1Server server(&loop, {}, [](const auto& exchange) {
    exchange->Respond(200, "OK", {}, std::string(kBytes, 'a'));
  });
  REQUIRE(server.Listen(TestEndpoint(99, 1)));
  Http1Client client(&loop);
  std::optional<CallResult> result;
  size_t max_unsent = 0;
  CallEvents events;
  events.on_end = [&](CallResult it) { result = std::move(it); };
  auto call = client.Send(TestEndpoint(99, 1), {}, {}, std::move(events));
  RunUntil(&loop, [&] {
    if (server.in_flight() == 0) {
      max_unsent = std::max(max_unsent, server.unsent_bytes());
    }
    return result.has_value();
  });
  CHECK(result->body.size() == kBytes);
  CHECK(max_unsent > 0);
  CHECK(server.unsent_bytes() == 0);
}

// Sends raw bytes to a server that echoes request targets and bodies; returns
// the bytes received until the server closes the connection.
std::string ExchangeRawBytes(const std::string& bytes,
                             Http1Server::Limits limits) {
  EventLoop loop;
  Http1Server server(&loop, limits, [](const auto& exchange) {
    std::string body =
        exchange->request().target + "=" + exchange->request().body + ";";
    exchange->Respond(200, "OK", {}, body);
  });
  REQUIRE(server.Listen(TestEndpoint(98, 1)));
  bufferevent* bev =
      bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  struct State {
    std::string received;
    bool closed = false;
  } state;
  auto read = [](bufferevent* it, void* arg) {
    evbuffer* in = bufferevent_get_input(it);
    size_t n = evbuffer_get_length(in);
    auto* data = reinterpret_cast<char*>(evbuffer_pullup(in, -1));
    static_cast<State*>(arg)->received.append(data, n);
    evbuffer_drain(in, n);
  };
  auto event = [](bufferevent*, short what, void* arg) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      static_cast<State*>(arg)->closed = true;
    }
  };
  bufferevent_setcb(bev, read, nullptr, event, &state);
  sockaddr_in address = TestEndpoint(98, 1).ToSockaddr();
  bufferevent_socket_connect(bev, reinterpret_cast<sockaddr*>(&address),
                             sizeof(address));
  bufferevent_enable(bev, EV_READ | EV_WRITE);
  bufferevent_write(bev, bytes.data(), bytes.size());
  RunUntil(&loop, [&] { return state.closed; });
  bufferevent_free(bev);
  return state.received;
}

// Guards against bytes of a body where none may follow the head (RFC 9112,
// section 6.3), which the caller would read as its next response.
TEST_CASE("a response that has no body leaves the connection in order",
          "[http1]") {
  struct Row {
    const char* method;
    int status;
    bool streamed;
  };
  const Row rows[] = {{"GET", 204, true},  {"GET", 204, false},
                      {"GET", 304, true},  {"GET", 304, false},
                      {"HEAD", 200, true}, {"HEAD", 200, false}};
  for (const Row& row : rows) {
    CAPTURE(row.method, row.status, row.streamed);
    EventLoop loop;
    Http1Server server(&loop, {}, [&](const auto& exchange) {
      if (exchange->request().target == "/next")
        return exchange->Respond(200, "OK", {}, "next");
      if (!row.streamed) return exchange->Respond(row.status, "X", {}, "body");
      exchange->StartStream(row.status, "X", {});
      exchange->Write("body");
      exchange->EndStream();
    });
    REQUIRE(server.Listen(TestEndpoint(95, 2)));
    Http1Client client(&loop);
    for (const char* target : {"/first", "/next"}) {
      std::optional<CallResult> result;
      CallEvents events;
      events.on_end = [&](CallResult it) { result = std::move(it); };
      HttpRequest request;
      request.method = target == std::string("/first") ? row.method : "GET";
      request.target = target;
      auto call = client.Send(TestEndpoint(95, 2), request,
                              {.timeout = Milliseconds(400)}, events);
      RunUntil(&loop, [&] { return result.has_value(); });
      CHECK(result->end == CallEnd::kComplete);
      CHECK(result->body == (target == std::string("/next") ? "next" : ""));
      if (row.status == 204 && target == std::string("/first")) {
        CHECK_FALSE(result->head->headers.Find("Content-Length"));
        CHECK_FALSE(result->head->headers.Find("Transfer-Encoding"));
      }
    }
    CHECK(client.stats().connections_opened == 1);
  }
}

// Guards against a head that takes many times its size in memory, because each
// of its fields takes that of two strings.
TEST_CASE("the number of header fields is limited", "[http1]") {
  for (auto kind :
       {Http1Parser::Kind::kRequest, Http1Parser::Kind::kResponse}) {
    for (size_t fields :
         {Http1Parser::kMaxFields, Http1Parser::kMaxFields + 1}) {
      CAPTURE(kind == Http1Parser::Kind::kRequest, fields);
      bool is_complete = false;
      Http1Parser::Events events;
      events.on_complete = [&] { is_complete = true; };
      Http1Parser parser(kind, 64 << 10, events);
      std::string head = kind == Http1Parser::Kind::kRequest
                             ? "GET / HTTP/1.1\r\n"
                             : "HTTP/1.1 204 No Content\r\n";
      for (size_t n = 0; n < fields; ++n) head += "a:\r\n";
      parser.Parse(head + "\r\n");
      bool fits = fields <= Http1Parser::kMaxFields;
      CHECK(is_complete == fits);
      CHECK(parser.failed() == !fits);
      CHECK(parser.head_too_large() == !fits);
    }
  }
}

TEST_CASE("the server handles pipelined requests and rejects malformed ones",
          "[http1]") {
  struct Row {
    const char* name;
    std::string bytes;
    std::vector<std::string> found;
    std::vector<std::string> absent;
  };
  const std::string final_request =
      "GET /end HTTP/1.1\r\nConnection: close\r\n\r\n";
  const Row rows[] = {
      {"keep-alive connection",
       "GET /a HTTP/1.1\r\n\r\n" + final_request,
       {"/a=;", "/end=;"},
       {}},
      {"a chunked body",
       "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
       "0\r\n\r\n" +
           final_request,
       {"/a=abc;", "/end=;"},
       {}},
      {"Content-Length with chunked encoding (request smuggling)",
       "POST /a HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
       {"HTTP/1.1 400"},
       {"/a=", "/b="}},
      {"conflicting Content-Length fields",
       "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
       {"HTTP/1.1 400"},
       {"/a="}},
      {"not HTTP", "hello\r\n\r\n", {"HTTP/1.1 400"}, {}},
      {"a blank in the name of a field",
       "GET /a HTTP/1.1\r\nX Field: 1\r\n\r\n",
       {"HTTP/1.1 400"},
       {"/a="}},
      {"a blank before the colon of a field that the system sets",
       "GET /a HTTP/1.1\r\nTenant : root\r\n\r\n",
       {"HTTP/1.1 400"},
       {"/a="}},
      {"a second length, with a blank before its colon",
       "POST /a HTTP/1.1\r\nContent-Length: 2\r\nContent-Length : 1\r\n\r\nab",
       {"HTTP/1.1 400"},
       {"/a="}},
      {"version 0.9", "GET /a HTTP/0.9\r\n\r\n", {"HTTP/1.1 505"}, {"/a="}},
      {"no version", "GET /a\r\n\r\n", {"HTTP/1.1 505"}, {"/a="}},
      {"version 2.0", "GET /a HTTP/2.0\r\n\r\n", {"HTTP/1.1 505"}, {"/a="}},
      {"two hosts",
       "GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
       {"HTTP/1.1 400"},
       {"/a="}},
      {"a tab in the target",
       "GET /a\tb HTTP/1.1\r\n\r\n",
       {"HTTP/1.1 400"},
       {"/a"}},
      {"a form feed in the target",
       "GET /a\fb HTTP/1.1\r\n\r\n",
       {"HTTP/1.1 400"},
       {"/a"}},
      {"a byte over 127 in the target",
       "GET /a\xc3 HTTP/1.1\r\n\r\n",
       {"HTTP/1.1 400"},
       {"/a"}},
      {"a later minor version and empty lines before",
       "\r\n\r\nGET /a HTTP/1.2\r\nHost: x\r\n\r\n" + final_request,
       {"/a=;", "/end=;"},
       {}},
      {"a blank in the name of a trailer field",
       "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Y: 1\r\n"
       "\r\n",
       {"HTTP/1.1 400"},
       {"/a="}},
      {"a head over its limit",
       "GET /a HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n",
       {"HTTP/1.1 431"},
       {"/a="}},
      {"a body over its limit",
       "POST /a HTTP/1.1\r\nContent-Length: 9999\r\n\r\n",
       {"HTTP/1.1 413"},
       {"/a="}},
      {"a chunked body over its limit",
       "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" +
           std::string(2000, 'y') + "\r\n0\r\n\r\n",
       {"HTTP/1.1 413"},
       {"/a="}},
      {"a head that never ends",
       "GET /a HTTP/1.1\r\nX: 1\r\n",
       {"HTTP/1.1 408"},
       {"/a="}},
  };
  Http1Server::Limits limits;
  limits.max_head_bytes = 2000;
  limits.max_body_bytes = 1000;
  limits.head_timeout = Milliseconds(100);
  for (const Row& row : rows) {
    INFO(row.name);
    std::string received = ExchangeRawBytes(row.bytes, limits);
    INFO(received);
    for (const std::string& it : row.found) {
      CHECK(received.find(it) != std::string::npos);
    }
    for (const std::string& it : row.absent) {
      CHECK(received.find(it) == std::string::npos);
    }
  }
}

}  // namespace
}  // namespace primrosecove
