#include "Core/Membership/gossip_message.h"

#include <msgpack.hpp>

namespace primrosecove {
namespace {

// Limits on the sizes that a datagram may declare, far above the sizes that are
// sent.
constexpr size_t kMaxItems = 4096;
constexpr size_t kMaxTextBytes = 4096;
constexpr size_t kMaxDepth = 8;

using Packer = msgpack::packer<msgpack::sbuffer>;

void PackEndpoint(Packer* out, const Endpoint& it) {
  out->pack(it.ip);
  out->pack(it.port);
}

constexpr uint32_t kRecordFields = 18;

void PackRecord(Packer* out, const HostRecord& it) {
  out->pack_array(kRecordFields);
  out->pack(it.name);
  out->pack(static_cast<uint8_t>(it.role));
  out->pack(it.incarnation);
  out->pack(it.counter);
  out->pack(static_cast<uint8_t>(it.liveness));
  out->pack(it.leaving);
  out->pack(it.place);
  PackEndpoint(out, it.http);
  PackEndpoint(out, it.peer);
  out->pack(it.config_revision);
  out->pack(it.serving.model);
  out->pack(it.serving.version);
  out->pack(it.serving.manifest);
  out->pack(it.serving.adapters);
  out->pack(it.failed_manifest);
  out->pack(it.transfer_percent);
}

// Reads an array's items in order. An item of a wrong type makes the whole
// message malformed.
class ArrayReader {
 public:
  explicit ArrayReader(const msgpack::object& object) {
    if (object.type != msgpack::type::ARRAY) throw msgpack::type_error();
    items_ = object.via.array;
  }
  bool HasNext() const { return next_ < items_.size; }
  const msgpack::object& Next() {
    if (next_ >= items_.size) throw msgpack::type_error();
    return items_.ptr[next_++];
  }
  template <typename T>
  void Read(T* out) {
    Next().convert(*out);
  }

 private:
  msgpack::object_array items_{};
  uint32_t next_ = 0;
};

void ReadEndpoint(ArrayReader* in, Endpoint* out) {
  in->Read(&out->ip);
  in->Read(&out->port);
  auto parsed = Endpoint::Parse(out->ToString());
  if (!parsed) throw msgpack::type_error();
}

template <typename T>
T ReadEnum(ArrayReader* in, T max) {
  uint8_t value = 0;
  in->Read(&value);
  if (value > static_cast<uint8_t>(max)) throw msgpack::type_error();
  return static_cast<T>(value);
}

HostRecord ReadRecord(const msgpack::object& object) {
  ArrayReader in(object);
  HostRecord out;
  in.Read(&out.name);
  out.role = ReadEnum(&in, Role::kAgent);
  in.Read(&out.incarnation);
  in.Read(&out.counter);
  out.liveness = ReadEnum(&in, Liveness::kDead);
  in.Read(&out.leaving);
  in.Read(&out.place);
  ReadEndpoint(&in, &out.http);
  ReadEndpoint(&in, &out.peer);
  in.Read(&out.config_revision);
  in.Read(&out.serving.model);
  in.Read(&out.serving.version);
  in.Read(&out.serving.manifest);
  in.Read(&out.serving.adapters);
  in.Read(&out.failed_manifest);
  in.Read(&out.transfer_percent);
  if (out.name.empty()) throw msgpack::type_error();
  return out;
}

void PackObservation(Packer* out, const CrashObservation& it) {
  constexpr uint32_t kFields = 6;
  out->pack_array(kFields);
  out->pack(it.subject);
  out->pack(it.upstream);
  out->pack(it.as_suspect);
  out->pack(it.expires_ms);
  out->pack(it.incarnation);
  out->pack(it.completed);
}

CrashObservation ReadObservation(const msgpack::object& object) {
  ArrayReader in(object);
  CrashObservation out;
  in.Read(&out.subject);
  in.Read(&out.upstream);
  in.Read(&out.as_suspect);
  in.Read(&out.expires_ms);
  // Processes of an earlier release send the first four fields only.
  if (!in.HasNext()) return out;
  in.Read(&out.incarnation);
  in.Read(&out.completed);
  return out;
}

GossipMessage ReadMessage(const msgpack::object& object) {
  ArrayReader in(object);
  GossipMessage out;
  out.type = ReadEnum(&in, GossipType::kCompare);
  in.Read(&out.sequence);
  in.Read(&out.sender);
  in.Read(&out.target);
  in.Read(&out.head.revision);
  std::string digest;
  in.Read(&digest);
  auto bundle = Digest::FromRaw(digest);
  if (bundle) out.head.bundle = bundle.value();
  if (!bundle && out.head.revision != 0) throw msgpack::type_error();
  const msgpack::object& records = in.Next();
  if (records.type != msgpack::type::ARRAY) throw msgpack::type_error();
  for (uint32_t i = 0; i < records.via.array.size; ++i) {
    out.records.push_back(ReadRecord(records.via.array.ptr[i]));
  }
  in.Read(&out.hashes);
  const msgpack::object& observations = in.Next();
  if (observations.type != msgpack::type::ARRAY) throw msgpack::type_error();
  for (uint32_t i = 0; i < observations.via.array.size; ++i) {
    out.observations.push_back(ReadObservation(observations.via.array.ptr[i]));
  }
  return out;
}

}  // namespace

std::string EncodeGossip(const GossipMessage& message) {
  constexpr uint32_t kMessageFields = 9;
  msgpack::sbuffer buf;
  Packer out(buf);
  out.pack_array(kMessageFields);
  out.pack(static_cast<uint8_t>(message.type));
  out.pack(message.sequence);
  out.pack(message.sender);
  out.pack(message.target);
  out.pack(message.head.revision);
  out.pack(message.head.revision == 0
               ? std::string()
               : std::string(message.head.bundle.View()));
  out.pack_array(static_cast<uint32_t>(message.records.size()));
  for (const HostRecord& it : message.records) PackRecord(&out, it);
  out.pack(message.hashes);
  out.pack_array(static_cast<uint32_t>(message.observations.size()));
  for (const CrashObservation& it : message.observations)
    PackObservation(&out, it);
  return {buf.data(), buf.size()};
}

std::optional<GossipMessage> DecodeGossip(std::string_view bytes) {
  msgpack::unpack_limit limit(kMaxItems, 0, kMaxTextBytes, kMaxTextBytes,
                              kMaxTextBytes, kMaxDepth);
  try {
    msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
    return ReadMessage(handle.get());
  } catch (const msgpack::unpack_error&) {
    return std::nullopt;
  } catch (const msgpack::type_error&) {
    return std::nullopt;
  }
}

size_t EncodedRecordBytes(const HostRecord& record) {
  msgpack::sbuffer buf;
  Packer out(buf);
  PackRecord(&out, record);
  return buf.size();
}

}  // namespace primrosecove
