#include "Core/Weights/swarm_uploads.h"

#include <algorithm>
#include <utility>

namespace primrosecove {
namespace {

// Requests that wait at a sender. A longer queue only holds requests back from
// idle senders.
constexpr size_t kMaxQueued = 6;
// Bytes that may wait on one connection before its peer is passed over.
constexpr size_t kMaxPendingBytes = 8 << 20;
// When every queue is blocked by its connection, they are looked at again after
// this.
constexpr Milliseconds kBlockedRetry{20};

bool SameChunk(const ChunkName& a, const ChunkName& b) {
  return a.chunk == b.chunk && a.manifest == b.manifest;
}

}  // namespace

SwarmUploads::SwarmUploads(EventLoop* loop, PeerService* peers,
                           TokenBucket* uplink, Lookup lookup)
    : loop_(loop), peers_(peers), uplink_(uplink), lookup_(std::move(lookup)) {}

bool SwarmUploads::Enqueue(const std::string& peer, const ChunkName& chunk) {
  if (queued_ >= kMaxQueued) return false;
  auto it = std::find_if(queues_.begin(), queues_.end(),
                         [&](const Queue& q) { return q.peer == peer; });
  if (it == queues_.end()) it = queues_.insert(queues_.end(), Queue{peer, {}});
  it->chunks.push_back(chunk);
  ++queued_;
  if (!pump_timer_.pending()) Pump();
  return true;
}

void SwarmUploads::Cancel(const std::string& peer, const ChunkName& chunk) {
  for (Queue& it : queues_) {
    if (it.peer != peer) continue;
    queued_ -= std::erase_if(
        it.chunks, [&](const ChunkName& c) { return SameChunk(c, chunk); });
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

// Sends the first chunk that can go; returns false when none can.
bool SwarmUploads::SendOne() {
  for (size_t turn = 0; turn < queues_.size(); ++turn) {
    Queue& queue = queues_.front();
    Peer* peer = peers_->Find(queue.peer);
    bool blocked =
        peer == nullptr || peer->channel->pending_bytes() > kMaxPendingBytes;
    if (queue.chunks.empty() || blocked) {
      queues_.splice(queues_.end(), queues_, queues_.begin());
      continue;
    }
    ChunkName chunk = queue.chunks.front();
    auto bytes = lookup_(chunk);
    if (bytes != nullptr &&
        !uplink_->TryTake(static_cast<double>(bytes->size()),
                          EventLoop::Now())) {
      pump_timer_ = loop_->After(
          uplink_->Wait(static_cast<double>(bytes->size()), EventLoop::Now()),
          [this] { Pump(); });
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
    pump_timer_ = loop_->After(kBlockedRetry, [this] { Pump(); });
  return false;
}

void SwarmUploads::Pump() {
  pump_timer_.Cancel();
  while (queued_ > 0 && SendOne()) {
  }
}

}  // namespace primrosecove
