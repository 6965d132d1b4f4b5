// The router process on an entry host, which receives callers' requests.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Core/Control/daemon.h"
#include "Core/Net/http_client.h"
#include "Core/Net/http_server.h"
#include "Core/Router/request_task.h"
#include "Core/Router/upstream_table.h"
#include "Core/Routing/retry_budget.h"
#include "Core/Routing/workspace_limiter.h"

namespace primrosecove {

/// Settings specific to a router.
struct RouterSettings {
  std::string picker = "affinity";
  double retry_ratio = 0.1;  ///< Retries per request in the long run.
  uint64_t max_body_bytes = 8 << 20;
};

/// Counters of one service's requests since the process's start.
struct ServiceCounters {
  uint64_t responded = 0;
  uint64_t not_executed = 0;
  uint64_t unknown = 0;
  uint64_t first_token_in_time = 0;
  uint64_t first_tokens = 0;
  uint64_t slow_gaps = 0;
  uint64_t gaps = 0;
  uint64_t attempts = 0;
};

/// Accepts callers' requests, enforces workspace limits and forwards the
/// requests to upstreams. Use it on one thread.
class Router {
 public:
  Router(DaemonSettings daemon_settings, RouterSettings settings, KeyRing keys);
  ~Router();
  Result<void> Start();
  int Run() { return daemon_.Run(); }

 private:
  void OnConfig();
  // Makes all responses due before the daemon's drain timeout.
  void OnStop();
  void ConfigureLimits();
  void HandleRequest(std::shared_ptr<HttpExchange> exchange);
  void Refuse(const std::shared_ptr<HttpExchange>& exchange, int status,
              const std::string& reason, Milliseconds retry_after);
  void OnRequestDone(const RequestSummary& summary, uint32_t tokens);
  size_t CountRouters() const;
  std::string StatusJson() const;
  void AddServiceMetrics(const std::string& service);

  RouterSettings settings_;
  Daemon daemon_;
  HttpClient client_;
  UpstreamTable upstream_table_;
  RetryBudget retry_budget_;
  WorkspaceLimiter limiter_;
  HttpServer server_;
  std::shared_ptr<const ActiveConfig> config_;
  size_t router_count_ = 0;
  std::map<std::string, ServiceCounters> service_counters_;
  uint64_t refused_ = 0;
  std::map<const RequestTask*, std::weak_ptr<RequestTask>> tasks_;
  std::optional<SteadyTime> responses_due_at_;  // While stopping.
};

}  // namespace primrosecove
