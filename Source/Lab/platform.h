// A fake of the platform: key-value store, weights origin and host list at one
// address.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Core/Net/http_server.h"
#include "Lab/fake_etcd.h"
#include "Lab/fake_origin.h"

namespace primrosecove {

struct PlatformOptions {
  Endpoint listen;
  uint64_t origin_bytes_per_second = 0;
  std::vector<WeightsSpec> weights;
  uint64_t host_list_lag_ms = 0;  ///< Delay until a new host list is served.
  uint64_t seed = 1;
};

/// Serves /v3/, /manifests/, /weights/ and /hosts. Tests and benchmarks control
/// it with POST to /lab/faults (a JSON object), /lab/hosts (the new host list),
/// /lab/backup and /lab/restore; GET /lab/stats returns its counters. Not
/// thread safe.
class Platform {
 public:
  Platform(EventLoop* loop, const PlatformOptions& options);
  Result<void> Start();

 private:
  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  void HandleControlRequest(const std::shared_ptr<HttpExchange>& exchange);
  void SetHostList(const std::string& text);
  bool SetFaults(const std::string& text);
  std::string StatsJson() const;

  EventLoop* loop_;
  PlatformOptions options_;
  FakeEtcd etcd_;
  FakeOrigin origin_;
  std::string host_list_ = R"({"hosts":[]})";
  bool host_list_down_ = false;
  HttpServer server_;
};

}  // namespace primrosecove
