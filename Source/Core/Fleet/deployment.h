// What a process of the system knows of its deployment, as values without any
// outside format: routes, services, upstreams, engines, and its own settings.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Core/Net/endpoint.h"

namespace primrosecove {

using Milliseconds = std::chrono::milliseconds;

/// What may be repeated of a request.
enum class RequestKind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< May run at most once.
  kStream,         ///< Answered by events; at most once unless resumable.
};

/// One of the services that a route's requests are divided among.
struct ServiceShare {
  std::string service;
  double weight = 1;
};

/// Where requests of a host name and path prefix go, and what they may cost.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  RequestKind kind = RequestKind::kNonIdempotent;
  Milliseconds timeout{0};         ///< From arrival to the final answer.
  Milliseconds latency_target{0};  ///< To the answer, or to the first event.
  Milliseconds inter_token_latency_target{
      0};                      ///< Longest pause between events.
  int priority = 0;            ///< 0 is served first.
  int max_attempts = 1;        ///< Upstreams that one request may be sent to.
  bool is_public = false;      ///< Needs no key.
  bool is_generative = false;  ///< Its requests are sized in tokens.
  bool resumable = false;      ///< Its streams may go on elsewhere.
  std::vector<ServiceShare> services;

  /// Whether a request may run on more than one upstream.
  bool IsRetryable() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStream && resumable);
  }
};

/// A model that a service's engines can load.
struct EngineModel {
  std::string name;
  Milliseconds warm_up{0};  ///< From an order to load to the first token.
};

/// The published speed and memory of a service's engines.
struct EngineProfile {
  int slots = 1;                ///< Requests decoded at once.
  int64_t kv_cache_tokens = 0;  ///< Tokens that the engine's memory holds.
  int steps_per_iteration =
      1;                   ///< Decode steps between two looks at the queue.
  double step_ms = 0;      ///< A decode step, before the following two.
  double sequence_ms = 0;  ///< Added to a step for each running request.
  double context_ms_per_k = 0;  ///< Added for each 1,000 tokens of context.
  double prefill_tokens_per_s = 0;
  double attention_ms_per_million_pairs = 0;  ///< Attention's share of prefill.
  int prefill_chunk_tokens = 0;  ///< Most prompt tokens read in a step.
  Milliseconds status_lag{0};
  double typical_prompt_tokens = 0;
  double typical_output_tokens = 0;
  int layers = 0;
  int chunks = 0;  ///< Pieces that a copy of the weights is cut into.
  int64_t chunk_bytes = 0;
  std::vector<EngineModel> models;
};

/// A group of interchangeable upstreams.
struct FleetService {
  std::string name;
  std::string health_path;
  int max_connections = 0;  ///< Of one upstream, from all callers together.
  std::optional<EngineProfile> engine;
  std::optional<Endpoint> origin;  ///< Set where the service hands out weights.
};

/// A workspace and its keys.
struct FleetWorkspace {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;  ///< Goes before the route's.
};

/// What callers may send.
struct CallerLimits {
  uint32_t max_head_bytes = 16 << 10;
  uint64_t max_body_bytes = 4 << 20;
  Milliseconds head_timeout{3000};
  Milliseconds idle_timeout{15'000};
};

/// One accepted configuration.
struct FleetConfig {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, FleetService> services;
  std::vector<FleetWorkspace> workspaces;  ///< Empty: requests need no key.
  CallerLimits limits;
};

/// Weights as an engine reports them.
struct LoadedWeights {
  std::string model;
  uint64_t version = 0;
  bool fully_loaded = true;  ///< All layers are loaded, all of this version.
  bool operator==(const LoadedWeights&) const = default;
};

/// One upstream as it registers itself.
struct UpstreamRecord {
  std::string id;
  std::string service;
  Endpoint endpoint;
  std::string zone;
  int slots = 1;
  bool leaving = false;
  Milliseconds cold_start_remaining{
      0};                     ///< How much longer it is slow after its start.
  int64_t start_time_ms = 0;  ///< Unix time of its start; 0 when not told.
  std::vector<LoadedWeights> weights;
};

/// An engine's state at one moment.
struct EngineStatus {
  std::vector<LoadedWeights> weights;
  bool loading = false;
  int64_t load_orders_started = 0;
  int waiting = 0;
  int running = 0;
  int64_t kv_cache_used = 0;
  int64_t kv_cache_size = 0;
  double slowdown = 1;  ///< Over 1: that many times slower than its profile.
  int64_t start_time_ms = 0;
};

/// Weights that the operator has named as the ones to serve.
struct TargetVersion {
  std::string model;
  uint64_t version = 0;
};

/// One upstream's registration, or its end.
struct UpstreamChange {
  std::string id;
  std::optional<UpstreamRecord> record;  ///< None: gone, or not usable.
  std::string unusable_reason;
};

using DeploymentChange =
    std::variant<FleetConfig, UpstreamChange, TargetVersion>;

/// Bounds of the deployment that the system's decisions depend on.
struct FleetBounds {
  Milliseconds drain{2000};         ///< No new work after a leave is known.
  Milliseconds stop_grace{8000};    ///< From SIGTERM to SIGKILL.
  Milliseconds config_apply{2000};  ///< A new configuration is in force.
  Milliseconds revoke{5000};        ///< A taken key runs nothing.
  bool strict_revoke = false;       ///< That holds for cut-off hosts too.
  Milliseconds version{8000};       ///< New weights serve all new requests.
  double retry_ratio = 0.2;         ///< Repeats over requests, of all hosts.
  Milliseconds retry_window{10'000};
  double retry_slack = 100;
};

/// The settings that the platform gives a process.
struct HostSettings {
  std::string name;
  std::string zone;
  std::string region;
  std::map<std::string, std::string> region_of_zone;
  std::string ip;
  Endpoint caller_endpoint;  ///< Where callers' connections arrive; entry hosts
                             ///< only.
  Endpoint readiness_endpoint;  ///< Where the balancer asks for readiness.
  uint16_t first_internal_port = 0;
  Endpoint
      upstream_endpoint;  ///< The engine beside this process; side hosts only.
  std::string service;    ///< That engine's service.
  Endpoint store_endpoint;
  uint64_t memory_bytes = 0;
  size_t max_descriptors = 0;
  double link_bytes_per_second = 0;  ///< Of this host, each way.
  Milliseconds heartbeat{1200};  ///< Between two registrations of an upstream.
  FleetBounds bounds;
};

}  // namespace primrosecove
