#include "Core/Fleet/weight_copy.h"

#include <utility>

namespace primrosecove {

Result<void> WeightCopy::SetDigests(const std::vector<std::string>& hex) {
  std::vector<Digest> digests;
  for (const std::string& it : hex) {
    BOOST_OUTCOME_TRY(digest, Digest::FromHex(it));
    digests.push_back(digest);
  }
  if (digests.empty()) {
    return Fail(ErrorCode::kInvalidArgument, "the manifest lists no chunks");
  }
  digests_ = std::move(digests);
  chunks_.assign(digests_.size(), "");
  held_.assign(digests_.size(), false);
  held_count_ = 0;
  return outcome::success();
}

bool WeightCopy::Matches(uint32_t n, std::string_view bytes) const {
  return n < digests_.size() && Sha256(bytes) == digests_[n];
}

bool WeightCopy::Add(uint32_t n, std::string bytes) {
  if (Has(n)) return true;
  if (!Matches(n, bytes)) return false;
  chunks_[n] = std::move(bytes);
  held_[n] = true;
  ++held_count_;
  return true;
}

std::vector<uint32_t> WeightCopy::Missing() const {
  std::vector<uint32_t> out;
  for (uint32_t n = 0; n < size(); ++n) {
    if (!held_[n]) out.push_back(n);
  }
  return out;
}

}  // namespace primrosecove
