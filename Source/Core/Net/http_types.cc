#include "Core/Net/http_types.h"

#include <strings.h>

#include <algorithm>
#include <array>

#include "Core/Common/text.h"

namespace primrosecove {
namespace {

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

void HttpHeaders::Add(std::string name, std::string value) {
  fields_.emplace_back(std::move(name), std::move(value));
}

void HttpHeaders::Set(std::string_view name, std::string value) {
  Remove(name);
  Add(std::string(name), std::move(value));
}

void HttpHeaders::Remove(std::string_view name) {
  std::erase_if(fields_, [&](const auto& it) {
    return EqualsIgnoreCase(it.first, name);
  });
}

std::optional<std::string_view> HttpHeaders::Find(std::string_view name) const {
  for (const auto& it : fields_) {
    if (EqualsIgnoreCase(it.first, name)) return it.second;
  }
  return std::nullopt;
}

size_t HttpHeaders::Count(std::string_view name) const {
  auto n = std::count_if(fields_.begin(), fields_.end(), [&](const auto& it) {
    return EqualsIgnoreCase(it.first, name);
  });
  return static_cast<size_t>(n);
}

void RemoveHopByHopFields(HttpHeaders* headers) {
  static constexpr std::array<std::string_view, 10> kNames = {
      "Connection",
      "Keep-Alive",
      "Proxy-Authenticate",
      "Proxy-Authorization",
      "TE",
      "Trailer",
      "Upgrade",
      "Transfer-Encoding",
      "Content-Length",
      "Expect"};
  if (auto connection = headers->Find("Connection")) {
    for (std::string& it : Split(*connection, ',')) {
      it.erase(0, it.find_first_not_of(' '));
      headers->Remove(it);
    }
  }
  for (std::string_view it : kNames) headers->Remove(it);
}

std::string_view HttpRequest::Path() const {
  std::string_view path = target;
  return path.substr(0, path.find('?'));
}

std::optional<std::string> HttpRequest::QueryValue(
    std::string_view name) const {
  std::string_view query = target;
  size_t query_start = query.find('?');
  if (query_start == std::string_view::npos) return std::nullopt;
  for (const std::string& it : Split(query.substr(query_start + 1), '&')) {
    size_t equals_sign = it.find('=');
    if (it.substr(0, equals_sign) != name) continue;
    return equals_sign == std::string::npos ? std::string()
                                            : it.substr(equals_sign + 1);
  }
  return std::nullopt;
}

}  // namespace primrosecove
