// Components that routers and agents share: event loop, membership,
// configuration, peers and admin server.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Core/Control/config_synchronizer.h"
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

/// Owns the shared components of a long-running process and runs its startup
/// and shutdown. Not thread safe: use it on one thread.
class Daemon {
 public:
  /// Callbacks into the router or agent; each may be empty.
  struct Hooks {
    std::function<void()>
        on_config;                  ///< A configuration revision became active.
    std::function<void()> on_view;  ///< The membership view changed.
    std::function<bool()> is_ready;  ///< Whether the process is ready to serve.
    std::function<void()> on_stop;  ///< Shutdown started: drain in-flight work.
    std::function<bool()> is_idle;  ///< Whether all in-flight work is finished.
    std::function<std::string()>
        status;  ///< Role-specific part of the status, as JSON.
    std::function<bool(const std::shared_ptr<HttpExchange>&)>
        on_admin;  ///< Handles other admin paths; returns false for an unknown
                   ///< one.
  };

  Daemon(DaemonSettings settings, Role role, KeyRing keys);
  ~Daemon();
  void SetHooks(Hooks hooks) { hooks_ = std::move(hooks); }
  /// Opens the listening sockets and joins the fleet; fails if an address is in
  /// use.
  Result<void> Start();
  /// Runs until SIGTERM or SIGINT and the end of the drain. Returns the exit
  /// code of the process.
  int Run();

  EventLoop* loop() { return &loop_; }
  Gossip* gossip() { return &gossip_; }
  const HostView& view() const { return gossip_.view(); }
  PeerService* peers() { return &peers_; }
  Metrics* metrics() { return &metrics_; }
  KvStore* store() { return &store_; }
  const KeyRing& keys() const { return keys_; }
  const DaemonSettings& settings() const { return settings_; }
  /// Returns the active configuration, or null before the first revision.
  const Configuration* config() const;
  std::shared_ptr<const ActiveConfig> active_config() const {
    return config_.shared_active();
  }
  bool stopping() const { return stopping_; }

 private:
  void OnAdminRequest(const std::shared_ptr<HttpExchange>& exchange);
  void PollHostList();
  void ApplyHostList(const std::vector<ListedHost>& hosts);
  void AddMetrics();
  std::string StatusJson() const;
  void StartShutdown();
  void StopWhenIdle();
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
  ConfigSynchronizer config_;
  HttpServer admin_;
  std::unique_ptr<HostList> host_list_;
  // Time at which the platform first listed a host as leaving, by name.
  std::map<std::string, int64_t> listed_leaving_since_ms_;
  bool stopping_ = false;
  bool lingering_ = false;
  int exit_code_ = 0;
  SteadyTime stop_deadline_;
  Timer host_list_timer_;
  Timer idle_timer_;
};

}  // namespace primrosecove
