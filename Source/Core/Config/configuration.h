// The operators' configuration as typed values: what should be served, where
// and for whom.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/digest.h"

namespace primrosecove {

/// A site with its hosts; all of a place's hosts share one failure domain.
struct Place {
  std::string name;
  std::string region;
  std::string failure_domain;
};

/// What a service's requests are meant to achieve.
struct Objectives {
  uint32_t first_token_ms = 1400;
  uint32_t token_gap_ms = 39;
  double latency_share = 0.95;  ///< Share of requests within the two latencies.
  double availability_share = 0.99;  ///< Share of requests answered.
};

/// Requests that must not run twice, by method and path prefix.
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
  std::string path_prefix;  ///< Callers' paths that belong to a plain service.
  uint32_t concurrency = 32;  ///< Requests that one upstream runs at once.
  uint32_t queue = 64;  ///< Requests that may wait at one upstream's agent.
  Objectives objectives;
  std::vector<NonIdempotentRule> non_idempotent;
};

/// A server with a model engine or a plain service, and an agent beside it.
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

/// Weights loaded beside a model's own.
struct Adapter {
  std::string name;
  Digest manifest;
};

/// A model and how it should be served.
struct Model {
  std::string name;
  std::string service;
  std::string version;  ///< The version to serve: a name among `versions`.
  std::vector<ModelVersion> versions;
  std::vector<Adapter> adapters;
  uint32_t replicas = 1;
  uint32_t max_unavailable =
      1;  ///< Upstreams that may be out of service for a rollout at once.
  uint32_t time_to_serve_s =
      300;  ///< Target from acceptance to `replicas` upstreams serving.

  /// The version to serve. Precondition: the configuration was validated.
  const ModelVersion& CurrentVersion() const;
};

/// A caller's account and its limits, shared by all routers.
struct Workspace {
  std::string name;
  double requests_per_second = 50;
  uint32_t requests_in_flight = 64;
  uint32_t tokens_in_flight = 65536;
  uint32_t weight = 1;    ///< Share under contention.
  uint32_t priority = 1;  ///< 0 is served first.
};

/// Contracts of the links that transfers use, in bytes a second; 0 means
/// unlimited.
struct Links {
  uint64_t origin_bytes_per_second = 0;
  uint64_t host_bytes_per_second = 0;
};

/// The whole configuration as one site sees it. A value type; reading is thread
/// safe.
struct Configuration {
  std::string deployment;
  Links links;
  std::vector<Place> places;
  std::vector<Service> services;
  std::vector<Upstream> upstreams;
  std::vector<Model> models;
  std::vector<Workspace> workspaces;

  const Place* FindPlace(std::string_view name) const;
  const Service* FindService(std::string_view name) const;
  const Upstream* FindUpstream(std::string_view name) const;
  const Model* FindModel(std::string_view name) const;
  const Workspace* FindWorkspace(std::string_view name) const;
  /// The plain service with the longest path prefix of `path`, or null.
  const Service* FindServiceByPath(std::string_view path) const;
  /// Names of the upstreams of a service, in the configuration's order.
  std::vector<const Upstream*> UpstreamsOf(std::string_view service) const;
};

/// Whether a request of `service` is marked by the configuration as not to run
/// twice.
bool IsNonIdempotent(const Service& service, std::string_view method,
                     std::string_view path);

}  // namespace primrosecove
