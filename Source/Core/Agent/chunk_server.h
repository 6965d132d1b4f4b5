// Serves chunks of weights to peers and announces which chunks are available
// here.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Fleet/transfer_pacing.h"
#include "Core/Fleet/weight_copy.h"
#include "Core/Net/http1_server.h"

namespace primrosecove {

/// HTTP path at which an agent serves a version of a model to its peers. Thread
/// safe.
std::string PeerWeightsPath(const std::string& model, uint64_t version);

/// Parses chunk numbers from a peer's feed and removes the parsed bytes from
/// `buf`. Thread safe.
std::vector<uint32_t> ParseChunkNumbers(std::string* buf);

/// Use it on its loop's thread only.
class ChunkServer {
 public:
  /// Returns the copy of a version, or null.
  using CopyLookup = std::function<const WeightCopy*(uint64_t version)>;

  /// Precondition: `loop` outlives this object; what `lookup` returns stays
  /// valid until the loop's next iteration.
  ChunkServer(EventLoop* loop, double link_bytes_per_second, CopyLookup lookup);

  /// Handles a peer's request for a chunk, a manifest, or a feed with the
  /// numbers of the chunks that are available now and later.
  void Serve(const std::shared_ptr<Http1Exchange>& exchange);
  /// Announces a new chunk to the peers that subscribe to the version, after a
  /// short delay.
  void AnnounceChunk(uint64_t version, uint32_t n);
  /// Ends the feeds of versions older than `version`.
  void EndFeedsBelow(uint64_t version);
  /// Removes subscribers whose connections have ended.
  void RemoveFinishedFeeds();
  uint64_t sent_bytes() const { return sent_bytes_; }

 private:
  // A peer's chunk request that waits for upload bandwidth.
  struct Upload {
    std::shared_ptr<Http1Exchange> exchange;
    uint64_t version = 0;
    uint32_t chunk = 0;
  };
  // A peer that receives the feed of a version.
  struct Subscriber {
    std::shared_ptr<Http1Exchange> exchange;
    uint64_t version = 0;
  };

  void ServeManifest(const std::shared_ptr<Http1Exchange>& exchange,
                     uint64_t version);
  void ServeFeed(const std::shared_ptr<Http1Exchange>& exchange,
                 uint64_t version);
  void ServeChunk(const std::shared_ptr<Http1Exchange>& exchange,
                  uint64_t version, uint32_t n);
  void SendNextUpload();
  void SendAnnouncements();

  EventLoop* loop_;
  CopyLookup lookup_;
  UploadPacer pacer_;
  std::deque<Upload> queued_uploads_;
  std::vector<Subscriber> subscribers_;
  std::map<uint64_t, std::string> announcements_;  ///< By version.
  uint64_t min_version_ = 0;  ///< Older versions will not be fetched.
  uint64_t sent_bytes_ = 0;
  Timer announce_timer_;
  Timer upload_timer_;
};

}  // namespace primrosecove
