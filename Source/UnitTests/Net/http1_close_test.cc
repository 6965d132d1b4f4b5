// Tests that an Http1Server closes no connection under a request: what it has
// read gets a response, and what it does not answer it does not read.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../raw_caller.h"
#include "../test_support.h"
#include "Core/Net/http1_server.h"

namespace primrosecove {
namespace {

constexpr Milliseconds kLongTimeout{60'000};
constexpr Milliseconds kShortTimeout{1};

std::string RequestText(const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

// Echoes the targets of requests; holds those to "/hold".
class ServerFixture {
 public:
  ServerFixture(int group, Http1Server::Limits limits)
      : endpoint(TestEndpoint(group, 1)),
        server(&loop, limits, [this](std::shared_ptr<Http1Exchange> exchange) {
          executed.push_back(exchange->request().target);
          if (executed.back() == "/hold") {
            held = std::move(exchange);
          } else {
            Respond(*exchange);
          }
        }) {
    if (!server.Listen(endpoint)) FAIL("listen");
  }
  static void Respond(Http1Exchange& exchange) {
    exchange.Respond(200, "OK", {}, exchange.request().target + ";");
  }
  // Sends a request and waits for its response.
  void Exchange(RawCaller* caller, const std::string& target) {
    caller->Send(RequestText(target));
    RunUntil(&loop, [&] {
      return caller->ended() || caller->has_received(target + ";");
    });
  }

  Endpoint endpoint;
  EventLoop loop;
  std::vector<std::string> executed;
  std::shared_ptr<Http1Exchange> held;
  Http1Server server;
};

// Guards against a change of the configuration that closes all connections that
// have been idle for longer than the new time, under callers that still count
// on the old one.
TEST_CASE("a shorter idle time applies to a connection from its next use",
          "[http1][close]") {
  Http1Server::Limits limits;
  limits.idle_timeout = kLongTimeout;
  ServerFixture fixture(200, limits);
  RawCaller kept(fixture.endpoint);
  fixture.Exchange(&kept, "/1");
  limits.idle_timeout = kShortTimeout;
  fixture.server.SetLimits(limits);
  RawCaller later(fixture.endpoint);
  RunUntil(&fixture.loop, [&] { return later.ended(); });
  fixture.Exchange(&kept, "/2");
  CHECK(kept.has_received("/2;"));
  RunUntil(&fixture.loop, [&] { return kept.ended(); });
  CHECK(fixture.server.counters().idle_closed == 2);
  CHECK(fixture.server.counters().dropped_bytes == 0);
}

// Guards against a change of the configuration that rejects requests that began
// under the previous one.
TEST_CASE("new limits apply to the requests that begin after them",
          "[http1][close]") {
  struct Row {
    const char* name;
    Http1Server::Limits shorter;
    std::string first;
    std::string rest;
    const char* rejection;
  };
  const std::string head = "POST /1 HTTP/1.1\r\nContent-Length: 4\r\n";
  const Row rows[] = {
      {"head",
       {.head_timeout = kShortTimeout},
       head,
       "\r\nbody",
       "HTTP/1.1 408"},
      {"body",
       {.request_timeout = kShortTimeout},
       head + "\r\nbo",
       "dy",
       "HTTP/1.1 408"},
      {"size", {.max_body_bytes = 3}, head + "\r\nbo", "dy", "HTTP/1.1 413"},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    ServerFixture fixture(201, {});
    RawCaller caller(fixture.endpoint);
    fixture.Exchange(&caller, "/0");
    caller.Send(row.first);
    // The loop reads the waiting bytes of all connections in one iteration.
    RawCaller other(fixture.endpoint);
    fixture.Exchange(&other, "/0");
    fixture.server.SetLimits(row.shorter);
    RawCaller later(fixture.endpoint);
    later.Send(row.first);
    RunUntil(&fixture.loop, [&] { return later.has_received(row.rejection); });
    caller.Send(row.rest);
    RunUntil(&fixture.loop,
             [&] { return caller.ended() || caller.has_received("/1;"); });
    CHECK(caller.has_received("/1;"));
  }
}

// Guards against an idle time that ends, or a stop that begins, between the
// arrival of a request and its reading.
TEST_CASE("a request that waits in the socket is served before a close",
          "[http1][close]") {
  Http1Server::Limits limits;
  limits.idle_timeout = Milliseconds(100);
  ServerFixture fixture(202, limits);
  RawCaller caller(fixture.endpoint);
  fixture.Exchange(&caller, "/1");
  SECTION("the idle time ends") {
    // After the process has stood still, the sweep is due in the same loop
    // iteration as the callback.
    fixture.loop.Post([&] { caller.Send(RequestText("/2")); });
    std::this_thread::sleep_for(Milliseconds(400));
  }
  SECTION("idle connections are closed at a stop") {
    caller.Send(RequestText("/2"));
    fixture.server.BeginDrain();
    fixture.server.CloseIdle();
  }
  RunUntil(&fixture.loop, [&] { return caller.ended(); });
  CHECK(caller.has_received("/2;"));
  CHECK(fixture.server.counters().dropped_bytes == 0);
  CHECK(fixture.server.counters().closed_with_unread == 0);
}

// Guards against a request that is read and dropped: its caller may try a
// request that may run only once again only if the server has not read it.
TEST_CASE("a request that arrives after the close is not read",
          "[http1][close]") {
  ServerFixture fixture(203, {});
  RawCaller caller(fixture.endpoint);
  fixture.Exchange(&caller, "/1");
  SECTION("the connection was idle") {
    fixture.server.CloseIdle();
    caller.Send(RequestText("/2"));
  }
  SECTION("its last response closes it") {
    fixture.server.BeginDrain();
    fixture.Exchange(&caller, "/2");
    CHECK(caller.has_received("Connection: close"));
    RunUntil(&fixture.loop, [&] { return caller.ended(); });
    caller.Send(RequestText("/3"));
  }
  RunUntil(&fixture.loop, [&] { return fixture.server.connections() == 0; });
  CHECK(fixture.executed.back() != "/3");
  CHECK(fixture.server.counters().dropped_bytes == 0);
  CHECK(fixture.server.counters().closed_with_unread == 1);
}

// Guards against a stop that announces the close although the connection's next
// request has been read.
TEST_CASE("a request read behind another one is served during a drain",
          "[http1][close]") {
  ServerFixture fixture(204, {});
  RawCaller caller(fixture.endpoint);
  caller.Send(RequestText("/hold") + RequestText("/2"));
  RunUntil(&fixture.loop, [&] { return fixture.held != nullptr; });
  fixture.server.BeginDrain();
  ServerFixture::Respond(*fixture.held);
  RunUntil(&fixture.loop, [&] { return caller.ended(); });
  CHECK(caller.has_received("/hold;"));
  CHECK(caller.has_received("/2;"));
  CHECK(fixture.server.counters().dropped_bytes == 0);
}

// Guards against connections that are accepted and closed without a response.
TEST_CASE("a connection beyond the limit replaces an idle one or is refused",
          "[http1][close]") {
  Http1Server::Limits limits;
  limits.max_connections = 2;
  ServerFixture fixture(205, limits);
  RawCaller first(fixture.endpoint);
  fixture.Exchange(&first, "/1");
  RawCaller second(fixture.endpoint);
  fixture.Exchange(&second, "/2");
  SECTION("the one that has been idle for longest is closed") {
    RawCaller third(fixture.endpoint);
    fixture.Exchange(&third, "/3");
    CHECK(third.has_received("/3;"));
    CHECK(first.ended());
    CHECK_FALSE(second.ended());
    CHECK(fixture.server.connections() == 2);
  }
  SECTION("none with a request in its socket is closed") {
    // The third is accepted before the others are read.
    RawCaller third(fixture.endpoint);
    fixture.loop.Post([&] {
      first.Send(RequestText("/hold"));
      second.Send(RequestText("/4"));
    });
    fixture.Exchange(&third, "/3");
    CHECK(third.has_received("HTTP/1.1 503"));
    CHECK(third.has_received("Retry-After: 1\r\n"));
    CHECK(third.has_received("Connection: close\r\n"));
    RunUntil(&fixture.loop, [&] {
      return fixture.held != nullptr && second.has_received("/4;");
    });
    CHECK_FALSE(first.ended());
    CHECK(std::ranges::count(fixture.executed, "/3") == 0);
  }
  CHECK(fixture.server.counters().dropped_bytes == 0);
}

TEST_CASE("the connections that are refused at one time are bounded",
          "[http1][close]") {
  Http1Server::Limits limits;
  limits.max_connections = 1;
  ServerFixture fixture(206, limits);
  RawCaller busy(fixture.endpoint);
  busy.Send(RequestText("/hold"));
  RunUntil(&fixture.loop, [&] { return fixture.held != nullptr; });
  constexpr size_t kCallers = 200;
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (size_t i = 0; i < kCallers; ++i)
    callers.push_back(std::make_unique<RawCaller>(fixture.endpoint));
  // Each caller has either a response to its request or a closed connection.
  for (auto& it : callers) it->Send(RequestText("/late"));
  size_t most_open = 0;
  RunUntil(&fixture.loop, [&] {
    most_open = std::max(most_open, fixture.server.connections());
    return std::ranges::all_of(callers, [](auto& it) { return it->ended(); });
  });
  CHECK(fixture.server.counters().refused_connections == kCallers);
  CHECK(std::ranges::any_of(
      callers, [](auto& it) { return it->has_received("HTTP/1.1 503"); }));
  CHECK(most_open <= 1 + Http1Server::kMaxRefusing);
  ServerFixture::Respond(*fixture.held);
  RunUntil(&fixture.loop, [&] { return busy.has_received("/hold;"); });
  CHECK(fixture.executed.size() == 1);
}

}  // namespace
}  // namespace primrosecove
