// The list of a set of weights' chunks.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/digest.h"
#include "Core/Common/error.h"

namespace primrosecove {

/// Describes weights as a row of chunks, each addressed by the digest of its
/// bytes. All chunks but the last have `chunk_bytes`. A value type.
struct Manifest {
  static constexpr uint32_t kMaxChunkBytes = 4 << 20;
  static constexpr size_t kMaxChunks = 1 << 18;

  Digest digest;  ///< Of the manifest's text: the address of the weights.
  std::string text;
  std::string name;
  uint32_t chunk_bytes = 0;
  uint64_t total_bytes = 0;
  std::vector<Digest> chunks;

  /// Bytes of chunk `i`. Precondition: `i` is a chunk's number.
  uint32_t ChunkSize(size_t i) const;
  uint64_t ChunkOffset(size_t i) const {
    return static_cast<uint64_t>(chunk_bytes) * i;
  }
  /// Parses a manifest and checks it against its address; fails with kCorrupt
  /// when the digest differs and with kInvalidArgument when the text makes no
  /// sense. Thread safe.
  static Result<Manifest> Parse(const Digest& expected, std::string text);
  /// Describes `bytes`; used where weights are made. Precondition: 0 <
  /// chunk_bytes <= the maximum.
  static Manifest FromBytes(std::string name, std::string_view bytes,
                            uint32_t chunk_bytes);
};

}  // namespace primrosecove
