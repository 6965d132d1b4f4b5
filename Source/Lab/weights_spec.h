// Deterministic synthetic weights for tests and benchmarks. A specification
// gives the same bytes on every host.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "Core/Common/error.h"
#include "Core/Weights/manifest.h"

namespace primrosecove {

/// Specifies synthetic weights. Two specifications with the same base seed have
/// part of their chunks in common.
struct WeightsSpec {
  std::string name;
  uint64_t bytes = 0;
  uint32_t chunk_bytes = 65536;
  uint64_t seed = 0;
  uint64_t base_seed = 0;
  uint32_t shared_percent = 0;  ///< Chunks generated from `base_seed`.

  /// Parses "name=N,bytes=B,chunk=C,seed=S,base=S,shared=P". Fails if a key is
  /// unknown, a value is no number or a size is out of bounds. Thread safe.
  static Result<WeightsSpec> Parse(std::string_view text);
  /// Generates the bytes. Thread safe.
  std::string MakeBytes() const;
};

/// Returns the fingerprint that engines put into each token: a prefix of the
/// SHA-256 hash of all bytes of the weights, in hexadecimal.
std::string WeightsFingerprint(std::string_view bytes);

}  // namespace primrosecove
