#include "Core/Net/frame_channel.h"

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <cstring>
#include <utility>

#include "Core/Common/digest.h"
#include "Core/Common/log.h"

namespace primrosecove {
namespace {

constexpr size_t kNonceBytes = 16;
constexpr Milliseconds kHandshakeTimeout{3000};
// Bounds what an unauthenticated peer may send; handshake frames are far
// smaller than a chunk.
constexpr size_t kMaxHandshakeBytes = 256;

enum HandshakeType : uint8_t { kHello = 1, kChallenge = 2, kProof = 3 };
enum Direction : uint8_t { kToServer = 1, kToClient = 2 };

}  // namespace

FrameChannel::FrameChannel(EventLoop* loop, const KeyRing* keys,
                           Endpoint remote, bool is_client)
    : loop_(loop),
      keys_(keys),
      remote_(std::move(remote)),
      is_client_(is_client) {}

FrameChannel::~FrameChannel() { Close(); }

std::shared_ptr<FrameChannel> FrameChannel::Connect(EventLoop* loop,
                                                    const KeyRing* keys,
                                                    const Endpoint& remote) {
  std::shared_ptr<FrameChannel> out(new FrameChannel(loop, keys, remote, true));
  out->Start(-1);
  sockaddr_in address = remote.ToSockaddr();
  bufferevent_socket_connect(out->bev_, reinterpret_cast<sockaddr*>(&address),
                             sizeof(address));
  return out;
}

std::shared_ptr<FrameChannel> FrameChannel::Accept(EventLoop* loop,
                                                   const KeyRing* keys,
                                                   evutil_socket_t fd,
                                                   const Endpoint& remote) {
  std::shared_ptr<FrameChannel> out(
      new FrameChannel(loop, keys, remote, false));
  out->Start(fd);
  return out;
}

void FrameChannel::Start(evutil_socket_t fd) {
  bev_ = bufferevent_socket_new(
      loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(bev_, OnRead, OnWrite, OnEvent, this);
  bufferevent_enable(bev_, EV_READ | EV_WRITE);
  handshake_timeout_ = loop_->After(
      kHandshakeTimeout, [this] { CloseWithError("handshake timed out"); });
}

void FrameChannel::OnRead(bufferevent*, void* arg) {
  auto self = static_cast<FrameChannel*>(arg)->shared_from_this();
  self->ReadFrames();
}

void FrameChannel::OnWrite(bufferevent*, void* arg) {
  auto self = static_cast<FrameChannel*>(arg)->shared_from_this();
  auto callback = self->callbacks_.on_drained;
  if (self->ready_ && callback) callback();
}

void FrameChannel::OnEvent(bufferevent* bev, short what, void* arg) {
  auto self = static_cast<FrameChannel*>(arg)->shared_from_this();
  if (what & BEV_EVENT_CONNECTED) {
    int on = 1;
    setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on,
               sizeof(on));
    self->client_nonce_ = RandomBytes(kNonceBytes);
    self->SendRaw(kHello, self->keys_->SigningId() + self->client_nonce_);
    return;
  }
  self->CloseWithError("");
}

void FrameChannel::ReadFrames() {
  evbuffer* buf = bufferevent_get_input(bev_);
  while (bev_ != nullptr) {
    size_t n = evbuffer_get_length(buf);
    if (n < FrameCodec::kHeaderBytes) return;
    std::string_view header(reinterpret_cast<const char*>(
                                evbuffer_pullup(buf, FrameCodec::kHeaderBytes)),
                            FrameCodec::kHeaderBytes);
    // Only the header is contiguous here, and FrameSize reads only the length
    // in it.
    auto frame_size = decoder_.FrameSize(std::string_view(header.data(), n));
    if (!frame_size) return CloseWithError(frame_size.error().message);
    if (frame_size.value() == 0) {
      if (!ready_ && n > kMaxHandshakeBytes)
        CloseWithError("handshake frame is too large");
      return;
    }
    std::string_view bytes(
        reinterpret_cast<const char*>(
            evbuffer_pullup(buf, static_cast<ev_ssize_t>(frame_size.value()))),
        frame_size.value());
    bytes_in_ += bytes.size();
    auto frame = decoder_.Decode(bytes);
    if (!frame) return CloseWithError(frame.error().message);
    if (!ready_) {
      auto handled = HandleHandshake(frame.value());
      if (!handled) return CloseWithError(handled.error().message);
    } else if (callbacks_.on_frame) {
      auto callback = callbacks_.on_frame;
      callback(frame.value());
    }
    if (bev_ != nullptr) evbuffer_drain(buf, frame_size.value());
  }
}

Result<void> FrameChannel::HandleHandshake(const Frame& frame) {
  if (!is_client_ && frame.type == kHello && key_.empty())
    return HandleHello(frame.payload);
  if (is_client_ && frame.type == kChallenge && key_.empty())
    return HandleChallenge(frame.payload);
  if (!is_client_ && frame.type == kProof && !key_.empty())
    return HandleProof(frame.payload);
  return Fail(ErrorCode::kPermission,
              "unexpected frame before the peer is authenticated");
}

std::string FrameChannel::ComputeProof(std::string_view label) const {
  std::string message = std::string(label) + client_nonce_ + server_nonce_;
  return std::string(HmacSha256(key_, message).View());
}

Result<void> FrameChannel::HandleHello(std::string_view payload) {
  if (payload.size() != KeyRing::kIdBytes + kNonceBytes) {
    return Fail(ErrorCode::kPermission, "malformed hello");
  }
  const std::string* key =
      keys_->FindById(payload.substr(0, KeyRing::kIdBytes));
  if (key == nullptr)
    return Fail(ErrorCode::kPermission, "peer does not hold the shared key");
  key_ = *key;
  client_nonce_ = payload.substr(KeyRing::kIdBytes);
  server_nonce_ = RandomBytes(kNonceBytes);
  SendRaw(kChallenge, server_nonce_ + ComputeProof("server"));
  return outcome::success();
}

Result<void> FrameChannel::HandleChallenge(std::string_view payload) {
  if (payload.size() != kNonceBytes + Digest::kBytes) {
    return Fail(ErrorCode::kPermission, "malformed challenge");
  }
  key_ = keys_->signing_key();
  server_nonce_ = payload.substr(0, kNonceBytes);
  if (!ConstantTimeEqual(ComputeProof("server"), payload.substr(kNonceBytes))) {
    return Fail(ErrorCode::kPermission, "peer does not hold the shared key");
  }
  SendRaw(kProof, ComputeProof("client"));
  BecomeReady();
  return outcome::success();
}

Result<void> FrameChannel::HandleProof(std::string_view payload) {
  if (!ConstantTimeEqual(ComputeProof("client"), payload)) {
    return Fail(ErrorCode::kPermission, "peer does not hold the shared key");
  }
  BecomeReady();
  return outcome::success();
}

void FrameChannel::BecomeReady() {
  std::string session = ComputeProof("session");
  encoder_.SetKey(session, is_client_ ? kToServer : kToClient);
  decoder_.SetKey(session, is_client_ ? kToClient : kToServer);
  ready_ = true;
  handshake_timeout_.Cancel();
  auto callback = callbacks_.on_ready;
  if (callback) callback();
}

void FrameChannel::SendRaw(uint8_t type, std::string_view payload) {
  std::string bytes = encoder_.Encode(type, payload);
  bufferevent_write(bev_, bytes.data(), bytes.size());
}

void FrameChannel::Send(uint8_t type, std::string_view payload) {
  if (!ready_ || bev_ == nullptr) return;
  SendRaw(type, payload);
}

void FrameChannel::Close() {
  callbacks_ = {};
  handshake_timeout_.Cancel();
  ready_ = false;
  if (bev_ == nullptr) return;
  bufferevent_free(bev_);
  bev_ = nullptr;
}

void FrameChannel::CloseWithError(std::string_view why) {
  if (bev_ == nullptr) return;
  if (!why.empty())
    PC_WARN(kNet,
            "closed connection with " << remote_.ToString() << ": " << why);
  auto callback = callbacks_.on_closed;
  auto guard = shared_from_this();
  Close();
  if (callback) callback();
}

size_t FrameChannel::pending_bytes() const {
  return bev_ == nullptr ? 0
                         : evbuffer_get_length(bufferevent_get_output(bev_));
}

FrameListener::FrameListener(EventLoop* loop, const KeyRing* keys,
                             Handler handler)
    : loop_(loop), keys_(keys), handler_(std::move(handler)) {}

FrameListener::~FrameListener() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
}

Result<void> FrameListener::Listen(const Endpoint& endpoint) {
  constexpr int kBacklog = 512;
  sockaddr_in address = endpoint.ToSockaddr();
  listener_ = evconnlistener_new_bind(
      loop_->base(), OnAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      kBacklog, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (listener_ == nullptr) {
    return Fail(ErrorCode::kUnavailable, "cannot listen on " +
                                             endpoint.ToString() + ": " +
                                             std::strerror(errno));
  }
  return outcome::success();
}

void FrameListener::OnAccept(evconnlistener*, evutil_socket_t fd,
                             sockaddr* address, int, void* arg) {
  auto* self = static_cast<FrameListener*>(arg);
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  Endpoint remote =
      Endpoint::FromSockaddr(*reinterpret_cast<sockaddr_in*>(address));
  self->handler_(FrameChannel::Accept(self->loop_, self->keys_, fd, remote));
}

}  // namespace primrosecove
