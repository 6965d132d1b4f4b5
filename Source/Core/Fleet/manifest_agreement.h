// Decides when a manifest that was read from the origin may be relied on.
#pragma once

#include <map>
#include <vector>

#include "Core/Common/digest.h"

namespace primrosecove {

/// Returns the digest that identifies a manifest: of all its digests. Thread
/// safe.
Digest IdentifyManifest(const std::vector<Digest>& digests);

/// The origin may send a wrong manifest that is well formed, so one counts only
/// once two responses agree. Not thread safe.
class ManifestAgreement {
 public:
  /// Records the digests of one response; returns whether an earlier response
  /// stated the same ones.
  bool Add(const std::vector<Digest>& digests);
  /// Returns whether responses have differed.
  bool differs() const { return responses_.size() > 1; }

 private:
  std::map<Digest, int> responses_;  // By the digest of all their digests.
};

}  // namespace primrosecove
