// Splits a byte stream of server-sent events into complete events (WHATWG HTML,
// section 9.2).
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace primrosecove {

/// One complete event with its terminating blank line.
struct StreamEvent {
  std::string_view text;  ///< Valid during the callback.
  std::optional<uint64_t> id;
};

/// Buffers bytes and passes on complete events only, so that a connection lost
/// in the middle of an event never shows to a caller. Not thread safe.
class EventFramer {
 public:
  using Handler = std::function<void(const StreamEvent&)>;
  /// Appends bytes and calls `handler` for each event that they complete.
  void Push(std::string_view bytes, const Handler& handler);
  /// Number of buffered bytes of an incomplete event.
  size_t partial_bytes() const { return buf_.size(); }
  /// Discards an incomplete event.
  void Reset() { buf_.clear(); }

 private:
  std::string buf_;
};

}  // namespace primrosecove
