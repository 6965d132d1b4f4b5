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
  chunks_.resize(digests.size());
  held_.resize(digests.size(), false);
  held_count_ = 0;
  for (size_t n = 0; n < digests.size(); ++n) {
    bool matches = held_[n] && digests[n] == digests_[n];
    held_[n] = matches;
    if (matches) {
      ++held_count_;
    } else {
      chunks_[n].clear();
    }
  }
  digests_ = std::move(digests);
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
