#include "Core/Weights/swarm_uploads.h"

#include <algorithm>
#include <utility>

namespace primrosecove {
namespace {

// Maximum number of queued requests. A longer queue would keep requests waiting
// that idle senders could serve.
constexpr size_t kMaxQueued = 6;
// Unsent bytes on a connection beyond which its peer is skipped.
constexpr size_t kMaxPendingBytes = 8 << 20;
// Delay before a retry when every queue is blocked by its connection.
constexpr Milliseconds kBlockedRetry{20};

bool SameChunk(const ChunkId& a, const ChunkId& b) {
  return a.chunk == b.chunk && a.manifest == b.manifest;
}

}  // namespace

SwarmUploads::SwarmUploads(EventLoop* loop, PeerService* peers,
                           TokenBucket* uplink, Lookup lookup)
    : loop_(loop), peers_(peers), uplink_(uplink), lookup_(std::move(lookup)) {}

bool SwarmUploads::Enqueue(const std::string& peer, const ChunkId& chunk) {
  if (queued_ >= kMaxQueued) return false;
  auto it = std::find_if(queues_.begin(), queues_.end(),
                         [&](const Queue& q) { return q.peer == peer; });
  if (it == queues_.end()) it = queues_.insert(queues_.end(), Queue{peer, {}});
  it->chunks.push_back(chunk);
  ++queued_;
  if (!send_timer_.pending()) SendQueued();
  return true;
}

void SwarmUploads::Cancel(const std::string& peer, const ChunkId& chunk) {
  for (Queue& it : queues_) {
    if (it.peer != peer) continue;
    queued_ -= std::erase_if(
        it.chunks, [&](const ChunkId& c) { return SameChunk(c, chunk); });
  }
}

void SwarmUploads::RemovePeer(const std::string& peer) {
  for (auto it = queues_.begin(); it != queues_.end();) {
    if (it->peer != peer) {
      ++it;
      continue;
    }
    queued_ -= it->chunks.size();
    it = queues_.erase(it);
  }
}

// Handles the first request whose peer can receive data; returns false when no
// request can be handled now.
bool SwarmUploads::SendOne() {
  for (size_t i = 0; i < queues_.size(); ++i) {
    Queue& queue = queues_.front();
    Peer* peer = peers_->Find(queue.peer);
    bool blocked =
        peer == nullptr || peer->channel->pending_bytes() > kMaxPendingBytes;
    if (queue.chunks.empty() || blocked) {
      queues_.splice(queues_.end(), queues_, queues_.begin());
      continue;
    }
    ChunkId chunk = queue.chunks.front();
    auto bytes = lookup_(chunk);
    if (bytes != nullptr &&
        !uplink_->TryTake(static_cast<double>(bytes->size()),
                          EventLoop::Now())) {
      send_timer_ = loop_->After(
          uplink_->Wait(static_cast<double>(bytes->size()), EventLoop::Now()),
          [this] { SendQueued(); });
      return false;
    }
    queue.chunks.pop_front();
    --queued_;
    queues_.splice(queues_.end(), queues_, queues_.begin());
    if (bytes == nullptr) {
      peer->channel->Send(static_cast<uint8_t>(PeerFrameType::kBusy),
                          Encode(chunk));
      return true;
    }
    ChunkMessage message{chunk.manifest, chunk.chunk,
                         static_cast<uint32_t>(queued_), *bytes};
    peer->channel->Send(static_cast<uint8_t>(PeerFrameType::kChunk),
                        Encode(message));
    bytes_sent_ += bytes->size();
    return true;
  }
  if (queued_ > 0)
    send_timer_ = loop_->After(kBlockedRetry, [this] { SendQueued(); });
  return false;
}

void SwarmUploads::SendQueued() {
  send_timer_.Cancel();
  while (queued_ > 0 && SendOne()) {
  }
}

}  // namespace primrosecove
