// Brings one version of a model's weights into this process's memory, from the
// engine beside it, from peers and from the origin.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Core/Fleet/chunk_planner.h"
#include "Core/Fleet/fleet_messages.h"
#include "Core/Fleet/transfer_pacing.h"
#include "Core/Fleet/weight_copy.h"
#include "Core/Net/http1_calls.h"
#include "platform/engine_and_origin_client.h"

namespace primrosecove {

/// Counts that the metrics page shows.
struct TransferCounters {
  uint64_t origin_bytes = 0;
  uint64_t peer_bytes = 0;
  uint64_t corrupt_pieces = 0;
};

/// What all transfers of an agent share. All pointers outlive them.
struct TransferContext {
  EventLoop* loop = nullptr;
  Http1Client* client = nullptr;
  const HostSettings* settings = nullptr;
  const DeploymentUpdate* notice = nullptr;  ///< The newest.
  const std::string* self = nullptr;         ///< Own upstream's id.
  FetchPacer* pacer = nullptr;               ///< Of the host's link.
  TransferCounters* counters = nullptr;
};

/// Use it on its loop's thread only.
class WeightTransfer {
 public:
  struct Events {
    std::function<void(uint32_t n)> on_piece;
    std::function<void()> on_complete;
  };

  /// With `reads_engine`, pieces that already lie at the engine are used.
  WeightTransfer(const TransferContext& context, std::string model,
                 uint64_t version, bool reads_engine, Events events);
  ~WeightTransfer();

  void Start();
  /// Looks again for what is missing; call it several times a second.
  void Refresh();
  const WeightCopy& copy() const { return copy_; }

 private:
  struct Feed;
  struct Fetch;

  ChunkPlanInput View();
  const FleetMember* Member(const std::string& id) const;
  void FetchManifest();
  void TakeManifest(Result<std::vector<std::string>> digests,
                    const char* source);
  void ReadEngine();
  void TakeFromEngine(uint32_t n, Result<std::string> bytes);
  void Plan();
  // Since the last pieces should have left the origin.
  Milliseconds Overdue();
  // Pieces that some member has.
  size_t CountKnown() const;
  void Follow(const FleetMember& member);
  void TakeFeed(const std::string& id, std::string_view bytes);
  void FetchNext();
  std::string SourceOf(uint32_t n);
  std::string LeastBusy(const std::vector<std::string>& peers, uint32_t n,
                        size_t* holders);
  void FetchFromPeer(const FleetMember& member, uint32_t n);
  void EndFetch(uint32_t n, const CallResult& result);
  void FetchFromOrigin();
  void Avoid(const std::string& id, const char* why);
  void AddPiece(uint32_t n, std::string bytes, uint64_t* counter);
  void CheckComplete();

  TransferContext context_;
  WeightCopy copy_;
  bool reads_engine_;
  Events events_;
  platform::OriginClient origin_;
  platform::LocalEngineClient engine_;
  Http1Calls peer_calls_;
  bool manifest_under_way_ = false;
  int manifest_tries_ = 0;
  uint32_t engine_next_ = 0;
  uint32_t engine_pending_ = 0;
  uint32_t engine_absent_ = 0;
  /// Which pieces each peer has, as it tells on a connection kept for that.
  std::map<std::string, std::unique_ptr<Feed>> feeds_;
  std::map<uint32_t, std::unique_ptr<Fetch>> fetches_;  ///< By piece.
  std::map<uint32_t, ChunkSources> plan_;               ///< Of missing pieces.
  std::map<uint32_t, SteadyTime> seen_at_;              ///< First in this zone.
  std::optional<SteadyTime> half_known_at_;             ///< Half of most.
  std::optional<SteadyTime> mostly_known_at_;
  std::minstd_rand random_;
  std::set<uint32_t> origin_under_way_;
  std::map<std::string, SteadyTime> avoided_until_;
  std::set<std::string> avoided_;
  bool told_complete_ = false;
  Timer retry_timer_;
  Timer fetch_timer_;
  Timer origin_timer_;
};

}  // namespace primrosecove
