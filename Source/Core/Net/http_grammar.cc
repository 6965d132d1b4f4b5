#include "Core/Net/http_grammar.h"

namespace primrosecove {
namespace {

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

bool IsHexDigit(char c) {
  return IsDigit(c) || (c >= 'A' && c <= 'F') || (c >= 'a' && c <= 'f');
}

bool IsLineEnd(char c) { return c == '\r' || c == '\n'; }

// Returns whether `c` may be part of a token, such as the name of a field (RFC
// 9110, section 5.6.2).
bool IsTokenByte(char c) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return IsDigit(c) || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
         kMarks.find(c) != std::string_view::npos;
}

// Returns whether `c` may be part of a field value or a reason phrase: tab,
// blank, a visible character or a byte over 127 (RFC 9110, section 5.5).
bool IsTextByte(char c) {
  constexpr unsigned char kDelete = 0x7f;
  auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= ' ' && byte != kDelete);
}

// Returns whether `c` may be part of a request line, whose parts consist of
// visible characters (RFC 9112, section 3).
bool IsRequestLineByte(char c) {
  return (c >= ' ' && c <= '~') || IsLineEnd(c);
}

// Returns whether `c` may be byte `n` of a status line, up to the byte after
// the status (RFC 9112, section 4). The reason may be absent.
bool IsStatusLineByte(size_t n, char c) {
  constexpr std::string_view kForm = "HTTP/1.N NNN";
  if (n == kForm.size()) return c == ' ' || IsLineEnd(c);
  if (n > kForm.size()) return IsTextByte(c) || IsLineEnd(c);
  return kForm[n] == 'N' ? IsDigit(c) : c == kForm[n];
}

}  // namespace

void HeadGrammar::Reset() {
  state_ = State::kStartLine;
  start_line_bytes_ = 0;
}

std::optional<size_t> HeadGrammar::Check(std::string_view bytes) {
  for (size_t i = 0; i < bytes.size(); ++i) {
    if (state_ == State::kEnd) return i;
    if (!Advance(bytes[i])) return std::nullopt;
  }
  return bytes.size();
}

void HeadGrammar::EndLine(char c, State next) {
  state_ = c == '\n' ? next : State::kLineFeed;
  after_line_feed_ = next;
}

bool HeadGrammar::AdvanceStartLine(char c) {
  size_t n = start_line_bytes_++;
  bool is_valid =
      kind_ == Kind::kResponse ? IsStatusLineByte(n, c) : IsRequestLineByte(c);
  if (!is_valid) return false;
  // A request may follow empty lines (RFC 9112, section 2.2).
  bool is_empty = kind_ == Kind::kRequest && n == 0;
  if (IsLineEnd(c)) {
    start_line_bytes_ = 0;
    EndLine(c, is_empty ? State::kStartLine : State::kFieldStart);
  }
  return true;
}

bool HeadGrammar::Advance(char c) {
  switch (state_) {
    case State::kStartLine:
      return AdvanceStartLine(c);
    case State::kFieldStart:
      if (IsLineEnd(c)) {
        EndLine(c, State::kEnd);
        return true;
      }
      // A blank would continue the line before, which is obsolete (RFC 9112,
      // section 5.2).
      state_ = State::kName;
      return IsTokenByte(c);
    case State::kName:
      if (c == ':') state_ = State::kValue;
      return c == ':' || IsTokenByte(c);
    case State::kValue:
      if (IsLineEnd(c)) EndLine(c, State::kFieldStart);
      return IsLineEnd(c) || IsTextByte(c);
    case State::kLineFeed:
      state_ = after_line_feed_;
      return c == '\n';
    case State::kEnd:
      break;
  }
  return true;
}

void ChunkGrammar::Reset() {
  state_ = State::kSize;
  is_last_ = true;
}

bool ChunkGrammar::Check(std::string_view bytes) {
  for (size_t i = 0; i < bytes.size(); ++i) {
    if (state_ == State::kTrailer)
      return trailer_.Check(bytes.substr(i)).has_value();
    if (!Advance(bytes[i])) return false;
  }
  return true;
}

bool ChunkGrammar::Advance(char c) {
  switch (state_) {
    case State::kSize:
      if (IsHexDigit(c)) {
        is_last_ = is_last_ && c == '0';
        return true;
      }
      state_ = c == '\r' ? State::kSizeLineFeed : State::kExtension;
      return c == '\r' || c == ';' || c == ' ' || c == '\t';
    case State::kExtension:
      if (c == '\r') state_ = State::kSizeLineFeed;
      return c == '\r' || IsTextByte(c);
    case State::kSizeLineFeed:
      state_ = is_last_ ? State::kTrailer : State::kDataCarriageReturn;
      if (is_last_) trailer_.BeginTrailer();
      return c == '\n';
    case State::kDataCarriageReturn:
      state_ = State::kDataLineFeed;
      return c == '\r';
    case State::kDataLineFeed:
      Reset();
      return c == '\n';
    case State::kTrailer:
      break;
  }
  return true;
}

}  // namespace primrosecove
