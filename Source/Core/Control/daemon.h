// What every long-running process of the system consists of besides its own
// task.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Core/Control/config_keeper.h"
#include "Core/Control/daemon_settings.h"
#include "Core/Control/metrics.h"
#include "Core/Control/rpc_server.h"
#include "Core/Membership/gossip.h"
#include "Core/Net/http_server.h"
#include "Core/Net/key_ring.h"
#include "Core/Peering/peer_service.h"
#include "Core/Platform/etcd_store.h"
#include "Core/Platform/host_list.h"

namespace primrosecove {

/// Loop, membership, configuration, peers, admin server and the order of
/// starting and stopping. Use it on one thread.
class Daemon {
 public:
  /// Hooks of the process's own task.
  struct Hooks {
    std::function<void()> on_config;  ///< A revision has come into force.
    std::function<void()> on_view;    ///< Membership has changed.
    std::function<bool()> is_ready;   ///< Whether the process does its work.
    std::function<void()> on_stop;  ///< A stop was asked for; finish what runs.
    std::function<bool()> is_idle;  ///< Whether nothing runs any more.
    std::function<std::string()>
        status;  ///< The process's own part of its status, as JSON.
    std::function<bool(const std::shared_ptr<HttpExchange>&)>
        on_admin;  ///< Other admin paths.
  };

  Daemon(DaemonSettings settings, Role role, KeyRing keys);
  ~Daemon();
  void SetHooks(Hooks hooks) { hooks_ = std::move(hooks); }
  /// Opens the addresses and joins the fleet; fails when an address is taken.
  Result<void> Start();
  /// Runs until SIGTERM or SIGINT and the end of what runs. Returns the
  /// process's exit code.
  int Run();

  EventLoop* loop() { return &loop_; }
  Gossip* gossip() { return &gossip_; }
  const HostView& view() const { return gossip_.view(); }
  PeerService* peers() { return &peers_; }
  Metrics* metrics() { return &metrics_; }
  KvStore* store() { return &store_; }
  const KeyRing& keys() const { return keys_; }
  const DaemonSettings& settings() const { return settings_; }
  /// The configuration in force, or null before the first revision.
  const Configuration* config() const;
  std::shared_ptr<const ActiveConfig> active_config() const {
    return config_.shared_in_force();
  }
  bool stopping() const { return stopping_; }

 private:
  void OnAdminRequest(const std::shared_ptr<HttpExchange>& exchange);
  void PollHostList();
  void TakeHostList(const std::vector<ListedHost>& hosts);
  void AddMetrics();
  std::string StatusJson() const;
  void BeginStop();
  void EndWhenIdle();
  void OnSuperseded();

  DaemonSettings settings_;
  Role role_;
  KeyRing keys_;
  EventLoop loop_;
  Hooks hooks_;
  Metrics metrics_;
  RpcServer rpc_;
  EtcdStore store_;
  PeerService peers_;
  Gossip gossip_;
  ConfigKeeper config_;
  HttpServer admin_;
  std::unique_ptr<HostList> host_list_;
  // When the platform first listed a host as leaving, Unix ms by name.
  std::map<std::string, int64_t> listed_leaving_;
  bool stopping_ = false;
  bool lingering_ = false;
  int exit_code_ = 0;
  SteadyTime stop_deadline_;
  Timer host_list_timer_;
  Timer idle_timer_;
};

}  // namespace primrosecove
