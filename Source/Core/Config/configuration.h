// Typed form of the operators' configuration: places, services, upstreams,
// models, workspaces and link limits.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/digest.h"

namespace primrosecove {

/// A site with its hosts. All hosts of a place are in one failure domain.
struct Place {
  std::string name;
  std::string region;
  std::string failure_domain;
};

/// Service-level objectives.
struct Objectives {
  uint32_t first_token_ms = 1400;
  uint32_t token_gap_ms = 39;
  double latency_share = 0.95;  ///< Share of measurements within each latency.
  double availability_share = 0.99;  ///< Share of requests that get a response.
};

/// Method and path prefix of requests that must not run twice.
struct NonIdempotentRule {
  std::string method;
  std::string path_prefix;
};

enum class ServiceKind { kEngine, kPlain };

/// A group of upstreams that serve the same requests.
struct Service {
  std::string name;
  ServiceKind kind = ServiceKind::kPlain;
  bool reports_load = false;
  std::string path_prefix;    ///< Request paths routed to a plain service.
  uint32_t concurrency = 32;  ///< Concurrent requests of one upstream.
  uint32_t queue = 64;  ///< Requests that can wait at an upstream's agent.
  Objectives objectives;
  std::vector<NonIdempotentRule> non_idempotent;
};

/// A server process (model engine or plain service) with an agent on its host.
struct Upstream {
  std::string name;
  std::string service;
  std::string place;
};

/// One set of weights of a model.
struct ModelVersion {
  std::string name;
  Digest manifest;
};

/// Adapter weights that are loaded in addition to the weights of a model.
struct Adapter {
  std::string name;
  Digest manifest;
};

/// A model with its versions, adapters and rollout settings.
struct Model {
  std::string name;
  std::string service;
  std::string version;  ///< Target version: a name in `versions`.
  std::vector<ModelVersion> versions;
  std::vector<Adapter> adapters;
  uint32_t replicas = 1;
  uint32_t max_unavailable =
      1;  ///< Most upstreams that a rollout takes out of service at once.
  uint32_t time_to_serve_s =
      300;  ///< Target time from acceptance until `replicas` upstreams serve.

  /// Returns the target version. Precondition: the configuration was validated;
  /// the process aborts if `version` is not in `versions`.
  const ModelVersion& CurrentVersion() const;
};

/// A caller's account; its limits apply to all routers together.
struct Workspace {
  std::string name;
  double requests_per_second = 50;
  uint32_t requests_in_flight = 64;
  uint32_t tokens_in_flight = 65536;
  uint32_t weight = 1;    ///< Relative share under contention.
  uint32_t priority = 1;  ///< 0 is the highest priority.
};

/// Bandwidth limits of weight transfers in bytes per second; 0 means unlimited.
struct Links {
  uint64_t origin_bytes_per_second = 0;
  uint64_t host_bytes_per_second = 0;
};

/// The configuration with the overlays applied as one site sees them. A value
/// type; reading is thread safe.
struct Configuration {
  std::string deployment;
  Links links;
  std::vector<Place> places;
  std::vector<Service> services;
  std::vector<Upstream> upstreams;
  std::vector<Model> models;
  std::vector<Workspace> workspaces;

  /// The Find functions return null if there is no such item.
  const Place* FindPlace(std::string_view name) const;
  const Service* FindService(std::string_view name) const;
  const Upstream* FindUpstream(std::string_view name) const;
  const Model* FindModel(std::string_view name) const;
  const Workspace* FindWorkspace(std::string_view name) const;
  /// Returns the plain service with the longest prefix that matches `path`, or
  /// null.
  const Service* FindServiceByPath(std::string_view path) const;
  /// Returns the upstreams of a service in configuration order.
  std::vector<const Upstream*> UpstreamsOf(std::string_view service) const;
};

/// Returns whether a rule of `service` marks the request as one that must not
/// run twice. Thread safe.
bool IsNonIdempotent(const Service& service, std::string_view method,
                     std::string_view path);

}  // namespace primrosecove
