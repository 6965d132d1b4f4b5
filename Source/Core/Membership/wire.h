// The datagrams of membership, as bytes through msgpack.
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
  kPing = 1,  ///< Asks for an acknowledgement.
  kAck = 2,   ///< Answers a ping with the same sequence number.
  kPingRequest =
      3,      ///< Asks the receiver to ping `target` and to pass on its answer.
  kNews = 4,  ///< Carries records or a head only.
  kCompare = 5,  ///< Carries bucket hashes; the receiver sends the records that
                 ///< differ.
};

/// Names a configuration revision; the rest of the head is read from the
/// bundle's holder.
struct HeadSummary {
  uint64_t revision = 0;
  Digest bundle;
  bool operator==(const HeadSummary&) const = default;
};

struct GossipMessage {
  GossipType type = GossipType::kNews;
  uint64_t sequence = 0;
  std::string sender;
  std::string target;  ///< Of a ping: the name that should answer it.
  HeadSummary head;
  std::vector<HostRecord> records;
  std::vector<uint32_t> hashes;
  std::vector<CrashObservation> sightings;
};

/// Encodes a message. Thread safe.
std::string EncodeGossip(const GossipMessage& message);
/// Decodes a message, or returns nothing when it is malformed. Thread safe.
std::optional<GossipMessage> DecodeGossip(std::string_view bytes);
/// Bytes that a record takes in a message.
size_t EncodedRecordBytes(const HostRecord& record);

}  // namespace primrosecove
