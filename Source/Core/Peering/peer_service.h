// Manages connections to peers: opens, accepts and identifies them, and
// dispatches frames to handlers.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Net/frame_channel.h"
#include "Core/Peering/peer_messages.h"

namespace primrosecove {

/// An identified peer with its connection. Valid until the disconnected
/// handlers have run for it.
struct Peer {
  std::string name;
  uint64_t incarnation = 0;
  std::shared_ptr<FrameChannel> channel;
};

/// Keeps at most one identified connection to each peer. Use it on its loop's
/// thread only.
class PeerService {
 public:
  using FrameHandler =
      std::function<void(Peer* peer, std::string_view payload)>;
  using PeerHandler = std::function<void(Peer* peer)>;

  PeerService(EventLoop* loop, const KeyRing* keys, IdentifyMessage self);
  ~PeerService();
  /// Listens on `endpoint`. Fails with kUnavailable when the address is in use.
  Result<void> Listen(const Endpoint& endpoint);
  /// Dispatches frames of `type` to `handler`. Call it before Listen.
  void RegisterHandler(PeerFrameType type, FrameHandler handler);
  /// Registers a handler that runs when a peer has been identified or
  /// disconnected. Call them before Listen.
  void AddConnectedHandler(PeerHandler handler) {
    connected_handlers_.push_back(std::move(handler));
  }
  void AddDisconnectedHandler(PeerHandler handler) {
    disconnected_handlers_.push_back(std::move(handler));
  }
  /// Opens a connection unless there is one to the endpoint. A failed attempt
  /// is not retried automatically.
  void Connect(const Endpoint& endpoint);
  /// Closes the connection to a peer; the disconnected handlers run.
  void Disconnect(std::string_view name);
  Peer* Find(std::string_view name);
  /// The identified peer at an address, or null.
  Peer* FindByEndpoint(const Endpoint& endpoint);
  std::vector<Peer*> Peers();
  /// Bytes received from peers since the start, including closed connections.
  uint64_t bytes_received() const;

 private:
  struct Connection {
    Peer peer;
    bool identified = false;
  };
  void AddConnection(std::shared_ptr<FrameChannel> channel);
  void OnFrame(FrameChannel* channel, const Frame& frame);
  void HandleIdentify(Connection* connection, std::string_view payload);
  bool IsPreferred(const Peer& candidate, const Peer& existing) const;
  void Remove(FrameChannel* channel);

  EventLoop* loop_;
  const KeyRing* keys_;
  IdentifyMessage self_;
  FrameListener listener_;
  std::map<FrameChannel*, Connection> connections_;
  std::map<uint8_t, FrameHandler> handlers_;
  std::vector<PeerHandler> connected_handlers_;
  std::vector<PeerHandler> disconnected_handlers_;
  uint64_t closed_connections_bytes_ = 0;
};

}  // namespace primrosecove
