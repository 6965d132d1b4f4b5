// The datagrams of the membership protocol and their msgpack encoding.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Config/bundle.h"
#include "Core/Membership/host_record.h"
#include "Core/Membership/host_view.h"
#include "Core/Membership/suspect_table.h"

namespace primrosecove {

enum class GossipType : uint8_t {
  kPing = 1,  ///< Requests an ack.
  kAck = 2,   ///< Acknowledges the ping with the same sequence number.
  kPingRequest =
      3,        ///< Requests that the receiver ping `target` and relay the ack.
  kUpdate = 4,  ///< Carries only records, observations or a head.
  kCompare = 5,  ///< Carries bucket hashes; the receiver responds with the
                 ///< records that differ.
};

/// Identifies a configuration revision. The rest of the head is fetched from
/// the process that holds the bundle.
struct HeadSummary {
  uint64_t revision = 0;
  Digest bundle;
  bool operator==(const HeadSummary&) const = default;
};

struct GossipMessage {
  GossipType type = GossipType::kUpdate;
  uint64_t sequence = 0;
  std::string sender;
  std::string
      target;  ///< For a ping: name of the process that should acknowledge it.
  HeadSummary head;
  std::vector<HostRecord> records;
  std::vector<uint32_t> hashes;
  std::vector<CrashObservation> observations;
};

/// Encodes a message. Thread safe.
std::string EncodeGossip(const GossipMessage& message);
/// Decodes a message, or returns nothing when it is malformed. Thread safe.
std::optional<GossipMessage> DecodeGossip(std::string_view bytes);
/// Size in bytes of a record in an encoded message.
size_t EncodedRecordBytes(const HostRecord& record);

}  // namespace primrosecove
