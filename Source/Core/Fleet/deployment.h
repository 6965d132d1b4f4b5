// The deployment as a process knows it, independent of storage formats: routes,
// services, upstreams, engines and the process's own settings.
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

/// Whether and how a request may be retried.
enum class RequestKind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< May run at most once.
  kStream,  ///< The response is an event stream; at most once unless resumable.
};

/// One service of a route and its share of the route's requests.
struct ServiceShare {
  std::string service;
  double weight = 1;
};

/// Destination and limits of requests for a host name and path prefix.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  RequestKind kind = RequestKind::kNonIdempotent;
  Milliseconds timeout{0};         ///< From arrival to the end of the response.
  Milliseconds latency_target{0};  ///< To the response or its first event.
  Milliseconds inter_token_latency_target{0};  ///< Longest gap between events.
  int priority = 0;                            ///< 0 is served first.
  int max_attempts = 1;        ///< Upstreams that one request may be sent to.
  bool is_public = false;      ///< Requests need no key.
  bool is_generative = false;  ///< Request sizes are counted in tokens.
  bool resumable = false;      ///< Streams may resume at another upstream.
  std::vector<ServiceShare> services;
  /// Regions whose upstreams may get its requests; empty: all regions.
  std::vector<std::string> allowed_regions;

  /// Whether a request may run on more than one upstream.
  bool IsRetryable() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStream && resumable);
  }
};

/// A model that the engines of a service can load.
struct EngineModel {
  std::string name;
  Milliseconds warm_up{0};  ///< From the load order to the first token.
};

/// Published speed and memory of the engines of a service.
struct EngineProfile {
  int slots = 1;                ///< Maximum number of requests in a batch.
  int64_t kv_cache_tokens = 0;  ///< Capacity of the engine's KV cache.
  int steps_per_iteration =
      1;               ///< Decode steps between admissions of requests.
  double step_ms = 0;  ///< Base time of a decode step; the next two are added.
  double sequence_ms = 0;       ///< Added to a step for each running request.
  double context_ms_per_k = 0;  ///< Added to a step per 1,000 context tokens.
  double prefill_tokens_per_s = 0;
  double attention_ms_per_million_pairs = 0;  ///< Attention cost of prefill.
  int prefill_chunk_tokens = 0;  ///< Maximum number of prompt tokens in a step.
  Milliseconds status_lag{0};
  double typical_prompt_tokens = 0;
  double typical_output_tokens = 0;
  int layers = 0;
  int chunks = 0;  ///< Number of chunks in a copy of the weights.
  int64_t chunk_bytes = 0;
  std::vector<EngineModel> models;
};

/// A group of interchangeable upstreams.
struct FleetService {
  std::string name;
  std::string health_path;
  int max_connections = 0;  ///< Per upstream, from all routers together.
  std::optional<EngineProfile> engine;
  Milliseconds cold_start{0};  ///< How long an upstream is cold after a start.
  /// Requests per second that a cold upstream tolerates from all routers
  /// together; 0: not limited.
  double cold_start_rate = 0;
  std::optional<Endpoint> origin;  ///< Set if the service distributes weights.
};

/// A workspace and its keys.
struct FleetWorkspace {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;  ///< Overrides the route's priority.
  /// Regions whose upstreams may get its requests; empty: all regions. Where
  /// the route names regions too, only those that both allow are allowed.
  std::vector<std::string> allowed_regions;
};

/// Limits on requests from callers.
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
  std::vector<FleetWorkspace> workspaces;  ///< If empty, requests need no key.
  CallerLimits limits;
};

/// Weights that an engine states it has loaded.
struct LoadedWeights {
  std::string model;
  uint64_t version = 0;
  bool fully_loaded = true;  ///< All layers are loaded, all of this version.
  bool operator==(const LoadedWeights&) const = default;
};

/// The registration of one upstream in the store.
struct UpstreamRecord {
  std::string id;
  std::string service;
  Endpoint endpoint;
  std::string zone;
  int slots = 1;
  bool leaving = false;
  /// Until it reaches full speed; empty if not stated.
  std::optional<Milliseconds> cold_start_remaining;
  int64_t start_time_ms = 0;  ///< Unix time of its start; 0 if unknown.
  /// Number of this write of the registration since the start; 0 if unknown.
  int64_t write_number = 0;
  std::vector<LoadedWeights> weights;
};

/// State of an engine at one moment, as the engine returns it.
struct EngineStatus {
  std::vector<LoadedWeights> weights;
  bool loading = false;
  int64_t load_orders_started = 0;
  int waiting = 0;
  int running = 0;
  int64_t kv_cache_used = 0;
  int64_t kv_cache_size = 0;
  double slowdown = 1;  ///< Time per step relative to the profile.
  int64_t start_time_ms = 0;
};

/// Version of a model's weights that the operator set for serving.
struct TargetVersion {
  std::string model;
  uint64_t version = 0;
};

/// The operator has evacuated a zone, or has taken that back.
struct ZoneEvacuation {
  std::string zone;
  bool evacuated = false;
  /// A complete read of the store lacks the evacuation; its end was not seen.
  bool is_inferred = false;
};

/// A changed or removed registration of one upstream.
struct UpstreamChange {
  std::string id;
  std::optional<UpstreamRecord> record;  ///< Empty if removed or not usable.
  std::string unusable_reason;
};

using DeploymentChange =
    std::variant<FleetConfig, UpstreamChange, TargetVersion, ZoneEvacuation>;

/// Time bounds and retry budget of the deployment, as the operator set them.
struct FleetBounds {
  Milliseconds drain{2000};         ///< Until a leaving upstream gets no work.
  Milliseconds stop_grace{8000};    ///< From SIGTERM to SIGKILL.
  Milliseconds config_apply{2000};  ///< Until a new configuration is in force.
  Milliseconds revoke{5000};        ///< Until a revoked key admits no request.
  bool strict_revoke = false;  ///< `revoke` holds for partitioned hosts too.
  Milliseconds version{8000};  ///< Until new requests run on the new weights.
  double retry_ratio = 0.2;    ///< Retries over requests, of all hosts.
  Milliseconds retry_window{10'000};
  double retry_slack = 100;  ///< Retries per window on top of the ratio.
  /// Until the upstreams of an evacuated zone get no request; empty if the
  /// deployment has no evacuations.
  std::optional<Milliseconds> evacuate;
  /// In one second a cold upstream gets at most its service's cold-start rate
  /// times the overage, plus the slack, from all routers together.
  double cold_overage = 1;
  double cold_slack = 0;
};

/// Settings of a process, given by the platform.
struct HostSettings {
  std::string name;
  std::string zone;
  std::string region;
  std::map<std::string, std::string> region_of_zone;
  std::string ip;
  Endpoint caller_endpoint;     ///< Listens for callers; entry hosts only.
  Endpoint readiness_endpoint;  ///< Readiness checks of the load balancer.
  uint16_t first_internal_port = 0;
  Endpoint upstream_endpoint;  ///< The local engine; engine hosts only.
  std::string service;         ///< Service of the local engine.
  Endpoint store_endpoint;
  uint64_t memory_bytes = 0;
  size_t max_descriptors = 0;
  double link_bytes_per_second = 0;  ///< Of this host, in each direction.
  Milliseconds heartbeat{1200};  ///< Interval of an upstream's registrations.
  FleetBounds bounds;
};

}  // namespace primrosecove
