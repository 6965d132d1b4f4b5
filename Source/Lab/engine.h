// A stand-in for a model engine whose answers show the weights that made them.
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
  uint64_t step_ms = 10;  ///< One token for each running request.
  uint32_t prefill_per_step =
      2048;                   ///< Bytes of uncached prompt that a step reads.
  size_t cache_blocks = 256;  ///< Blocks of prompt that the prefix cache holds.
  uint64_t load_ms = 100;     ///< Added to the time that the bytes take.
  bool ignores_fencing = false;
  uint64_t load_report_lag_ms = 200;
};

/// Faults of an engine, each off at the start.
struct EngineFaults {
  bool crash_on_load = false;  ///< Dies while loading and comes back empty.
  bool refuse_load = false;    ///< Answers load orders with an error.
  bool lie_on_load =
      false;  ///< Says that it has loaded and runs the old weights.
};

/// Batches requests continuously, one token a step each. A prompt with
/// "CRASH-ENGINE" kills the engine: its connections are cut and it comes back
/// without weights. Not thread safe.
class Engine {
 public:
  /// `record` outlives the engine.
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
  struct Job;
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
  void StartWaiting();
  void EmitToken(Job* job);
  void EndJob(Job* job, bool whole);
  bool CacheHit(const std::string& prompt, size_t* cached_bytes);
  void Crash(const std::string& why);
  HttpHeaders ResponseHeaders(const Job& job) const;

  EventLoop* loop_;
  EngineOptions options_;
  RecordFile* record_;
  EngineFaults faults_;
  HttpClient client_;
  std::unique_ptr<HttpServer> server_;
  Weights weights_;
  Weights claimed_;  // What the state says; differs from the truth when the
                     // engine lies.
  std::map<std::string, Weights> adapters_;
  uint64_t fencing_ = 0;
  std::shared_ptr<LoadOrder> loading_;
  std::list<std::shared_ptr<Job>>
      waiting_;  // By priority, then in order of arrival.
  std::list<std::shared_ptr<Job>> running_;
  std::list<std::string> cache_;  // Most recently used first.
  uint64_t cache_hits_ = 0;
  uint64_t cache_lookups_ = 0;
  size_t reported_load_ = 0;
  Timer step_timer_;
  Timer report_timer_;
  Timer restart_timer_;
};

}  // namespace primrosecove
