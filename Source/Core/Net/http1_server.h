// An HTTP/1.1 server with keep-alive connections, request bodies with a length
// or in chunks, complete or streamed responses, and graceful closing.
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

/// One request and its response. Every method is a no-op after the client has
/// disconnected. The handler must end each exchange by Respond, EndStream or
/// Abort. Use it on the server's loop thread only.
class Http1Exchange {
 public:
  Http1Exchange(std::weak_ptr<Http1ServerConnection> connection,
                HttpRequest request, bool keep_alive);
  ~Http1Exchange();
  Http1Exchange(const Http1Exchange&) = delete;
  Http1Exchange& operator=(const Http1Exchange&) = delete;

  HttpRequest& request() { return request_; }
  /// Returns when the last byte of the request was read.
  SteadyTime arrival() const { return arrival_; }
  /// Sends a complete response. Precondition: nothing has been sent.
  void Respond(int status, std::string_view reason, const HttpHeaders& headers,
               std::string_view body);
  /// Sends status and headers of a response with a chunked body, or without one
  /// if the request or the status allows none. Precondition: nothing has been
  /// sent.
  void StartStream(int status, std::string_view reason,
                   const HttpHeaders& headers);
  /// Sends data of the body. Precondition: StartStream was called.
  void Write(std::string_view body_data);
  /// Ends the body. Precondition: StartStream was called.
  void EndStream();
  /// Resets the connection, so that the client does not treat the response as
  /// complete.
  void Abort();
  bool started() const { return started_; }
  bool finished() const { return finished_; }
  /// Returns the bytes of responses that are not yet written to the client's
  /// socket.
  size_t pending_bytes() const;
  /// Calls `callback` once when the client disconnects before the response is
  /// complete.
  void OnDisconnect(std::function<void()> callback) {
    on_disconnect_ = std::move(callback);
  }

 private:
  friend class Http1ServerConnection;
  void SendHead(int status, std::string_view reason, const HttpHeaders& headers,
                std::string_view framing);
  void CompleteResponse();

  std::weak_ptr<Http1ServerConnection> connection_;
  HttpRequest request_;
  SteadyTime arrival_;
  bool keep_alive_;
  bool started_ = false;
  bool has_body_ = true;
  bool finished_ = false;
  std::function<void()> on_disconnect_;
};

/// Counts why an Http1Server closed connections.
struct Http1ServerCounters {
  uint64_t idle_closed = 0;  ///< Closed because they were idle.
  /// Closed while bytes of the client were unread or had been dropped.
  uint64_t closed_with_unread = 0;
  uint64_t dropped_bytes = 0;  ///< Read on closing connections and dropped.
  uint64_t refused_connections = 0;  ///< Beyond `max_connections`.
  /// Idle connections closed in favour of new ones, at `max_connections`.
  uint64_t replaced_connections = 0;
};

/// Accepts connections and passes each complete request to one handler. Use it
/// on its loop's thread only.
class Http1Server {
 public:
  using Handler = std::function<void(std::shared_ptr<Http1Exchange>)>;
  /// Connections beyond `max_connections` that may be open at one time to be
  /// refused with a response; others are closed without one.
  static constexpr size_t kMaxRefusing = 32;
  struct Limits {
    uint32_t max_head_bytes = 16 << 10;
    uint64_t max_body_bytes = 4 << 20;
    /// From a request's first byte to its last.
    Milliseconds request_timeout{30'000};
    /// From a request's first byte to the end of its head.
    Milliseconds head_timeout{3000};
    Milliseconds idle_timeout{15'000};
    /// A new connection beyond these replaces the one that has been idle for
    /// longest since its last response, or its request is refused with 503.
    size_t max_connections = 1500;
  };

  Http1Server(EventLoop* loop, Limits limits, Handler handler);
  ~Http1Server();
  /// Binds and listens; fails with kUnavailable when the address is in use.
  Result<void> Listen(const Endpoint& endpoint);
  /// Sets the limits for connections and requests that begin from now on. A
  /// connection that is idle keeps the longer idle timeout until its next use.
  void SetLimits(const Limits& limits) { limits_ = limits; }
  const Limits& limits() const { return limits_; }
  /// From now on the last response to the requests that have been read on a
  /// connection has the header field "Connection: close"; connections are still
  /// accepted.
  void BeginDrain() { draining_ = true; }
  /// Closes the connections that have no request in progress and none in their
  /// socket.
  void CloseIdle();
  /// Returns the number of requests that the handler has not completed.
  size_t in_flight() const { return in_flight_; }
  size_t connections() const { return connections_.size(); }
  const Http1ServerCounters& counters() const { return counters_; }
  /// Returns the bytes of responses that are not yet written to the clients'
  /// sockets.
  size_t unsent_bytes() const;

 private:
  friend class Http1ServerConnection;
  friend class Http1Exchange;
  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                       void* arg);
  void Sweep();
  void LogClosed();
  bool ReplaceIdle();

  EventLoop* loop_;
  Limits limits_;
  Handler handler_;
  evconnlistener* listener_ = nullptr;
  std::map<Http1ServerConnection*, std::shared_ptr<Http1ServerConnection>>
      connections_;
  size_t in_flight_ = 0;
  size_t refusing_ = 0;
  bool draining_ = false;
  Endpoint endpoint_;
  Http1ServerCounters counters_;
  Http1ServerCounters logged_;
  Milliseconds longest_idle_{0};  ///< Of those closed since the last line.
  Timer sweep_timer_;
  Timer log_timer_;
};

}  // namespace primrosecove
