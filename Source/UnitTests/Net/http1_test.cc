// The HTTP/1.1 client and server of the fleet's processes against bytes that
// faulty peers send.
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <catch2/catch.hpp>

#include "../test_support.h"
#include "Core/Net/http1_client.h"
#include "Core/Net/http1_server.h"

namespace primrosecove {
namespace {

// Answers each request head that it sees by the next script: bytes, then
// perhaps an end of the connection.
class RawServer {
 public:
  enum class End { kStay, kClose, kReset };
  struct Script {
    std::string bytes;
    End end = End::kStay;
  };

  RawServer(EventLoop* loop, const Endpoint& at) : loop_(loop) {
    sockaddr_in address = at.ToSockaddr();
    listener_ = evconnlistener_new_bind(
        loop->base(), OnAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        16, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    REQUIRE(listener_ != nullptr);
  }
  ~RawServer() {
    for (bufferevent* it : open_) bufferevent_free(it);
    evconnlistener_free(listener_);
  }
  void Add(Script script) { scripts_.push_back(std::move(script)); }
  int accepted() const { return accepted_; }

 private:
  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                       void* arg) {
    auto* self = static_cast<RawServer*>(arg);
    ++self->accepted_;
    bufferevent* bev =
        bufferevent_socket_new(self->loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, OnRead, OnWritten, nullptr, self);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    self->open_.push_back(bev);
  }
  static void OnRead(bufferevent* bev, void* arg) {
    auto* self = static_cast<RawServer*>(arg);
    evbuffer* in = bufferevent_get_input(bev);
    if (evbuffer_search(in, "\r\n\r\n", 4, nullptr).pos < 0) return;
    evbuffer_drain(in, evbuffer_get_length(in));
    if (self->scripts_.empty()) return;
    Script script = self->scripts_.front();
    self->scripts_.pop_front();
    self->end_ = script.end;
    bufferevent_write(bev, script.bytes.data(), script.bytes.size());
    if (script.bytes.empty()) OnWritten(bev, arg);
  }
  static void OnWritten(bufferevent* bev, void* arg) {
    auto* self = static_cast<RawServer*>(arg);
    End end = std::exchange(self->end_, End::kStay);
    if (end == End::kStay) return;
    std::erase(self->open_, bev);
    if (end == End::kClose) return bufferevent_free(bev);
    // A reset overtakes what was written, so the reader gets a moment.
    self->resets_.push_back(self->loop_->After(Milliseconds(60), [bev] {
      linger reset{1, 0};
      setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &reset,
                 sizeof(reset));
      bufferevent_free(bev);
    }));
  }

  EventLoop* loop_;
  evconnlistener* listener_;
  std::vector<bufferevent*> open_;
  std::deque<Script> scripts_;
  std::vector<Timer> resets_;
  End end_ = End::kStay;
  int accepted_ = 0;
};

CallResult Ask(EventLoop* loop, Http1Client* client, const Endpoint& at,
               const std::string& id) {
  std::optional<CallResult> out;
  CallOptions options;
  options.timeout = Milliseconds(400);
  options.echo_header = "Request-Id";
  options.echo_value = id;
  CallEvents events;
  events.on_end = [&](CallResult result) { out = std::move(result); };
  HttpRequest request;
  request.headers.Add("Request-Id", id);
  auto call = client->Send(at, request, options, std::move(events));
  RunUntil(loop, [&] { return out.has_value(); });
  return std::move(*out);
}

std::string Answer(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

TEST_CASE("only whole answers to the own request count", "[http1]") {
  using End = RawServer::End;
  struct Row {
    const char* name;
    RawServer::Script script;
    CallEnd end;
    const char* body;
  };
  const Row rows[] = {
      {"whole", {Answer("1", "abc")}, CallEnd::kComplete, "abc"},
      {"in chunks",
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\n"
        "bc\r\n0\r\n\r\n"},
       CallEnd::kComplete,
       "abc"},
      {"without length, closed",
       {"HTTP/1.1 200 OK\r\n\r\nabc", End::kClose},
       CallEnd::kComplete,
       "abc"},
      {"without length, reset",
       {"HTTP/1.1 200 OK\r\n\r\nabc", End::kReset},
       CallEnd::kConnectionLost,
       nullptr},
      {"cut in the body",
       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", End::kClose},
       CallEnd::kConnectionLost,
       nullptr},
      {"cut in a chunk",
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
        End::kClose},
       CallEnd::kConnectionLost,
       nullptr},
      {"cut between chunks",
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        End::kClose},
       CallEnd::kConnectionLost,
       nullptr},
      {"cut in the head",
       {"HTTP/1.1 200 O", End::kClose},
       CallEnd::kConnectionLost,
       nullptr},
      {"no answer, closed",
       {"", End::kClose},
       CallEnd::kConnectionLost,
       nullptr},
      {"no HTTP",
       {"\x16\x03\x01 garbage\r\n\r\n"},
       CallEnd::kMalformed,
       nullptr},
      {"nothing", {""}, CallEnd::kTimeout, nullptr},
      {"another request's answer first",
       {Answer("0", "late") + Answer("1", "abc")},
       CallEnd::kComplete,
       "abc"},
      {"only another request's answer",
       {Answer("0", "late")},
       CallEnd::kTimeout,
       nullptr},
      {"length and chunks at once",
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
    server.Add(row.script);
    CallResult result = Ask(&loop, &client, TestEndpoint(95, 1), "1");
    CHECK(result.end == row.end);
    if (row.body != nullptr) CHECK(result.body == row.body);
  }
}

