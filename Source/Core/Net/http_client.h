// An HTTP/1.1 client over evhttp with kept connections and bodies in pieces.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Core/Common/error.h"
#include "Core/Net/endpoint.h"
#include "Core/Net/event_loop.h"
#include "Core/Net/http_types.h"

namespace primrosecove {

/// How far a call that ended without a whole response had come.
enum class HttpProgress {
  kNotConnected,  ///< No connection was made: the other side has seen nothing.
  kSent,          ///< The request may have arrived.
  kHeadReceived,  ///< Status and headers had arrived.
};

/// The end of a call without a whole response.
struct HttpFailure {
  HttpProgress progress = HttpProgress::kSent;
  Error error;
};

/// What a call reports; each callback runs on the loop's thread and may cancel
/// the call.
struct HttpCallbacks {
  /// Status and headers, before the body. Optional.
  std::function<void(const HttpResponse&)> on_head;
  /// A piece of the body. When absent, the body is gathered into the response.
  std::function<void(std::string_view)> on_data;
  /// The end, exactly once unless cancelled. With `on_data`, the response's
  /// body is empty.
  std::function<void(const HttpResponse&)> on_response;
  std::function<void(const HttpFailure&)> on_failure;
};

/// What bounds a call.
struct HttpCallLimits {
  Milliseconds timeout{
      30'000};  ///< From sending to the end of the response; 0 for none.
  uint64_t max_body_bytes = 64 << 20;
};

struct HttpCallState;
struct HttpClientImpl;

/// A call under way. Dropping it cancels the call, and its connection is
/// closed.
class HttpCall {
 public:
  explicit HttpCall(std::shared_ptr<HttpCallState> state);
  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;
  /// Stops or resumes reading the response, so that a slow reader slows the
  /// sender.
  void SetReading(bool reading);

 private:
  std::shared_ptr<HttpCallState> state_;
};

/// Sends requests. Use it on its loop's thread only. It must outlive its calls.
class HttpClient {
 public:
  explicit HttpClient(EventLoop* loop);
  ~HttpClient();
  /// Sends `request` to `endpoint`. Callbacks never run before Send returns.
  [[nodiscard]] std::unique_ptr<HttpCall> Send(const Endpoint& endpoint,
                                               HttpRequest request,
                                               HttpCallLimits limits,
                                               HttpCallbacks callbacks);

 private:
  std::shared_ptr<HttpClientImpl> impl_;
};

}  // namespace primrosecove
