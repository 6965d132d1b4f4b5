#include "Core/Fleet/manifest_agreement.h"

#include <string>

namespace primrosecove {
namespace {

// Different responses that are remembered.
constexpr size_t kMaxResponses = 64;
constexpr int kEnoughResponses = 2;

}  // namespace

Digest IdentifyManifest(const std::vector<Digest>& digests) {
  std::string bytes;
  for (const Digest& it : digests) bytes += it.View();
  return Sha256(bytes);
}

bool ManifestAgreement::Add(const std::vector<Digest>& digests) {
  Digest digest = IdentifyManifest(digests);
  if (responses_.size() >= kMaxResponses && !responses_.contains(digest))
    responses_.clear();
  return ++responses_[digest] >= kEnoughResponses;
}

}  // namespace primrosecove
