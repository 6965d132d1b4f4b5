// The grammar of the parts of HTTP/1.1 messages (RFC 9110, RFC 9112). All
// functions are thread safe.
#pragma once

#include <string_view>

namespace primrosecove {

/// Returns whether all bytes may be part of a token, such as the name of a
/// field (RFC 9110, section 5.6.2). True for empty text.
bool HasOnlyTokenBytes(std::string_view text);

/// Returns whether `text` is a token.
inline bool IsToken(std::string_view text) {
  return !text.empty() && HasOnlyTokenBytes(text);
}

}  // namespace primrosecove
