// Stored form of a configuration revision: the bundle of source files, and the
// head that names the bundle by its digest.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "Core/Common/digest.h"
#include "Core/Common/error.h"

namespace primrosecove {

/// Unparsed source of the base file and of at most one overlay per site. A
/// value type; reading is thread safe.
struct Bundle {
  std::string base;
  std::map<std::string, std::string> overlays;  ///< Source by site name.

  /// Largest encoded bundle in bytes: the key-value service limits a value to
  /// one megabyte.
  static constexpr size_t kMaxEncodedBytes = 1000 * 1000;

  bool operator==(const Bundle&) const = default;
  /// Returns JSON with sorted keys, so that equal bundles have equal digests.
  std::string Encode() const;
  /// Parses an encoded bundle; fails with kInvalidArgument, or with kTooLarge
  /// above kMaxEncodedBytes.
  static Result<Bundle> Decode(std::string_view text);
};

/// The accepted revision and its bundle. Heads are ordered by revision; `config
/// apply` replaces the head by compare-and-swap, so a revision identifies
/// exactly one bundle.
struct Head {
  uint64_t revision = 0;  ///< 0 before the first accepted revision.
  Digest bundle;
  std::string operation;  ///< Random id of one apply operation; tells a commit
                          ///< whose response was lost from a conflict.
  std::string author;
  int64_t time_ms = 0;  ///< Unix time of acceptance in milliseconds.
  std::string summary;  ///< One-line summary of the changes.

  bool operator==(const Head&) const = default;
  /// Returns the head as JSON.
  std::string Encode() const;
  /// Parses an encoded head; fails with kInvalidArgument.
  static Result<Head> Decode(std::string_view text);
};

}  // namespace primrosecove
