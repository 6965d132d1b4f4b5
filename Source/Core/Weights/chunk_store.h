// The store of chunks in memory; hosts have no disks.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "Core/Common/digest.h"
#include "Core/Common/error.h"
#include "Core/Weights/bitmap.h"
#include "Core/Weights/manifest.h"

namespace primrosecove {

/// Verified chunks by digest, within a memory budget. A chunk is kept as long
/// as a held manifest lists it; a chunk in several manifests is stored once.
/// Not thread safe.
class ChunkStore {
 public:
  explicit ChunkStore(uint64_t budget_bytes) : budget_bytes_(budget_bytes) {}

  /// Reserves memory for a manifest's chunks and accepts them from then on.
  /// Fails with kTooLarge when the distinct chunks of all held manifests would
  /// exceed the budget.
  Result<void> AddManifest(const Manifest& manifest);
  /// Removes a manifest and drops the chunks that no other held manifest lists.
  void RemoveManifest(const Digest& manifest);
  bool HasManifest(const Digest& manifest) const {
    return manifests_.contains(manifest);
  }
  /// Stores a chunk after verifying its digest. Fails with kCorrupt when size
  /// or digest differ and with kNotFound when no held manifest lists the chunk.
  Result<void> Put(const Digest& chunk, std::string bytes);
  /// The chunk's bytes, or null. They are valid as long as the pointer is held.
  std::shared_ptr<const std::string> Find(const Digest& chunk) const;
  /// The chunks of `manifest` that are in the store.
  Bitmap PresentChunks(const Manifest& manifest) const;
  uint64_t bytes() const { return bytes_; }
  uint64_t budget_bytes() const { return budget_bytes_; }

 private:
  struct Entry {
    uint32_t size = 0;
    uint32_t references = 0;
    std::shared_ptr<const std::string> bytes;
  };
  uint64_t budget_bytes_;
  uint64_t reserved_bytes_ =
      0;  // Of all chunks that held manifests list, present or not.
  uint64_t bytes_ = 0;
  std::unordered_map<Digest, Entry> entries_;
  std::map<Digest, Manifest> manifests_;
};

}  // namespace primrosecove
