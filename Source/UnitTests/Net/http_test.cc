#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Core/Net/http_client.h"
#include "Core/Net/http_server.h"
#include "UnitTests/raw_server.h"
#include "UnitTests/test_support.h"

namespace primrosecove {
namespace {

int ConnectTo(const Endpoint& endpoint) {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = endpoint.ToSockaddr();
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
          0);
  return fd;
}

// Reads the available bytes without blocking; returns whether the peer has
// closed the connection.
bool ReadAvailable(int fd, std::string* out) {
  char buf[4096];
  for (;;) {
    ssize_t n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
    if (n == 0) return true;
    if (n < 0) return errno != EAGAIN;
    out->append(buf, static_cast<size_t>(n));
  }
}

}  // namespace

TEST_CASE(
    "a pipelined request is handled after the response to the previous one",
    "[net]") {
  EventLoop loop;
  std::vector<std::shared_ptr<HttpExchange>> exchanges;
  HttpServer server(&loop, {},
                    [&](auto exchange) { exchanges.push_back(exchange); });
  REQUIRE(server.Listen(TestEndpoint(1, 1)));
  int fd = ConnectTo(TestEndpoint(1, 1));
  std::string two =
      "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n";
  REQUIRE(send(fd, two.data(), two.size(), 0) ==
          static_cast<ssize_t>(two.size()));
  RunUntil(&loop, [&] { return exchanges.size() == 1; });
  loop.RunOnce(Milliseconds(20));
  REQUIRE(exchanges.size() == 1);
  exchanges[0]->Respond(200, {}, "first");
  RunUntil(&loop, [&] { return exchanges.size() == 2; });
  CHECK(exchanges[1]->request().target == "/b");
  exchanges[1]->Respond(200, {}, "second");
  std::string received;
  RunUntil(&loop, [&] {
    ReadAvailable(fd, &received);
    return received.find("second") != std::string::npos;
  });
  CHECK(received.find("first") < received.find("second"));
  close(fd);
}

TEST_CASE("Connection: close closes the connection after the response",
          "[net]") {
  EventLoop loop;
  std::shared_ptr<HttpExchange> server_exchange;
  HttpServer server(&loop, {},
                    [&](auto exchange) { server_exchange = exchange; });
  REQUIRE(server.Listen(TestEndpoint(1, 2)));
  int fd = ConnectTo(TestEndpoint(1, 2));
  std::string text = "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  REQUIRE(send(fd, text.data(), text.size(), 0) ==
          static_cast<ssize_t>(text.size()));
  RunUntil(&loop, [&] { return server_exchange != nullptr; });
  bool streamed = GENERATE(true, false);
  if (streamed) {
    server_exchange->StartStream(200, {});
    server_exchange->Write("data");
    server_exchange->EndStream();
  } else {
    server_exchange->Respond(200, {}, "data");
  }
  std::string received;
  RunUntil(&loop, [&] { return ReadAvailable(fd, &received); });
  CHECK(received.find("data") != std::string::npos);
  RunUntil(&loop, [&] { return server.in_flight() == 0; });
  close(fd);
}

TEST_CASE("OnDisconnect runs when the client closes before the response",
          "[net]") {
  EventLoop loop;
  std::shared_ptr<HttpExchange> server_exchange;
  bool disconnected = false;
  HttpServer server(&loop, {}, [&](auto exchange) {
    server_exchange = exchange;
    exchange->OnDisconnect([&] { disconnected = true; });
  });
  REQUIRE(server.Listen(TestEndpoint(1, 3)));
  int fd = ConnectTo(TestEndpoint(1, 3));
  std::string text =
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi";
  REQUIRE(send(fd, text.data(), text.size(), 0) ==
          static_cast<ssize_t>(text.size()));
  RunUntil(&loop, [&] { return server_exchange != nullptr; });
  CHECK(server_exchange->request().body == "hi");
  bool streaming = GENERATE(true, false);
  if (streaming) server_exchange->StartStream(200, {});
  loop.RunOnce(Milliseconds(5));
  close(fd);
  RunUntil(&loop, [&] { return disconnected; });
  RunUntil(&loop, [&] { return server.in_flight() == 0; });
  server_exchange->Write("after disconnect");
  server_exchange->EndStream();
}

