// The set of known processes, with hashes for comparison.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Membership/host_record.h"

namespace primrosecove {

/// Records by name, with hashes over buckets of records so that two views can
/// be compared cheaply. Not thread safe.
class HostView {
 public:
  static constexpr size_t kBuckets = 64;
  using BucketHashes = std::array<uint32_t, kBuckets>;

  /// Merges a record into the view; returns whether the view changed.
  bool Merge(const HostRecord& record);
  /// Removes a process, for example one that has been dead for a long time.
  void Remove(std::string_view name);
  const HostRecord* Find(std::string_view name) const;
  const std::map<std::string, HostRecord, std::less<>>& records() const {
    return records_;
  }
  /// Records of the processes that are not dead, ordered by name.
  std::vector<const HostRecord*> Live() const;
  /// Hashes of all records by bucket. Equal views have equal hashes.
  BucketHashes Hashes() const;
  static size_t BucketOf(std::string_view name);

 private:
  std::map<std::string, HostRecord, std::less<>> records_;
};

}  // namespace primrosecove
