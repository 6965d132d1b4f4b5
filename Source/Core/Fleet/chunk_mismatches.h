// Records the chunks of one version that did not match their digests.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "Core/Common/digest.h"
#include "Core/Net/event_loop.h"

namespace primrosecove {

/// Tells bytes that were spoilt on their way, which differ each time, from a
/// digest that is wrong: the same bytes then arrive again. Not thread safe; the
/// caller supplies the time.
class ChunkMismatches {
 public:
  /// Longest time until a chunk whose bytes arrive again is fetched once more.
  static constexpr Milliseconds kMaxDelay{5000};

  /// Records that `bytes`, sent by `source`, do not match the digest of chunk
  /// `n`. It may be fetched again after `delay`, which doubles with each
  /// arrival of the same bytes. Returns how often these bytes have arrived.
  int Record(uint32_t n, std::string_view bytes, const std::string& source,
             Milliseconds delay, SteadyTime now);
  /// Whether chunk `n` may be fetched at `now`.
  bool MayFetch(uint32_t n, SteadyTime now) const;
  /// Returns the sources of bytes that have arrived at least twice.
  std::set<std::string> RepeatedSources() const;
  /// Removes all chunks, for other digests.
  void Clear() { chunks_.clear(); }

 private:
  struct Arrivals {
    int count = 0;
    std::set<std::string> sources;
  };
  struct Chunk {
    std::map<Digest, Arrivals> arrivals;  // By the digest of the bytes.
    SteadyTime retry_at{};
  };

  std::map<uint32_t, Chunk> chunks_;  // By number.
};

}  // namespace primrosecove
