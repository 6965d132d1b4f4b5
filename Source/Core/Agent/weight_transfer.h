// Fetches one version of a model's weights into memory from the engine on this
// host, from peers and from the origin.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Core/Fleet/chunk_mismatches.h"
#include "Core/Fleet/chunk_planner.h"
#include "Core/Fleet/fleet_messages.h"
#include "Core/Fleet/manifest_agreement.h"
#include "Core/Fleet/transfer_pacing.h"
#include "Core/Fleet/weight_copy.h"
#include "Core/Net/http1_calls.h"
#include "platform/engine_and_origin_client.h"

namespace primrosecove {

/// Counters for the metrics endpoint.
struct TransferCounters {
  uint64_t origin_bytes = 0;
  uint64_t peer_bytes = 0;
  uint64_t corrupt_chunks = 0;
  uint64_t rejected_manifests = 0;
  uint64_t doubted_manifests = 0;
  uint64_t replaced_manifests = 0;
};

/// State that all transfers of an agent share. All pointers outlive them.
struct TransferContext {
  EventLoop* loop = nullptr;
  Http1Client* client = nullptr;
  const HostSettings* settings = nullptr;
  const DeploymentUpdate* update = nullptr;  ///< Newest update.
  const std::string* self = nullptr;         ///< This upstream's id.
  FetchPacer* pacer = nullptr;  ///< Paces fetches on the host's link.
  TransferCounters* counters = nullptr;
};

/// Use it on its loop's thread only.
class WeightTransfer {
 public:
  struct Events {
    std::function<void(uint32_t n)> on_chunk;
    std::function<void()> on_complete;
  };

  /// With `read_engine`, chunks that are already staged at the engine are
  /// reused.
  WeightTransfer(const TransferContext& context, std::string model,
                 uint64_t version, bool read_engine, Events events);
  ~WeightTransfer();

  void Start();
  /// Plans the missing chunks again; call it several times a second.
  void Refresh();
  /// Sets whether chunks are fetched from peers, as they are at first. Without,
  /// only those that this agent fetches from the origin arrive.
  void SetUsesPeers(bool uses_peers);
  const WeightCopy& copy() const { return copy_; }

 private:
  struct Feed;
  struct Fetch;

  ChunkPlanInput MakePlanInput();
  const FleetMember* FindMember(const std::string& id) const;
  void FetchManifest();
  void FetchManifestFromOrigin();
  void FetchManifestFromPeer(const FleetMember& peer);
  std::string ChooseManifestSource();
  Milliseconds RetryDelay();
  Milliseconds ChunkTimeout() const;
  // Returns the digests of a manifest that describes this version as the
  // configuration does.
  Result<std::vector<Digest>> ReadManifest(
      const platform::WeightManifest& manifest) const;
  void OnOriginManifest(Result<std::vector<Digest>> digests);
  void OnManifest(Result<std::vector<Digest>> digests, const char* source);
  void RetryManifest(const Error& error, const char* source);
  // Reads the manifest again, because the same bytes of chunk `n` have arrived
  // twice and do not match it.
  void DoubtManifest(uint32_t n);
  // The origin has stated the digests of this copy again.
  void OnManifestConfirmed();
  void ReadEngine();
  void OnEngineChunk(uint32_t n, Result<std::string> bytes);
  void Plan();
  // Time since the remaining chunks should have been available somewhere; 0 if
  // they are not overdue.
  Milliseconds OverdueTime();
  // Number of chunks that some member has.
  size_t CountAvailable() const;
  // Whether a peer offers chunk `n`.
  bool IsOffered(uint32_t n) const;
  // Time for which only other zones have offered chunk `n`.
  Milliseconds UnimportedTime(uint32_t n, const ChunkSources& before);
  // Whether chunk `n` is missing, offered by no peer, and another member's to
  // fetch from the origin.
  bool IsAwaited(uint32_t n, const ChunkSources& sources) const;
  // Begins to help when no chunk becomes available any more, although this
  // agent has its own share of those that come from the origin: it fetches the
  // awaited ones from there, too, one by one in a random order. While the
  // origin is unavailable, that is one call.
  void CheckProgress();
  // Chooses the next chunk to help with.
  void ChooseHelp();
  void SubscribeToPeer(const FleetMember& member);
  void OnFeedData(const std::string& id, std::string_view bytes);
  void FetchNext();
  std::string ChooseSource(uint32_t n);
  std::string ChooseLeastBusy(const std::vector<std::string>& peers, uint32_t n,
                              size_t* holders);
  void FetchFromPeer(const FleetMember& member, uint32_t n);
  void OnFetchEnd(uint32_t n, const CallResult& result);
  void FetchFromOrigin();
  void AvoidPeer(const std::string& id, const char* why);
  // Adds a chunk that a peer or, if `peer` is empty, the origin has sent.
  void AddChunk(uint32_t n, std::string bytes, const std::string& peer);
  void OnMismatch(uint32_t n, std::string_view bytes, const std::string& peer);
  void CheckComplete();

  TransferContext context_;
  WeightCopy copy_;
  bool read_engine_;
  bool uses_peers_ = true;
  Events events_;
  platform::OriginClient origin_;
  platform::LocalEngineClient engine_;
  Http1Calls peer_calls_;
  SteadyTime started_at_ = EventLoop::Now();
  bool manifest_in_flight_ = false;
  int manifest_tries_ = 0;
  ManifestAgreement manifest_agreement_;
  ChunkMismatches mismatches_;
  /// The manifest is not doubted again before.
  SteadyTime next_doubt_at_{};
  Milliseconds doubt_interval_;
  uint32_t engine_next_ = 0;
  uint32_t engine_pending_ = 0;
  uint32_t engine_missing_ = 0;
  /// Chunks that each peer has, from its feed connection.
  std::map<std::string, std::unique_ptr<Feed>> feeds_;
  std::map<uint32_t, std::unique_ptr<Fetch>> fetches_;  ///< By chunk number.
  std::map<uint32_t, ChunkSources> plan_;  ///< Sources of missing chunks.
  /// When each peer was first asked for the chunks that it has.
  std::map<std::string, SteadyTime> asked_at_;
  size_t available_count_ = 0;  ///< As of the latest plan.
  SteadyTime progress_at_{};    ///< When it rose last.
  size_t fetcher_group_ = 0;    ///< As of the latest plan.
  bool helping_ = false;
  std::optional<uint32_t> help_;  ///< Chunk that this agent helps with.
  /// Since when only other zones offer each chunk.
  std::map<uint32_t, SteadyTime> unimported_since_;
  /// When each chunk was first available in this zone.
  std::map<uint32_t, SteadyTime> available_since_;
  /// When half of kMostChunks was available.
  std::optional<SteadyTime> half_available_at_;
  std::optional<SteadyTime> mostly_available_at_;
  std::minstd_rand random_engine_;
  std::set<uint32_t> origin_in_flight_;
  std::map<std::string, SteadyTime> avoided_until_;
  std::set<std::string> avoided_;
  bool completion_reported_ = false;
  Timer retry_timer_;
  Timer fetch_timer_;
  Timer origin_timer_;
};

}  // namespace primrosecove
