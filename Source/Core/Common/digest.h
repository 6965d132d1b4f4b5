// SHA-256 digests, HMACs, rendezvous hashing and random values.
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

/// A SHA-256 digest. Ordered and hashable; safe to copy between threads.
struct Digest {
  static constexpr size_t kBytes = 32;
  std::array<uint8_t, kBytes> bytes{};

  auto operator<=>(const Digest&) const = default;

  /// Returns 64 lower-case hexadecimal digits.
  std::string ToHex() const;
  /// Returns the first 12 hexadecimal digits, for logs.
  std::string ShortHex() const;
  /// Returns the first 8 bytes as a big-endian number, the short form in which
  /// host records identify manifests.
  uint64_t Prefix64() const;
  /// Returns a view of the 32 raw bytes, valid for the lifetime of this object.
  std::string_view View() const;
  /// Parses 64 hexadecimal digits; otherwise fails with kInvalidArgument.
  static Result<Digest> FromHex(std::string_view hex);
  /// Copies 32 raw bytes; fails with kInvalidArgument for any other size.
  static Result<Digest> FromRaw(std::string_view raw);
};

/// Computes the SHA-256 digest of `data`. Thread safe.
Digest Sha256(std::string_view data);

/// Computes HMAC-SHA-256 (RFC 2104) of `data` under `key`. Thread safe.
Digest HmacSha256(std::string_view key, std::string_view data);

/// Compares two strings in a time that does not depend on where they differ.
/// Thread safe.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

/// Returns the score of `candidate` for `item` in rendezvous hashing (Thaler
/// and Ravishankar, 1998). Equal inputs give equal scores in every process.
/// Thread safe.
uint64_t RendezvousScore(std::string_view item, std::string_view candidate);

/// Returns `n` bytes from OpenSSL's cryptographic random generator. Thread
/// safe.
std::string RandomBytes(size_t n);

/// Returns 64 bits from OpenSSL's cryptographic random generator. Thread safe.
uint64_t RandomU64();

}  // namespace primrosecove

template <>
struct std::hash<primrosecove::Digest> {
  size_t operator()(const primrosecove::Digest& d) const noexcept {
    return std::hash<std::string_view>{}(d.View());
  }
};
