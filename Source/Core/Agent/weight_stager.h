// Brings the target weights to the engine on this host: decides which versions
// are copied, in which order they are staged at the engine, and when it is
// ordered to load them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Core/Agent/chunk_server.h"
#include "Core/Agent/chunk_staging.h"
#include "Core/Agent/weight_transfer.h"
#include "Core/Fleet/fleet_messages.h"
#include "Core/Fleet/reload_schedule.h"
#include "platform/engine_and_origin_client.h"

namespace primrosecove {

/// Counters for the metrics endpoint.
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

  /// Applies a deployment update from a router unless it is older than the
  /// current one; returns whether it did.
  bool ApplyUpdate(const DeploymentUpdate& update);
  /// Applies a target version that a router has announced ahead of its update.
  void ApplyTarget(uint64_t version, Milliseconds age);
  /// Applies the engine's newest status and acts on it.
  void OnEngineStatus(const EngineStatus& status);
  /// Handles a peer's request for chunks or a manifest.
  void Serve(const std::shared_ptr<Http1Exchange>& exchange) {
    chunk_server_.Serve(exchange);
  }
  /// Version whose verified copy is staged at the engine, or 0.
  uint64_t staged_version() const { return staged_version_; }
  /// Time until the planned order to load weights other than those the engine
  /// serves; empty if none is planned.
  std::optional<Milliseconds> TimeUntilLoad() const;
  /// Sets a callback that runs whenever the engine has accepted a load order.
  void OnLoading(std::function<void()> callback) {
    on_loading_ = std::move(callback);
  }
  const StagerCounters& counters() const { return counters_; }
  const TransferCounters& transfer_counters() const {
    return transfer_counters_;
  }
  uint64_t sent_bytes() const { return chunk_server_.sent_bytes(); }

 private:
  // A version that was the target at some time since the process started.
  struct VersionState {
    SteadyTime targeted_at;
    SteadyTime started_at;                       // Of its transfer.
    std::optional<Milliseconds> completion_age;  // Since it became the target.
    // Null if not started or dropped.
    std::unique_ptr<WeightTransfer> transfer;
  };

  Milliseconds TargetAge(const VersionState& target) const;
  void AddTarget(uint64_t version, Milliseconds age);
  void StartTransfer(uint64_t version, VersionState* target);
  void Advance();
  void StartNewestTransfer();
  // Whether a copy is finished although the newest version is another one.
  bool ShouldFinish(const VersionState& older) const;
  // Lets the newest transfer use peers once no older copy goes before it.
  void ResumeNewestTransfer();
  void DropUnneededCopies();
  void ChooseStaging();
  // Version that the engine serves or is loading.
  uint64_t EngineVersion() const;
  void OnChunk(uint64_t version, uint32_t n);
  void OnCopyComplete(uint64_t version);
  ReloadState MakeReloadState() const;
  void LoadIfDue();
  void SendLoadOrder(uint64_t version);
  void Refresh();
  const WeightCopy* FindCopy(uint64_t version) const;

  platform::LocalEngineClient* engine_;
  HostSettings settings_;
  TransferContext context_;
  TransferCounters transfer_counters_;
  FetchPacer fetch_pacer_;
  ChunkServer chunk_server_;
  /// This upstream's id; empty until a deployment update contains it.
  std::string own_id_;
  std::optional<DeploymentUpdate> update_;
  SteadyTime update_received_at_;
  std::map<uint64_t, VersionState> versions_;  ///< By version.
  /// When each version became the target; of those that the engine may still
  /// have to pass.
  std::map<uint64_t, SteadyTime> target_times_;
  /// Until then an older copy goes before the newest one.
  std::optional<SteadyTime> older_copy_until_;
  std::unique_ptr<ChunkStaging> staging_;
  EngineStatus engine_status_;
  bool status_received_ = false;
  /// Fully loaded version in the last engine status.
  uint64_t served_version_ = 0;
  uint64_t staged_version_ = 0;
  uint64_t ordered_version_ = 0;  ///< Version that the engine started to load.
  bool read_engine_ = true;       ///< True until the first transfer.
  std::function<void()> on_loading_;
  SteadyTime ordered_at_;
  /// Until then the engine may still execute an order whose response was lost.
  SteadyTime order_uncertain_until_;
  bool order_in_flight_ = false;
  StagerCounters counters_;
  Timer refresh_timer_;
};

}  // namespace primrosecove
