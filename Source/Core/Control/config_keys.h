// Where the system's values stand in the platform's key-value service.
#pragma once

#include <cstdint>
#include <string>

#include "Core/Common/digest.h"

namespace primrosecove {

/// Keys of one deployment. Immutable and thread safe.
class ConfigKeys {
 public:
  explicit ConfigKeys(const std::string& deployment)
      : prefix_("/primrosecove/" + deployment) {}

  /// The head in force, moved by compare-and-swap alone.
  std::string HeadKey() const { return prefix_ + "/head"; }
  /// A bundle by its digest; written with the head that first names it.
  std::string BundleKey(const Digest& digest) const {
    return prefix_ + "/bundles/" + digest.ToHex();
  }
  /// Heads of the past, in the order of their revisions.
  std::string HistoryPrefix() const { return prefix_ + "/history/"; }
  std::string HistoryKey(uint64_t revision) const;
  /// When the process of a slot last started; absent for a slot that has never
  /// been used.
  std::string StartKey(const std::string& name) const {
    return prefix_ + "/starts/" + name;
  }

 private:
  std::string prefix_;
};

}  // namespace primrosecove
