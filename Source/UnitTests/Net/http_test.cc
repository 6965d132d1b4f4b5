#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Core/Net/http_client.h"
#include "Core/Net/http_server.h"
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

// Reads what has arrived without waiting; returns whether the other side has
// closed.
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

TEST_CASE("a pipelined request is answered after the one before it", "[net]") {
  EventLoop loop;
  std::vector<std::shared_ptr<HttpExchange>> seen;
  HttpServer server(&loop, {},
                    [&](auto exchange) { seen.push_back(exchange); });
  REQUIRE(server.Listen(TestEndpoint(1, 1)));
  int fd = ConnectTo(TestEndpoint(1, 1));
  std::string two =
      "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n";
  REQUIRE(send(fd, two.data(), two.size(), 0) ==
          static_cast<ssize_t>(two.size()));
  RunUntil(&loop, [&] { return seen.size() == 1; });
  loop.RunOnce(Milliseconds(20));
  REQUIRE(seen.size() == 1);
  seen[0]->Respond(200, {}, "first");
  RunUntil(&loop, [&] { return seen.size() == 2; });
  CHECK(seen[1]->request().target == "/b");
  seen[1]->Respond(200, {}, "second");
  std::string got;
  RunUntil(&loop, [&] {
    ReadAvailable(fd, &got);
    return got.find("second") != std::string::npos;
  });
  CHECK(got.find("first") < got.find("second"));
  close(fd);
}

TEST_CASE("a closed connection ends after its answer when the caller asks so",
          "[net]") {
  EventLoop loop;
  std::shared_ptr<HttpExchange> seen;
  HttpServer server(&loop, {}, [&](auto exchange) { seen = exchange; });
  REQUIRE(server.Listen(TestEndpoint(1, 2)));
  int fd = ConnectTo(TestEndpoint(1, 2));
  std::string text = "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  REQUIRE(send(fd, text.data(), text.size(), 0) ==
          static_cast<ssize_t>(text.size()));
  RunUntil(&loop, [&] { return seen != nullptr; });
  bool streamed = GENERATE(true, false);
  if (streamed) {
    seen->StartStream(200, {});
    seen->Write("piece");
    seen->EndStream();
  } else {
    seen->Respond(200, {}, "piece");
  }
  std::string got;
  RunUntil(&loop, [&] { return ReadAvailable(fd, &got); });
  CHECK(got.find("piece") != std::string::npos);
  RunUntil(&loop, [&] { return server.in_flight() == 0; });
  close(fd);
}

TEST_CASE("the handler learns that its caller has gone before the answer",
          "[net]") {
  EventLoop loop;
  std::shared_ptr<HttpExchange> seen;
  bool gone = false;
  HttpServer server(&loop, {}, [&](auto exchange) {
    seen = exchange;
    exchange->OnDisconnect([&] { gone = true; });
  });
  REQUIRE(server.Listen(TestEndpoint(1, 3)));
  int fd = ConnectTo(TestEndpoint(1, 3));
  std::string text =
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi";
  REQUIRE(send(fd, text.data(), text.size(), 0) ==
          static_cast<ssize_t>(text.size()));
  RunUntil(&loop, [&] { return seen != nullptr; });
  CHECK(seen->request().body == "hi");
  bool streaming = GENERATE(true, false);
  if (streaming) seen->StartStream(200, {});
  loop.RunOnce(Milliseconds(5));
  close(fd);
  RunUntil(&loop, [&] { return gone; });
  RunUntil(&loop, [&] { return server.in_flight() == 0; });
  seen->Write("too late");
  seen->EndStream();
}

TEST_CASE("client and server pass a streamed answer piece by piece", "[net]") {
  EventLoop loop;
  std::shared_ptr<HttpExchange> seen;
  HttpServer server(&loop, {}, [&](auto exchange) { seen = exchange; });
  REQUIRE(server.Listen(TestEndpoint(1, 4)));
  HttpClient client(&loop);
  std::vector<std::string> pieces;
  int status = 0;
  bool done = false;
  HttpCallbacks callbacks;
  callbacks.on_head = [&](const HttpResponse& head) { status = head.status; };
  callbacks.on_data = [&](std::string_view piece) {
    pieces.emplace_back(piece);
  };
  callbacks.on_response = [&](const HttpResponse&) { done = true; };
  callbacks.on_failure = [&](const HttpFailure& it) { FAIL(it.error.message); };
  HttpRequest request{
      .method = "POST", .target = "/s?q=1", .headers = {}, .body = "body"};
  auto call = client.Send(TestEndpoint(1, 4), request, {}, callbacks);
  RunUntil(&loop, [&] { return seen != nullptr; });
  CHECK(seen->request().QueryValue("q") == "1");
  seen->StartStream(207, {});
  seen->Write("one");
  RunUntil(&loop, [&] { return pieces.size() == 1; });
  CHECK(status == 207);
  seen->Write("two");
  RunUntil(&loop, [&] { return pieces.size() == 2; });
  seen->EndStream();
  RunUntil(&loop, [&] { return done; });
  CHECK(pieces == std::vector<std::string>{"one", "two"});
}

