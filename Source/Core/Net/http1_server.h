// An HTTP/1.1 server for callers: kept connections, bodies with a length or in
// chunks, answers sent whole or in pieces, and orderly closing.
#pragma once

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "Core/Common/error.h"
#include "Core/Net/endpoint.h"
#include "Core/Net/event_loop.h"
#include "Core/Net/http1_parser.h"
#include "Core/Net/http_types.h"

namespace primrosecove {

class Http1ServerConnection;

/// One request and the answer to it. Use it on the server's loop thread only.
/// Every method is harmless after the caller has gone. The handler must end
/// each exchange by Reply, EndStream or Abort.
class Http1Exchange {
 public:
  Http1Exchange(std::weak_ptr<Http1ServerConnection> connection,
                HttpRequest request, bool keep_alive);
  ~Http1Exchange();
  Http1Exchange(const Http1Exchange&) = delete;
  Http1Exchange& operator=(const Http1Exchange&) = delete;

  HttpRequest& request() { return request_; }
  /// When the request's last byte was read.
  SteadyTime arrival() const { return arrival_; }
  /// Sends a whole answer. Precondition: nothing has been sent.
  void Respond(int status, std::string_view reason, const HttpHeaders& headers,
               std::string_view body);
  /// Sends status and headers; a body in chunks follows. Precondition: nothing
  /// has been sent.
  void StartStream(int status, std::string_view reason,
                   const HttpHeaders& headers);
  /// Sends a piece of the body. Precondition: StartStream was called.
  void Write(std::string_view piece);
  /// Ends the body. Precondition: StartStream was called.
  void EndStream();
  /// Closes the connection so that the answer can't look complete.
  void Abort();
  bool started() const { return started_; }
  bool finished() const { return finished_; }
  /// Bytes written that the caller has not taken yet.
  size_t pending_bytes() const;
  /// Calls `callback` once when the caller leaves before the answer is
  /// complete.
  void OnDisconnect(std::function<void()> callback) {
    on_gone_ = std::move(callback);
  }

 private:
  friend class Http1ServerConnection;
  void SendHead(int status, std::string_view reason, const HttpHeaders& headers,
                std::string_view framing);
  void FinishAnswer();

  std::weak_ptr<Http1ServerConnection> connection_;
  HttpRequest request_;
  SteadyTime arrival_;
  bool keep_alive_;
  bool started_ = false;
  bool finished_ = false;
  std::function<void()> on_gone_;
};

/// Listens and hands each whole request to one handler.
class Http1Server {
 public:
  using Handler = std::function<void(std::shared_ptr<Http1Exchange>)>;
  struct Limits {
    uint32_t max_head_bytes = 16 << 10;
    uint64_t max_body_bytes = 4 << 20;
    /// From a request's first byte to its last.
    Milliseconds request_timeout{30'000};
    /// From a request's first byte to the end of its head.
    Milliseconds head_timeout{3000};
    Milliseconds idle_timeout{15'000};
    size_t max_connections = 1500;
  };

  Http1Server(EventLoop* loop, Limits limits, Handler handler);
  ~Http1Server();
  /// Binds and listens; fails with kUnavailable when the address is taken.
  Result<void> Listen(const Endpoint& endpoint);
  /// Applies to requests that begin from now on.
  void SetLimits(const Limits& limits) { limits_ = limits; }
  const Limits& limits() const { return limits_; }
  /// From now on every answer asks its caller to leave; connections are still
  /// accepted.
  void BeginDrain() { draining_ = true; }
  /// Closes the connections on which no request is under way.
  void CloseIdle();
  /// Requests handed out and not finished.
  size_t in_flight() const { return in_flight_; }
  size_t connections() const { return connections_.size(); }
  /// Bytes of answers that have not been passed to the callers' connections.
  size_t unsent_bytes() const;

 private:
  friend class Http1ServerConnection;
  friend class Http1Exchange;
  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                       void* arg);
  void Sweep();

  EventLoop* loop_;
  Limits limits_;
  Handler handler_;
  evconnlistener* listener_ = nullptr;
  std::map<Http1ServerConnection*, std::shared_ptr<Http1ServerConnection>>
      connections_;
  size_t in_flight_ = 0;
  bool draining_ = false;
  Timer sweep_timer_;
};

}  // namespace primrosecove
