#include "Core/Common/text.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <numeric>

namespace primrosecove {
namespace {

// Returns the Levenshtein distance, computed with one row of the matrix.
size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= b.size(); ++j) {
      size_t substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
    }
  }
  return row[b.size()];
}

}  // namespace

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    size_t at = text.find(separator);
    parts.emplace_back(text.substr(0, at));
    if (at == std::string_view::npos) break;
    text.remove_prefix(at + 1);
  }
  return parts;
}

std::optional<double> ParseDecimal(std::string_view text) {
  // from_chars accepts "inf" and "-1" as well.
  bool is_decimal =
      !text.empty() && text.find_first_not_of("0123456789.") == text.npos;
  if (!is_decimal) return std::nullopt;
  double value = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(),
                                   value, std::chars_format::fixed);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

std::optional<uint64_t> ParseU64(std::string_view text) {
  uint64_t value = 0;
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size() || text.empty())
    return std::nullopt;
  return value;
}

std::optional<std::string> NearestName(
    std::string_view word, std::span<const std::string_view> candidates) {
  std::optional<std::string> best;
  size_t best_distance = std::max<size_t>(1, word.size() / 2) + 1;
  for (std::string_view it : candidates) {
    size_t distance = EditDistance(word, it);
    if (distance >= best_distance) continue;
    best_distance = distance;
    best = std::string(it);
  }
  return best;
}

std::string ToLower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a')
                                : static_cast<char>(c);
  });
  return out;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return Fail(ErrorCode::kNotFound, path + ": cannot be opened");
  return std::string(std::istreambuf_iterator<char>(in), {});
}

}  // namespace primrosecove
