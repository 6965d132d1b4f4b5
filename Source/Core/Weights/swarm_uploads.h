// The upload queue: sends the chunks that peers request, within the host's
// uplink limit.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "Core/Net/token_bucket.h"
#include "Core/Peering/peer_service.h"

namespace primrosecove {

/// Queues requests by peer and serves the peers round robin. Skips a peer whose
/// connection has too many unsent bytes. Use it on its loop's thread only.
class SwarmUploads {
 public:
  /// Finds a chunk's bytes, or returns null.
  using Lookup =
      std::function<std::shared_ptr<const std::string>(const ChunkId&)>;

  SwarmUploads(EventLoop* loop, PeerService* peers, TokenBucket* uplink,
               Lookup lookup);
  /// Queues a request; returns false when the queue is full.
  bool Enqueue(const std::string& peer, const ChunkId& chunk);
  void Cancel(const std::string& peer, const ChunkId& chunk);
  void RemovePeer(const std::string& peer);
  /// Number of queued requests.
  size_t queued() const { return queued_; }
  uint64_t bytes_sent() const { return bytes_sent_; }

 private:
  struct Queue {
    std::string peer;
    std::deque<ChunkId> chunks;
  };
  void SendQueued();
  bool SendOne();

  EventLoop* loop_;
  PeerService* peers_;
  TokenBucket* uplink_;
  Lookup lookup_;
  std::list<Queue> queues_;  // The next peer to serve is first.
  size_t queued_ = 0;
  uint64_t bytes_sent_ = 0;
  Timer send_timer_;
};

}  // namespace primrosecove
