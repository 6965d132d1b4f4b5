// Cuts an event stream into whole events (WHATWG HTML, section 9.2).
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace primrosecove {

/// One whole event with its closing blank line.
struct StreamEvent {
  std::string_view text;  ///< Valid during the callback.
  std::optional<uint64_t> id;
};

/// Gathers bytes and reports whole events only, so that a break in the middle
/// of an event never reaches a caller. Not thread safe.
class EventFramer {
 public:
  using Handler = std::function<void(const StreamEvent&)>;
  /// Takes bytes and reports each event that they complete.
  void Push(std::string_view bytes, const Handler& handler);
  /// Bytes of an event that is not complete.
  size_t partial_bytes() const { return buf_.size(); }
  /// Forgets a partial event.
  void Reset() { buf_.clear(); }

 private:
  std::string buf_;
};

}  // namespace primrosecove