TEST_CASE("a stream may begin inside the handler and go on later", "[net]") {
  EventLoop loop;
  std::shared_ptr<HttpExchange> seen;
  HttpServer server(&loop, {}, [&](auto exchange) {
    seen = exchange;
    exchange->StartStream(200, {});
    exchange->Write("early ");
  });
  REQUIRE(server.Listen(TestEndpoint(1, 6)));
  HttpClient client(&loop);
  std::string got;
  bool done = false;
  HttpCallbacks callbacks;
  callbacks.on_data = [&](std::string_view piece) { got.append(piece); };
  callbacks.on_response = [&](const HttpResponse&) { done = true; };
  callbacks.on_failure = [&](const HttpFailure& it) { FAIL(it.error.message); };
  HttpRequest request{
      .method = "POST", .target = "/", .headers = {}, .body = "body"};
  auto call = client.Send(TestEndpoint(1, 6), request, {}, callbacks);
  RunUntil(&loop, [&] { return got == "early "; });
  seen->Write("late");
  seen->EndStream();
  RunUntil(&loop, [&] { return done; });
  CHECK(got == "early late");
}

TEST_CASE("a long answer is written as the caller takes it", "[net]") {
  EventLoop loop;
  std::shared_ptr<HttpExchange> seen;
  const std::string piece(1 << 20, 'x');
  size_t written = 0;
  constexpr size_t kPieces = 12;
  auto write_on = [&] {
    while (written < kPieces && seen->pending_bytes() < (4 << 20)) {
      seen->Write(piece);
      if (++written == kPieces) seen->EndStream();
    }
  };
  HttpServer server(&loop, {}, [&](auto exchange) {
    seen = exchange;
    exchange->StartStream(200, {});
    exchange->OnDrained(write_on);
    write_on();
  });
  REQUIRE(server.Listen(TestEndpoint(1, 7)));
  HttpClient client(&loop);
  size_t got = 0;
  bool done = false;
  HttpCallbacks callbacks;
  callbacks.on_data = [&](std::string_view it) { got += it.size(); };
  callbacks.on_response = [&](const HttpResponse&) { done = true; };
  callbacks.on_failure = [&](const HttpFailure& it) { FAIL(it.error.message); };
  auto call = client.Send(TestEndpoint(1, 7), {}, {}, callbacks);
  RunUntil(&loop, [&] { return done; });
  CHECK(got == kPieces * piece.size());
}

TEST_CASE("a server with idle connections ends cleanly", "[net]") {
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
  HttpCallbacks late;
  late.on_response = [](const HttpResponse&) {
    FAIL("answered by a server that has ended");
  };
  late.on_failure = [&](const HttpFailure&) { failed = true; };
  auto late_call = client.Send(TestEndpoint(1, 8), {}, {}, late);
  RunUntil(&loop, [&] { return failed; });
}

TEST_CASE("a failed call says how far it had come", "[net]") {
  EventLoop loop;
  std::shared_ptr<HttpExchange> seen;
  HttpServer server(&loop, {}, [&](auto exchange) { seen = exchange; });
  REQUIRE(server.Listen(TestEndpoint(1, 5)));
  HttpClient client(&loop);
  std::optional<HttpFailure> failure;
  HttpCallbacks callbacks;
  callbacks.on_response = [&](const HttpResponse&) {
    FAIL("unexpected response");
  };
  callbacks.on_failure = [&](const HttpFailure& it) { failure = it; };

  SECTION("nobody listens") {
    auto call = client.Send({"127.77.1.5", 1}, {}, {}, callbacks);
    RunUntil(&loop, [&] { return failure.has_value(); });
    CHECK(failure->progress == HttpProgress::kNotConnected);
  }
  SECTION("the server closes without an answer") {
    auto call = client.Send(TestEndpoint(1, 5), {}, {}, callbacks);
    RunUntil(&loop, [&] { return seen != nullptr; });
    seen.reset();
    RunUntil(&loop, [&] { return failure.has_value(); });
    CHECK(failure->progress == HttpProgress::kSent);
  }
  SECTION("the server breaks off in the body") {
    auto call = client.Send(TestEndpoint(1, 5), {}, {}, callbacks);
    RunUntil(&loop, [&] { return seen != nullptr; });
    seen->StartStream(200, {});
    seen->Write("half");
    loop.RunOnce(Milliseconds(20));
    loop.RunOnce(Milliseconds(20));
    seen->Abort();
    RunUntil(&loop, [&] { return failure.has_value(); });
    CHECK(failure->progress == HttpProgress::kHeadReceived);
  }
  SECTION("no answer in time") {
    auto call = client.Send(TestEndpoint(1, 5), {},
                            {.timeout = Milliseconds(30)}, callbacks);
    RunUntil(&loop, [&] { return failure.has_value(); });
    CHECK(failure->error.code == ErrorCode::kTimeout);
  }
  SECTION("a dropped call frees the server's exchange") {
    auto call = client.Send(TestEndpoint(1, 5), {}, {}, callbacks);
    RunUntil(&loop, [&] { return seen != nullptr; });
    bool gone = false;
    seen->OnDisconnect([&] { gone = true; });
    call.reset();
    RunUntil(&loop, [&] { return gone; });
    CHECK_FALSE(failure.has_value());
  }
}

}  // namespace primrosecove
