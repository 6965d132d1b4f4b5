#include "Core/Net/http1_client.h"

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "Core/Common/text.h"

namespace primrosecove {
namespace {

// Closes idle connections before the server's keep-alive timeout, so that a
// request does not arrive after the server's close (RFC 9112, section 9.3.1).
constexpr double kKeepAliveFraction = 0.7;
// Applies when the server does not state a keep-alive timeout.
constexpr Milliseconds kDefaultReuseDuration{3000};
constexpr Milliseconds kSweepPeriod{500};
// Detects a lost network path by data that stays unacknowledged for this long,
// because a network partition of the platform drops packets without a reset.
constexpr int kTcpUserTimeoutMs = 3000;
constexpr uint32_t kMaxResponseHeadBytes = 64 << 10;

void SetSocketOptions(evutil_socket_t fd) {
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs,
             sizeof(kTcpUserTimeoutMs));
}

Milliseconds ReuseDuration(const HttpHeaders& headers) {
  auto field = headers.Find("Keep-Alive");
  if (!field) return kDefaultReuseDuration;
  size_t at = field->find("timeout=");
  if (at == std::string_view::npos) return kDefaultReuseDuration;
  std::string_view rest = field->substr(at + 8);
  auto seconds = ParseU64(rest.substr(0, rest.find_first_not_of("0123456789")));
  if (!seconds) return kDefaultReuseDuration;
  return Milliseconds(static_cast<int64_t>(static_cast<double>(*seconds) *
                                           1000 * kKeepAliveFraction));
}

std::string Serialize(const HttpRequest& request, const Endpoint& endpoint) {
  std::string out;
  out.reserve(512 + request.body.size());
  out.append(request.method).append(" ").append(request.target);
  out.append(" HTTP/1.1\r\n");
  for (const auto& [name, value] : request.headers.fields()) {
    out.append(name).append(": ").append(value).append("\r\n");
  }
  if (!request.headers.Find("Host")) {
    out.append("Host: ").append(endpoint.ToString()).append("\r\n");
  }
  if (!request.body.empty() || request.method == "POST" ||
      request.method == "PUT" || request.method == "PATCH") {
    out.append("Content-Length: ")
        .append(std::to_string(request.body.size()))
        .append("\r\n");
  }
  out.append("\r\n").append(request.body);
  return out;
}

}  // namespace

// One connection and the call that uses it, if any. The client owns it.
class Http1Connection : public std::enable_shared_from_this<Http1Connection> {
 public:
  Http1Connection(Http1Client* client, EventLoop* loop, Endpoint endpoint)
      : client_(client), loop_(loop), endpoint_(std::move(endpoint)) {}
  ~Http1Connection() { Close(); }

  void StartCall(std::string bytes, const CallOptions& options,
                 CallEvents events);
  // Cancels call `number` without a callback, if it is still active.
  void CancelCall(uint64_t number);
  // Stops or resumes reading if call `number` is active.
  void SetReading(uint64_t number, bool reading);
  void Close();
  uint64_t call_number() const { return call_number_; }
  bool open() const { return bev_ != nullptr; }
  const Endpoint& endpoint() const { return endpoint_; }

 private:
  static void OnReadable(bufferevent*, void* arg) {
    auto self = static_cast<Http1Connection*>(arg)->shared_from_this();
    self->Read();
  }
  static void OnEvent(bufferevent*, short what, void* arg) {
    auto self = static_cast<Http1Connection*>(arg)->shared_from_this();
    self->HandleEvent(what);
  }
  bool Connect();
  void RestartStallTimer();
  void StartParser();
  void Read();
  void HandleEvent(short what);
  void HandleHead(Http1Head head);
  void HandleBody(std::string_view body_data);
  void FinishResponse();
  void Finish(CallEnd end);
  bool RequestWritten() const { return request_written_; }

  Http1Client* client_;
  EventLoop* loop_;
  Endpoint endpoint_;
  bufferevent* bev_ = nullptr;
  bool connected_ = false;
  bool request_written_ = false;
  bool busy_ = false;
  bool parsing_ = false;
  uint64_t call_number_ = 0;
  bool response_complete_ = false;
  bool body_too_large_ = false;
  bool skipping_ = false;
  std::string request_bytes_;
  std::unique_ptr<Http1Parser> parser_;
  CallOptions options_;
  CallEvents events_;
  CallResult result_;
  Timer deadline_;
  Timer stall_deadline_;
  Timer connect_deadline_;
};

bool Http1Connection::Connect() {
  bev_ = bufferevent_socket_new(loop_->base(), -1, BEV_OPT_CLOSE_ON_FREE);
  if (bev_ == nullptr) return false;
  bufferevent_setcb(bev_, OnReadable, nullptr, OnEvent, this);
  sockaddr_in address = endpoint_.ToSockaddr();
  ++client_->stats_.connections_opened;
  return bufferevent_socket_connect(bev_, reinterpret_cast<sockaddr*>(&address),
                                    sizeof(address)) == 0;
}

