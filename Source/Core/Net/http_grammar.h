// The grammar of HTTP/1.1 messages (RFC 9110, RFC 9112), for bytes that the
// parser's library accepts although they are malformed.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace primrosecove {

/// Checks the successive bytes of a message's head. Not thread safe.
class HeadGrammar {
 public:
  enum class Kind { kRequest, kResponse };
  explicit HeadGrammar(Kind kind) : kind_(kind) {}

  /// Begins with the start line of the next message.
  void Reset();
  /// Begins with the trailer fields of a chunked body.
  void BeginTrailer() { state_ = State::kFieldStart; }
  /// Checks `bytes` up to the end of the head. Returns how many of them belong
  /// to it, or nothing if it is malformed.
  std::optional<size_t> Check(std::string_view bytes);

 private:
  enum class State { kStartLine, kFieldStart, kName, kValue, kLineFeed, kEnd };

  // Whether `c` is valid here; advances the state.
  bool Advance(char c);
  bool AdvanceStartLine(char c);
  // Ends a line at a line feed, or at a carriage return before it.
  void EndLine(char c, State next);

  Kind kind_;
  State state_ = State::kStartLine;
  State after_line_feed_ = State::kFieldStart;
  size_t start_line_bytes_ = 0;
};

/// Checks the successive bytes of a chunked body without the chunks' data (RFC
/// 9112, section 7.1). Not thread safe.
class ChunkGrammar {
 public:
  /// Begins with the size of the first chunk.
  void Reset();
  /// Checks bytes outside the chunks' data, and returns false if they are
  /// malformed. Precondition: the data of the chunk before them is complete.
  bool Check(std::string_view bytes);

 private:
  enum class State {
    kSize,
    kExtension,
    kSizeLineFeed,
    kDataCarriageReturn,
    kDataLineFeed,
    kTrailer
  };

  // Whether `c` is valid here; advances the state.
  bool Advance(char c);

  State state_ = State::kSize;
  bool is_last_ = true;  // The digits of the size so far are zeros.
  HeadGrammar trailer_{HeadGrammar::Kind::kResponse};
};

}  // namespace primrosecove
