// An HTTP/1.1 server over libevhtp whose requests may be answered later and in
// pieces.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

#include "Core/Common/error.h"
#include "Core/Net/endpoint.h"
#include "Core/Net/event_loop.h"
#include "Core/Net/http_types.h"

namespace primrosecove {

struct HttpServerImpl;
struct HttpExchangeImpl;

/// One request and the answer to it. Use it on the server's loop thread only.
/// Every method is harmless after the caller has gone; an exchange dropped
/// without an answer closes the connection.
class HttpExchange {
 public:
  explicit HttpExchange(std::unique_ptr<HttpExchangeImpl> impl);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  const HttpRequest& request() const;
  /// Sends a whole answer. Precondition: nothing has been sent.
  void Respond(int status, HttpHeaders headers, std::string_view body);
  /// Sends status and headers; a body in pieces follows. Precondition: nothing
  /// has been sent.
  void StartStream(int status, HttpHeaders headers);
  /// Sends a piece of the body. Precondition: StartStream was called, EndStream
  /// was not.
  void Write(std::string_view piece);
  /// Ends the body.
  void EndStream();
  /// Closes the connection without ending the body, so that the caller sees a
  /// broken answer.
  void Abort();
  /// Whether the caller's connection is lost or the answer is complete.
  bool finished() const;
  /// Whether StartStream or Reply was called.
  bool started() const;
  /// Bytes written that the caller has not taken yet.
  size_t pending_bytes() const;
  /// Calls `callback` once when the caller goes away before the answer is
  /// complete.
  void OnDisconnect(std::function<void()> callback);
  /// Calls `callback` each time all bytes written have been passed to the
  /// caller's connection.
  void OnDrained(std::function<void()> callback);

 private:
  friend struct HttpServerImpl;
  std::unique_ptr<HttpExchangeImpl> impl_;
};

/// Listens and hands each whole request to one handler. Bodies and header
/// blocks beyond the limits are refused by status 413 or by closing.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;
  struct Limits {
    uint64_t max_body_bytes = 8 << 20;
    Milliseconds idle_timeout{600'000};
  };

  HttpServer(EventLoop* loop, Limits limits, Handler handler);
  ~HttpServer();
  /// Binds and listens; fails with kUnavailable when the address is taken.
  Result<void> Listen(const Endpoint& endpoint);
  /// Accepts no further connection and asks callers with open ones to leave
  /// after their answer.
  void StopAccepting();
  /// Requests handed out and not finished.
  size_t in_flight() const;

 private:
  std::unique_ptr<HttpServerImpl> impl_;
};

}  // namespace primrosecove
