// An HTTP/1.1 server over libevhtp with asynchronous and streamed responses.
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

/// One request and its response. Every method is a no-op after the client has
/// disconnected. Destroying an exchange without a complete response closes the
/// connection. Use it on the server's loop thread only.
class HttpExchange {
 public:
  explicit HttpExchange(std::unique_ptr<HttpExchangeImpl> impl);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  const HttpRequest& request() const;
  /// Sends a complete response. Precondition: nothing has been sent.
  void Respond(int status, HttpHeaders headers, std::string_view body);
  /// Sends status and headers of a response with a chunked body. Precondition:
  /// nothing has been sent.
  void StartStream(int status, HttpHeaders headers);
  /// Sends data of the body. Precondition: StartStream was called and EndStream
  /// was not.
  void Write(std::string_view body_data);
  /// Ends the body.
  void EndStream();
  /// Closes the connection without ending the body, so that the client detects
  /// an incomplete response.
  void Abort();
  /// Returns whether the connection is lost or aborted, or the response is
  /// complete.
  bool finished() const;
  /// Returns whether Respond or StartStream was called.
  bool started() const;
  /// Returns the bytes of responses that are not yet written to the client's
  /// socket.
  size_t pending_bytes() const;
  /// Calls `callback` once when the client disconnects before the response is
  /// complete.
  void OnDisconnect(std::function<void()> callback);
  /// Calls `callback` each time all pending bytes have been written to the
  /// client's socket.
  void OnDrained(std::function<void()> callback);

 private:
  friend struct HttpServerImpl;
  std::unique_ptr<HttpExchangeImpl> impl_;
};

/// Accepts connections and passes each complete request to one handler. A body
/// or header block beyond the limits is rejected by status 413 or by closing
/// the connection. Use it on its loop's thread only.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;
  struct Limits {
    uint64_t max_body_bytes = 8 << 20;
    Milliseconds idle_timeout{600'000};
  };

  HttpServer(EventLoop* loop, Limits limits, Handler handler);
  ~HttpServer();
  /// Binds and listens; fails with kUnavailable when the address is in use.
  Result<void> Listen(const Endpoint& endpoint);
  /// Stops accepting connections and closes each open connection after its next
  /// response.
  void StopAccepting();
  /// Returns the number of requests that are in progress.
  size_t in_flight() const;

 private:
  std::unique_ptr<HttpServerImpl> impl_;
};

}  // namespace primrosecove