void Http1Connection::StartCall(std::string bytes, const CallOptions& options,
                                CallEvents events) {
  options_ = options;
  events_ = std::move(events);
  result_ = CallResult();
  busy_ = true;
  request_written_ = false;
  ++call_number_;
  StartParser();
  std::weak_ptr<Http1Connection> weak_self = weak_from_this();
  if (options.timeout.count() > 0) {
    deadline_ = loop_->After(options.timeout, [weak_self] {
      if (auto self = weak_self.lock()) self->Finish(CallEnd::kTimeout);
    });
  }
  RestartStallTimer();
  if (open()) {
    request_written_ = true;
    bufferevent_write(bev_, bytes.data(), bytes.size());
    return;
  }
  request_bytes_ = std::move(bytes);
  if (!Connect()) {
    loop_->Post([weak_self] {
      if (auto self = weak_self.lock()) self->Finish(CallEnd::kNotSent);
    });
    return;
  }
  connect_deadline_ = loop_->After(options.connect_timeout, [weak_self] {
    if (auto self = weak_self.lock()) self->Finish(CallEnd::kNotSent);
  });
}

void Http1Connection::RestartStallTimer() {
  if (options_.stall_timeout.count() == 0) return;
  std::weak_ptr<Http1Connection> weak_self = weak_from_this();
  stall_deadline_ = loop_->After(options_.stall_timeout, [weak_self] {
    if (auto self = weak_self.lock()) self->Finish(CallEnd::kTimeout);
  });
}

void Http1Connection::StartParser() {
  Http1Parser::Events events;
  events.on_head = [this](Http1Head head) { HandleHead(std::move(head)); };
  events.on_body = [this](std::string_view body_data) {
    HandleBody(body_data);
  };
  events.on_complete = [this] { response_complete_ = true; };
  response_complete_ = false;
  body_too_large_ = false;
  skipping_ = false;
  parser_ = std::make_unique<Http1Parser>(Http1Parser::Kind::kResponse,
                                          kMaxResponseHeadBytes, events);
  if (options_.head_request) parser_->SkipBodies();
}

void Http1Connection::HandleEvent(short what) {
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    connected_ = true;
    connect_deadline_.Cancel();
    SetSocketOptions(bufferevent_getfd(bev_));
    bufferevent_enable(bev_, EV_READ | EV_WRITE);
    request_written_ = true;
    bufferevent_write(bev_, request_bytes_.data(), request_bytes_.size());
    request_bytes_.clear();
    return;
  }
  if (!busy_) {
    client_->RemoveIdle(this);
    Close();
    return;
  }
  if (!connected_) {
    result_.refused = EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
    return Finish(CallEnd::kNotSent);
  }
  bool clean_close =
      (what & BEV_EVENT_EOF) != 0 && (what & BEV_EVENT_ERROR) == 0;
  if (clean_close && result_.head && result_.head->close_delimited) {
    parser_->ParseEnd();
    result_.ended_by_close = true;
    if (response_complete_) return Finish(CallEnd::kComplete);
  }
  Finish(CallEnd::kConnectionLost);
}

void Http1Connection::Read() {
  evbuffer* in = bufferevent_get_input(bev_);
  if (!busy_) {
    // Data received while no call is active belongs to no request.
    client_->RemoveIdle(this);
    Close();
    return;
  }
  RestartStallTimer();
  while (busy_ && bev_ != nullptr) {
    size_t n = evbuffer_get_contiguous_space(in);
    if (n == 0) return;
    auto* data = reinterpret_cast<char*>(evbuffer_pullup(in, n));
    parsing_ = true;
    size_t used = parser_->Parse({data, n});
    parsing_ = false;
    // A callback of the call has cancelled it.
    if (!busy_) return Close();
    evbuffer_drain(in, used);
    if (parser_->failed() || body_too_large_)
      return Finish(CallEnd::kMalformed);
    if (response_complete_) FinishResponse();
  }
}

void Http1Connection::HandleHead(Http1Head head) {
  constexpr int kFirstFinalStatus = 200;
  skipping_ = head.status < kFirstFinalStatus;
  if (!skipping_ && !options_.echo_header.empty()) {
    auto echo = head.headers.Find(options_.echo_header);
    skipping_ = echo.has_value() && *echo != options_.echo_value;
    result_.may_be_of_earlier_call = !echo && call_number_ > 1;
    if (skipping_) ++client_->stats_.responses_skipped;
  }
  if (skipping_) return;
  result_.head = std::move(head);
  // The callback may cancel the call, so it runs from a copy.
  auto on_head = events_.on_head;
  if (on_head) on_head(*result_.head);
}

