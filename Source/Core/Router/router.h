// The process on an entry host: callers' requests come in here.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "Core/Control/daemon.h"
#include "Core/Net/http_client.h"
#include "Core/Net/http_server.h"
#include "Core/Router/request_task.h"
#include "Core/Router/upstream_table.h"
#include "Core/Routing/retry_budget.h"
#include "Core/Routing/workspace_limiter.h"

namespace primrosecove {

/// Settings of a router besides those of every process.
struct RouterSettings {
  std::string picker = "affinity";
  double retry_share = 0.1;  ///< Retries as a share of requests.
  uint64_t max_body_bytes = 8 << 20;
};

/// Outcomes of one service's requests since the start.
struct ServiceCounters {
  uint64_t answered = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  uint64_t first_token_in_time = 0;
  uint64_t first_tokens = 0;
  uint64_t slow_gaps = 0;
  uint64_t gaps = 0;
  uint64_t attempts = 0;
};

/// Takes callers' requests and finds them an upstream. Use it on one thread.
class Router {
 public:
  Router(DaemonSettings daemon_settings, RouterSettings settings, KeyRing keys);
  ~Router();
  Result<void> Start();
  int Run() { return daemon_.Run(); }

 private:
  void OnConfig();
  void ConfigureLimits();
  void Handle(std::shared_ptr<HttpExchange> exchange);
  void Refuse(const std::shared_ptr<HttpExchange>& exchange, int status,
              const std::string& reason, Milliseconds retry_after);
  void OnDone(const RequestReport& report, uint32_t tokens);
  size_t CountRouters() const;
  std::string StatusJson() const;
  void AddServiceMetrics(const std::string& service);

  RouterSettings settings_;
  Daemon daemon_;
  HttpClient client_;
  UpstreamTable table_;
  RetryBudget retries_;
  WorkspaceLimiter limiter_;
  HttpServer server_;
  std::shared_ptr<const ActiveConfig> config_;
  size_t routers_ = 0;
  std::map<std::string, ServiceCounters> services_;
  uint64_t refused_ = 0;
};

}  // namespace primrosecove
