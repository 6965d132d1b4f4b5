// String helpers: splitting, parsing numbers, spelling suggestions, reading
// files.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/error.h"

namespace primrosecove {

/// Splits `text` at each `separator`; an empty text gives no parts, and a
/// trailing separator adds none. Thread safe.
std::vector<std::string> Split(std::string_view text, char separator);

/// Parses a non-negative decimal integer that fills `text`; returns
/// std::nullopt otherwise. Thread safe.
std::optional<uint64_t> ParseU64(std::string_view text);

/// Parses a non-negative decimal number without exponent, such as "2" or "0.5",
/// that fills `text`; returns std::nullopt otherwise. Thread safe.
std::optional<double> ParseDecimal(std::string_view text);

/// Returns the candidate with the smallest edit distance to `word`, or
/// std::nullopt if every distance exceeds half the word's length (at least 1)
/// and a misspelling is unlikely. Thread safe.
std::optional<std::string> NearestName(
    std::string_view word, std::span<const std::string_view> candidates);

/// Converts ASCII letters to lower case. Thread safe.
std::string ToLower(std::string_view text);

/// Returns the contents of a file; fails with kNotFound and the path in the
/// message if it cannot be opened. Thread safe.
Result<std::string> ReadFile(const std::string& path);

}  // namespace primrosecove
