// The transfer state of one set of weights: stored chunks, neighbours' chunks
// and open requests.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Core/Net/event_loop.h"
#include "Core/Weights/bitmap.h"
#include "Core/Weights/manifest.h"
#include "Core/Weights/swarm_policy.h"

namespace primrosecove {

/// Transfer state of one set of weights. Not thread safe.
class SwarmTransfer {
 public:
  explicit SwarmTransfer(const Digest& digest) : digest_(digest) {}

  const Digest& digest() const { return digest_; }
  bool has_manifest() const { return manifest_.has_value(); }
  /// Precondition: has_manifest.
  const Manifest& manifest() const { return *manifest_; }
  /// Sets the manifest and the chunks that are stored already.
  void SetManifest(Manifest manifest, Bitmap present);
  bool complete() const { return has_manifest() && have_.full(); }
  const Bitmap& have() const { return have_; }

  /// Adds the chunks that a neighbour holds; adds the neighbour if it is
  /// unknown.
  void AddNeighbourChunks(const std::string& name, Bitmap chunks);
  /// Adds a chunk that a neighbour holds; ignored for an unknown neighbour.
  void AddNeighbourChunk(std::string_view name, uint32_t chunk);
  /// Removes a neighbour and the requests to it.
  void RemoveNeighbour(std::string_view name);
  uint32_t holders(uint32_t chunk) const { return holders_[chunk]; }

  /// Records that a chunk is stored; returns the neighbours with open requests
  /// for it (an empty name for the origin).
  std::vector<std::string> MarkComplete(uint32_t chunk);
  /// Records a request to a neighbour, or to the origin if `from` is empty.
  void AddRequest(uint32_t chunk, std::string_view from, SteadyTime now);
  /// Removes a request; returns whether there was one.
  bool RemoveRequest(uint32_t chunk, std::string_view from);
  /// Number of open requests to a neighbour.
  size_t RequestsTo(std::string_view name) const;
  size_t open_requests() const { return open_requests_; }
  /// Marks requests older than `limit` as stalled, so that their chunks can be
  /// requested from another neighbour.
  void MarkStalled(SteadyTime now, Milliseconds limit);

  /// Missing chunks that `neighbour` holds, that have no open request except
  /// stalled ones, and that were not requested from it. At most `limit`; the
  /// search begins at chunk `start`.
  std::vector<ChunkCandidate> Candidates(std::string_view neighbour,
                                         size_t start, size_t limit) const;
  /// Whether a chunk is missing, has no open request except stalled ones, and
  /// is held by no neighbour.
  bool OnlyAtOrigin(uint32_t chunk) const;

  /// Sets the number of shares into which the chunks are divided among the
  /// origin's fetchers.
  void SetShareCount(size_t shares, SteadyTime now);
  /// Number of whole periods in which no chunk of the share of `chunk` became
  /// available.
  uint32_t StalledPeriods(uint32_t chunk, SteadyTime now,
                          Milliseconds period) const;

 private:
  struct Request {
    std::string from;
    SteadyTime sent_at;
    bool stalled = false;
  };
  void RecordShareProgress(uint32_t chunk);
  bool IsRequested(uint32_t chunk) const;

  Digest digest_;
  std::optional<Manifest> manifest_;
  Bitmap have_;
  std::vector<uint32_t> holders_;
  std::map<std::string, Bitmap, std::less<>> neighbours_;
  std::unordered_map<uint32_t, std::vector<Request>> requests_;
  size_t open_requests_ = 0;
  std::vector<SteadyTime> share_progress_;
};

}  // namespace primrosecove
