#include "Lab/weights_spec.h"

#include <algorithm>
#include <random>

#include "Core/Common/text.h"

namespace primrosecove {
namespace {

constexpr uint32_t kPercent = 100;
constexpr size_t kFingerprintHexDigits = 16;

void AppendChunk(std::string* out, uint64_t seed, uint64_t chunk, size_t n) {
  std::mt19937_64 random(seed * 0x9e3779b97f4a7c15ULL + chunk);
  size_t end = out->size() + n;
  while (out->size() < end) {
    uint64_t word = random();
    size_t word_bytes = std::min(sizeof(word), end - out->size());
    out->append(reinterpret_cast<const char*>(&word), word_bytes);
  }
}

}  // namespace

Result<WeightsSpec> WeightsSpec::Parse(std::string_view text) {
  WeightsSpec out;
  for (const std::string& field : Split(text, ',')) {
    size_t eq = field.find('=');
    std::string key = field.substr(0, eq);
    std::string value = eq == std::string::npos ? "" : field.substr(eq + 1);
    if (key == "name") {
      out.name = value;
      continue;
    }
    auto number = ParseU64(value);
    if (!number)
      return Fail(ErrorCode::kInvalidArgument,
                  "weights: '" + field + "' is not KEY=NUMBER");
    if (key == "bytes") {
      out.bytes = *number;
    } else if (key == "chunk") {
      out.chunk_bytes = static_cast<uint32_t>(*number);
    } else if (key == "seed") {
      out.seed = *number;
    } else if (key == "base") {
      out.base_seed = *number;
    } else if (key == "shared") {
      out.shared_percent = static_cast<uint32_t>(*number);
    } else {
      return Fail(ErrorCode::kInvalidArgument,
                  "weights: unknown key '" + key + "'");
    }
  }
  if (out.bytes == 0 || out.chunk_bytes == 0 ||
      out.chunk_bytes > Manifest::kMaxChunkBytes) {
    return Fail(ErrorCode::kInvalidArgument,
                "weights: bytes or chunk is out of bounds");
  }
  return out;
}

std::string WeightsSpec::MakeBytes() const {
  std::string out;
  out.reserve(bytes);
  for (uint64_t chunk = 0; out.size() < bytes; ++chunk) {
    bool shared = chunk % kPercent < shared_percent;
    size_t n = std::min<uint64_t>(chunk_bytes, bytes - out.size());
    AppendChunk(&out, shared ? base_seed : seed, chunk, n);
  }
  return out;
}

std::string WeightsFingerprint(std::string_view bytes) {
  return Sha256(bytes).ToHex().substr(0, kFingerprintHexDigits);
}

}  // namespace primrosecove
