#include "Core/Net/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <evhtp/evhtp.h>

#include <cstring>
#include <utility>

#include "Core/Common/log.h"

namespace primrosecove {
namespace {

// Bounds the parser's input buffer, because libevhtp accepts header blocks of
// any size.
constexpr size_t kReadHighWatermarkBytes = 256 << 10;
constexpr int kListenBacklog = 1024;

// libevhtp accepts every hook as one function type and casts it back by the
// type of the hook.
template <typename Function>
evhtp_hook AsHook(Function* function) {
  return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
}

std::string MethodName(htp_method method) {
  const char* name = htparser_get_methodstr_m(method);
  return name == nullptr ? std::string() : std::string(name);
}

int CopyField(evhtp_kv_t* kv, void* arg) {
  static_cast<HttpHeaders*>(arg)->Add(std::string(kv->key, kv->klen),
                                      std::string(kv->val, kv->vlen));
  return 0;
}

HttpRequest CopyRequest(evhtp_request_t* req) {
  HttpRequest out;
  out.method = MethodName(req->method);
  if (req->uri != nullptr && req->uri->path != nullptr &&
      req->uri->path->full != nullptr) {
    out.target = req->uri->path->full;
  }
  if (req->uri != nullptr && req->uri->query_raw != nullptr &&
      req->uri->query_raw[0] != 0) {
    out.target += "?";
    out.target += reinterpret_cast<const char*>(req->uri->query_raw);
  }
  evhtp_kvs_for_each(req->headers_in, CopyField, &out.headers);
  size_t n = evbuffer_get_length(req->buffer_in);
  out.body.resize(n);
  evbuffer_remove(req->buffer_in, out.body.data(), n);
  return out;
}

}  // namespace

// State shared by the exchange, the server and libevhtp's hooks. `req` is null
// after libevhtp has freed the request.
struct ExchangeState {
  EventLoop* loop = nullptr;
  HttpServerImpl* server = nullptr;
  evhtp_request_t* req = nullptr;
  evhtp_connection_t* conn = nullptr;
  HttpRequest request;
  evbuffer_cb_entry* output_callback = nullptr;
  bool started = false;
  bool complete = false;
  std::function<void()> on_disconnect;
  std::function<void()> on_drained;
};

struct HttpExchangeImpl {
  std::shared_ptr<ExchangeState> state;
};

struct HttpServerImpl {
  EventLoop* loop = nullptr;
  HttpServer::Limits limits;
  HttpServer::Handler handler;
  evhtp_t* htp = nullptr;
  bool listening = false;
  bool stopping = false;
  std::unordered_set<std::shared_ptr<ExchangeState>> open_exchanges;
  // All connections, including idle ones, because libevhtp does not free them
  // with its server.
  std::unordered_set<evhtp_connection_t*> connections;

