// Layout of the system's keys in the platform's key-value service.
#pragma once

#include <cstdint>
#include <string>

#include "Core/Common/digest.h"

namespace primrosecove {

/// Builds the keys of one deployment. Immutable and thread safe.
class ConfigKeys {
 public:
  explicit ConfigKeys(const std::string& deployment)
      : prefix_("/primrosecove/" + deployment) {}

  /// The current head, changed only by compare-and-swap.
  std::string HeadKey() const { return prefix_ + "/head"; }
  /// A bundle, stored by its digest in the transaction that accepts its first
  /// head.
  std::string BundleKey(const Digest& digest) const {
    return prefix_ + "/bundles/" + digest.ToHex();
  }
  /// Prefix of the accepted heads, whose keys sort by revision.
  std::string HistoryPrefix() const { return prefix_ + "/history/"; }
  std::string HistoryKey(uint64_t revision) const;
  /// Last start of the process named `name`; absent if there was none.
  std::string StartKey(const std::string& name) const {
    return prefix_ + "/starts/" + name;
  }

 private:
  std::string prefix_;
};

}  // namespace primrosecove
