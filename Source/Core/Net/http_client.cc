#include "Core/Net/http_client.h"

#include <utility>

namespace primrosecove {

struct HttpCallState {
  Endpoint endpoint;
  HttpCallbacks callbacks;
  HttpResponse response;
  uint64_t max_body_bytes = 0;
  uint64_t body_bytes = 0;
  std::unique_ptr<Http1Call> call;

  void OnHead(const Http1Head& head);
  void OnData(std::string_view bytes);
  void OnEnd(const CallResult& result);
  void FailCall(HttpProgress progress, ErrorCode code, const char* message);
};

void HttpCallState::OnHead(const Http1Head& head) {
  response.status = head.status;
  response.headers = head.headers;
  auto callback = callbacks.on_head;
  if (callback) callback(response);
}

void HttpCallState::OnData(std::string_view bytes) {
  body_bytes += bytes.size();
  if (body_bytes > max_body_bytes) {
    call.reset();
    return FailCall(HttpProgress::kHeadReceived, ErrorCode::kTooLarge,
                    "response too large");
  }
  auto callback = callbacks.on_data;
  if (callback) return callback(bytes);
  response.body.append(bytes);
}

void HttpCallState::OnEnd(const CallResult& result) {
  HttpProgress progress =
      result.head ? HttpProgress::kHeadReceived : HttpProgress::kSent;
  switch (result.end) {
    case CallEnd::kComplete: {
      auto callback = std::move(callbacks.on_response);
      callbacks = {};
      if (callback) callback(response);
      return;
    }
    case CallEnd::kNotSent:
      return FailCall(HttpProgress::kNotConnected, ErrorCode::kUnavailable,
                      "cannot connect");
    case CallEnd::kConnectionLost:
      return FailCall(progress, ErrorCode::kUnavailable, "connection lost");
    case CallEnd::kMalformed:
      return FailCall(progress, ErrorCode::kCorrupt, "malformed response");
    case CallEnd::kTimeout:
      return FailCall(progress, ErrorCode::kTimeout, "request timed out");
  }
}

void HttpCallState::FailCall(HttpProgress progress, ErrorCode code,
                             const char* message) {
  auto callback = std::move(callbacks.on_failure);
  callbacks = {};
  if (callback)
    callback({progress, Error{code, endpoint.ToString() + ": " + message}});
}

HttpCall::HttpCall(std::shared_ptr<HttpCallState> state)
    : state_(std::move(state)) {}

HttpCall::~HttpCall() {
  // A callback that is running may hold the state.
  state_->call.reset();
  state_->callbacks = {};
}

void HttpCall::SetReading(bool reading) {
  if (state_->call != nullptr) state_->call->SetReading(reading);
}

std::unique_ptr<HttpCall> HttpClient::Send(const Endpoint& endpoint,
                                           const HttpRequest& request,
                                           HttpCallLimits limits,
                                           HttpCallbacks callbacks) {
  auto state = std::make_shared<HttpCallState>();
  state->endpoint = endpoint;
  state->callbacks = std::move(callbacks);
  state->max_body_bytes = limits.max_body_bytes;
  std::weak_ptr<HttpCallState> weak = state;
  CallOptions options;
  options.timeout = limits.timeout;
  CallEvents events;
  events.on_head = [weak](const Http1Head& head) {
    if (auto it = weak.lock()) it->OnHead(head);
  };
  events.on_data = [weak](std::string_view bytes) {
    if (auto it = weak.lock()) it->OnData(bytes);
  };
  events.on_end = [weak](const CallResult& result) {
    if (auto it = weak.lock()) it->OnEnd(result);
  };
  state->call = client_.Send(endpoint, request, options, std::move(events));
  return std::make_unique<HttpCall>(state);
}

}  // namespace primrosecove
