#include "Core/Common/base64.h"

#include <openssl/evp.h>

namespace primrosecove {

std::string ToBase64(std::string_view raw) {
  std::string out((raw.size() + 2) / 3 * 4 + 1, '\0');
  int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                          reinterpret_cast<const unsigned char*>(raw.data()),
                          static_cast<int>(raw.size()));
  out.resize(static_cast<size_t>(n));
  return out;
}

std::optional<std::string> FromBase64(std::string_view text) {
  if (text.size() % 4 != 0) return std::nullopt;
  std::string out(text.size() / 4 * 3 + 1, '\0');
  int n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                          reinterpret_cast<const unsigned char*>(text.data()),
                          static_cast<int>(text.size()));
  if (n < 0) return std::nullopt;
  size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
  out.resize(static_cast<size_t>(n) - padding);
  return out;
}

}  // namespace primrosecove
