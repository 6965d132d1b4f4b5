// Authenticated connections for frames between the system's processes.
#pragma once

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Core/Common/error.h"
#include "Core/Net/endpoint.h"
#include "Core/Net/event_loop.h"
#include "Core/Net/frame_codec.h"
#include "Core/Net/key_ring.h"

namespace primrosecove {

/// Bounds a frame's payload; leaves room for a chunk of weights and its header.
constexpr uint32_t kMaxFramePayloadBytes = 5 << 20;

/// A connection between two processes. Both sides prove possession of a shared
/// key by challenge and response (HMAC over two nonces) before any frame is
/// delivered. A malformed or unauthenticated frame closes the connection with
/// one log line. Use it on its loop's thread only.
class FrameChannel : public std::enable_shared_from_this<FrameChannel> {
 public:
  struct Callbacks {
    std::function<void()> on_ready;  ///< Both sides are authenticated.
    std::function<void(const Frame&)> on_frame;
    std::function<void()> on_closed;  ///< Runs once, unless Close was called.
    std::function<void()>
        on_drained;  ///< All queued bytes have been written to the socket.
  };

  /// Opens a connection to `remote`.
  static std::shared_ptr<FrameChannel> Connect(EventLoop* loop,
                                               const KeyRing* keys,
                                               const Endpoint& remote);
  /// Takes ownership of the accepted socket `fd`.
  static std::shared_ptr<FrameChannel> Accept(EventLoop* loop,
                                              const KeyRing* keys,
                                              evutil_socket_t fd,
                                              const Endpoint& remote);
  ~FrameChannel();
  FrameChannel(const FrameChannel&) = delete;
  FrameChannel& operator=(const FrameChannel&) = delete;

  void SetCallbacks(Callbacks callbacks) { callbacks_ = std::move(callbacks); }
  /// Queues a frame; the frame is dropped when the channel is not ready.
  void Send(uint8_t type, std::string_view payload);
  /// Closes the connection immediately; no callback runs afterwards.
  void Close();
  bool ready() const { return ready_; }
  /// Returns whether this side opened the connection.
  bool is_client() const { return is_client_; }
  bool closed() const { return bev_ == nullptr; }
  const Endpoint& remote() const { return remote_; }
  /// Returns the queued bytes that are not yet written to the socket.
  size_t pending_bytes() const;
  /// Returns the bytes received, including handshake and headers.
  uint64_t bytes_in() const { return bytes_in_; }

 private:
  FrameChannel(EventLoop* loop, const KeyRing* keys, Endpoint remote,
               bool is_client);
  static void OnRead(bufferevent* bev, void* arg);
  static void OnWrite(bufferevent* bev, void* arg);
  static void OnEvent(bufferevent* bev, short what, void* arg);
  void Start(evutil_socket_t fd);
  void ReadFrames();
  Result<void> HandleHandshake(const Frame& frame);
  Result<void> HandleHello(std::string_view payload);
  Result<void> HandleChallenge(std::string_view payload);
  Result<void> HandleProof(std::string_view payload);
  std::string ComputeProof(std::string_view label) const;
  void BecomeReady();
  void SendRaw(uint8_t type, std::string_view payload);
  void CloseWithError(std::string_view why);

  EventLoop* loop_;
  const KeyRing* keys_;
  Endpoint remote_;
  bool is_client_;
  bufferevent* bev_ = nullptr;
  FrameCodec encoder_{kMaxFramePayloadBytes};
  FrameCodec decoder_{kMaxFramePayloadBytes};
  std::string key_;
  std::string client_nonce_;
  std::string server_nonce_;
  bool ready_ = false;
  uint64_t bytes_in_ = 0;
  Callbacks callbacks_;
  Timer handshake_timeout_;
};

/// Accepts connections and passes each to the handler before its handshake.
class FrameListener {
 public:
  using Handler = std::function<void(std::shared_ptr<FrameChannel>)>;
  FrameListener(EventLoop* loop, const KeyRing* keys, Handler handler);
  ~FrameListener();
  FrameListener(const FrameListener&) = delete;
  FrameListener& operator=(const FrameListener&) = delete;
  /// Binds and listens; fails with kUnavailable when the address is in use.
  Result<void> Listen(const Endpoint& endpoint);

 private:
  static void OnAccept(evconnlistener* listener, evutil_socket_t fd,
                       sockaddr* address, int size, void* arg);
  EventLoop* loop_;
  const KeyRing* keys_;
  Handler handler_;
  evconnlistener* listener_ = nullptr;
};

}  // namespace primrosecove
