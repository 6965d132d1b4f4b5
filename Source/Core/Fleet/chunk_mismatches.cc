#include "Core/Fleet/chunk_mismatches.h"

#include <algorithm>

namespace primrosecove {
namespace {

// Different bytes of one chunk that are remembered.
constexpr size_t kMaxArrivals = 16;
constexpr int kRepeated = 2;

}  // namespace

int ChunkMismatches::Record(uint32_t n, std::string_view bytes,
                            const std::string& source, Milliseconds delay,
                            SteadyTime now) {
  Chunk& chunk = chunks_[n];
  Digest digest = Sha256(bytes);
  if (chunk.arrivals.size() >= kMaxArrivals && !chunk.arrivals.contains(digest))
    chunk.arrivals.clear();
  Arrivals& arrivals = chunk.arrivals[digest];
  ++arrivals.count;
  arrivals.sources.insert(source);
  Milliseconds wait = delay;
  for (int i = 1; i < arrivals.count && wait < kMaxDelay; ++i) wait *= 2;
  chunk.retry_at = now + std::min(wait, kMaxDelay);
  return arrivals.count;
}

bool ChunkMismatches::MayFetch(uint32_t n, SteadyTime now) const {
  auto it = chunks_.find(n);
  return it == chunks_.end() || now >= it->second.retry_at;
}

std::set<std::string> ChunkMismatches::RepeatedSources() const {
  std::set<std::string> out;
  for (const auto& [n, chunk] : chunks_) {
    for (const auto& [digest, arrivals] : chunk.arrivals) {
      if (arrivals.count >= kRepeated)
        out.insert(arrivals.sources.begin(), arrivals.sources.end());
    }
  }
  return out;
}

}  // namespace primrosecove
