#include "Core/Net/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <map>
#include <utility>
#include <vector>

namespace primrosecove {
namespace {

constexpr ev_ssize_t kMaxHeadBytes = 64 << 10;

// Idle connections kept per endpoint.
constexpr size_t kMaxIdleConnections = 64;
// evhttp's own timeout is only a fallback, because a timer bounds each call.
constexpr int kConnectionTimeoutSeconds = 3600;

struct MethodEntry {
  std::string_view name;
  evhttp_cmd_type type;
};
constexpr std::array<MethodEntry, 7> kMethods = {
    {{"GET", EVHTTP_REQ_GET},
     {"POST", EVHTTP_REQ_POST},
     {"HEAD", EVHTTP_REQ_HEAD},
     {"PUT", EVHTTP_REQ_PUT},
     {"DELETE", EVHTTP_REQ_DELETE},
     {"OPTIONS", EVHTTP_REQ_OPTIONS},
     {"PATCH", EVHTTP_REQ_PATCH}}};

using Connection = std::shared_ptr<evhttp_connection>;

// Frees the connection with its last owner, so that a connection whose callback
// never runs is freed too.
Connection OwnConnection(evhttp_connection* conn) {
  return {conn, evhttp_connection_free};
}

}  // namespace

struct HttpClientImpl {
  EventLoop* loop = nullptr;
  std::map<Endpoint, std::vector<Connection>> idle;

  Connection AcquireConnection(const Endpoint& endpoint) {
    auto& idle_connections = idle[endpoint];
    if (!idle_connections.empty()) {
      Connection conn = std::move(idle_connections.back());
      idle_connections.pop_back();
      return conn;
    }
    Connection conn = OwnConnection(evhttp_connection_base_new(
        loop->base(), nullptr, endpoint.ip.c_str(), endpoint.port));
    evhttp_connection_set_timeout(conn.get(), kConnectionTimeoutSeconds);
    return conn;
  }

  void ReleaseConnection(const Endpoint& endpoint, Connection conn) {
    auto& idle_connections = idle[endpoint];
    if (idle_connections.size() < kMaxIdleConnections) {
      idle_connections.push_back(std::move(conn));
    }
  }
};

struct HttpCallState : std::enable_shared_from_this<HttpCallState> {
  std::shared_ptr<HttpClientImpl> client;
  Endpoint endpoint;
  HttpCallbacks callbacks;
  HttpResponse response;
  uint64_t max_body_bytes = 0;
  Connection conn;
  evhttp_request* req = nullptr;
  Timer timeout;
  bool headers_received = false;
  bool ended = false;
  // Keeps the state alive until evhttp's last callback.
  std::shared_ptr<HttpCallState> self;

  static int OnHeaders(evhttp_request* req, void* arg);
  static void OnChunk(evhttp_request* req, void* arg);
  static void OnDone(evhttp_request* req, void* arg);

