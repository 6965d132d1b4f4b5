// Brings named weights to the engine beside this process: fetches pieces from
// peers and the origin, hands them on, lays them at the engine, reads them back
// and orders the engine to load them.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Core/Fleet/fleet_messages.h"
#include "Core/Fleet/load_order.h"
#include "Core/Fleet/piece_planner.h"
#include "Core/Fleet/transfer_pacing.h"
#include "Core/Fleet/weight_copy.h"
#include "Core/Net/http1_calls.h"
#include "Core/Net/http1_server.h"
#include "platform/engine_link.h"

namespace primrosecove {

/// Counts that the metrics page shows.
struct StagerCounters {
  uint64_t origin_bytes = 0;
  uint64_t peer_bytes = 0;
  uint64_t sent_bytes = 0;
  uint64_t corrupt_pieces = 0;
  uint64_t orders = 0;
};

/// Use it on its loop's thread only.
class WeightStager {
 public:
  /// Precondition: all pointers outlive this object.
  WeightStager(EventLoop* loop, Http1Client* client,
               platform::EngineLink* engine, HostSettings settings);
  ~WeightStager();

  /// Takes the newest word of the routers.
  void TakeNotice(const FleetNotice& notice);
  /// Takes the engine's newest state and acts on it.
  void TakeReport(const EngineReport& report);
  /// Answers a peer's request for pieces or a manifest.
  void Serve(const std::shared_ptr<Http1Exchange>& exchange);
  /// The version whose verified copy lies at the engine, or 0.
  uint64_t staged_version() const { return staged_version_; }
  /// Calls `callback` whenever the engine has taken an order to load.
  void OnLoading(std::function<void()> callback) {
    on_loading_ = std::move(callback);
  }
  const StagerCounters& counters() const { return counters_; }

 private:
  struct Feed;
  struct Fetch;
  struct Upload;
  struct Listener;

  PieceView View();
  Milliseconds NamedAge() const;
  const FleetMember* Member(const std::string& id) const;
  void Begin(uint64_t version);
  void FetchManifest();
  void TakeManifest(Result<std::vector<std::string>> digests,
                    const char* source);
  void ReadLocal();
  void TakeLocal(uint32_t n, Result<std::string> bytes);
  void Plan();
  Milliseconds Overdue();
  void Follow(const FleetMember& member);
  void TakeFeed(const std::string& id, std::string_view bytes);
  void FetchNext();
  std::string SourceOf(uint32_t n);
  std::string LeastBusy(const std::vector<std::string>& peers, uint32_t n,
                        size_t* holders) const;
  void FetchFromPeer(const FleetMember& member, uint32_t n);
  void EndFetch(uint32_t n, const CallResult& result);
  void FetchFromOrigin();
  void RetryOrigin();
  void Avoid(const std::string& id, const char* why);
  void AddPiece(uint32_t n, std::string bytes, uint64_t* counter);
  void TellListeners(uint32_t n);
  void SendNextUpload();
  void Refresh();
  void StageNext();
  void Verify();
  void VerifyNext();
  void TakeVerified(uint32_t n, const Result<std::string>& bytes);
  void Order();
  WeightCopy* CopyOf(uint64_t version);
  void ServeManifest(const std::shared_ptr<Http1Exchange>& exchange,
                     uint64_t version);
  void ServeFeed(const std::shared_ptr<Http1Exchange>& exchange,
                 uint64_t version);
  void ServePiece(const std::shared_ptr<Http1Exchange>& exchange,
                  uint64_t version, uint32_t n);

  EventLoop* loop_;
  Http1Client* client_;
  platform::EngineLink* engine_;
  HostSettings settings_;
  platform::OriginLink origin_;
  Http1Calls peer_calls_;
  std::string self_;  ///< Own upstream's id, once a notice names it.
  std::optional<FleetNotice> notice_;
  SteadyTime notice_at_;
  std::unique_ptr<WeightCopy> copy_;      ///< Of the named version.
  std::unique_ptr<WeightCopy> previous_;  ///< Still handed on to newcomers.
  EngineReport report_;
  bool manifest_under_way_ = false;
  int manifest_tries_ = 0;
  /// What lies at the engine from before this process's start is read once.
  bool local_read_ = false;
  uint32_t local_next_ = 0;
  uint32_t local_pending_ = 0;
  uint32_t local_absent_ = 0;
  /// Which pieces each peer has, as it tells on a connection kept for that.
  std::map<std::string, std::unique_ptr<Feed>> feeds_;
  std::map<uint32_t, std::unique_ptr<Fetch>> fetches_;  ///< By piece.
  std::map<uint32_t, PieceSources> plan_;               ///< Of missing pieces.
  std::map<uint32_t, SteadyTime> seen_at_;              ///< First in this zone.
  std::optional<SteadyTime> mostly_known_at_;
  std::string news_;  ///< Pieces that followers are to be told of.
  FetchPacer fetch_pacer_;
  UploadPacer upload_pacer_;
  std::deque<Upload> uploads_;
  std::vector<Listener> listeners_;
  std::minstd_rand random_;
  std::set<uint32_t> origin_under_way_;
  std::map<std::string, SteadyTime> avoided_until_;
  std::set<std::string> avoided_;
  std::set<uint32_t> to_stage_;
  uint32_t staging_ = 0;
  bool verifying_ = false;
  uint32_t verify_next_ = 0;
  uint32_t verify_pending_ = 0;
  uint32_t verify_bad_ = 0;
  uint64_t staged_version_ = 0;
  Milliseconds completed_age_{0};  ///< Of the version's name, at completion.
  std::function<void()> on_loading_;
  SteadyTime ordered_at_;
  bool order_under_way_ = false;
  /// Changes with each target, so that late answers for an older one end.
  uint64_t generation_ = 0;
  StagerCounters counters_;
  Timer refresh_timer_;
  Timer retry_timer_;
  Timer fetch_timer_;
  Timer news_timer_;
  Timer origin_timer_;
  Timer upload_timer_;
};

}  // namespace primrosecove
