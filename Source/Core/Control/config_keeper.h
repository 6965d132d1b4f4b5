// Keeps the accepted configuration in force on one process, whatever the
// key-value service does.
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

/// A revision in force on this process.
struct ActiveConfig {
  Head head;
  Bundle bundle;
  Configuration config;  ///< As this process's site sees it.
};

/// Counters for metrics.
struct ConfigCounters {
  uint64_t revisions_adopted = 0;
  uint64_t revisions_refused =
      0;  ///< Older or contradicting ones, and ones that do not parse.
};

/// Learns heads from peers' messages and, on a few processes of each place,
/// from the key-value service; fetches bundles from whoever has them. A
/// revision only ever goes up. Use it on its loop's thread only.
class ConfigKeeper {
 public:
  using InForceCallback = std::function<void()>;

  /// Objects passed by pointer must outlive the keeper.
  ConfigKeeper(EventLoop* loop, Gossip* gossip, PeerService* peers,
               KvStore* store, const std::string& deployment, std::string site,
               InForceCallback on_in_force);
  /// Starts to look for the configuration.
  void Start();
  /// A peer's message named a head.
  void OnHead(const HeadSummary& head, const Endpoint& holder);
  /// The view has changed; the processes that watch the service are chosen
  /// anew.
  void OnViewChanged();
  /// The revision in force, or null before the first.
  const ActiveConfig* in_force() const { return in_force_.get(); }
  std::shared_ptr<const ActiveConfig> shared_in_force() const {
    return in_force_;
  }
  const ConfigCounters& counters() const { return counters_; }
  bool watching() const { return watch_ != nullptr; }

 private:
  uint64_t revision() const {
    return in_force_ == nullptr ? 0 : in_force_->head.revision;
  }
  bool IsWatcher() const;
  void StartWatch();
  void OnWatchEnd(const Error& error);
  void ReadHead();
  void TakeStoredHead(const std::string& text);
  void FetchStoredBundle(const Head& head);
  void ScheduleBackstop();
  void OnBundleRequest(Peer* peer, std::string_view payload);
  void OnBundle(Peer* peer, std::string_view payload);
  void AskPeer(Peer* peer);
  void Adopt(const Head& head, const std::string& bundle_text);
  void Refuse(const Head& head, const std::string& why);

  EventLoop* loop_;
  Gossip* gossip_;
  PeerService* peers_;
  KvStore* store_;
  ConfigKeys keys_;
  std::string site_;
  InForceCallback on_in_force_;
  std::shared_ptr<const ActiveConfig> in_force_;
  std::optional<Endpoint>
      asking_;  // The peer whose connection is awaited to ask for a bundle.
  std::unique_ptr<KvWatch> watch_;
  bool was_watcher_ = false;
  Milliseconds watch_backoff_{0};
  std::mt19937_64 random_;
  ConfigCounters counters_;
  Timer backstop_timer_;
  Timer rewatch_timer_;
};

}  // namespace primrosecove