TEST_CASE("the client receives each write of a streamed response", "[net]") {
  EventLoop loop;
  std::shared_ptr<HttpExchange> server_exchange;
  HttpServer server(&loop, {},
                    [&](auto exchange) { server_exchange = exchange; });
  REQUIRE(server.Listen(TestEndpoint(1, 4)));
  HttpClient client(&loop);
  std::vector<std::string> reads;
  int status = 0;
  bool done = false;
  HttpCallbacks callbacks;
  callbacks.on_head = [&](const HttpResponse& head) { status = head.status; };
  callbacks.on_data = [&](std::string_view body_data) {
    reads.emplace_back(body_data);
  };
  callbacks.on_response = [&](const HttpResponse&) { done = true; };
  callbacks.on_failure = [&](const HttpFailure& it) { FAIL(it.error.message); };
  HttpRequest request{
      .method = "POST", .target = "/s?q=1", .headers = {}, .body = "body"};
  auto call = client.Send(TestEndpoint(1, 4), request, {}, callbacks);
  RunUntil(&loop, [&] { return server_exchange != nullptr; });
  CHECK(server_exchange->request().QueryValue("q") == "1");
  server_exchange->StartStream(207, {});
  server_exchange->Write("one");
  RunUntil(&loop, [&] { return reads.size() == 1; });
  CHECK(status == 207);
  server_exchange->Write("two");
  RunUntil(&loop, [&] { return reads.size() == 2; });
  server_exchange->EndStream();
  RunUntil(&loop, [&] { return done; });
  CHECK(reads == std::vector<std::string>{"one", "two"});
}

TEST_CASE("a stream can start inside the handler and continue later", "[net]") {
  EventLoop loop;
  std::shared_ptr<HttpExchange> server_exchange;
  HttpServer server(&loop, {}, [&](auto exchange) {
    server_exchange = exchange;
    exchange->StartStream(200, {});
    exchange->Write("early ");
  });
  REQUIRE(server.Listen(TestEndpoint(1, 6)));
  HttpClient client(&loop);
  std::string received;
  bool done = false;
  HttpCallbacks callbacks;
  callbacks.on_data = [&](std::string_view body_data) {
    received.append(body_data);
  };
  callbacks.on_response = [&](const HttpResponse&) { done = true; };
  callbacks.on_failure = [&](const HttpFailure& it) { FAIL(it.error.message); };
  HttpRequest request{
      .method = "POST", .target = "/", .headers = {}, .body = "body"};
  auto call = client.Send(TestEndpoint(1, 6), request, {}, callbacks);
  RunUntil(&loop, [&] { return received == "early "; });
  server_exchange->Write("late");
  server_exchange->EndStream();
  RunUntil(&loop, [&] { return done; });
  CHECK(received == "early late");
}

TEST_CASE("OnDrained paces the writes of a long response", "[net]") {
  EventLoop loop;
  std::shared_ptr<HttpExchange> server_exchange;
  const std::string body_data(1 << 20, 'x');
  size_t written = 0;
  constexpr size_t kWrites = 12;
  auto write_more = [&] {
    while (written < kWrites && server_exchange->pending_bytes() < (4 << 20)) {
      server_exchange->Write(body_data);
      if (++written == kWrites) server_exchange->EndStream();
    }
  };
  HttpServer server(&loop, {}, [&](auto exchange) {
    server_exchange = exchange;
    exchange->StartStream(200, {});
    exchange->OnDrained(write_more);
    write_more();
  });
  REQUIRE(server.Listen(TestEndpoint(1, 7)));
  HttpClient client(&loop);
  size_t received = 0;
  bool done = false;
  HttpCallbacks callbacks;
  callbacks.on_data = [&](std::string_view it) { received += it.size(); };
  callbacks.on_response = [&](const HttpResponse&) { done = true; };
  callbacks.on_failure = [&](const HttpFailure& it) { FAIL(it.error.message); };
  auto call = client.Send(TestEndpoint(1, 7), {}, {}, callbacks);
  RunUntil(&loop, [&] { return done; });
  CHECK(received == kWrites * body_data.size());
}

TEST_CASE("a server with idle connections is destroyed cleanly", "[net]") {
  EventLoop loop;
  auto server = std::make_unique<HttpServer>(
      &loop, HttpServer::Limits{},
      [](const auto& exchange) { exchange->Respond(200, {}, "ok"); });
  REQUIRE(server->Listen(TestEndpoint(1, 8)));
  HttpClient client(&loop);
  bool done = false;
  HttpCallbacks callbacks;
  callbacks.on_response = [&](const HttpResponse&) { done = true; };
  auto call = client.Send(TestEndpoint(1, 8), {}, {}, callbacks);
  RunUntil(&loop, [&] { return done; });
  server.reset();
  bool failed = false;
  HttpCallbacks late_callbacks;
  late_callbacks.on_response = [](const HttpResponse&) {
    FAIL("received a response from a destroyed server");
  };
  late_callbacks.on_failure = [&](const HttpFailure&) { failed = true; };
  auto late_call = client.Send(TestEndpoint(1, 8), {}, {}, late_callbacks);
  RunUntil(&loop, [&] { return failed; });
}

