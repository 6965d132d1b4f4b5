// Datagrams between routers and the agents of engines. They are sent
// periodically, so a lost datagram is replaced by the next one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Core/Common/error.h"
#include "Core/Fleet/store_position.h"
#include "Core/Net/endpoint.h"

namespace primrosecove {

/// An upstream with a local agent, as routers see it.
struct FleetMember {
  std::string id;
  Endpoint upstream;  ///< Its agent listens on the same IP address.
  std::string zone;
  uint64_t served_version = 0;  ///< Fully loaded weights; 0 for none.
  bool leaving = false;
};

/// Sent by a router to an agent on request: the deployment as read from the
/// store, so that agents need no connection to the store.
struct DeploymentUpdate {
  StorePosition store_position;  ///< Orders the updates of several routers.
  std::string service;
  std::string model;
  uint64_t target_weights_version = 0;  ///< Version to serve.
  uint64_t target_age_ms = 0;  ///< Since the router learned of that version.
  uint32_t version_bound_ms = 0;
  uint32_t warm_up_ms = 0;
  uint32_t chunks = 0;
  uint32_t chunk_bytes = 0;
  Endpoint origin;
  std::vector<FleetMember> members;
};

/// Sent by a router to each agent, periodically and on changes: what a
/// deployment update of it would contain.
struct DeploymentDigest {
  uint64_t digest = 0;  ///< See DigestOf().
  std::string service;
  std::string zone;  ///< Of the router.
  uint64_t target_weights_version = 0;
  uint64_t target_age_ms = 0;
  uint32_t store_age_ms = 0;  ///< Since the router has read the store.
};

/// Sent by an agent to a router that it wants a deployment update from.
struct DeploymentRequest {
  std::string service;
};

/// Sent by an agent to each router that it hears digests from: state of its
/// engine, newer than the load that the engine itself publishes.
struct UpstreamStatus {
  Endpoint upstream;
  uint64_t sequence = 0;  ///< Increases with each status, also across restarts.
  bool reachable = false;
  bool loading = false;
  uint64_t served_version = 0;
  uint64_t staged_version = 0;  ///< Verified copy at the engine.
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slowdown_percent = 100;
  int64_t start_time_ms = 0;
  uint32_t active_routers = 0;  ///< Routers whose updates it receives.
  /// Until the engine is to be ordered to load; kNoReloadPlanned for none.
  uint32_t reload_in_ms = kNoReloadPlanned;
  /// Whether the engine answers its agent's polls in time.
  bool responding = true;

  static constexpr uint32_t kNoReloadPlanned = UINT32_MAX;
};

/// A request, or a part of its prompt, was running at an upstream that crashed,
/// or ran without crashing it.
struct CrashReportEntry {
  uint64_t subject = 0;        ///< Fingerprint of the request or the part.
  uint64_t upstream_hash = 0;  ///< Hash of the upstream's id.
  uint64_t incarnation = 0;    ///< Start time of the upstream.
  bool as_suspect = false;
  bool completed = false;
  bool may_have_been_queued = false;
  uint32_t valid_for_ms = 0;  ///< Remaining lifetime of the observation.
  bool operator==(const CrashReportEntry&) const = default;
};

/// Crash observations, sent by a router to some agents, which forward them to
/// the routers that they know.
struct CrashReport {
  /// Entries that fit into a datagram that is not fragmented.
  static constexpr size_t kMaxEntries = 32;
  std::vector<CrashReportEntry> entries;
};

/// An attempt that ended without a response. Whether its upstream crashed is
/// not known yet.
struct LossReportEntry {
  uint64_t loss_id = 0;  ///< Equal in all copies of this entry.
  uint64_t request_fingerprint = 0;
  std::string upstream_id;
  bool as_suspect = false;
  uint32_t sent_ago_ms = 0;
  uint32_t lost_ago_ms = 0;
  /// Fingerprints of the parts of its prompt that may have caused a crash.
  std::vector<uint64_t> prompt_parts;
  bool may_have_been_queued = false;
  bool operator==(const LossReportEntry&) const = default;
};

/// Lost attempts, sent by a router to some agents, which forward them to the
/// routers that they know. These detect the crash if the sender restarts first.
struct LossReport {
  /// Entries that fit into a datagram that is not fragmented.
  static constexpr size_t kMaxEntries = 6;
  std::vector<LossReportEntry> entries;
};

/// Sent by a router to some agents, so that they send it the crash observations
/// that it lacks. An agent answers with its reports and its own digest, after
/// which the router sends what the agent lacks.
struct CrashDigest {
  uint64_t digest = 0;  ///< Of all observations that the sender has.
  bool is_reply = false;
};

/// The rate limit that a process of an upstream last stated.
struct RateLimitStatementEntry {
  std::string upstream_id;
  int64_t start_time_ms = 0;    ///< Of the process; 0 if unknown.
  std::optional<double> limit;  ///< Requests per second; empty if withdrawn.
  uint32_t age_ms = 0;          ///< Since it was stated.
  bool operator==(const RateLimitStatementEntry&) const = default;
};

struct RateLimitReportEntry {
  RateLimitStatementEntry statement;
  /// The router has had requests for the upstream in the last seconds.
  bool wants_to_send = false;
  bool operator==(const RateLimitReportEntry&) const = default;
};

/// Sent by a router to some agents, also without entries: the rate limits that
/// it knows. An agent answers with summaries.
struct RateLimitReport {
  /// Entries that fit into a datagram that is not fragmented.
  static constexpr size_t kMaxEntries = 16;
  uint64_t router_id = 0;
  /// The router has chosen this agent as its relay. Otherwise it reports here
  /// because others have chosen it.
  bool is_chosen = true;
  std::vector<RateLimitReportEntry> entries;
};

struct RateLimitSummaryEntry {
  static constexpr size_t kMaxSharers = 64;
  RateLimitStatementEntry statement;
  std::vector<uint64_t> sharers;  ///< Routers that share the limit.
  /// There are more than kMaxSharers; the others may send nothing.
  bool is_truncated = false;
  bool operator==(const RateLimitSummaryEntry&) const = default;
};

/// Sent by an agent that is a relay: the rate limits that routers reported to
/// it. Without entries, it tells routers with other relays to report to it too.
struct RateLimitSummary {
  /// Fits into a datagram that is not fragmented.
  static constexpr size_t kMaxBytes = 1200;
  std::vector<RateLimitSummaryEntry> entries;
};

using FleetMessage =
    std::variant<DeploymentUpdate, UpstreamStatus, CrashReport, CrashDigest,
                 LossReport, RateLimitReport, RateLimitSummary,
                 DeploymentDigest, DeploymentRequest>;

/// Digest of an update without its revision and ages, which differ between
/// routers. Thread safe.
uint64_t DigestOf(const DeploymentUpdate& update);

/// Thread safe.
std::string EncodeMessage(const FleetMessage& message);
/// Fails with kInvalidArgument unless `datagram` is exactly one message. Thread
/// safe.
Result<FleetMessage> DecodeMessage(std::string_view datagram);

}  // namespace primrosecove
