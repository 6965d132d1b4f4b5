// Base64 (RFC 4648, section 4), in which the key-value service's gateway
// represents keys and values.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace primrosecove {

/// Encodes `raw` with padding. Thread safe.
std::string ToBase64(std::string_view raw);
/// Decodes padded base64; returns std::nullopt if `text` is malformed. Thread
/// safe.
std::optional<std::string> FromBase64(std::string_view text);

}  // namespace primrosecove
