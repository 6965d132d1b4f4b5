// The frames that processes exchange over peer connections and their msgpack
// encoding.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/digest.h"

namespace primrosecove {

enum class PeerFrameType : uint8_t {
  kIdentify = 16,
  kBundleRequest = 17,
  kBundle = 18,
  kManifestRequest = 19,
  kManifest = 20,
  kHave = 21,
  kHaveUpdate = 22,
  kChunkRequest = 23,
  kChunk = 24,
  kBusy = 25,
  kCancel = 26,
};

/// Identifies the sender; the first frame in each direction.
struct IdentifyMessage {
  std::string name;
  uint64_t incarnation =
      0;  ///< Distinguishes a process from its predecessor with the same name.
};

/// Requests the bundle in force if it is newer than `known_revision`.
struct BundleRequestMessage {
  uint64_t known_revision = 0;
};

/// The head and bundle in force.
struct BundleMessage {
  std::string head;    ///< Encoded by Head::Encode.
  std::string bundle;  ///< Encoded by Bundle::Encode.
};

struct ManifestRequestMessage {
  Digest manifest;
};

/// A manifest's text; empty when the sender does not hold it.
struct ManifestMessage {
  Digest manifest;
  std::string text;
};

/// All chunks that the sender holds, one bit per chunk.
struct HaveMessage {
  Digest manifest;
  std::vector<uint8_t> bitmap;
  bool reply_wanted =
      false;  ///< Whether the receiver should respond with its own chunks.
};

/// Chunks that the sender has added since its last message about the manifest.
struct HaveUpdateMessage {
  Digest manifest;
  std::vector<uint32_t> chunks;
};

/// Identifies a chunk in a request (kChunkRequest), a rejection (kBusy) or a
/// cancellation (kCancel).
struct ChunkId {
  Digest manifest;
  uint32_t chunk = 0;
};

/// A chunk's bytes. `queue` is the number of requests queued at the sender.
struct ChunkMessage {
  Digest manifest;
  uint32_t chunk = 0;
  uint32_t queue = 0;
  std::string_view bytes;  ///< A view into the frame from which it was decoded.
};

/// Encoders and decoders. A decoder returns false for malformed input, and may
/// then have changed `out`. Thread safe.
std::string Encode(const IdentifyMessage& it);
std::string Encode(const BundleRequestMessage& it);
std::string Encode(const BundleMessage& it);
std::string Encode(const ManifestRequestMessage& it);
std::string Encode(const ManifestMessage& it);
std::string Encode(const HaveMessage& it);
std::string Encode(const HaveUpdateMessage& it);
std::string Encode(const ChunkId& it);
std::string Encode(const ChunkMessage& it);
bool Decode(std::string_view bytes, IdentifyMessage* out);
bool Decode(std::string_view bytes, BundleRequestMessage* out);
bool Decode(std::string_view bytes, BundleMessage* out);
bool Decode(std::string_view bytes, ManifestRequestMessage* out);
bool Decode(std::string_view bytes, ManifestMessage* out);
bool Decode(std::string_view bytes, HaveMessage* out);
bool Decode(std::string_view bytes, HaveUpdateMessage* out);
bool Decode(std::string_view bytes, ChunkId* out);
bool Decode(std::string_view bytes, ChunkMessage* out);

}  // namespace primrosecove
