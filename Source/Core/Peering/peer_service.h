// Connections to peers: opens, accepts, identifies, and hands frames to the
// parts that want them.
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

/// An identified peer with its connection. Valid while the service reports it
/// as connected.
struct Peer {
  std::string name;
  uint64_t incarnation = 0;
  std::shared_ptr<FrameChannel> channel;
};

/// Keeps at most one connection to each peer. Use it on its loop's thread only.
class PeerService {
 public:
  using FrameHandler =
      std::function<void(Peer* peer, std::string_view payload)>;
  using PeerHandler = std::function<void(Peer* peer)>;

  PeerService(EventLoop* loop, const KeyRing* keys, IdentifyMessage self);
  ~PeerService();
  /// Listens; fails with kUnavailable when the address is taken.
  Result<void> Listen(const Endpoint& endpoint);
  /// Hands frames of one type to `handler`. Call it before Listen.
  void RegisterHandler(PeerFrameType type, FrameHandler handler);
  /// Calls `handler` when a peer has been identified, or has been lost. Call it
  /// before Listen.
  void AddConnectedHandler(PeerHandler handler) {
    connected_handlers_.push_back(std::move(handler));
  }
  void AddDisconnectedHandler(PeerHandler handler) {
    lost_handlers_.push_back(std::move(handler));
  }
  /// Opens a connection unless there is one; a failed attempt is not repeated
  /// by itself.
  void Connect(const Endpoint& endpoint);
  /// Closes the connection to a peer; OnLost handlers run.
  void Disconnect(std::string_view name);
  Peer* Find(std::string_view name);
  /// The identified peer at an address, or null.
  Peer* FindByEndpoint(const Endpoint& endpoint);
  std::vector<Peer*> Peers();
  /// Bytes of frames received from peers since the start.
  uint64_t bytes_received() const;

 private:
  struct Connection {
    Peer peer;
    bool identified = false;
  };
  void Adopt(std::shared_ptr<FrameChannel> channel);
  void OnFrame(FrameChannel* channel, const Frame& frame);
  void Identify(Connection* connection, std::string_view payload);
  bool IsPreferred(const Peer& candidate, const Peer& existing) const;
  void Remove(FrameChannel* channel);

  EventLoop* loop_;
  const KeyRing* keys_;
  IdentifyMessage self_;
  FrameListener listener_;
  std::map<FrameChannel*, Connection> connections_;
  std::map<uint8_t, FrameHandler> handlers_;
  std::vector<PeerHandler> connected_handlers_;
  std::vector<PeerHandler> lost_handlers_;
  uint64_t bytes_of_closed_ = 0;
};

}  // namespace primrosecove
