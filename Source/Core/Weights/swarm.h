// Distributes weights: fetched from the origin once, then exchanged between the
// hosts that serve them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Core/Net/token_bucket.h"
#include "Core/Peering/peer_service.h"
#include "Core/Platform/origin.h"
#include "Core/Weights/chunk_store.h"
#include "Core/Weights/swarm_policy.h"
#include "Core/Weights/swarm_transfer.h"
#include "Core/Weights/swarm_uploads.h"

namespace primrosecove {

/// Limits of a host's transfers.
struct SwarmOptions {
  uint64_t memory_bytes = 1ULL << 30;
  uint64_t link_bytes_per_second =
      0;  ///< Of this host's link, in each direction; 0 means no limit.
  uint64_t origin_bytes_per_second =
      0;  ///< Of the origin's link, shared by the members that fetch from it.
};

/// Counters for metrics, and for tests that compare the bytes sent with the
/// bytes received.
struct SwarmCounters {
  uint64_t chunk_bytes_from_peers = 0;
  uint64_t chunk_bytes_from_origin = 0;
  uint64_t duplicate_bytes = 0;
  uint64_t corrupt_chunks = 0;
  uint64_t busy_responses = 0;
};

/// A member of the swarm: fetches and serves the chunks of weights for one
/// host. Use it on its loop's thread only.
class Swarm {
 public:
  /// Called at the end of a transfer, with success when all chunks are stored
  /// and verified, or with the error that stopped it.
  using DoneCallback =
      std::function<void(const Digest& manifest, Result<void>)>;

  Swarm(EventLoop* loop, PeerService* peers, Origin* origin, SwarmMember self,
        SwarmOptions options, SwarmPolicy policy, DoneCallback on_done);

  /// Sets the members of the swarm, including this one.
  void SetMembers(std::vector<SwarmMember> members);
  /// Sets the bandwidth limits of this host's link and of the origin.
  void SetLinks(uint64_t link_bytes_per_second,
                uint64_t origin_bytes_per_second);
  /// Starts fetching weights; no effect when they are complete or being
  /// fetched.
  void StartFetch(const Digest& manifest);
  /// Removes weights: stops their transfer and drops the chunks that no other
  /// weights share.
  void Remove(const Digest& manifest);
  /// Digests of all weights that were started and not removed, complete or not.
  std::vector<Digest> KnownManifests() const;
  bool IsComplete(const Digest& manifest) const;
  /// The manifest, or null until it has been received; valid until Remove.
  const Manifest* FindManifest(const Digest& manifest) const;
  /// Percentage of the chunks that are stored, 0 to 100.
  uint8_t PercentComplete(const Digest& manifest) const;
  const ChunkStore& store() const { return store_; }
  /// Charges bytes that requests in service have sent over the link; transfers
  /// yield to them.
  void ChargeLink(uint64_t bytes);
  const SwarmCounters& counters() const { return counters_; }
  uint64_t bytes_sent() const { return uploads_.bytes_sent(); }

 private:
  struct OriginRequest {
    std::unique_ptr<OriginFetch> fetch;
  };
  using OriginKey = std::pair<Digest, uint32_t>;

  void OnPeerConnected(Peer* peer);
  void OnPeerDisconnected(Peer* peer);
  void OnManifestRequest(Peer* peer, std::string_view payload);
  void OnManifest(std::string_view payload);
  void OnHave(Peer* peer, std::string_view payload);
  void OnHaveUpdate(Peer* peer, std::string_view payload);
  void OnChunkRequest(Peer* peer, std::string_view payload);
  void OnChunk(Peer* peer, std::string_view payload);
  void OnBusy(Peer* peer, std::string_view payload);
  void OnCancel(Peer* peer, std::string_view payload);

  void Tick();
  void EnsureNeighbours();
  void RequestManifest(SwarmTransfer* transfer);
  void ApplyManifest(const Digest& digest, std::string text);
  void SendHave(Peer* peer, const SwarmTransfer& transfer, bool reply_wanted);
  void FlushHaves();
  void StoreChunk(SwarmTransfer* transfer, uint32_t chunk, std::string bytes,
                  Peer* from);
  void RequestChunks();
  void RequestFromPeers(SwarmTransfer* transfer);
  bool RequestFromBestPeer(SwarmTransfer* transfer);
  void RequestFromOrigin(SwarmTransfer* transfer);
  const std::vector<std::string>& RankedMembers(const Digest& manifest);
  size_t RankOfSelf(const Digest& manifest);
  void FetchFromOrigin(SwarmTransfer* transfer, uint32_t chunk);
  void OnOriginFailure(const Digest& manifest, uint32_t chunk,
                       const OriginFailure& failure);
  void Exclude(Peer* peer, const std::string& reason);
  bool ReserveDownlink(const SwarmTransfer& transfer, uint32_t chunk);
  void ScheduleRequests(Milliseconds delay);
  SwarmTransfer* Find(const Digest& manifest);
  Milliseconds ChunkTime(const SwarmTransfer& transfer) const;

  EventLoop* loop_;
  PeerService* peers_;
  Origin* origin_;
  SwarmMember self_;
  SwarmOptions options_;
  SwarmPolicy policy_;
  DoneCallback on_done_;
  ChunkStore store_;
  TokenBucket uplink_;
  TokenBucket downlink_;
  TokenBucket origin_share_;
  SwarmUploads uploads_;
  std::vector<SwarmMember> members_;
  // Members by rank for each set of weights; rebuilt when the members change.
  std::map<Digest, std::vector<std::string>> ranked_members_;
  std::map<Digest, SwarmTransfer> transfers_;
  std::map<Digest, std::vector<uint32_t>> unsent_haves_;
  std::map<OriginKey, OriginRequest> origin_requests_;
  std::map<Digest, std::unique_ptr<OriginFetch>> manifest_fetches_;
  std::map<Digest, SteadyTime> manifest_requested_since_;
  std::map<std::string, SteadyTime, std::less<>> busy_until_;
  std::map<std::string, uint32_t, std::less<>> reported_queue_;
  std::map<std::string, SteadyTime, std::less<>> excluded_until_;
  SteadyTime origin_backoff_until_;
  Milliseconds origin_backoff_{0};
  std::mt19937_64 random_;
  SwarmCounters counters_;
  Timer tick_timer_;
  Timer request_timer_;
  Timer have_timer_;
};

}  // namespace primrosecove
