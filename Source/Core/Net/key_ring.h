// The shared keys by which the system's processes authenticate each other.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/digest.h"
#include "Core/Common/error.h"

namespace primrosecove {

/// One or two shared keys. The first key signs and every key verifies, so that
/// keys are rotated without an interruption. Immutable after construction and
/// thread safe.
class KeyRing {
 public:
  /// Creates a key ring. Fails with kInvalidArgument when `keys` is empty or a
  /// key is shorter than kMinKeyBytes.
  static Result<KeyRing> Create(std::vector<std::string> keys);
  /// Creates a key ring from the lines of a file, one key per line; empty lines
  /// are ignored. Fails like Create.
  static Result<KeyRing> FromText(std::string_view text);

  /// Returns `message` with an authentication tag under the first key appended.
  std::string Sign(std::string_view message) const;
  /// Returns the message without its tag when the tag is valid under any of the
  /// keys.
  std::optional<std::string_view> Verify(std::string_view signed_message) const;
  /// Returns the key with identifier `id`, or null.
  const std::string* FindById(std::string_view id) const;
  /// Returns the public identifier of the first key (kIdBytes bytes).
  std::string SigningId() const;
  /// Returns all valid keys.
  const std::vector<std::string>& keys() const { return keys_; }
  const std::string& signing_key() const { return keys_.front(); }

  static constexpr size_t kMinKeyBytes = 16;
  static constexpr size_t kTagBytes = 16;
  static constexpr size_t kIdBytes = 8;

 private:
  explicit KeyRing(std::vector<std::string> keys) : keys_(std::move(keys)) {}
  std::vector<std::string> keys_;
};

}  // namespace primrosecove
