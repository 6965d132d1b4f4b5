// HTTP requests, responses and header fields, for clients and servers.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace primrosecove {

/// Header fields in order of addition; names are case-insensitive.
class HttpHeaders {
 public:
  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<std::pair<std::string, std::string>> fields)
      : fields_(fields) {}

  /// Appends a field.
  void Add(std::string name, std::string value);
  /// Replaces all fields named `name` by one field.
  void Set(std::string_view name, std::string value);
  /// Removes all fields named `name`.
  void Remove(std::string_view name);
  /// Returns the value of the first field named `name`. The view is valid until
  /// this object is modified or destroyed.
  std::optional<std::string_view> Find(std::string_view name) const;
  /// Returns the number of fields named `name`.
  size_t Count(std::string_view name) const;
  const std::vector<std::pair<std::string, std::string>>& fields() const {
    return fields_;
  }

 private:
  std::vector<std::pair<std::string, std::string>> fields_;
};

/// Removes the hop-by-hop fields (RFC 9110, section 7.6.1) and the fields that
/// each sender computes itself.
void RemoveHopByHopFields(HttpHeaders* headers);

/// A received or outgoing request. `target` is the path with its query.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers;
  std::string body;

  /// Returns the part of the target before '?'.
  std::string_view Path() const;
  /// Returns the value of a query parameter without percent-decoding it.
  std::optional<std::string> QueryValue(std::string_view name) const;
};

/// A complete response.
struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

}  // namespace primrosecove