// Guards against a server that sends bytes until its client closes.
TEST_CASE("HttpClient cuts off a response without end", "[net]") {
  struct Row {
    const char* name;
    std::string bytes;
    std::string repeated;
  };
  const std::string block(64 << 10, 'x');
  const std::string zeros(64 << 10, '0');
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const Row rows[] = {
      {"a body", "HTTP/1.1 200 OK\r\n\r\n", block},
      {"header fields", "HTTP/1.1 200 OK\r\n",
       "X-Field: " + block.substr(0, 1000) + "\r\n"},
      {"one header field", "HTTP/1.1 200 OK\r\nX-Field: ", block},
      {"digits of a chunk size", chunked, zeros},
      {"a chunk extension", chunked + "1;", block},
      {"trailer fields", chunked + "0\r\n",
       "X-Field: " + block.substr(0, 1000) + "\r\n"},
  };
  constexpr size_t kMaxRepeatedBytes = 8 << 20;
  for (const Row& row : rows) {
    INFO(row.name);
    EventLoop loop;
    HttpClient client(&loop);
    RawServer server(&loop, TestEndpoint(94, 1));
    server.Add({row.bytes, RawServer::End::kKeepOpen, row.repeated});
    bool failed = false;
    HttpCallbacks callbacks;
    callbacks.on_failure = [&](const HttpFailure&) { failed = true; };
    HttpCallLimits limits;
    limits.timeout = Milliseconds(2000);
    limits.max_body_bytes = 1 << 20;
    auto call = client.Send(TestEndpoint(94, 1), {}, limits, callbacks);
    RunUntil(&loop, [&] { return failed; });
    CHECK(server.repeated_bytes() <= kMaxRepeatedBytes);
  }
}

TEST_CASE("a failed call reports how far it proceeded", "[net]") {
  EventLoop loop;
  std::shared_ptr<HttpExchange> server_exchange;
  HttpServer server(&loop, {},
                    [&](auto exchange) { server_exchange = exchange; });
  REQUIRE(server.Listen(TestEndpoint(1, 5)));
  HttpClient client(&loop);
  std::optional<HttpFailure> failure;
  HttpCallbacks callbacks;
  callbacks.on_response = [&](const HttpResponse&) {
    FAIL("unexpected response");
  };
  callbacks.on_failure = [&](const HttpFailure& it) { failure = it; };

  SECTION("no listener") {
    auto call = client.Send({"127.77.1.5", 1}, {}, {}, callbacks);
    RunUntil(&loop, [&] { return failure.has_value(); });
    CHECK(failure->progress == HttpProgress::kNotConnected);
  }
  SECTION("the server closes without a response") {
    auto call = client.Send(TestEndpoint(1, 5), {}, {}, callbacks);
    RunUntil(&loop, [&] { return server_exchange != nullptr; });
    server_exchange.reset();
    RunUntil(&loop, [&] { return failure.has_value(); });
    CHECK(failure->progress == HttpProgress::kSent);
  }
  SECTION("the server aborts in the body") {
    auto call = client.Send(TestEndpoint(1, 5), {}, {}, callbacks);
    RunUntil(&loop, [&] { return server_exchange != nullptr; });
    server_exchange->StartStream(200, {});
    server_exchange->Write("half");
    loop.RunOnce(Milliseconds(20));
    loop.RunOnce(Milliseconds(20));
    server_exchange->Abort();
    RunUntil(&loop, [&] { return failure.has_value(); });
    CHECK(failure->progress == HttpProgress::kHeadReceived);
  }
  SECTION("timeout") {
    auto call = client.Send(TestEndpoint(1, 5), {},
                            {.timeout = Milliseconds(30)}, callbacks);
    RunUntil(&loop, [&] { return failure.has_value(); });
    CHECK(failure->error.code == ErrorCode::kTimeout);
  }
  SECTION("destroying the call disconnects the server's exchange") {
    auto call = client.Send(TestEndpoint(1, 5), {}, {}, callbacks);
    RunUntil(&loop, [&] { return server_exchange != nullptr; });
    bool disconnected = false;
    server_exchange->OnDisconnect([&] { disconnected = true; });
    call.reset();
    RunUntil(&loop, [&] { return disconnected; });
    CHECK_FALSE(failure.has_value());
  }
}

}  // namespace primrosecove
