#include "Core/Fleet/event_framer.h"

#include "Core/Common/text.h"

namespace primrosecove {
namespace {

// Returns the end of the first complete event in `text`, or npos. Lines end
// with LF or CRLF; a blank line ends the event.
size_t EventEnd(std::string_view text) {
  size_t at = 0;
  while (true) {
    at = text.find('\n', at);
    if (at == std::string_view::npos) return at;
    std::string_view rest = text.substr(at + 1);
    if (rest.starts_with('\n')) return at + 2;
    if (rest.starts_with("\r\n")) return at + 3;
    ++at;
  }
}

std::optional<uint64_t> ParseEventId(std::string_view event) {
  for (size_t at = 0; at < event.size();) {
    size_t end = event.find('\n', at);
    if (end == std::string_view::npos) end = event.size();
    std::string_view line = event.substr(at, end - at);
    at = end + 1;
    if (!line.starts_with("id:")) continue;
    line.remove_prefix(3);
    while (line.starts_with(' ')) line.remove_prefix(1);
    while (line.ends_with('\r')) line.remove_suffix(1);
    return ParseU64(line);
  }
  return std::nullopt;
}

}  // namespace

void EventFramer::Push(std::string_view bytes, const Handler& handler) {
  buf_.append(bytes);
  size_t begin = 0;
  std::string_view all = buf_;
  while (true) {
    size_t n = EventEnd(all.substr(begin));
    if (n == std::string_view::npos) break;
    std::string_view text = all.substr(begin, n);
    handler({text, ParseEventId(text)});
    begin += n;
  }
  buf_.erase(0, begin);
}

}  // namespace primrosecove
