#include "Core/Fleet/fleet_messages.h"

#include <msgpack.hpp>

namespace primrosecove {
namespace {

// The first byte tells the kinds apart and changes with their layout.
constexpr char kNoticeTag = 'n';
constexpr char kStatusTag = 'u';
constexpr char kCrashTag = 'c';

struct EndpointWire {
  std::string ip;
  uint16_t port = 0;
  MSGPACK_DEFINE_ARRAY(ip, port);
};

struct MemberWire {
  std::string id;
  EndpointWire upstream;
  std::string zone;
  uint64_t whole_version = 0;
  bool leaving = false;
  MSGPACK_DEFINE_ARRAY(id, upstream, zone, whole_version, leaving);
};

struct NoticeWire {
  uint64_t store_revision = 0;
  std::string service;
  std::string model;
  uint64_t named_version = 0;
  uint64_t named_age_ms = 0;
  uint32_t version_bound_ms = 0;
  uint32_t warm_up_ms = 0;
  uint32_t chunks = 0;
  uint32_t chunk_bytes = 0;
  EndpointWire origin;
  std::vector<MemberWire> members;
  MSGPACK_DEFINE_ARRAY(store_revision, service, model, named_version,
                       named_age_ms, version_bound_ms, warm_up_ms, chunks,
                       chunk_bytes, origin, members);
};

struct StatusWire {
  EndpointWire upstream;
  uint64_t sequence = 0;
  bool reachable = false;
  bool loading = false;
  uint64_t whole_version = 0;
  uint64_t staged_version = 0;
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t pace_percent = 0;
  int64_t born_ms = 0;
  uint32_t routers_heard = 0;
  uint32_t loads_in_ms = 0;
  MSGPACK_DEFINE_ARRAY(upstream, sequence, reachable, loading, whole_version,
                       staged_version, running, waiting, pace_percent, born_ms,
                       routers_heard, loads_in_ms);
};

struct CrashWire {
  uint64_t request = 0;
  uint64_t upstream = 0;
  bool as_suspect = false;
  uint32_t counts_for_ms = 0;
  MSGPACK_DEFINE_ARRAY(request, upstream, as_suspect, counts_for_ms);
};

EndpointWire ToWire(const Endpoint& it) { return {it.ip, it.port}; }
Endpoint FromWire(const EndpointWire& it) { return {it.ip, it.port}; }

NoticeWire ToWire(const FleetNotice& it) {
  NoticeWire out{it.store_revision,
                 it.service,
                 it.model,
                 it.named_version,
                 it.named_age_ms,
                 it.version_bound_ms,
                 it.warm_up_ms,
                 it.chunks,
                 it.chunk_bytes,
                 ToWire(it.origin),
                 {}};
  for (const FleetMember& member : it.members) {
    out.members.push_back({member.id, ToWire(member.upstream), member.zone,
                           member.whole_version, member.leaving});
  }
  return out;
}

FleetNotice FromWire(const NoticeWire& it) {
  FleetNotice out{it.store_revision,
                  it.service,
                  it.model,
                  it.named_version,
                  it.named_age_ms,
                  it.version_bound_ms,
                  it.warm_up_ms,
                  it.chunks,
                  it.chunk_bytes,
                  FromWire(it.origin),
                  {}};
  for (const MemberWire& member : it.members) {
    out.members.push_back({member.id, FromWire(member.upstream), member.zone,
                           member.whole_version, member.leaving});
  }
  return out;
}

StatusWire ToWire(const UpstreamStatus& it) {
  return {ToWire(it.upstream), it.sequence,      it.reachable,
          it.loading,          it.whole_version, it.staged_version,
          it.running,          it.waiting,       it.pace_percent,
          it.born_ms,          it.routers_heard, it.loads_in_ms};
}

UpstreamStatus FromWire(const StatusWire& it) {
  return {FromWire(it.upstream),
          it.sequence,
          it.reachable,
          it.loading,
          it.whole_version,
          it.staged_version,
          it.running,
          it.waiting,
          it.pace_percent,
          it.born_ms,
          it.routers_heard,
          it.loads_in_ms};
}

CrashWire ToWire(const CrashNews& it) {
  return {it.request, it.upstream, it.as_suspect, it.counts_for_ms};
}

CrashNews FromWire(const CrashWire& it) {
  return {it.request, it.upstream, it.as_suspect, it.counts_for_ms};
}

constexpr uint32_t kNoticeFields = 11;
constexpr uint32_t kStatusFields = 12;
constexpr uint32_t kCrashFields = 4;

template <typename Wire>
FleetMessage Unpack(std::string_view bytes, uint32_t fields) {
  auto handle = msgpack::unpack(bytes.data(), bytes.size());
  const msgpack::object& root = handle.get();
  // The library takes a shorter array and leaves the rest as it was.
  if (root.type != msgpack::type::ARRAY || root.via.array.size != fields) {
    throw msgpack::type_error();
  }
  return FromWire(root.as<Wire>());
}

}  // namespace

std::string EncodeMessage(const FleetMessage& message) {
  static constexpr char kTags[] = {kNoticeTag, kStatusTag, kCrashTag};
  msgpack::sbuffer buf;
  std::visit([&buf](const auto& it) { msgpack::pack(buf, ToWire(it)); },
             message);
  std::string out(1, kTags[message.index()]);
  return out.append(buf.data(), buf.size());
}

Result<FleetMessage> DecodeMessage(std::string_view datagram) {
  // The library reports by exceptions; they end here.
  try {
    if (datagram.starts_with(kNoticeTag)) {
      return Unpack<NoticeWire>(datagram.substr(1), kNoticeFields);
    }
    if (datagram.starts_with(kStatusTag)) {
      return Unpack<StatusWire>(datagram.substr(1), kStatusFields);
    }
    if (datagram.starts_with(kCrashTag)) {
      return Unpack<CrashWire>(datagram.substr(1), kCrashFields);
    }
  } catch (const std::exception& e) {
    return Fail(ErrorCode::kInvalidArgument,
                std::string("malformed datagram: ") + e.what());
  }
  return Fail(ErrorCode::kInvalidArgument, "unknown kind of datagram");
}

}  // namespace primrosecove
