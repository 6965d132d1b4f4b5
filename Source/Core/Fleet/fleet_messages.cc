#include "Core/Fleet/fleet_messages.h"

#include <msgpack.hpp>

#include "Core/Common/digest.h"

namespace primrosecove {
namespace {

// The first byte identifies the message type; a changed layout gets a new tag.
constexpr char kDeploymentUpdateTag = 'e';
constexpr char kStatusTag = 'u';
constexpr char kCrashReportTag = 'p';
constexpr char kCrashDigestTag = 'd';
constexpr char kLossReportTag = 'm';
constexpr char kRateLimitReportTag = 'l';
constexpr char kRateLimitSummaryTag = 's';
constexpr char kDeploymentDigestTag = 'h';
constexpr char kDeploymentRequestTag = 'q';
constexpr double kNoRateLimit = -1;  // On the wire.

struct EndpointWire {
  std::string ip;
  uint16_t port = 0;
  MSGPACK_DEFINE_ARRAY(ip, port);
};

struct MemberWire {
  std::string id;
  EndpointWire upstream;
  std::string zone;
  uint64_t served_version = 0;
  bool leaving = false;
  MSGPACK_DEFINE_ARRAY(id, upstream, zone, served_version, leaving);
};

struct StorePositionWire {
  std::optional<uint64_t> era;
  uint64_t revision = 0;
  MSGPACK_DEFINE_ARRAY(era, revision);
};

struct DeploymentUpdateWire {
  StorePositionWire store_position;
  std::string service;
  std::string model;
  uint64_t target_weights_version = 0;
  uint64_t target_age_ms = 0;
  uint32_t version_bound_ms = 0;
  uint32_t warm_up_ms = 0;
  uint32_t chunks = 0;
  uint32_t chunk_bytes = 0;
  EndpointWire origin;
  std::vector<MemberWire> members;
  MSGPACK_DEFINE_ARRAY(store_position, service, model, target_weights_version,
                       target_age_ms, version_bound_ms, warm_up_ms, chunks,
                       chunk_bytes, origin, members);
};

struct StatusWire {
  EndpointWire upstream;
  uint64_t sequence = 0;
  bool reachable = false;
  bool loading = false;
  uint64_t served_version = 0;
  uint64_t staged_version = 0;
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slowdown_percent = 0;
  int64_t start_time_ms = 0;
  uint32_t active_routers = 0;
  uint32_t reload_in_ms = 0;
  bool responding = true;
  MSGPACK_DEFINE_ARRAY(upstream, sequence, reachable, loading, served_version,
                       staged_version, running, waiting, slowdown_percent,
                       start_time_ms, active_routers, reload_in_ms, responding);
};

struct CrashReportEntryWire {
  uint64_t subject = 0;
  uint64_t upstream_id_hash = 0;
  uint64_t incarnation = 0;
  bool as_suspect = false;
  bool completed = false;
  bool may_have_been_queued = false;
  uint32_t valid_for_ms = 0;
  MSGPACK_DEFINE_ARRAY(subject, upstream_id_hash, incarnation, as_suspect,
                       completed, may_have_been_queued, valid_for_ms);
};

struct CrashReportWire {
  std::vector<CrashReportEntryWire> entries;
  MSGPACK_DEFINE_ARRAY(entries);
};

struct CrashDigestWire {
  uint64_t digest = 0;
  bool is_reply = false;
  MSGPACK_DEFINE_ARRAY(digest, is_reply);
};

struct LossReportEntryWire {
  uint64_t loss_id = 0;
  uint64_t fingerprint = 0;
  std::string upstream_id;
  bool as_suspect = false;
  uint32_t sent_ago_ms = 0;
  uint32_t lost_ago_ms = 0;
  std::vector<uint64_t> prompt_parts;
  bool may_have_been_queued = false;
  MSGPACK_DEFINE_ARRAY(loss_id, fingerprint, upstream_id, as_suspect,
                       sent_ago_ms, lost_ago_ms, prompt_parts,
                       may_have_been_queued);
};

struct LossReportWire {
  std::vector<LossReportEntryWire> entries;
  MSGPACK_DEFINE_ARRAY(entries);
};

struct RateLimitStatementWire {
  std::string upstream_id;
  int64_t start_time_ms = 0;
  double limit = kNoRateLimit;
  uint32_t age_ms = 0;
  MSGPACK_DEFINE_ARRAY(upstream_id, start_time_ms, limit, age_ms);
};

struct RateLimitReportEntryWire {
  RateLimitStatementWire statement;
  bool wants_to_send = false;
  MSGPACK_DEFINE_ARRAY(statement, wants_to_send);
};

struct RateLimitReportWire {
  uint64_t router_id = 0;
  bool is_chosen = true;
  std::vector<RateLimitReportEntryWire> entries;
  MSGPACK_DEFINE_ARRAY(router_id, is_chosen, entries);
};

struct RateLimitSummaryEntryWire {
  RateLimitStatementWire statement;
  std::vector<uint64_t> sharers;
  bool is_truncated = false;
  MSGPACK_DEFINE_ARRAY(statement, sharers, is_truncated);
};

struct RateLimitSummaryWire {
  std::vector<RateLimitSummaryEntryWire> entries;
  MSGPACK_DEFINE_ARRAY(entries);
};

struct DeploymentDigestWire {
  uint64_t digest = 0;
  std::string service;
  std::string zone;
  uint64_t target_weights_version = 0;
  uint64_t target_age_ms = 0;
  uint32_t store_age_ms = 0;
  MSGPACK_DEFINE_ARRAY(digest, service, zone, target_weights_version,
                       target_age_ms, store_age_ms);
};

struct DeploymentRequestWire {
  std::string service;
  MSGPACK_DEFINE_ARRAY(service);
};

EndpointWire ToWire(const Endpoint& it) { return {it.ip, it.port}; }
Endpoint FromWire(const EndpointWire& it) { return {it.ip, it.port}; }

DeploymentUpdateWire ToWire(const DeploymentUpdate& it) {
  DeploymentUpdateWire out{{it.store_position.era, it.store_position.revision},
                           it.service,
                           it.model,
                           it.target_weights_version,
                           it.target_age_ms,
                           it.version_bound_ms,
                           it.warm_up_ms,
                           it.chunks,
                           it.chunk_bytes,
                           ToWire(it.origin),
                           {}};
  for (const FleetMember& member : it.members) {
    out.members.push_back({member.id, ToWire(member.upstream), member.zone,
                           member.served_version, member.leaving});
  }
  return out;
}

DeploymentUpdate FromWire(const DeploymentUpdateWire& it) {
  DeploymentUpdate out{{it.store_position.era, it.store_position.revision},
                       it.service,
                       it.model,
                       it.target_weights_version,
                       it.target_age_ms,
                       it.version_bound_ms,
                       it.warm_up_ms,
                       it.chunks,
                       it.chunk_bytes,
                       FromWire(it.origin),
                       {}};
  for (const MemberWire& member : it.members) {
    out.members.push_back({member.id, FromWire(member.upstream), member.zone,
                           member.served_version, member.leaving});
  }
  return out;
}

StatusWire ToWire(const UpstreamStatus& it) {
  return {ToWire(it.upstream), it.sequence,       it.reachable,
          it.loading,          it.served_version, it.staged_version,
          it.running,          it.waiting,        it.slowdown_percent,
          it.start_time_ms,    it.active_routers, it.reload_in_ms,
          it.responding};
}

UpstreamStatus FromWire(const StatusWire& it) {
  return {FromWire(it.upstream),
          it.sequence,
          it.reachable,
          it.loading,
          it.served_version,
          it.staged_version,
          it.running,
          it.waiting,
          it.slowdown_percent,
          it.start_time_ms,
          it.active_routers,
          it.reload_in_ms,
          it.responding};
}

CrashReportWire ToWire(const CrashReport& it) {
  CrashReportWire out;
  for (const CrashReportEntry& entry : it.entries) {
    out.entries.push_back({entry.subject, entry.upstream_hash,
                           entry.incarnation, entry.as_suspect, entry.completed,
                           entry.may_have_been_queued, entry.valid_for_ms});
  }
  return out;
}

CrashReport FromWire(const CrashReportWire& it) {
  CrashReport out;
  for (const CrashReportEntryWire& entry : it.entries) {
    out.entries.push_back({entry.subject, entry.upstream_id_hash,
                           entry.incarnation, entry.as_suspect, entry.completed,
                           entry.may_have_been_queued, entry.valid_for_ms});
  }
  return out;
}

CrashDigestWire ToWire(const CrashDigest& it) {
  return {it.digest, it.is_reply};
}

CrashDigest FromWire(const CrashDigestWire& it) {
  return {it.digest, it.is_reply};
}

LossReportWire ToWire(const LossReport& it) {
  LossReportWire out;
  for (const LossReportEntry& entry : it.entries) {
    out.entries.push_back({entry.loss_id, entry.request_fingerprint,
                           entry.upstream_id, entry.as_suspect,
                           entry.sent_ago_ms, entry.lost_ago_ms,
                           entry.prompt_parts, entry.may_have_been_queued});
  }
  return out;
}

LossReport FromWire(const LossReportWire& it) {
  LossReport out;
  for (const LossReportEntryWire& entry : it.entries) {
    out.entries.push_back({entry.loss_id, entry.fingerprint, entry.upstream_id,
                           entry.as_suspect, entry.sent_ago_ms,
                           entry.lost_ago_ms, entry.prompt_parts,
                           entry.may_have_been_queued});
  }
  return out;
}

RateLimitStatementWire ToWire(const RateLimitStatementEntry& it) {
  return {it.upstream_id, it.start_time_ms, it.limit.value_or(kNoRateLimit),
          it.age_ms};
}

RateLimitStatementEntry FromWire(const RateLimitStatementWire& it) {
  RateLimitStatementEntry out{it.upstream_id, it.start_time_ms, std::nullopt,
                              it.age_ms};
  // Not a number compares false.
  if (it.limit >= 0) out.limit = it.limit;
  return out;
}

RateLimitReportWire ToWire(const RateLimitReport& it) {
  RateLimitReportWire out{it.router_id, it.is_chosen, {}};
  for (const RateLimitReportEntry& entry : it.entries)
    out.entries.push_back({ToWire(entry.statement), entry.wants_to_send});
  return out;
}

RateLimitReport FromWire(const RateLimitReportWire& it) {
  RateLimitReport out{it.router_id, it.is_chosen, {}};
  for (const RateLimitReportEntryWire& entry : it.entries)
    out.entries.push_back({FromWire(entry.statement), entry.wants_to_send});
  return out;
}

RateLimitSummaryWire ToWire(const RateLimitSummary& it) {
  RateLimitSummaryWire out;
  for (const RateLimitSummaryEntry& entry : it.entries) {
    out.entries.push_back(
        {ToWire(entry.statement), entry.sharers, entry.is_truncated});
  }
  return out;
}

RateLimitSummary FromWire(const RateLimitSummaryWire& it) {
  RateLimitSummary out;
  for (const RateLimitSummaryEntryWire& entry : it.entries) {
    out.entries.push_back(
        {FromWire(entry.statement), entry.sharers, entry.is_truncated});
  }
  return out;
}

DeploymentDigestWire ToWire(const DeploymentDigest& it) {
  return {it.digest,        it.service,     it.zone, it.target_weights_version,
          it.target_age_ms, it.store_age_ms};
}

DeploymentDigest FromWire(const DeploymentDigestWire& it) {
  return {it.digest,        it.service,     it.zone, it.target_weights_version,
          it.target_age_ms, it.store_age_ms};
}

DeploymentRequestWire ToWire(const DeploymentRequest& it) {
  return {it.service};
}

DeploymentRequest FromWire(const DeploymentRequestWire& it) {
  return {it.service};
}

constexpr uint32_t kDeploymentUpdateFields = 11;
constexpr uint32_t kStatusFields = 13;
constexpr uint32_t kCrashReportFields = 1;
constexpr uint32_t kCrashDigestFields = 2;
constexpr uint32_t kLossReportFields = 1;
constexpr uint32_t kRateLimitReportFields = 3;
constexpr uint32_t kRateLimitSummaryFields = 1;
constexpr uint32_t kDeploymentDigestFields = 6;
constexpr uint32_t kDeploymentRequestFields = 1;

template <typename Wire>
FleetMessage Unpack(std::string_view bytes, uint32_t field_count) {
  auto handle = msgpack::unpack(bytes.data(), bytes.size());
  const msgpack::object& root = handle.get();
  // The library accepts a shorter array and leaves the other fields unset.
  if (root.type != msgpack::type::ARRAY || root.via.array.size != field_count) {
    throw msgpack::type_error();
  }
  return FromWire(root.as<Wire>());
}

}  // namespace

std::string EncodeMessage(const FleetMessage& message) {
  static constexpr char kTags[] = {
      kDeploymentUpdateTag, kStatusTag,           kCrashReportTag,
      kCrashDigestTag,      kLossReportTag,       kRateLimitReportTag,
      kRateLimitSummaryTag, kDeploymentDigestTag, kDeploymentRequestTag};
  msgpack::sbuffer buf;
  std::visit([&buf](const auto& it) { msgpack::pack(buf, ToWire(it)); },
             message);
  std::string out(1, kTags[message.index()]);
  return out.append(buf.data(), buf.size());
}

uint64_t DigestOf(const DeploymentUpdate& update) {
  DeploymentUpdate content = update;
  content.store_position = StorePosition();
  content.target_age_ms = 0;
  return Sha256(EncodeMessage(content)).Prefix64();
}

Result<FleetMessage> DecodeMessage(std::string_view datagram) {
  // The library reports errors by exceptions; this function catches them.
  try {
    if (datagram.starts_with(kDeploymentUpdateTag)) {
      return Unpack<DeploymentUpdateWire>(datagram.substr(1),
                                          kDeploymentUpdateFields);
    }
    if (datagram.starts_with(kStatusTag)) {
      return Unpack<StatusWire>(datagram.substr(1), kStatusFields);
    }
    if (datagram.starts_with(kCrashReportTag)) {
      return Unpack<CrashReportWire>(datagram.substr(1), kCrashReportFields);
    }
    if (datagram.starts_with(kCrashDigestTag)) {
      return Unpack<CrashDigestWire>(datagram.substr(1), kCrashDigestFields);
    }
    if (datagram.starts_with(kLossReportTag)) {
      return Unpack<LossReportWire>(datagram.substr(1), kLossReportFields);
    }
    if (datagram.starts_with(kRateLimitReportTag)) {
      return Unpack<RateLimitReportWire>(datagram.substr(1),
                                         kRateLimitReportFields);
    }
    if (datagram.starts_with(kRateLimitSummaryTag)) {
      return Unpack<RateLimitSummaryWire>(datagram.substr(1),
                                          kRateLimitSummaryFields);
    }
    if (datagram.starts_with(kDeploymentDigestTag)) {
      return Unpack<DeploymentDigestWire>(datagram.substr(1),
                                          kDeploymentDigestFields);
    }
    if (datagram.starts_with(kDeploymentRequestTag)) {
      return Unpack<DeploymentRequestWire>(datagram.substr(1),
                                           kDeploymentRequestFields);
    }
  } catch (const std::exception& e) {
    return Fail(ErrorCode::kInvalidArgument,
                std::string("malformed datagram: ") + e.what());
  }
  return Fail(ErrorCode::kInvalidArgument, "unknown datagram type");
}

}  // namespace primrosecove