TEST_CASE("a connection with bytes left over is not used again", "[http1]") {
  struct Row {
    const char* name;
    std::string first;
    int connections;
  };
  const Row rows[] = {
      {"clean", Answer("1", "a"), 1},
      {"a second answer", Answer("1", "a") + Answer("1", "again"), 2},
      {"a few bytes", Answer("1", "a") + "xx", 2},
      {"told to close",
       "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na", 2},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    EventLoop loop;
    Http1Client client(&loop);
    RawServer server(&loop, TestEndpoint(96, 1));
    server.Add({row.first});
    server.Add({Answer("2", "b")});
    CHECK(Ask(&loop, &client, TestEndpoint(96, 1), "1").body == "a");
    CHECK(Ask(&loop, &client, TestEndpoint(96, 1), "2").body == "b");
    CHECK(server.accepted() == row.connections);
  }
}

TEST_CASE("a port without listener means that nothing was sent", "[http1]") {
  EventLoop loop;
  Http1Client client(&loop);
  CHECK(Ask(&loop, &client, TestEndpoint(97, 9), "1").end == CallEnd::kNotSent);
}

// A process that ends when no request is under way would cut this answer.
TEST_CASE("an answer is not sent when its request has ended", "[http1]") {
  EventLoop loop;
  constexpr size_t kBytes = 3 << 20;
  Http1Server server(&loop, {}, [](const auto& exchange) {
    exchange->Respond(200, "OK", {}, std::string(kBytes, 'a'));
  });
  REQUIRE(server.Listen(TestEndpoint(99, 1)));
  Http1Client client(&loop);
  std::optional<CallResult> result;
  size_t most_unsent = 0;
  CallEvents events;
  events.on_end = [&](CallResult it) { result = std::move(it); };
  auto call = client.Send(TestEndpoint(99, 1), {}, {}, std::move(events));
  RunUntil(&loop, [&] {
    if (server.in_flight() == 0) {
      most_unsent = std::max(most_unsent, server.unsent_bytes());
    }
    return result.has_value();
  });
  CHECK(result->body.size() == kBytes);
  CHECK(most_unsent > 0);
  CHECK(server.unsent_bytes() == 0);
}

// Sends raw bytes to a server that echoes paths and bodies; returns what came
// until the server closed.
std::string Talk(const std::string& bytes, Http1Server::Limits limits) {
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
    std::string got;
    bool closed = false;
  } state;
  auto read = [](bufferevent* it, void* arg) {
    evbuffer* in = bufferevent_get_input(it);
    size_t n = evbuffer_get_length(in);
    auto* data = reinterpret_cast<char*>(evbuffer_pullup(in, -1));
    static_cast<State*>(arg)->got.append(data, n);
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
  return state.got;
}

TEST_CASE("a server takes requests one by one and refuses what is none",
          "[http1]") {
  struct Row {
    const char* name;
    std::string bytes;
    std::vector<std::string> found;
    std::vector<std::string> absent;
  };
  const std::string last = "GET /end HTTP/1.1\r\nConnection: close\r\n\r\n";
  const Row rows[] = {
      {"kept connection",
       "GET /a HTTP/1.1\r\n\r\n" + last,
       {"/a=;", "/end=;"},
       {}},
      {"a body in chunks",
       "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
       "0\r\n\r\n" +
           last,
       {"/a=abc;", "/end=;"},
       {}},
      {"two framings smuggle nothing",
       "POST /a HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
       {"HTTP/1.1 400"},
       {"/a=", "/b="}},
      {"two lengths",
       "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
       {"HTTP/1.1 400"},
       {"/a="}},
      {"no HTTP", "hello\r\n\r\n", {"HTTP/1.1 400"}, {}},
      {"a head over its limit",
       "GET /a HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n",
       {"HTTP/1.1 431"},
       {"/a="}},
      {"a body over its limit",
       "POST /a HTTP/1.1\r\nContent-Length: 9999\r\n\r\n",
       {"HTTP/1.1 413"},
       {"/a="}},
      {"chunks over the limit",
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
    std::string got = Talk(row.bytes, limits);
    INFO(got);
    for (const std::string& it : row.found) {
      CHECK(got.find(it) != std::string::npos);
    }
    for (const std::string& it : row.absent) {
      CHECK(got.find(it) == std::string::npos);
    }
  }
}

}  // namespace
}  // namespace primrosecove
