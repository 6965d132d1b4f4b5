// SHA-256 digests, keyed MACs and the hash that ranks hosts.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>

#include "Core/Common/error.h"

namespace primrosecove {

/// A SHA-256 value. Ordered and hashable; safe to copy between threads.
struct Digest {
  static constexpr size_t kBytes = 32;
  std::array<uint8_t, kBytes> bytes{};

  auto operator<=>(const Digest&) const = default;

  /// Returns 64 lower-case hexadecimal digits.
  std::string ToHex() const;
  /// Returns the first 12 hexadecimal digits, for logs.
  std::string ShortHex() const;
  /// Returns the first 8 bytes as a number, by which records name weights.
  uint64_t Prefix64() const;
  /// Views the 32 raw bytes; valid as long as this object.
  std::string_view View() const;
  /// Parses 64 hexadecimal digits, or fails with kInvalidArgument.
  static Result<Digest> FromHex(std::string_view hex);
  /// Takes 32 raw bytes, or fails with kInvalidArgument.
  static Result<Digest> FromRaw(std::string_view raw);
};

/// Hashes `data` with SHA-256. Thread safe.
Digest Sha256(std::string_view data);

/// Computes HMAC-SHA-256 (RFC 2104) of `data` under `key`. Thread safe.
Digest HmacSha256(std::string_view key, std::string_view data);

/// Compares in time that does not depend on where the inputs differ. Thread
/// safe.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

/// Hashes an item and a candidate to the candidate's score for rendezvous
/// hashing (Thaler and Ravishankar, 1998). Equal inputs give equal scores in
/// every process. Thread safe.
uint64_t RendezvousScore(std::string_view item, std::string_view candidate);

/// Returns `n` bytes from the system's random source. Thread safe.
std::string RandomBytes(size_t n);

/// Returns 64 random bits from the system's random source. Thread safe.
uint64_t RandomU64();

}  // namespace primrosecove

template <>
struct std::hash<primrosecove::Digest> {
  size_t operator()(const primrosecove::Digest& d) const noexcept {
    return std::hash<std::string_view>{}(d.View());
  }
};
