// A bitmap of chunk numbers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace primrosecove {

/// A fixed-size set of chunk numbers with a count. Not thread safe.
class Bitmap {
 public:
  explicit Bitmap(size_t size = 0) : bits_((size + 7) / 8), size_(size) {}
  /// Parses the bytes of a peer's bitmap. Bits beyond `size` are ignored;
  /// missing bytes count as zero.
  static Bitmap FromBytes(std::span<const uint8_t> bytes, size_t size);

  bool Test(size_t i) const {
    return i < size_ && (bits_[i / 8] >> (i % 8) & 1) != 0;
  }
  /// Adds `i`; returns whether it was absent. An `i` out of range is ignored.
  bool Set(size_t i);
  size_t size() const { return size_; }
  size_t count() const { return count_; }
  bool full() const { return count_ == size_; }
  const std::vector<uint8_t>& bytes() const { return bits_; }

 private:
  std::vector<uint8_t> bits_;
  size_t size_;
  size_t count_ = 0;
};

}  // namespace primrosecove