  static evhtp_res OnAccept(evhtp_connection_t* conn, void* arg);
  static evhtp_res OnConnectionFini(evhtp_connection_t* conn, void* arg);
  static void OnRequest(evhtp_request_t* req, void* arg);
  static evhtp_res OnRequestFini(evhtp_request_t* req, void* arg);
  static evhtp_res OnError(evhtp_request_t* req, evhtp_error_flags flags,
                           void* arg);
  static void OnOutput(evbuffer* buf, const evbuffer_cb_info* info, void* arg);
};

namespace {

// Notifies the owner of an incomplete exchange, once, that the client has
// disconnected.
void NotifyDisconnect(const std::shared_ptr<ExchangeState>& state) {
  if (state->complete) return;
  state->complete = true;
  state->on_drained = nullptr;
  auto callback = std::exchange(state->on_disconnect, nullptr);
  if (callback) state->loop->Post(std::move(callback));
}

// Frees the connection of a paused request; libevhtp leaves this to the code
// that paused the request.
void CloseConnection(const std::shared_ptr<ExchangeState>& state) {
  state->loop->Post([state] {
    if (state->req == nullptr) return;
    evhtp_connection_free(state->conn);
  });
}

void AddHeaders(evhtp_request_t* req, const HttpHeaders& headers) {
  for (const auto& [name, value] : headers.fields()) {
    evhtp_headers_add_header(
        req->headers_out, evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
  }
}

void CompleteResponse(const std::shared_ptr<ExchangeState>& state) {
  state->complete = true;
  state->on_disconnect = nullptr;
  state->on_drained = nullptr;
  if (state->server->stopping) evhtp_request_set_keepalive(state->req, 0);
  // A connection that is closing after a parse error is no longer paused.
  bool paused =
      (evhtp_connection_get_flags(state->conn) & EVHTP_CONN_FLAG_PAUSED) != 0;
  if (paused) evhtp_request_resume(state->req);
}

}  // namespace

evhtp_res HttpServerImpl::OnAccept(evhtp_connection_t* conn, void* arg) {
  static_cast<HttpServerImpl*>(arg)->connections.insert(conn);
  evhtp_connection_set_hook(conn, evhtp_hook_on_connection_fini,
                            AsHook(OnConnectionFini), arg);
  return EVHTP_RES_OK;
}

evhtp_res HttpServerImpl::OnConnectionFini(evhtp_connection_t* conn,
                                           void* arg) {
  static_cast<HttpServerImpl*>(arg)->connections.erase(conn);
  return EVHTP_RES_OK;
}

void HttpServerImpl::OnRequest(evhtp_request_t* req, void* arg) {
  auto* impl = static_cast<HttpServerImpl*>(arg);
  auto state = std::make_shared<ExchangeState>();
  state->loop = impl->loop;
  state->server = impl;
  state->req = req;
  state->conn = evhtp_request_get_connection(req);
  state->request = CopyRequest(req);
  impl->open_exchanges.insert(state);
  auto* hook_state = new std::shared_ptr<ExchangeState>(state);
  evhtp_request_set_hook(req, evhtp_hook_on_request_fini, AsHook(OnRequestFini),
                         hook_state);
  evhtp_request_set_hook(req, evhtp_hook_on_error, AsHook(OnError), hook_state);
  // libevhtp calls its write hook only for connections that are not paused.
  evbuffer* output =
      bufferevent_get_output(evhtp_connection_get_bev(state->conn));
  state->output_callback = evbuffer_add_cb(output, OnOutput, state.get());
  evhtp_request_pause(req);
  // Pausing stops reading, and without reading a disconnect of the client is
  // not detected. So reading is enabled again, up to the watermark; libevhtp
  // does not parse a pipelined request while paused.
  bufferevent* bev = evhtp_connection_get_bev(state->conn);
  bufferevent_setwatermark(bev, EV_READ, 0, kReadHighWatermarkBytes);
  bufferevent_enable(bev, EV_READ);
  // libevhtp treats a response that starts inside this callback as the end of
  // the pause and closes the connection, so the handler runs in a later loop
  // iteration.
  impl->loop->Post([state] {
    if (state->req == nullptr || state->complete) return;
    auto exchange_impl = std::make_unique<HttpExchangeImpl>();
    exchange_impl->state = state;
    state->server->handler(
        std::make_shared<HttpExchange>(std::move(exchange_impl)));
  });
}

evhtp_res HttpServerImpl::OnRequestFini(evhtp_request_t* req, void* arg) {
  std::unique_ptr<std::shared_ptr<ExchangeState>> hook_state(
      static_cast<std::shared_ptr<ExchangeState>*>(arg));
  std::shared_ptr<ExchangeState> state = *hook_state;
  evbuffer* output = bufferevent_get_output(
      evhtp_connection_get_bev(evhtp_request_get_connection(req)));
  evbuffer_remove_cb_entry(output, state->output_callback);
  NotifyDisconnect(state);
  state->req = nullptr;
  state->conn = nullptr;
  if (state->server != nullptr) state->server->open_exchanges.erase(state);
  return EVHTP_RES_OK;
}

evhtp_res HttpServerImpl::OnError(evhtp_request_t*, evhtp_error_flags,
                                  void* arg) {
  std::shared_ptr<ExchangeState> state =
      *static_cast<std::shared_ptr<ExchangeState>*>(arg);
  NotifyDisconnect(state);
  CloseConnection(state);
  return EVHTP_RES_OK;
}

void HttpServerImpl::OnOutput(evbuffer* buf, const evbuffer_cb_info* info,
                              void* arg) {
  auto* state = static_cast<ExchangeState*>(arg);
  bool drained = info->n_deleted > 0 && evbuffer_get_length(buf) == 0;
  if (drained && !state->complete && state->on_drained)
    state->loop->Post(state->on_drained);
}

HttpExchange::HttpExchange(std::unique_ptr<HttpExchangeImpl> impl)
    : impl_(std::move(impl)) {}

HttpExchange::~HttpExchange() { Abort(); }

const HttpRequest& HttpExchange::request() const {
  return impl_->state->request;
}

void HttpExchange::Respond(int status, HttpHeaders headers,
                           std::string_view body) {
  auto& state = impl_->state;
  if (state->complete || state->req == nullptr || state->started) return;
  state->started = true;
  AddHeaders(state->req, headers);
  evbuffer_add(state->req->buffer_out, body.data(), body.size());
  if (state->server->stopping) evhtp_request_set_keepalive(state->req, 0);
  evhtp_send_reply(state->req, static_cast<evhtp_res>(status));
  CompleteResponse(state);
}

void HttpExchange::StartStream(int status, HttpHeaders headers) {
  auto& state = impl_->state;
  if (state->complete || state->req == nullptr || state->started) return;
  state->started = true;
  AddHeaders(state->req, headers);
  evhtp_send_reply_chunk_start(state->req, static_cast<evhtp_res>(status));
}

void HttpExchange::Write(std::string_view body_data) {
  auto& state = impl_->state;
  if (state->complete || state->req == nullptr || body_data.empty()) return;
  evbuffer* buf = evbuffer_new();
  evbuffer_add(buf, body_data.data(), body_data.size());
  evhtp_send_reply_chunk(state->req, buf);
  evbuffer_free(buf);
}

void HttpExchange::EndStream() {
  auto& state = impl_->state;
  if (state->complete || state->req == nullptr) return;
  evhtp_send_reply_chunk_end(state->req);
  CompleteResponse(state);
}

void HttpExchange::Abort() {
  auto& state = impl_->state;
  if (state->complete || state->req == nullptr) return;
  state->complete = true;
  state->on_disconnect = nullptr;
  state->on_drained = nullptr;
  CloseConnection(state);
}

bool HttpExchange::finished() const { return impl_->state->complete; }

bool HttpExchange::started() const { return impl_->state->started; }

size_t HttpExchange::pending_bytes() const {
  if (impl_->state->conn == nullptr) return 0;
  bufferevent* bev = evhtp_connection_get_bev(impl_->state->conn);
  return evbuffer_get_length(bufferevent_get_output(bev));
}

void HttpExchange::OnDisconnect(std::function<void()> callback) {
  impl_->state->on_disconnect = std::move(callback);
}

void HttpExchange::OnDrained(std::function<void()> callback) {
  impl_->state->on_drained = std::move(callback);
}

HttpServer::HttpServer(EventLoop* loop, Limits limits, Handler handler)
    : impl_(std::make_unique<HttpServerImpl>()) {
  impl_->loop = loop;
  impl_->limits = limits;
  impl_->handler = std::move(handler);
  impl_->htp = evhtp_new(loop->base(), nullptr);
  evhtp_set_max_body_size(impl_->htp, limits.max_body_bytes);
  evhtp_enable_flag(impl_->htp, EVHTP_FLAG_ENABLE_NODELAY);
  evhtp_set_post_accept_cb(impl_->htp, HttpServerImpl::OnAccept, impl_.get());
  evhtp_set_gencb(impl_->htp, HttpServerImpl::OnRequest, impl_.get());
}

HttpServer::~HttpServer() {
  StopAccepting();
  auto open_exchanges = impl_->open_exchanges;
  for (const auto& state : open_exchanges) {
    state->complete = true;
    state->on_disconnect = nullptr;
    state->server = nullptr;
  }
  auto connections = impl_->connections;
  for (evhtp_connection_t* it : connections) evhtp_connection_free(it);
  evhtp_free(impl_->htp);
}

Result<void> HttpServer::Listen(const Endpoint& endpoint) {
  if (evhtp_bind_socket(impl_->htp, endpoint.ip.c_str(), endpoint.port,
                        kListenBacklog) != 0) {
    return Fail(ErrorCode::kUnavailable, "cannot listen on " +
                                             endpoint.ToString() + ": " +
                                             std::strerror(errno));
  }
  impl_->listening = true;
  return outcome::success();
}

void HttpServer::StopAccepting() {
  impl_->stopping = true;
  if (!impl_->listening) return;
  impl_->listening = false;
  evhtp_unbind_socket(impl_->htp);
}

size_t HttpServer::in_flight() const { return impl_->open_exchanges.size(); }

}  // namespace primrosecove
