// Reads the deployment from its source and keeps it current by watching it.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "Core/Fleet/deployment_source.h"
#include "Core/Fleet/freshness.h"
#include "Core/Net/event_loop.h"

namespace primrosecove {

/// Reads the whole deployment, then watches it for changes. Reads it again when
/// the store has compacted the changes in between, or has been restored from a
/// copy. Use it on its loop's thread only.
class DeploymentWatcher {
 public:
  struct Events {
    std::function<void(const DeploymentChange&)> on_change;
    /// Everything that was in the store at `confirmed_at` has been passed to
    /// on_change.
    std::function<void(BootTime confirmed_at)> on_confirmed;
    /// Every change up to `position` has been passed to on_change. The store
    /// may hold later ones.
    std::function<void(const StorePosition& position)> on_synced;
    /// The store has been restored from a copy and lacks the latest changes.
    /// What it holds now is passed to on_change next.
    std::function<void()> on_restored;
    /// The store became unreachable or reachable.
    std::function<void(bool reachable)> on_reachable;
  };

  /// Precondition: `loop` and `source` outlive this object. on_confirmed is
  /// called several times within `max_config_age`, the age from which on the
  /// configuration may no longer be used without restrictions.
  DeploymentWatcher(EventLoop* loop, DeploymentSource* source,
                    Milliseconds max_config_age, Events events);
  void Start() { ReadPage(""); }
  /// Sets the maximum age from the next watch on.
  void SetMaxConfigAge(Milliseconds max_config_age);
  /// Sets the age up to which a confirmation restricts nothing. Where watches
  /// bring changes all the time, the store's position is read within it.
  void SetUnrestrictedAge(Milliseconds unrestricted_age);
  bool reachable() const { return reachable_; }
  /// Returns the position up to which the deployment was read last.
  const StorePosition& position() const { return position_; }
  /// Returns how often the store was found to be restored.
  uint64_t restores() const { return restores_; }
  /// Returns how often the store was found to hold changes beyond those that a
  /// watch had delivered.
  uint64_t backlogs() const { return backlogs_; }

 private:
  // How the era of a response relates to the latest one.
  enum class EraOrder { kSame, kEarlier, kNew };

  EraOrder RecordEra(const SourceResult& result);
  void ReadPage(const std::string& page);
  // Reads the whole deployment, because `result` is of a new era.
  void ReadAgain(const SourceResult& result);
  void OnPage(bool is_first, SourceResult result);
  void CompleteSnapshot();
  void Watch();
  void OnChanges(SourceResult result);
  // Starts the next watch, or reads the store's position before.
  void Continue();
  void ReadNewestPosition();
  void OnNewestPosition(SourceResult result);
  // `proof` names what shows it.
  void Confirm(BootTime confirmed_at, const char* proof);
  void Publish(const DeploymentChange& change);
  void ScheduleRetry(const std::string& why, std::function<void()> operation);
  void MarkReachable();

  EventLoop* loop_;
  DeploymentSource* source_;
  Events events_;
  Milliseconds watch_timeout_;
  Milliseconds watch_interval_;
  /// Age that a confirmation should not exceed while watches bring changes.
  Milliseconds confirmation_limit_;
  bool was_empty_ = true;  // The last response to a watch.
  StorePosition position_;
  std::optional<uint64_t> era_;  // The latest one that a response has stated.
  std::optional<StorePosition> snapshot_position_;  // Of the first page.
  uint64_t restores_ = 0;
  uint64_t backlogs_ = 0;
  BootTime requested_at_{0};           // of the call in progress
  BootTime snapshot_requested_at_{0};  // of the first page
  SteadyTime watch_started_;
  // A position that the store had at a time, which has not been reached yet.
  struct PositionAtTime {
    StorePosition position;
    BootTime at{0};
  };
  std::optional<PositionAtTime> newest_;
  BootTime confirmed_at_{0};                    // Of the latest confirmation.
  std::set<std::string> known_upstreams_;       // ids
  std::set<std::string> snapshot_upstreams_;    // ids read so far
  std::set<std::string> known_evacuations_;     // zones
  std::set<std::string> snapshot_evacuations_;  // zones read so far
  bool reachable_ = true;
  int failures_ = 0;
  std::mt19937_64 random_;
  Timer timer_;
};

}  // namespace primrosecove
