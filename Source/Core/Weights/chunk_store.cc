#include "Core/Weights/chunk_store.h"

#include <unordered_set>

namespace primrosecove {

Result<void> ChunkStore::AddManifest(const Manifest& manifest) {
  if (HasManifest(manifest.digest)) return outcome::success();
  uint64_t added = 0;
  std::unordered_set<Digest> seen;
  for (size_t i = 0; i < manifest.chunks.size(); ++i) {
    bool counted = entries_.contains(manifest.chunks[i]) ||
                   !seen.insert(manifest.chunks[i]).second;
    if (!counted) added += manifest.ChunkSize(i);
  }
  if (reserved_bytes_ + added > budget_bytes_) {
    return Fail(ErrorCode::kTooLarge,
                "weights " + manifest.digest.ShortHex() + " need " +
                    std::to_string(added) + " more bytes; " +
                    std::to_string(reserved_bytes_) + " of " +
                    std::to_string(budget_bytes_) + " are reserved");
  }
  for (size_t i = 0; i < manifest.chunks.size(); ++i) {
    Entry& entry = entries_[manifest.chunks[i]];
    entry.size = manifest.ChunkSize(i);
    ++entry.references;
  }
  reserved_bytes_ += added;
  manifests_.emplace(manifest.digest, manifest);
  return outcome::success();
}

void ChunkStore::RemoveManifest(const Digest& manifest) {
  auto held = manifests_.find(manifest);
  if (held == manifests_.end()) return;
  for (const Digest& chunk : held->second.chunks) {
    auto it = entries_.find(chunk);
    if (--it->second.references > 0) continue;
    reserved_bytes_ -= it->second.size;
    if (it->second.bytes != nullptr) bytes_ -= it->second.size;
    entries_.erase(it);
  }
  manifests_.erase(held);
}

Result<void> ChunkStore::Put(const Digest& chunk, std::string bytes) {
  auto it = entries_.find(chunk);
  if (it == entries_.end())
    return Fail(ErrorCode::kNotFound, "no held manifest lists the chunk");
  if (it->second.bytes != nullptr) return outcome::success();
  if (bytes.size() != it->second.size || Sha256(bytes) != chunk) {
    return Fail(ErrorCode::kCorrupt, "chunk " + chunk.ShortHex() +
                                         " does not match its size and digest");
  }
  bytes_ += bytes.size();
  it->second.bytes = std::make_shared<const std::string>(std::move(bytes));
  return outcome::success();
}

std::shared_ptr<const std::string> ChunkStore::Find(const Digest& chunk) const {
  auto it = entries_.find(chunk);
  return it == entries_.end() ? nullptr : it->second.bytes;
}

Bitmap ChunkStore::PresentChunks(const Manifest& manifest) const {
  Bitmap out(manifest.chunks.size());
  for (size_t i = 0; i < manifest.chunks.size(); ++i) {
    if (Find(manifest.chunks[i]) != nullptr) out.Set(i);
  }
  return out;
}

}  // namespace primrosecove
