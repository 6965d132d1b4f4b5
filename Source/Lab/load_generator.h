// A load generator that calls a deployment and records requests and responses.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Core/Net/http_client.h"
#include "Lab/record_file.h"

namespace primrosecove {

struct LoadGeneratorOptions {
  std::vector<Endpoint> routers;
  double requests_per_second = 50;
  uint64_t seconds = 10;
  std::vector<std::string> workspaces;
  std::string model;  ///< Empty: no model requests.
  std::vector<std::string> adapters;
  std::string
      plain_path;  ///< Path prefix of GETs to a plain service; empty: none.
  std::string
      run_once_path;  ///< Path prefix of POSTs that must run once; empty: none.
  uint32_t max_tokens = 12;
  uint32_t crash_per_mille = 0;  ///< Model requests that crash the engine.
  uint64_t timeout_ms = 20'000;
  uint64_t seed = 1;
};

/// Sends requests at a constant rate, independent of responses (open loop).
/// Retries requests whose connection was refused, and requests that must run
/// once and got no complete response of an upstream. Not thread safe.
class LoadGenerator {
 public:
  /// `record` must outlive the load generator.
  LoadGenerator(EventLoop* loop, LoadGeneratorOptions options,
                RecordFile* record);
  /// Starts sending. Stops the event loop when the last request has ended.
  void Start();

 private:
  struct Call;
  enum class Kind { kChat, kPlain, kRunOnce };
  void SendDueRequests();
  std::shared_ptr<Call> MakeCall();
  void Send(const std::shared_ptr<Call>& call);
  void OnRequestEnd(const std::shared_ptr<Call>& call, int status,
                    const std::string& outcome, bool complete);
  void FinishIfDone();

  EventLoop* loop_;
  LoadGeneratorOptions options_;
  RecordFile* record_;
  HttpClient client_;
  std::mt19937_64 random_;
  uint64_t sent_requests_ = 0;
  uint64_t open_requests_ = 0;
  size_t next_router_ = 0;
  SteadyTime started_;
  bool sending_finished_ = false;
  Timer send_timer_;
};

}  // namespace primrosecove
