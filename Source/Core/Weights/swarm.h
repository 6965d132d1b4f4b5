// Moves weights: from the origin once, then between the hosts that serve them.
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
#include "Core/Weights/swarm_object.h"
#include "Core/Weights/swarm_policy.h"
#include "Core/Weights/swarm_uploads.h"

namespace primrosecove {

/// Bounds of a host's transfers.
struct SwarmOptions {
  uint64_t memory_bytes = 1ULL << 30;
  uint64_t link_bytes_per_second =
      0;  ///< Of this host, each way; 0 for no limit.
  uint64_t origin_bytes_per_second =
      0;  ///< Of the origin, shared by its fetchers.
};

/// Counters for metrics and for checking that what was received was sent.
struct SwarmCounters {
  uint64_t chunk_bytes_from_peers = 0;
  uint64_t chunk_bytes_from_origin = 0;
  uint64_t duplicate_bytes = 0;
  uint64_t corrupt_chunks = 0;
  uint64_t busy_responses = 0;
};

/// The exchange of one host. Use it on its loop's thread only.
class Swarm {
 public:
  /// Reports the end of a transfer: all chunks are here and verified, or why it
  /// cannot go on.
  using DoneCallback =
      std::function<void(const Digest& manifest, Result<void>)>;

  Swarm(EventLoop* loop, PeerService* peers, Origin* origin, SwarmMember self,
        SwarmOptions options, SwarmPolicy policy, DoneCallback on_done);

  /// Sets the processes that take part, this one included.
  void SetMembers(std::vector<SwarmMember> members);
  /// Changes the links' contracts.
  void SetLinks(uint64_t link_bytes_per_second,
                uint64_t origin_bytes_per_second);
  /// Starts to fetch weights; harmless when they are here or on their way.
  void StartFetch(const Digest& manifest);
  /// Forgets weights: stops their transfer and drops chunks that no others
  /// share.
  void Remove(const Digest& manifest);
  /// Weights known here, complete or not.
  std::vector<Digest> KnownManifests() const;
  bool IsComplete(const Digest& manifest) const;
  /// The manifest, when it has arrived; valid until Drop.
  const Manifest* FindManifest(const Digest& manifest) const;
  /// Share of the chunks that are here, 0 to 100.
  uint8_t PercentComplete(const Digest& manifest) const;
  const ChunkStore& store() const { return store_; }
  /// Counts bytes that live requests have put on the link; transfers yield to
  /// them.
  void ChargeLink(uint64_t bytes);
  const SwarmCounters& counters() const { return counters_; }
  uint64_t bytes_sent() const { return uploads_.bytes_sent(); }

 private:
  struct OriginRequest {
    std::unique_ptr<OriginFetch> fetch;
  };
  using OriginKey = std::pair<Digest, uint32_t>;

  void OnPeerConnected(Peer* peer);
  void OnPeerLost(Peer* peer);
  void OnManifestRequest(Peer* peer, std::string_view payload);
  void OnManifest(std::string_view payload);
  void OnHave(Peer* peer, std::string_view payload);
  void OnHaveMore(Peer* peer, std::string_view payload);
  void OnChunkRequest(Peer* peer, std::string_view payload);
  void OnChunk(Peer* peer, std::string_view payload);
  void OnBusy(Peer* peer, std::string_view payload);
  void OnCancel(Peer* peer, std::string_view payload);

  void Tick();
  void EnsureNeighbours();
  void AskForManifest(SwarmObject* object);
  void TakeManifest(const Digest& digest, std::string text);
  void SendHave(Peer* peer, const SwarmObject& object, bool reply_wanted);
  void FlushHaves();
  void TakeChunk(SwarmObject* object, uint32_t chunk, std::string bytes,
                 Peer* from);
  void Pump();
  void PumpPeers(SwarmObject* object);
  bool RequestFromBestPeer(SwarmObject* object);
  void PumpOrigin(SwarmObject* object);
  const std::vector<std::string>& Ranked(const Digest& manifest);
  size_t RankOfSelf(const Digest& manifest);
  void FetchFromOrigin(SwarmObject* object, uint32_t chunk);
  void OnOriginFailure(const Digest& manifest, uint32_t chunk,
                       const OriginFailure& failure);
  void Exclude(Peer* peer, const std::string& why);
  bool TakeDownlink(const SwarmObject& object, uint32_t chunk);
  void PumpLater(Milliseconds delay);
  SwarmObject* Find(const Digest& manifest);
  Milliseconds ChunkTime(const SwarmObject& object) const;

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
  // Members by rank for each of the weights; rebuilt when the members change.
  std::map<Digest, std::vector<std::string>> ranked_;
  std::map<Digest, SwarmObject> objects_;
  std::map<Digest, std::vector<uint32_t>> unsent_haves_;
  std::map<OriginKey, OriginRequest> origin_requests_;
  std::map<Digest, std::unique_ptr<OriginFetch>> manifest_fetches_;
  std::map<Digest, SteadyTime> manifest_wanted_since_;
  std::map<std::string, SteadyTime, std::less<>> busy_until_;
  std::map<std::string, uint32_t, std::less<>> reported_queue_;
  std::map<std::string, SteadyTime, std::less<>> excluded_until_;
  SteadyTime origin_backoff_until_;
  Milliseconds origin_backoff_{0};
  std::mt19937_64 random_;
  SwarmCounters counters_;
  Timer tick_timer_;
  Timer pump_timer_;
  Timer have_timer_;
};

}  // namespace primrosecove
