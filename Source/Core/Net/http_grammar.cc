#include "Core/Net/http_grammar.h"

#include <algorithm>

namespace primrosecove {
namespace {

bool IsTokenByte(unsigned char c) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
         (c >= 'a' && c <= 'z') ||
         kMarks.find(static_cast<char>(c)) != std::string_view::npos;
}

}  // namespace

bool HasOnlyTokenBytes(std::string_view text) {
  return std::all_of(text.begin(), text.end(), IsTokenByte);
}

}  // namespace primrosecove
