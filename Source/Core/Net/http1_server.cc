#include "Core/Net/http1_server.h"

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

#include "Core/Common/log.h"

namespace primrosecove {
namespace {

constexpr Milliseconds kSweepPeriod{250};
// Closed connections are summed up in one log line for this time.
constexpr Milliseconds kLogPeriod{1000};
// Bounds the bytes of pipelined requests that a client may send before its
// response is complete; beyond the limit reading stops.
constexpr size_t kMaxPipelinedBytes = 64 << 10;
// How long a closing connection waits for the client to close its side. Closing
// a socket with unread bytes resets the connection and may lose the response.
constexpr Milliseconds kLingerTimeout{2000};
// Beyond this size of unsent responses the client is treated as disconnected,
// because it does not read.
constexpr size_t kMaxUnsentResponseBytes = 4 << 20;

// Of the response to a request on a connection beyond the limit.
constexpr char kRefusalHeaders[] = "Retry-After: 1\r\n";

std::string StatusLine(int status, std::string_view reason) {
  std::string out = "HTTP/1.1 ";
  out.append(std::to_string(status)).append(" ").append(reason);
  return out.append("\r\n");
}

constexpr int kNoContent = 204;

// Returns whether a body may follow the head (RFC 9112, section 6.3).
bool MayHaveBody(std::string_view method, int status) {
  constexpr int kNotModified = 304;
  return method != "HEAD" && status != kNoContent && status != kNotModified;
}

// Returns the number of bytes that wait in the socket.
size_t BytesInSocket(evutil_socket_t fd) {
  int out = 0;
  return ioctl(fd, FIONREAD, &out) == 0 ? static_cast<size_t>(out) : 0;
}

// Returns whether the peer has closed its side, even if bytes are unread.
bool IsClosedByPeer(evutil_socket_t fd) {
  pollfd it{.fd = fd, .events = POLLRDHUP, .revents = 0};
  return poll(&it, 1, 0) == 1 &&
         (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace

class Http1ServerConnection
    : public std::enable_shared_from_this<Http1ServerConnection> {
 public:
  Http1ServerConnection(Http1Server* server, evutil_socket_t fd, bool refuses);
  ~Http1ServerConnection() { Free(); }

  void Start();
  void Write(std::string_view bytes) {
    if (bev_ != nullptr) bufferevent_write(bev_, bytes.data(), bytes.size());
  }
  size_t pending_bytes() const {
    return bev_ == nullptr ? 0
                           : evbuffer_get_length(bufferevent_get_output(bev_));
  }
  // Ends the current response. Parses the next request, or closes the
  // connection after the written bytes are sent.
  void CompleteResponse(bool keep_alive);
  // Resets the connection immediately; written bytes may be lost.
  void Abort();
  // Whether the next response announces the close. It does not while bytes of
  // another request have been read, so that this one is served too.
  bool draining() const {
    return server_ != nullptr && server_->draining_ && bev_ != nullptr &&
           evbuffer_get_length(bufferevent_get_input(bev_)) == 0;
  }
  void CheckTimeouts(SteadyTime now);
  bool idle() const {
    return exchange_ == nullptr && !parser_->in_message() && !HasUnreadBytes();
  }
  // Closes after the written bytes are sent and the client has closed its side.
  // Later bytes of the client are not read.
  void CloseGracefully();
  // Returns whether it is idle since its last response, which has been sent.
  bool replaceable() const {
    return has_responded_ && !closing_ && pending_bytes() == 0 && idle();
  }
  SteadyTime phase_start() const { return phase_start_; }
  // Closes a connection without a request at once. Precondition: replaceable().
  void Replace() { Remove(); }
  // Closes a connection without a request. Precondition: idle().
  void CloseIdle();
  void Detach();

 private:
  static void OnReadable(bufferevent*, void* arg) {
    auto self = static_cast<Http1ServerConnection*>(arg)->shared_from_this();
    self->Read();
  }
  static void OnWritable(bufferevent*, void* arg) {
    auto self = static_cast<Http1ServerConnection*>(arg)->shared_from_this();
    self->HandleDrained();
  }
  static void OnReadableWhileClosing(evutil_socket_t, short, void* arg) {
    static_cast<Http1ServerConnection*>(arg)->CheckClosedByClient();
  }
  static void OnEvent(bufferevent*, short, void* arg) {
    auto self = static_cast<Http1ServerConnection*>(arg)->shared_from_this();
    self->HandleDisconnect();
  }
  bool HasUnreadBytes() const {
    return bev_ != nullptr &&
           (evbuffer_get_length(bufferevent_get_input(bev_)) > 0 ||
            BytesInSocket(bufferevent_getfd(bev_)) > 0);
  }
  void Read();
  void HandleDrained();
  void HandleDisconnect();
  void DispatchRequest();
  void RejectRequest(int status, std::string_view reason,
                     std::string_view extra_headers = "");
  // Refuses the request as not run.
  void Refuse();
  void DropInput();
  void CheckClosedByClient();
  void Remove();
  void Free();

  Http1Server* server_;
  const bool
      refuses_;  // Its request is refused, because it is beyond the limit.
  bufferevent* bev_;
  event* closing_event_ = nullptr;  // The socket is readable while closing.
  std::unique_ptr<Http1Parser> parser_;
  HttpRequest request_;
  bool request_keep_alive_ = false;
  bool request_complete_ = false;
  bool head_received_ = false;
  bool body_too_large_ = false;
  bool closing_ = false;
  bool has_responded_ = false;
  bool has_dropped_input_ = false;
  bool is_rejecting_ = false;  // The rest of the request is read and dropped.
  bool closed_idle_ = false;   // No response is on its way to the client.
  SteadyTime phase_start_;     // start of the current phase: idle or closing
  Milliseconds idle_timeout_;  // in force at the start of the idle phase
  SteadyTime message_start_;
  Http1Server::Limits message_limits_;  // in force at the message's start
  std::shared_ptr<Http1Exchange> exchange_;
};

Http1ServerConnection::Http1ServerConnection(Http1Server* server,
                                             evutil_socket_t fd, bool refuses)
    : server_(server),
      refuses_(refuses),
      bev_(bufferevent_socket_new(server->loop_->base(), fd,
                                  BEV_OPT_CLOSE_ON_FREE)),
      phase_start_(EventLoop::Now()),
      idle_timeout_(server->limits_.idle_timeout) {
  Http1Parser::Events events;
  events.on_head = [this](Http1Head head) {
    head_received_ = true;
    request_.method = std::move(head.method);
    request_.target = std::move(head.target);
    request_.headers = std::move(head.headers);
    request_keep_alive_ = head.keep_alive;
    body_too_large_ =
        head.content_length.value_or(0) > message_limits_.max_body_bytes;
    auto expect = request_.headers.Find("Expect");
    if (expect && !body_too_large_ && !refuses_)
      Write("HTTP/1.1 100 Continue\r\n\r\n");
  };
  events.on_body = [this](std::string_view body_data) {
    if (request_.body.size() + body_data.size() >
        message_limits_.max_body_bytes) {
      body_too_large_ = true;
    }
    if (!body_too_large_ && !refuses_) request_.body.append(body_data);
  };
  events.on_complete = [this] { request_complete_ = true; };
  parser_ = std::make_unique<Http1Parser>(Http1Parser::Kind::kRequest,
                                          server->limits_.max_head_bytes,
                                          std::move(events));
}

void Http1ServerConnection::Start() {
  int on = 1;
  setsockopt(bufferevent_getfd(bev_), IPPROTO_TCP, TCP_NODELAY, &on,
             sizeof(on));
  bufferevent_setcb(bev_, OnReadable, OnWritable, OnEvent, this);
  bufferevent_enable(bev_, EV_READ | EV_WRITE);
}

void Http1ServerConnection::Read() {
  evbuffer* in = bufferevent_get_input(bev_);
  if (closing_) return DropInput();
  if (exchange_ != nullptr) {
    if (evbuffer_get_length(in) > kMaxPipelinedBytes) {
      bufferevent_disable(bev_, EV_READ);
    }
    return;
  }
  while (bev_ != nullptr && !closing_ && exchange_ == nullptr) {
    size_t n = evbuffer_get_contiguous_space(in);
    if (n == 0) return;
    if (!parser_->in_message()) {
      message_start_ = EventLoop::Now();
      message_limits_ = server_->limits_;
      parser_->SetMaxHeadBytes(message_limits_.max_head_bytes);
    }
    auto* data = reinterpret_cast<char*>(evbuffer_pullup(in, n));
    size_t used = parser_->Parse({data, n});
    evbuffer_drain(in, used);
    if (body_too_large_) return RejectRequest(413, "Content Too Large");
    if (parser_->head_too_large()) {
      return RejectRequest(431, "Request Header Fields Too Large");
    }
    if (parser_->unsupported_version())
      return RejectRequest(505, "HTTP Version Not Supported");
    if (parser_->failed()) return RejectRequest(400, "Bad Request");
    if (refuses_ && (head_received_ || request_complete_)) return Refuse();
    if (request_complete_) DispatchRequest();
  }
}

void Http1ServerConnection::DispatchRequest() {
  request_complete_ = false;
  head_received_ = false;
  exchange_ = std::make_shared<Http1Exchange>(
      weak_from_this(), std::exchange(request_, {}), request_keep_alive_);
  ++server_->in_flight_;
  // The handler receives a copy, because it may end the exchange, which resets
  // the member.
  auto exchange = exchange_;
  server_->handler_(std::move(exchange));
}

void Http1ServerConnection::CompleteResponse(bool keep_alive) {
  auto self = shared_from_this();
  exchange_.reset();
  phase_start_ = EventLoop::Now();
  has_responded_ = true;
  if (server_ != nullptr) {
    --server_->in_flight_;
    idle_timeout_ = server_->limits_.idle_timeout;
  }
  if (!keep_alive) return CloseGracefully();
  if (bev_ == nullptr) return;
  bufferevent_enable(bev_, EV_READ);
  if (evbuffer_get_length(bufferevent_get_input(bev_)) == 0) return;
  // A pipelined request has been received. It is parsed in a later loop
  // iteration, so that the call stack does not grow.
  server_->loop_->Post([weak = weak_from_this()] {
    auto self = weak.lock();
    if (self != nullptr && self->bev_ != nullptr) self->Read();
  });
}

void Http1ServerConnection::RejectRequest(int status, std::string_view reason,
                                          std::string_view extra_headers) {
  Write(StatusLine(status, reason).append(extra_headers) +
        "Content-Length: 0\r\nConnection: close\r\n\r\n");
  is_rejecting_ = true;
  CloseGracefully();
}

void Http1ServerConnection::Refuse() {
  RejectRequest(503, "Service Unavailable", kRefusalHeaders);
}

void Http1ServerConnection::CloseGracefully() {
  if (closing_ || bev_ == nullptr) return;
  closing_ = true;
  phase_start_ = EventLoop::Now();
  DropInput();
  if (is_rejecting_) {
    // A client that is still sending its request may not read the response
    // before it has sent all.
    bufferevent_enable(bev_, EV_READ);
  } else {
    bufferevent_disable(bev_, EV_READ);
    closing_event_ = event_new(server_->loop_->base(), bufferevent_getfd(bev_),
                               EV_READ, OnReadableWhileClosing, this);
    event_add(closing_event_, nullptr);
  }
  HandleDrained();
}

void Http1ServerConnection::CheckClosedByClient() {
  // With bytes that stay unread the event would be active at once again, so
  // from here on the sweep checks. The reset that ends an idle connection tells
  // the client that its request was not read.
  if (closed_idle_ || IsClosedByPeer(bufferevent_getfd(bev_))) Remove();
}

void Http1ServerConnection::CloseIdle() {
  if (closing_) return;
  closed_idle_ = true;
  CloseGracefully();
}

void Http1ServerConnection::DropInput() {
  evbuffer* in = bufferevent_get_input(bev_);
  size_t n = evbuffer_get_length(in);
  if (n == 0) return;
  has_dropped_input_ = true;
  if (server_ != nullptr) server_->counters_.dropped_bytes += n;
  evbuffer_drain(in, n);
}

void Http1ServerConnection::HandleDrained() {
  if (!closing_ || bev_ == nullptr || pending_bytes() > 0) return;
  phase_start_ = EventLoop::Now();
  shutdown(bufferevent_getfd(bev_), SHUT_WR);
}

void Http1ServerConnection::HandleDisconnect() {
  auto exchange = exchange_;
  Remove();
  if (exchange == nullptr || exchange->finished_) return;
  exchange->finished_ = true;
  if (server_ != nullptr) --server_->in_flight_;
  exchange_.reset();
  auto callback = std::exchange(exchange->on_disconnect_, nullptr);
  if (callback) callback();
}

void Http1ServerConnection::Abort() {
  auto self = shared_from_this();
  if (exchange_ != nullptr && server_ != nullptr) --server_->in_flight_;
  exchange_.reset();
  if (bev_ != nullptr) {
    // Without a reset, the client would treat a truncated close-delimited
    // response as complete.
    linger reset{1, 0};
    setsockopt(bufferevent_getfd(bev_), SOL_SOCKET, SO_LINGER, &reset,
               sizeof(reset));
  }
  Remove();
}

void Http1ServerConnection::CheckTimeouts(SteadyTime now) {
  if (bev_ == nullptr) return;
  if (closing_) {
    // A slow client needs longer to read the response.
    Milliseconds timeout =
        pending_bytes() > 0 ? message_limits_.request_timeout : kLingerTimeout;
    if (now - phase_start_ > timeout ||
        IsClosedByPeer(bufferevent_getfd(bev_))) {
      Remove();
    }
    return;
  }
  if (exchange_ != nullptr) {
    if (pending_bytes() > kMaxUnsentResponseBytes) HandleDisconnect();
    return;
  }
  if (!parser_->in_message()) {
    auto idle_time =
        std::chrono::duration_cast<Milliseconds>(now - phase_start_);
    // The client may not know a shorter limit that came in force meanwhile.
    Milliseconds timeout =
        refuses_ ? server_->limits_.head_timeout
                 : std::max(idle_timeout_, server_->limits_.idle_timeout);
    // Unread bytes are read in the next loop iteration.
    if (idle_time <= timeout || HasUnreadBytes()) return;
    ++server_->counters_.idle_closed;
    server_->longest_idle_ = std::max(server_->longest_idle_, idle_time);
    CloseIdle();
    return;
  }
  // What waits in the socket is read in the next loop iteration.
  if (HasUnreadBytes()) return;
  Milliseconds timeout = head_received_ ? message_limits_.request_timeout
                                        : message_limits_.head_timeout;
  if (now - message_start_ > timeout) RejectRequest(408, "Request Timeout");
}

void Http1ServerConnection::Remove() {
  auto self = shared_from_this();
  if (server_ != nullptr && closing_ && bev_ != nullptr &&
      (has_dropped_input_ || BytesInSocket(bufferevent_getfd(bev_)) > 0)) {
    ++server_->counters_.closed_with_unread;
  }
  Free();
  if (server_ == nullptr || server_->connections_.erase(this) == 0) return;
  if (refuses_) --server_->refusing_;
}

void Http1ServerConnection::Detach() {
  server_ = nullptr;
  exchange_.reset();
  Free();
}

void Http1ServerConnection::Free() {
  if (closing_event_ != nullptr) event_free(closing_event_);
  closing_event_ = nullptr;
  if (bev_ != nullptr) bufferevent_free(bev_);
  bev_ = nullptr;
}

Http1Exchange::Http1Exchange(std::weak_ptr<Http1ServerConnection> connection,
                             HttpRequest request, bool keep_alive)
    : connection_(std::move(connection)),
      request_(std::move(request)),
      arrival_(EventLoop::Now()),
      keep_alive_(keep_alive) {}

Http1Exchange::~Http1Exchange() = default;

void Http1Exchange::SendHead(int status, std::string_view reason,
                             const HttpHeaders& headers,
                             std::string_view framing) {
  auto connection = connection_.lock();
  if (connection == nullptr || finished_) return;
  started_ = true;
  has_body_ = MayHaveBody(request_.method, status);
  if (connection->draining()) keep_alive_ = false;
  std::string out = StatusLine(status, reason);
  for (const auto& [name, value] : headers.fields()) {
    out.append(name).append(": ").append(value).append("\r\n");
  }
  if (status != kNoContent) out.append(framing);
  if (!keep_alive_) out.append("Connection: close\r\n");
  out.append("\r\n");
  connection->Write(out);
}

void Http1Exchange::Respond(int status, std::string_view reason,
                            const HttpHeaders& headers, std::string_view body) {
  auto connection = connection_.lock();
  if (connection == nullptr || finished_) return;
  SendHead(status, reason, headers,
           "Content-Length: " + std::to_string(body.size()) + "\r\n");
  if (has_body_) connection->Write(body);
  CompleteResponse();
}

void Http1Exchange::StartStream(int status, std::string_view reason,
                                const HttpHeaders& headers) {
  SendHead(status, reason, headers, "Transfer-Encoding: chunked\r\n");
}

void Http1Exchange::Write(std::string_view body_data) {
  auto connection = connection_.lock();
  if (connection == nullptr || finished_ || !has_body_ || body_data.empty())
    return;
  char size[20];
  int n = std::snprintf(size, sizeof(size), "%zx\r\n", body_data.size());
  std::string out(size, static_cast<size_t>(n));
  out.append(body_data).append("\r\n");
  connection->Write(out);
}

void Http1Exchange::EndStream() {
  auto connection = connection_.lock();
  if (connection == nullptr || finished_) return;
  if (has_body_) connection->Write("0\r\n\r\n");
  CompleteResponse();
}

void Http1Exchange::CompleteResponse() {
  finished_ = true;
  on_disconnect_ = nullptr;
  if (auto connection = connection_.lock()) {
    connection->CompleteResponse(keep_alive_);
  }
}

void Http1Exchange::Abort() {
  if (finished_) return;
  finished_ = true;
  on_disconnect_ = nullptr;
  if (auto connection = connection_.lock()) connection->Abort();
}

size_t Http1Exchange::pending_bytes() const {
  auto connection = connection_.lock();
  return connection == nullptr ? 0 : connection->pending_bytes();
}

Http1Server::Http1Server(EventLoop* loop, Limits limits, Handler handler)
    : loop_(loop), limits_(limits), handler_(std::move(handler)) {
  sweep_timer_ = loop_->Every(kSweepPeriod, [this] { Sweep(); });
  log_timer_ = loop_->Every(kLogPeriod, [this] { LogClosed(); });
}

Http1Server::~Http1Server() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
  for (auto& [key, connection] : connections_) connection->Detach();
}

Result<void> Http1Server::Listen(const Endpoint& endpoint) {
  constexpr int kBacklog = 1024;
  endpoint_ = endpoint;
  sockaddr_in address = endpoint.ToSockaddr();
  listener_ = evconnlistener_new_bind(
      loop_->base(), OnAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      kBacklog, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (listener_ == nullptr) {
    return Fail(ErrorCode::kUnavailable, "cannot listen on " +
                                             endpoint.ToString() + ": " +
                                             std::strerror(errno));
  }
  return outcome::success();
}

void Http1Server::OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                           void* arg) {
  auto* self = static_cast<Http1Server*>(arg);
  bool refuses = self->connections_.size() - self->refusing_ >=
                     self->limits_.max_connections &&
                 !self->ReplaceIdle();
  if (refuses) {
    ++self->counters_.refused_connections;
    if (self->refusing_ >= kMaxRefusing) {
      evutil_closesocket(fd);
      return;
    }
    ++self->refusing_;
  }
  auto connection = std::make_shared<Http1ServerConnection>(self, fd, refuses);
  self->connections_.emplace(connection.get(), connection);
  connection->Start();
}

// Connections without a response so far are left alone: their first request may
// be on its way.
bool Http1Server::ReplaceIdle() {
  std::shared_ptr<Http1ServerConnection> oldest;
  for (auto& [key, connection] : connections_) {
    bool older =
        oldest == nullptr || connection->phase_start() < oldest->phase_start();
    if (older && connection->replaceable()) oldest = connection;
  }
  if (oldest == nullptr) return false;
  ++counters_.replaced_connections;
  oldest->Replace();
  return true;
}

void Http1Server::CloseIdle() {
  std::vector<std::shared_ptr<Http1ServerConnection>> idle;
  for (auto& [key, connection] : connections_) {
    if (connection->idle()) idle.push_back(connection);
  }
  for (auto& it : idle) it->CloseIdle();
}

size_t Http1Server::unsent_bytes() const {
  size_t out = 0;
  for (auto& [key, connection] : connections_)
    out += connection->pending_bytes();
  return out;
}

void Http1Server::Sweep() {
  SteadyTime now = EventLoop::Now();
  std::vector<std::shared_ptr<Http1ServerConnection>> all;
  all.reserve(connections_.size());
  for (auto& [key, connection] : connections_) all.push_back(connection);
  for (auto& it : all) it->CheckTimeouts(now);
}

void Http1Server::LogClosed() {
  auto idle_closed = counters_.idle_closed - logged_.idle_closed;
  auto with_unread = counters_.closed_with_unread - logged_.closed_with_unread;
  auto dropped_bytes = counters_.dropped_bytes - logged_.dropped_bytes;
  auto refused = counters_.refused_connections - logged_.refused_connections;
  auto replaced = counters_.replaced_connections - logged_.replaced_connections;
  logged_ = counters_;
  auto longest_idle = std::exchange(longest_idle_, Milliseconds(0));
  if (idle_closed + with_unread + dropped_bytes + refused + replaced == 0)
    return;
  PC_INFO(kNet, "event=connections_closed at="
                    << endpoint_.ToString() << " idle=" << idle_closed
                    << " longest_idle_ms=" << longest_idle.count()
                    << " idle_timeout_ms=" << limits_.idle_timeout.count()
                    << " with_unread=" << with_unread
                    << " dropped_bytes=" << dropped_bytes
                    << " refused=" << refused << " replaced=" << replaced
                    << " open=" << connections_.size());
}

}  // namespace primrosecove
