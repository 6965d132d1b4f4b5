// One version of a model's weights in this process's memory, in chunks.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/digest.h"
#include "Core/Common/error.h"

namespace primrosecove {

/// Parses the digests that a manifest lists, in hexadecimal. Fails with
/// kInvalidArgument on a malformed digest, and unless there are exactly
/// `chunks` of them, the number that the configuration states. Thread safe.
Result<std::vector<Digest>> ParseDigests(const std::vector<std::string>& hex,
                                         uint32_t chunks);

/// Holds only chunks that match their digests. Not thread safe.
class WeightCopy {
 public:
  WeightCopy(std::string model, uint64_t version)
      : model_(std::move(model)), version_(version) {}

  /// Sets the digests; keeps the chunks that match them.
  void SetDigests(std::vector<Digest> digests);
  /// Sets whether the digests may be wrong. They are then not handed on.
  void SetDoubted(bool doubted) { doubted_ = doubted; }
  bool doubted() const { return doubted_; }
  bool has_digests() const { return !digests_.empty(); }
  const std::vector<Digest>& digests() const { return digests_; }
  /// Stores a chunk; returns false if it does not match its digest.
  bool Add(uint32_t n, std::string bytes);
  bool Has(uint32_t n) const { return n < held_.size() && held_[n]; }
  /// Precondition: Has(n). Valid as long as this object.
  std::string_view ChunkData(uint32_t n) const { return chunks_[n]; }
  /// Whether `bytes` match the digest of chunk `n`, held or not.
  bool Matches(uint32_t n, std::string_view bytes) const;
  std::vector<uint32_t> Missing() const;
  uint32_t size() const { return static_cast<uint32_t>(digests_.size()); }
  bool complete() const { return has_digests() && held_count_ == size(); }
  uint32_t held_count() const { return held_count_; }
  const std::string& model() const { return model_; }
  uint64_t version() const { return version_; }

 private:
  std::string model_;
  uint64_t version_;
  std::vector<Digest> digests_;
  std::vector<std::string> chunks_;
  std::vector<bool> held_;
  uint32_t held_count_ = 0;
  bool doubted_ = false;
};

}  // namespace primrosecove
