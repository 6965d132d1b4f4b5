#include "Core/Fleet/weight_copy.h"

#include <utility>

namespace primrosecove {

Result<std::vector<Digest>> ParseDigests(const std::vector<std::string>& hex,
                                         uint32_t chunks) {
  if (chunks == 0) {
    return Fail(ErrorCode::kInvalidArgument,
                "the configuration states no number of chunks");
  }
  if (hex.size() != chunks) {
    return Fail(ErrorCode::kInvalidArgument,
                "the manifest lists " + std::to_string(hex.size()) +
                    " chunks, the configuration " + std::to_string(chunks));
  }
  std::vector<Digest> out;
  for (const std::string& it : hex) {
    BOOST_OUTCOME_TRY(digest, Digest::FromHex(it));
    out.push_back(digest);
  }
  return out;
}

void WeightCopy::SetDigests(std::vector<Digest> digests) {
  digests_ = std::move(digests);
  chunks_.assign(digests_.size(), "");
  held_.assign(digests_.size(), false);
  held_count_ = 0;
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