void Http1Connection::HandleBody(std::string_view body_data) {
  if (skipping_ || !busy_) return;
  if (events_.on_data) {
    auto on_data = events_.on_data;
    return on_data(body_data);
  }
  if (body_data.size() > options_.max_body_bytes - result_.body.size())
    body_too_large_ = true;
  if (!body_too_large_) result_.body.append(body_data);
}

void Http1Connection::FinishResponse() {
  if (skipping_) return StartParser();
  Finish(CallEnd::kComplete);
}

void Http1Connection::Finish(CallEnd end) {
  if (!busy_) return;
  busy_ = false;
  deadline_.Cancel();
  stall_deadline_.Cancel();
  connect_deadline_.Cancel();
  auto self = shared_from_this();
  client_->busy_.erase(self);
  if (!RequestWritten() && end != CallEnd::kNotSent) end = CallEnd::kNotSent;
  // When a request is not written completely, the server would read the rest of
  // it as the next request.
  bool reusable = end == CallEnd::kComplete && result_.head->keep_alive &&
                  !result_.ended_by_close &&
                  evbuffer_get_length(bufferevent_get_output(bev_)) == 0 &&
                  evbuffer_get_length(bufferevent_get_input(bev_)) == 0;
  if (reusable) {
    // The call may have stopped reading.
    bufferevent_enable(bev_, EV_READ);
    client_->ReturnToPool(self, ReuseDuration(result_.head->headers));
  } else {
    Close();
  }
  result_.end = end;
  CallEvents events = std::move(events_);
  events_ = CallEvents();
  if (events.on_end) events.on_end(std::move(result_));
}

void Http1Connection::CancelCall(uint64_t number) {
  if (!busy_ || number != call_number_) return;
  busy_ = false;
  events_ = CallEvents();
  auto self = shared_from_this();
  client_->busy_.erase(self);
  // While the parser is reading the buffer, Read closes the connection after
  // the parser returns.
  if (!parsing_) Close();
}

void Http1Connection::SetReading(uint64_t number, bool reading) {
  if (!busy_ || number != call_number_ || bev_ == nullptr) return;
  if (reading) {
    bufferevent_enable(bev_, EV_READ);
  } else {
    bufferevent_disable(bev_, EV_READ);
  }
}

void Http1Connection::Close() {
  deadline_.Cancel();
  connect_deadline_.Cancel();
  if (bev_ != nullptr) bufferevent_free(bev_);
  bev_ = nullptr;
  busy_ = false;
}

Http1Call::~Http1Call() {
  if (auto connection = connection_.lock()) connection->CancelCall(number_);
}

void Http1Call::SetReading(bool reading) {
  if (auto connection = connection_.lock())
    connection->SetReading(number_, reading);
}

Http1Client::Http1Client(EventLoop* loop) : loop_(loop) {
  sweep_timer_ = loop_->Every(kSweepPeriod, [this] { Sweep(); });
}

Http1Client::~Http1Client() = default;

std::unique_ptr<Http1Call> Http1Client::Send(const Endpoint& endpoint,
                                             const HttpRequest& request,
                                             const CallOptions& options,
                                             CallEvents events) {
  CallOptions call = options;
  call.head_request = request.method == "HEAD";
  std::shared_ptr<Http1Connection> connection;
  auto it = idle_.find(endpoint);
  if (!options.fresh_connection && it != idle_.end() && !it->second.empty()) {
    // The most recently used connection is the least likely to be closed by the
    // server.
    connection = std::move(it->second.back().connection);
    it->second.pop_back();
  }
  if (connection == nullptr) {
    connection = std::make_shared<Http1Connection>(this, loop_, endpoint);
  }
  busy_.insert(connection);
  connection->StartCall(Serialize(request, endpoint), call, std::move(events));
  return std::make_unique<Http1Call>(connection, connection->call_number());
}

void Http1Client::ReturnToPool(
    const std::shared_ptr<Http1Connection>& connection,
    Milliseconds reuse_for) {
  idle_[connection->endpoint()].push_back(
      {connection, EventLoop::Now() + reuse_for});
}

void Http1Client::RemoveIdle(Http1Connection* connection) {
  auto it = idle_.find(connection->endpoint());
  if (it == idle_.end()) return;
  std::erase_if(it->second, [connection](const Idle& idle) {
    return idle.connection.get() == connection;
  });
}

void Http1Client::DropIdle(const Endpoint& endpoint) { idle_.erase(endpoint); }

void Http1Client::Sweep() {
  SteadyTime now = EventLoop::Now();
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second,
                  [now](const Idle& idle) { return idle.expires <= now; });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace primrosecove
