// Datagrams between routers and the agents beside engines. A lost one is made
// up for by the next.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Core/Common/error.h"
#include "Core/Net/endpoint.h"

namespace primrosecove {

/// An upstream with an agent beside it, as the routers see it.
struct FleetMember {
  std::string id;
  Endpoint upstream;  ///< Its agent listens on the same IP number.
  std::string zone;
  uint64_t served_version = 0;  ///< Weights that it serves whole; 0 for none.
  bool leaving = false;
};

/// From a router to each agent: what the store says, so that agents need not
/// ask it.
struct DeploymentUpdate {
  uint64_t store_revision = 0;  ///< Orders notices of several routers.
  std::string service;
  std::string model;
  uint64_t target_weights_version = 0;  ///< The weights to serve.
  uint64_t target_age_ms = 0;  ///< Since the router learnt of that name.
  uint32_t version_bound_ms = 0;
  uint32_t warm_up_ms = 0;
  uint32_t chunks = 0;
  uint32_t chunk_bytes = 0;
  Endpoint origin;
  std::vector<FleetMember> members;
};

/// From an agent to each router that it hears: its engine's state, fresher
/// than what the engine tells others.
struct UpstreamStatus {
  Endpoint upstream;
  uint64_t sequence = 0;  ///< Grows with each status of one agent's life.
  bool reachable = false;
  bool loading = false;
  uint64_t served_version = 0;
  uint64_t staged_version = 0;  ///< Verified copy at the engine.
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slowdown_percent = 100;
  int64_t start_time_ms = 0;
  uint32_t active_routers = 0;
  /// Until the engine is to be ordered to load; kNoLoadPlanned for none.
  uint32_t reload_in_ms = kNoReloadPlanned;

  static constexpr uint32_t kNoReloadPlanned = UINT32_MAX;
};

/// From a router to some agents, which pass it on to the routers that they
/// hear: a request was running at an upstream that crashed.
struct CrashReport {
  uint64_t request_fingerprint = 0;  ///< Fingerprint of the request's content.
  uint64_t upstream_hash = 0;        ///< Hash of the upstream's id.
  bool as_suspect = false;
  uint32_t valid_for_ms = 0;  ///< How much longer the sighting counts.
};

using FleetMessage =
    std::variant<DeploymentUpdate, UpstreamStatus, CrashReport>;

/// Thread safe.
std::string EncodeMessage(const FleetMessage& message);
/// Fails with kInvalidArgument on anything but a whole message. Thread safe.
Result<FleetMessage> DecodeMessage(std::string_view datagram);

}  // namespace primrosecove
