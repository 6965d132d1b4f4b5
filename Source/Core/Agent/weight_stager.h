// Brings named weights to the engine beside this process: decides which
// versions are copied, in which order they are laid at the engine, and when it
// is ordered to load them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Core/Agent/chunk_staging.h"
#include "Core/Agent/chunk_server.h"
#include "Core/Agent/weight_transfer.h"
#include "Core/Fleet/fleet_messages.h"
#include "Core/Fleet/reload_schedule.h"
#include "platform/engine_and_origin_client.h"

namespace primrosecove {

/// Counts that the metrics page shows.
struct StagerCounters {
  uint64_t orders = 0;
};

/// Use it on its loop's thread only.
class WeightStager {
 public:
  /// Precondition: all pointers outlive this object.
  WeightStager(EventLoop* loop, Http1Client* client,
               platform::LocalEngineClient* engine, HostSettings settings);
  ~WeightStager();

  /// Takes the newest word of the routers.
  void TakeNotice(const DeploymentUpdate& notice);
  /// Takes the engine's newest state and acts on it.
  void TakeReport(const EngineStatus& report);
  /// Answers a peer's request for pieces or a manifest.
  void Serve(const std::shared_ptr<Http1Exchange>& exchange) {
    server_.Serve(exchange);
  }
  /// The version whose verified copy lies at the engine, or 0.
  uint64_t staged_version() const { return staged_version_; }
  /// Until the engine is to be ordered to load other weights than it serves, if
  /// that is planned.
  std::optional<Milliseconds> LoadsIn() const;
  /// Calls `callback` whenever the engine has taken an order to load.
  void OnLoading(std::function<void()> callback) {
    on_loading_ = std::move(callback);
  }
  const StagerCounters& counters() const { return counters_; }
  const TransferCounters& transfer_counters() const {
    return transfer_counters_;
  }
  uint64_t sent_bytes() const { return server_.sent_bytes(); }

 private:
  // One version that was named in this process's life.
  struct Target {
    SteadyTime named_at;
    std::optional<Milliseconds> completed_age;  // since its name
    std::unique_ptr<WeightTransfer> transfer;   // null: dropped
  };

  Milliseconds AgeOf(const Target& target) const;
  void Begin(uint64_t version, Target* target);
  void Advance();
  void BeginNewest();
  void DropNeedless();
  void ChooseStaging();
  // What the engine serves or is loading.
  uint64_t VersionAtEngine() const;
  void TakePiece(uint64_t version, uint32_t n);
  void TakeComplete(uint64_t version);
  ReloadState Situation() const;
  void LoadIfDue();
  void Order(uint64_t version);
  void Refresh();
  const WeightCopy* CopyOf(uint64_t version) const;

  platform::LocalEngineClient* engine_;
  HostSettings settings_;
  TransferContext context_;
  TransferCounters transfer_counters_;
  FetchPacer fetch_pacer_;
  PieceServer server_;
  std::string self_;  ///< Own upstream's id, once a notice names it.
  std::optional<DeploymentUpdate> notice_;
  SteadyTime notice_at_;
  std::map<uint64_t, Target> targets_;  ///< By version.
  std::unique_ptr<EngineStaging> staging_;
  EngineStatus report_;
  bool reported_ = false;
  uint64_t served_version_ = 0;  ///< Whole, by the engine's last report.
  uint64_t staged_version_ = 0;
  uint64_t ordered_version_ = 0;  ///< That the engine has begun to load.
  bool reads_engine_ = true;      ///< For the first transfer only.
  std::function<void()> on_loading_;
  SteadyTime ordered_at_;
  SteadyTime settled_at_;  ///< From then on an unanswered order is void.
  bool order_under_way_ = false;
  StagerCounters counters_;
  Timer refresh_timer_;
};

}  // namespace primrosecove
