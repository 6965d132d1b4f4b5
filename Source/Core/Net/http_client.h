// An HTTP/1.1 client with bounded responses, keep-alive connections and
// streamed bodies, for the product's own interfaces.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Core/Common/error.h"
#include "Core/Net/endpoint.h"
#include "Core/Net/event_loop.h"
#include "Core/Net/http1_client.h"
#include "Core/Net/http_types.h"

namespace primrosecove {

/// How far a call that ended without a complete response had proceeded.
enum class HttpProgress {
  kNotConnected,  ///< No connection was established, so no byte was sent.
  kSent,          ///< The request may have arrived.
  kHeadReceived,  ///< Status and headers were received.
};

/// The result of a call that ended without a complete response. The error is
/// kTimeout after the timeout, kCorrupt for a malformed response, kTooLarge for
/// a body over its limit, else kUnavailable.
struct HttpFailure {
  HttpProgress progress = HttpProgress::kSent;
  Error error;
};

/// Callbacks of a call. Each runs on the loop's thread and may cancel the call.
struct HttpCallbacks {
  /// Status and headers, before the body. Optional.
  std::function<void(const HttpResponse&)> on_head;
  /// Data of the body. Optional; without it the body is collected in the
  /// response.
  std::function<void(std::string_view)> on_data;
  /// Exactly one of on_response and on_failure runs, once, at the end of the
  /// call, unless the call is cancelled. The response's body is empty when
  /// `on_data` is set.
  std::function<void(const HttpResponse&)> on_response;
  std::function<void(const HttpFailure&)> on_failure;
};

/// Limits of a call.
struct HttpCallLimits {
  Milliseconds timeout{
      30'000};  ///< From Send to the end of the response; 0 means none.
  uint64_t max_body_bytes = 64 << 20;  ///< Also of a body that is streamed.
};

struct HttpCallState;

/// An active call. Destroying it cancels the call and closes its connection.
class HttpCall {
 public:
  explicit HttpCall(std::shared_ptr<HttpCallState> state);
  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;
  /// Stops or resumes reading the response, which applies back-pressure to the
  /// server.
  void SetReading(bool reading);

 private:
  std::shared_ptr<HttpCallState> state_;
};

/// Sends requests. Use it on its loop's thread only. The client must outlive
/// its calls.
class HttpClient {
 public:
  explicit HttpClient(EventLoop* loop) : client_(loop) {}
  /// Sends `request` to `endpoint`. Callbacks never run before Send returns.
  [[nodiscard]] std::unique_ptr<HttpCall> Send(const Endpoint& endpoint,
                                               const HttpRequest& request,
                                               HttpCallLimits limits,
                                               HttpCallbacks callbacks);

 private:
  Http1Client client_;
};

}  // namespace primrosecove
