// The manifest of a set of weights: its chunks and their digests.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/digest.h"
#include "Core/Common/error.h"

namespace primrosecove {

/// Describes weights as a sequence of chunks, each addressed by the digest of
/// its bytes. All chunks but the last have `chunk_bytes` bytes. A value type.
struct Manifest {
  static constexpr uint32_t kMaxChunkBytes = 4 << 20;
  static constexpr size_t kMaxChunks = 1 << 18;

  Digest digest;  ///< Digest of the manifest's text, by which the weights are
                  ///< addressed.
  std::string text;
  std::string name;
  uint32_t chunk_bytes = 0;
  uint64_t total_bytes = 0;
  std::vector<Digest> chunks;

  /// Size of chunk `i` in bytes. Precondition: `i` < chunks.size().
  uint32_t ChunkSize(size_t i) const;
  uint64_t ChunkOffset(size_t i) const {
    return static_cast<uint64_t>(chunk_bytes) * i;
  }
  /// Parses a manifest and verifies its digest. Fails with kCorrupt when the
  /// digest differs from `expected` and with kInvalidArgument when the text is
  /// not a valid manifest. Thread safe.
  static Result<Manifest> Parse(const Digest& expected, std::string text);
  /// Builds the manifest of `bytes`; used where weights are created.
  /// Precondition: 0 < chunk_bytes <= kMaxChunkBytes.
  static Manifest FromBytes(std::string name, std::string_view bytes,
                            uint32_t chunk_bytes);
};

}  // namespace primrosecove
