// The frames that processes of the system exchange over connections, as bytes
// through msgpack.
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
  kHaveMore = 22,
  kChunkRequest = 23,
  kChunk = 24,
  kBusy = 25,
  kCancel = 26,
};

/// First frame of both sides: who they are.
struct IdentifyMessage {
  std::string name;
  uint64_t incarnation =
      0;  ///< Tells a replaced process from the one before it.
};

/// Asks for the bundle in force when it is newer than `known_revision`.
struct BundleRequestMessage {
  uint64_t known_revision = 0;
};

/// The head and bundle in force.
struct BundleMessage {
  std::string head;    ///< As by Head::Encode.
  std::string bundle;  ///< As by Bundle::Encode.
};

struct ManifestRequestMessage {
  Digest manifest;
};

/// A manifest's text; empty when the sender does not hold it.
struct ManifestMessage {
  Digest manifest;
  std::string text;
};

/// All chunks that the sender holds, one bit a chunk.
struct HaveMessage {
  Digest manifest;
  std::vector<uint8_t> bitmap;
  bool reply_wanted =
      false;  ///< Whether the receiver should answer with its own.
};

/// Chunks that the sender holds since its last message about the manifest.
struct HaveMoreMessage {
  Digest manifest;
  std::vector<uint32_t> chunks;
};

/// Names one chunk: a request, a refusal (kBusy) or a withdrawn request
/// (kCancel).
struct ChunkName {
  Digest manifest;
  uint32_t chunk = 0;
};

/// A chunk's bytes. `queue` is the number of requests that wait at the sender.
struct ChunkMessage {
  Digest manifest;
  uint32_t chunk = 0;
  uint32_t queue = 0;
  std::string_view bytes;  ///< Views the frame it was decoded from.
};

/// Encoders and decoders; a decoder returns nothing for malformed input. Thread
/// safe.
std::string Encode(const IdentifyMessage& it);
std::string Encode(const BundleRequestMessage& it);
std::string Encode(const BundleMessage& it);
std::string Encode(const ManifestRequestMessage& it);
std::string Encode(const ManifestMessage& it);
std::string Encode(const HaveMessage& it);
std::string Encode(const HaveMoreMessage& it);
std::string Encode(const ChunkName& it);
std::string Encode(const ChunkMessage& it);
bool Decode(std::string_view bytes, IdentifyMessage* out);
bool Decode(std::string_view bytes, BundleRequestMessage* out);
bool Decode(std::string_view bytes, BundleMessage* out);
bool Decode(std::string_view bytes, ManifestRequestMessage* out);
bool Decode(std::string_view bytes, ManifestMessage* out);
bool Decode(std::string_view bytes, HaveMessage* out);
bool Decode(std::string_view bytes, HaveMoreMessage* out);
bool Decode(std::string_view bytes, ChunkName* out);
bool Decode(std::string_view bytes, ChunkMessage* out);

}  // namespace primrosecove