  void HandleBody(evhttp_request* req);
  void FailCall(HttpProgress progress, ErrorCode code, std::string message);
  void Cancel();
};

void HttpCallState::FailCall(HttpProgress progress, ErrorCode code,
                             std::string message) {
  if (std::exchange(ended, true)) return;
  timeout.Cancel();
  auto callback = std::move(callbacks.on_failure);
  callbacks = {};
  if (callback)
    callback({progress,
              Error{code, endpoint.ToString() + ": " + std::move(message)}});
}

// Closes the connection, because it can't be reused after a response that was
// not read to its end.
void HttpCallState::Cancel() {
  ended = true;
  timeout.Cancel();
  callbacks = {};
  if (conn == nullptr) return;
  // evhttp may be running a callback for this connection, so the connection is
  // freed in a later loop iteration.
  auto guard = std::move(self);
  Connection closing = std::move(conn);
  bufferevent_disable(evhttp_connection_get_bufferevent(closing.get()),
                      EV_READ);
  client->loop->Post([guard, closing] {});
}

int HttpCallState::OnHeaders(evhttp_request* req, void* arg) {
  auto state = static_cast<HttpCallState*>(arg)->shared_from_this();
  if (state->ended) return 0;
  state->headers_received = true;
  state->response.status = evhttp_request_get_response_code(req);
  evkeyvalq* headers = evhttp_request_get_input_headers(req);
  for (evkeyval* it = headers->tqh_first; it != nullptr;
       it = it->next.tqe_next) {
    state->response.headers.Add(it->key, it->value);
  }
  if (state->callbacks.on_head) state->callbacks.on_head(state->response);
  return 0;
}

void HttpCallState::HandleBody(evhttp_request* req) {
  evbuffer* buf = evhttp_request_get_input_buffer(req);
  size_t n = evbuffer_get_length(buf);
  if (n == 0) return;
  std::string_view body_data(
      reinterpret_cast<const char*>(evbuffer_pullup(buf, -1)), n);
  if (!callbacks.on_data) {
    response.body.append(body_data);
    return;
  }
  auto callback = callbacks.on_data;
  callback(body_data);
}

void HttpCallState::OnChunk(evhttp_request* req, void* arg) {
  auto state = static_cast<HttpCallState*>(arg)->shared_from_this();
  if (state->ended) return;
  state->HandleBody(req);
}

void HttpCallState::OnDone(evhttp_request* req, void* arg) {
  auto state = static_cast<HttpCallState*>(arg)->shared_from_this();
  if (state->ended) return;
  auto guard = std::move(state->self);
  Connection conn = std::move(state->conn);
  if (req == nullptr || evhttp_request_get_response_code(req) == 0) {
    // evhttp passes the request without a status when connecting failed.
    HttpProgress progress = req != nullptr ? HttpProgress::kNotConnected
                            : state->headers_received
                                ? HttpProgress::kHeadReceived
                                : HttpProgress::kSent;
    state->client->loop->Post([conn] {});
    state->FailCall(progress, ErrorCode::kUnavailable,
                    progress == HttpProgress::kNotConnected
                        ? "cannot connect"
                        : "connection lost");
    return;
  }
  state->HandleBody(req);
  if (state->ended) {
    state->client->loop->Post([conn] {});
    return;
  }
  state->ended = true;
  state->timeout.Cancel();
  auto callback = std::move(state->callbacks.on_response);
  state->callbacks = {};
  // evhttp uses the connection until this function returns.
  state->client->loop->Post(
      [client = state->client, endpoint = state->endpoint, conn] {
        client->ReleaseConnection(endpoint, conn);
      });
  if (callback) callback(state->response);
}

HttpCall::HttpCall(std::shared_ptr<HttpCallState> state)
    : state_(std::move(state)) {}

HttpCall::~HttpCall() {
  if (!state_->ended) state_->Cancel();
}

void HttpCall::SetReading(bool reading) {
  if (state_->conn == nullptr) return;
  bufferevent* bev = evhttp_connection_get_bufferevent(state_->conn.get());
  if (reading) {
    bufferevent_enable(bev, EV_READ);
  } else {
    bufferevent_disable(bev, EV_READ);
  }
}

HttpClient::HttpClient(EventLoop* loop)
    : impl_(std::make_shared<HttpClientImpl>()) {
  impl_->loop = loop;
}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpCall> HttpClient::Send(const Endpoint& endpoint,
                                           HttpRequest request,
                                           HttpCallLimits limits,
                                           HttpCallbacks callbacks) {
  auto state = std::make_shared<HttpCallState>();
  state->client = impl_;
  state->endpoint = endpoint;
  state->callbacks = std::move(callbacks);
  state->max_body_bytes = limits.max_body_bytes;
  state->self = state;
  evhttp_cmd_type type = EVHTTP_REQ_GET;
  bool known = false;
  for (const MethodEntry& it : kMethods) {
    if (it.name != request.method) continue;
    type = it.type;
    known = true;
  }
  if (!known) {
    impl_->loop->Post([state, method = request.method] {
      auto guard = std::move(state->self);
      state->FailCall(HttpProgress::kNotConnected, ErrorCode::kInvalidArgument,
                      "method '" + method + "' is not supported");
    });
    return std::make_unique<HttpCall>(state);
  }
  state->conn = impl_->AcquireConnection(endpoint);
  evhttp_connection_set_max_headers_size(state->conn.get(), kMaxHeadBytes);
  evhttp_connection_set_max_body_size(
      state->conn.get(), static_cast<ev_ssize_t>(limits.max_body_bytes));
  state->req = evhttp_request_new(HttpCallState::OnDone, state.get());
  evhttp_request_set_header_cb(state->req, HttpCallState::OnHeaders);
  evhttp_request_set_chunked_cb(state->req, HttpCallState::OnChunk);
  evkeyvalq* headers = evhttp_request_get_output_headers(state->req);
  for (const auto& [name, value] : request.headers.fields()) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  if (!request.headers.Find("Host")) {
    evhttp_add_header(headers, "Host", endpoint.ToString().c_str());
  }
  if (!request.body.empty() || type == EVHTTP_REQ_POST ||
      type == EVHTTP_REQ_PUT || type == EVHTTP_REQ_PATCH) {
    evhttp_add_header(headers, "Content-Length",
                      std::to_string(request.body.size()).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(state->req),
                 request.body.data(), request.body.size());
  }
  if (limits.timeout.count() > 0) {
    state->timeout =
        impl_->loop->After(limits.timeout, [weak = std::weak_ptr(state)] {
          auto state = weak.lock();
          if (!state || state->ended) return;
          auto on_failure = state->callbacks.on_failure;
          HttpProgress progress = state->headers_received
                                      ? HttpProgress::kHeadReceived
                                      : HttpProgress::kSent;
          state->Cancel();
          state->callbacks.on_failure = std::move(on_failure);
          state->ended = false;
          state->FailCall(progress, ErrorCode::kTimeout, "request timed out");
        });
  }
  // From here on evhttp owns the request. It calls OnDone also when
  // evhttp_make_request fails immediately.
  evhttp_make_request(state->conn.get(), state->req, type,
                      request.target.c_str());
  return std::make_unique<HttpCall>(state);
}

}  // namespace primrosecove
