#include "Core/Weights/bitmap.h"

#include <algorithm>

namespace primrosecove {

Bitmap Bitmap::FromBytes(std::span<const uint8_t> bytes, size_t size) {
  Bitmap out(size);
  for (size_t i = 0; i < size && i / 8 < bytes.size(); ++i) {
    if ((bytes[i / 8] >> (i % 8) & 1) != 0) out.Set(i);
  }
  return out;
}

bool Bitmap::Set(size_t i) {
  if (i >= size_ || Test(i)) return false;
  bits_[i / 8] = static_cast<uint8_t>(bits_[i / 8] | 1U << (i % 8));
  ++count_;
  return true;
}

}  // namespace primrosecove
