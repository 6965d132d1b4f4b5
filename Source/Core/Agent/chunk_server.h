// Hands pieces of weights on to peers, and tells them which ones are here.
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

/// Where agents ask one another for a version of a model. Thread safe.
std::string PeerPath(const std::string& model, uint64_t version);

/// Reads the numbers of pieces that a peer tells of, and removes them from
/// `buf`. Thread safe.
std::vector<uint32_t> TakePieceNumbers(std::string* buf);

/// Use it on its loop's thread only.
class PieceServer {
 public:
  /// The copy of a version, or null.
  using Lookup = std::function<const WeightCopy*(uint64_t version)>;

  /// Precondition: `loop` outlives this object; so does what `lookup` returns,
  /// until the loop's next turn.
  PieceServer(EventLoop* loop, double link_bytes_per_second, Lookup lookup);

  /// Answers a peer's request for a piece, a manifest, or the numbers of the
  /// pieces that are here now and from now on.
  void Serve(const std::shared_ptr<Http1Exchange>& exchange);
  /// A piece came; peers that follow the version are told soon.
  void Tell(uint64_t version, uint32_t n);
  /// Ends what follows versions older than `version`.
  void DropBelow(uint64_t version);
  /// Forgets peers that have left.
  void ForgetFinished();
  uint64_t sent_bytes() const { return sent_bytes_; }

 private:
  // A peer's request for a piece that waits for its turn on the link.
  struct Upload {
    std::shared_ptr<Http1Exchange> exchange;
    uint64_t version = 0;
    uint32_t piece = 0;
  };
  // A peer that is told which pieces are here.
  struct Follower {
    std::shared_ptr<Http1Exchange> exchange;
    uint64_t version = 0;
  };

  void ServeManifest(const std::shared_ptr<Http1Exchange>& exchange,
                     uint64_t version);
  void ServeNumbers(const std::shared_ptr<Http1Exchange>& exchange,
                    uint64_t version);
  void ServePiece(const std::shared_ptr<Http1Exchange>& exchange,
                  uint64_t version, uint32_t n);
  void SendNextUpload();
  void SendNews();

  EventLoop* loop_;
  Lookup lookup_;
  UploadPacer pacer_;
  std::deque<Upload> uploads_;
  std::vector<Follower> followers_;
  std::map<uint64_t, std::string> news_;  ///< By version.
  uint64_t oldest_ = 0;                   ///< Nothing older will come.
  uint64_t sent_bytes_ = 0;
  Timer news_timer_;
  Timer upload_timer_;
};

}  // namespace primrosecove
