// Distributes accepted configuration revisions to each process, through peers
// as well as the key-value service.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "Core/Config/bundle.h"
#include "Core/Config/configuration.h"
#include "Core/Control/config_keys.h"
#include "Core/Membership/gossip.h"
#include "Core/Peering/peer_service.h"
#include "Core/Platform/kv_store.h"

namespace primrosecove {

/// The revision that this process uses.
struct ActiveConfig {
  Head head;
  Bundle bundle;
  Configuration config;  ///< Merged for the site of this process.
};

/// Counters for metrics; all are monotonic.
struct ConfigCounters {
  uint64_t revisions_adopted = 0;
  uint64_t revisions_rejected =
      0;  ///< Older, conflicting or invalid revisions.
};

/// Learns of new heads from gossip, from a watch on the key-value service (on a
/// few processes of each place) and from infrequent polls of that service;
/// fetches bundles from peers or the service. The active revision never
/// decreases, and stays in use while the service is unavailable. Not thread
/// safe: call it on the thread of `loop` only.
class ConfigSynchronizer {
 public:
  using ActivatedCallback = std::function<void()>;

  /// Objects passed by pointer must outlive this object. `on_activated` runs
  /// after each change of the active revision.
  ConfigSynchronizer(EventLoop* loop, Gossip* gossip, PeerService* peers,
                     KvStore* store, const std::string& deployment,
                     std::string site, ActivatedCallback on_activated);
  /// Starts the watch, where this process is a watcher, and the polls.
  void Start();
  /// Handles a head announced by a peer; fetches its bundle from `holder` if it
  /// is newer.
  void OnHead(const HeadSummary& head, const Endpoint& holder);
  /// Handles a membership change: selects again which processes watch the
  /// service.
  void OnViewChanged();
  /// Returns the active revision, or null before the first.
  const ActiveConfig* active() const { return active_.get(); }
  std::shared_ptr<const ActiveConfig> shared_active() const { return active_; }
  const ConfigCounters& counters() const { return counters_; }
  /// Returns whether this process watches the key-value service now.
  bool watching() const { return watch_ != nullptr; }

 private:
  uint64_t revision() const {
    return active_ == nullptr ? 0 : active_->head.revision;
  }
  bool IsWatcher() const;
  void StartWatch();
  void OnWatchEnd(const Error& error);
  void ReadHead();
  void HandleStoredHead(const std::string& text);
  void FetchStoredBundle(const Head& head);
  void SchedulePoll();
  void OnBundleRequest(Peer* peer, std::string_view payload);
  void OnBundle(Peer* peer, std::string_view payload);
  void RequestBundle(Peer* peer);
  void Adopt(const Head& head, const std::string& bundle_text);
  void Reject(const Head& head, const std::string& why);

  EventLoop* loop_;
  Gossip* gossip_;
  PeerService* peers_;
  KvStore* store_;
  ConfigKeys keys_;
  std::string site_;
  ActivatedCallback on_activated_;
  std::shared_ptr<const ActiveConfig> active_;
  std::optional<Endpoint>
      pending_holder_;  // Peer to request a bundle from once it is connected.
  std::unique_ptr<KvWatch> watch_;
  bool is_watcher_ = false;
  Milliseconds watch_backoff_{0};
  std::mt19937_64 random_;
  ConfigCounters counters_;
  Timer poll_timer_;
  Timer watch_retry_timer_;
};

}  // namespace primrosecove
