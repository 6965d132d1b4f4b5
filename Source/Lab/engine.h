// A fake model engine whose responses contain a fingerprint of the weights that
// generated them.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "Core/Common/digest.h"
#include "Core/Net/http_client.h"
#include "Core/Net/http_server.h"
#include "Lab/record_file.h"

namespace primrosecove {

struct EngineOptions {
  Endpoint listen;
  uint32_t max_batch = 16;
  uint64_t step_ms = 10;  ///< Duration of a decode step.
  uint32_t prefill_bytes_per_step =
      2048;                   ///< Uncached prompt bytes prefilled in one step.
  size_t cache_blocks = 256;  ///< Capacity of the prefix cache.
  uint64_t load_ms = 100;     ///< Added to the time of the download.
  bool ignores_fencing = false;
  uint64_t load_report_lag_ms = 200;
};

/// Injected faults of an engine. All are off by default.
struct EngineFaults {
  /// Crashes during a load and restarts without weights.
  bool crash_on_load = false;
  bool refuse_load = false;  ///< Responds to load orders with 500.
  bool fake_load_success =
      false;  ///< Acknowledges loads and keeps running the old weights.
};

/// Runs requests by continuous batching and generates one token for each of
/// them in a step. A prompt that contains "CRASH-ENGINE" crashes the engine:
/// its connections are closed and it restarts without weights. Not thread safe.
class Engine {
 public:
  /// `record` must outlive the engine.
  Engine(EventLoop* loop, EngineOptions options, RecordFile* record);
  ~Engine();
  Result<void> Start();
  void SetFaults(EngineFaults faults) { faults_ = faults; }

 private:
  using Json = nlohmann::json;
  struct Weights {
    std::string model;
    std::string version;
    Digest manifest;
    std::string fingerprint;
  };
  struct Generation;
  struct LoadOrder;

  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  void HandleState(const std::shared_ptr<HttpExchange>& exchange);
  void HandleLoad(const std::shared_ptr<HttpExchange>& exchange);
  void HandleUnload(const std::shared_ptr<HttpExchange>& exchange);
  void HandleChat(const std::shared_ptr<HttpExchange>& exchange);
  void HandleCache(const std::shared_ptr<HttpExchange>& exchange);
  bool CheckFencing(const Json& order,
                    const std::shared_ptr<HttpExchange>& exchange);
  void FinishLoad(const std::shared_ptr<LoadOrder>& order);
  void Step();
  void AdmitWaiting();
  void EmitToken(Generation* generation);
  void EndGeneration(Generation* generation, bool complete);
  bool LookUpPrefixCache(const std::string& prompt, size_t* cached_bytes);
  void Crash(const std::string& cause);
  HttpHeaders ResponseHeaders(const Generation& generation) const;

  EventLoop* loop_;
  EngineOptions options_;
  RecordFile* record_;
  EngineFaults faults_;
  HttpClient client_;
  std::unique_ptr<HttpServer> server_;
  Weights weights_;
  // Shown by /orders/state; differs from `weights_` after a load with
  // `fake_load_success`.
  Weights reported_weights_;
  std::map<std::string, Weights> adapters_;
  uint64_t fencing_ = 0;
  std::shared_ptr<LoadOrder> loading_;
  std::list<std::shared_ptr<Generation>>
      waiting_;  // Ordered by priority, then by arrival.
  std::list<std::shared_ptr<Generation>> running_;
  std::list<std::string> cache_;  // Most recently used first.
  uint64_t cache_hits_ = 0;
  uint64_t cache_lookups_ = 0;
  size_t reported_load_ = 0;
  Timer step_timer_;
  Timer load_report_timer_;
  Timer restart_timer_;
};

}  // namespace primrosecove
