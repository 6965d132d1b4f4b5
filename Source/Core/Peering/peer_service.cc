#include "Core/Peering/peer_service.h"

#include <utility>

#include "Core/Common/log.h"

namespace primrosecove {

PeerService::PeerService(EventLoop* loop, const KeyRing* keys,
                         IdentifyMessage self)
    : loop_(loop),
      keys_(keys),
      self_(std::move(self)),
      listener_(loop, keys,
                [this](auto channel) { AddConnection(std::move(channel)); }) {}

PeerService::~PeerService() {
  for (auto& [channel, connection] : connections_) channel->Close();
}

Result<void> PeerService::Listen(const Endpoint& endpoint) {
  return listener_.Listen(endpoint);
}

void PeerService::RegisterHandler(PeerFrameType type, FrameHandler handler) {
  handlers_[static_cast<uint8_t>(type)] = std::move(handler);
}

void PeerService::Connect(const Endpoint& endpoint) {
  for (const auto& [channel, connection] : connections_) {
    if (channel->remote() == endpoint) return;
  }
  AddConnection(FrameChannel::Connect(loop_, keys_, endpoint));
}

void PeerService::AddConnection(std::shared_ptr<FrameChannel> channel) {
  FrameChannel* raw = channel.get();
  connections_[raw].peer.channel = std::move(channel);
  FrameChannel::Callbacks callbacks;
  callbacks.on_ready = [this, raw] {
    raw->Send(static_cast<uint8_t>(PeerFrameType::kIdentify), Encode(self_));
  };
  callbacks.on_frame = [this, raw](const Frame& frame) { OnFrame(raw, frame); };
  callbacks.on_closed = [this, raw] { Remove(raw); };
  raw->SetCallbacks(std::move(callbacks));
}

void PeerService::OnFrame(FrameChannel* channel, const Frame& frame) {
  auto it = connections_.find(channel);
  if (it == connections_.end()) return;
  if (frame.type == static_cast<uint8_t>(PeerFrameType::kIdentify)) {
    return HandleIdentify(&it->second, frame.payload);
  }
  if (!it->second.identified) return;
  auto handler = handlers_.find(frame.type);
  if (handler != handlers_.end())
    handler->second(&it->second.peer, frame.payload);
}

void PeerService::HandleIdentify(Connection* connection,
                                 std::string_view payload) {
  IdentifyMessage message;
  if (connection->identified || !Decode(payload, &message)) return;
  connection->peer.name = message.name;
  connection->peer.incarnation = message.incarnation;
  Peer* existing = Find(message.name);
  if (existing != nullptr && !IsPreferred(connection->peer, *existing)) {
    return Remove(connection->peer.channel.get());
  }
  if (existing != nullptr) Remove(existing->channel.get());
  connection->identified = true;
  for (const PeerHandler& it : connected_handlers_) it(&connection->peer);
}

// Two peers may connect to each other at the same time; both must then keep the
// same one of the two connections. The connection of a replacement process is
// always preferred over its predecessor's.
bool PeerService::IsPreferred(const Peer& candidate,
                              const Peer& existing) const {
  if (candidate.incarnation != existing.incarnation) {
    return candidate.incarnation > existing.incarnation;
  }
  if (candidate.channel->is_client() == existing.channel->is_client())
    return true;
  bool self_opens = self_.name < candidate.name;
  return candidate.channel->is_client() == self_opens;
}

void PeerService::Remove(FrameChannel* channel) {
  auto it = connections_.find(channel);
  if (it == connections_.end()) return;
  closed_connections_bytes_ += channel->bytes_in();
  // Handlers may look up the peer, so it is removed from the map first.
  auto node = connections_.extract(it);
  if (node.mapped().identified) {
    for (const PeerHandler& handler : disconnected_handlers_)
      handler(&node.mapped().peer);
  }
  channel->Close();
  // The channel may still be in use by callers on the stack.
  loop_->Post([keep = node.mapped().peer.channel] {});
}

void PeerService::Disconnect(std::string_view name) {
  Peer* peer = Find(name);
  if (peer != nullptr) Remove(peer->channel.get());
}

Peer* PeerService::Find(std::string_view name) {
  for (auto& [channel, connection] : connections_) {
    if (connection.identified && connection.peer.name == name)
      return &connection.peer;
  }
  return nullptr;
}

Peer* PeerService::FindByEndpoint(const Endpoint& endpoint) {
  for (auto& [channel, connection] : connections_) {
    if (connection.identified && channel->remote() == endpoint)
      return &connection.peer;
  }
  return nullptr;
}

std::vector<Peer*> PeerService::Peers() {
  std::vector<Peer*> out;
  for (auto& [channel, connection] : connections_) {
    if (connection.identified) out.push_back(&connection.peer);
  }
  return out;
}

uint64_t PeerService::bytes_received() const {
  uint64_t out = closed_connections_bytes_;
  for (const auto& [channel, connection] : connections_)
    out += channel->bytes_in();
  return out;
}

}  // namespace primrosecove
