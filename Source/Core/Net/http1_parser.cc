#include "Core/Net/http1_parser.h"

#include <limits>
#include <utility>

#include "Core/Common/text.h"

namespace primrosecove {
namespace {

// The library's limit on a head, above every limit of a connection.
constexpr uint32_t kMaxLibraryHeadBytes = 16 << 20;
// Bounds white space, line ends, chunk sizes and chunk extensions, which
// callbacks don't see.
constexpr size_t kMaxFramingBytes = 64 << 10;

Http1Parser* Self(http_parser* parser) {
  return static_cast<Http1Parser*>(parser->data);
}

// Returns whether a response may have the status (RFC 9110, section 15). The
// product never asks for another protocol, so that 101 is invalid.
bool IsValidStatus(unsigned status) {
  constexpr unsigned kFirst = 100;
  constexpr unsigned kSwitchingProtocols = 101;
  constexpr unsigned kLast = 599;
  return status >= kFirst && status <= kLast && status != kSwitchingProtocols;
}

// Returns whether the body has no transfer coding or is sent in chunks, which
// HTTP/1.0 does not know (RFC 9112, section 6.1). The product asks for no other
// coding.
bool HasKnownCoding(const http_parser& parser, const HttpHeaders& headers) {
  size_t n = headers.Count("Transfer-Encoding");
  if (n == 0) return true;
  bool is_chunked = (parser.flags & F_CHUNKED) != 0;
  return n == 1 && is_chunked && parser.http_minor > 0 &&
         ToLower(*headers.Find("Transfer-Encoding")) == "chunked";
}

// Returns whether the status alone ends the message after its head (RFC 9112,
// section 6.3).
bool HasNoBody(const http_parser& parser) {
  constexpr unsigned kFirstFinalStatus = 200;
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return parser.type == HTTP_RESPONSE &&
         (parser.status_code < kFirstFinalStatus ||
          parser.status_code == kNoContent ||
          parser.status_code == kNotModified);
}

// Returns whether the message body ends when the connection is closed (RFC
// 9112, section 6.3).
bool IsCloseDelimited(const http_parser& parser) {
  if (parser.type == HTTP_REQUEST || HasNoBody(parser)) return false;
  return (parser.flags & F_CHUNKED) == 0 &&
         parser.content_length == std::numeric_limits<uint64_t>::max();
}

}  // namespace

const http_parser_settings& Http1Parser::Settings() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings out;
    // The library's own limit is set at compile time and may be lower than that
    // of a connection.
    http_parser_set_max_header_size(kMaxLibraryHeadBytes);
    http_parser_settings_init(&out);
    out.on_message_begin = OnMessageBegin;
    out.on_url = OnUrl;
    out.on_status = OnStatus;
    out.on_header_field = OnHeaderField;
    out.on_header_value = OnHeaderValue;
    out.on_headers_complete = OnHeadersComplete;
    out.on_body = OnBody;
    out.on_message_complete = OnMessageComplete;
    return out;
  }();
  return kSettings;
}

Http1Parser::Http1Parser(Kind kind, uint32_t max_head_bytes, Events events)
    : head_grammar_(kind),
      max_head_bytes_(max_head_bytes),
      events_(std::move(events)) {
  http_parser_init(&parser_,
                   kind == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
}

size_t Http1Parser::Parse(std::string_view bytes) {
  if (failed_) return 0;
  // Nothing of a malformed head takes effect.
  auto head_size = head_grammar_.Check(bytes);
  if (!head_size) {
    failed_ = true;
    return 0;
  }
  checked_to_ = bytes.data() + *head_size;
  complete_ = false;
  has_body_data_ = false;
  size_t n =
      http_parser_execute(&parser_, &Settings(), bytes.data(), bytes.size());
  if (!CheckChunks(bytes.data() + n)) {
    failed_ = true;
    return n;
  }
  if (complete_) {
    bytes_without_body_ = 0;
    head_grammar_.Reset();
    http_parser_pause(&parser_, 0);
    return n;
  }
  bytes_without_body_ = has_body_data_ ? 0 : bytes_without_body_ + n;
  if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parser_.upgrade != 0 ||
      bytes_without_body_ > max_head_bytes_ + kMaxFramingBytes) {
    failed_ = true;
  }
  return n;
}

void Http1Parser::ParseEnd() {
  if (failed_ || !in_message_) return;
  http_parser_execute(&parser_, &Settings(), nullptr, 0);
  if (!complete_) failed_ = true;
}

bool Http1Parser::CheckChunks(const char* end) {
  if (!is_chunked_ || end <= checked_to_) return true;
  std::string_view bytes(checked_to_, static_cast<size_t>(end - checked_to_));
  checked_to_ = end;
  return chunk_grammar_.Check(bytes);
}

bool Http1Parser::CountHeadBytes(size_t n) {
  head_bytes_ += n;
  if (head_bytes_ <= max_head_bytes_) return true;
  head_too_large_ = true;
  return false;
}

void Http1Parser::FinishHeader() {
  if (has_value_) {
    // The library removes the blanks before a value only.
    value_.erase(value_.find_last_not_of(" \t") + 1);
    head_.headers.Add(std::exchange(field_, {}), std::exchange(value_, {}));
  }
  has_value_ = false;
}

int Http1Parser::OnMessageBegin(http_parser* parser) {
  Http1Parser* self = Self(parser);
  self->head_ = Http1Head();
  self->field_.clear();
  self->value_.clear();
  self->head_bytes_ = 0;
  self->has_value_ = false;
  self->in_message_ = true;
  self->is_chunked_ = false;
  self->chunk_grammar_.Reset();
  return 0;
}

int Http1Parser::OnUrl(http_parser* parser, const char* at, size_t n) {
  Self(parser)->head_.target.append(at, n);
  return Self(parser)->CountHeadBytes(n) ? 0 : 1;
}

int Http1Parser::OnStatus(http_parser* parser, const char* at, size_t n) {
  Self(parser)->head_.reason.append(at, n);
  return Self(parser)->CountHeadBytes(n) ? 0 : 1;
}

int Http1Parser::OnHeaderField(http_parser* parser, const char* at, size_t n) {
  Http1Parser* self = Self(parser);
  self->FinishHeader();
  if (self->head_.headers.fields().size() >= kMaxFields) {
    self->head_too_large_ = true;
    return 1;
  }
  self->field_.append(at, n);
  return self->CountHeadBytes(n) ? 0 : 1;
}

int Http1Parser::OnHeaderValue(http_parser* parser, const char* at, size_t n) {
  Http1Parser* self = Self(parser);
  self->has_value_ = true;
  self->value_.append(at, n);
  return self->CountHeadBytes(n) ? 0 : 1;
}

int Http1Parser::OnHeadersComplete(http_parser* parser) {
  Http1Parser* self = Self(parser);
  constexpr int kMalformed = -1;
  self->FinishHeader();
  Http1Head& head = self->head_;
  if (parser->type == HTTP_RESPONSE && !IsValidStatus(parser->status_code))
    return kMalformed;
  if (!HasKnownCoding(*parser, head.headers)) return kMalformed;
  if (parser->http_major != 1) {
    self->unsupported_version_ = true;
    return kMalformed;
  }
  if (parser->type == HTTP_REQUEST) {
    // RFC 9112, section 3.2.
    if (head.headers.Count("Host") > 1) return kMalformed;
    head.method = http_method_str(static_cast<http_method>(parser->method));
  }
  head.status = static_cast<int>(parser->status_code);
  head.keep_alive = http_should_keep_alive(parser) != 0;
  head.close_delimited = IsCloseDelimited(*parser);
  if (parser->content_length != std::numeric_limits<uint64_t>::max()) {
    head.content_length = parser->content_length;
  }
  bool skips_body = self->skip_body_ || HasNoBody(*parser);
  self->is_chunked_ = (parser->flags & F_CHUNKED) != 0 && !skips_body;
  if (self->events_.on_head) self->events_.on_head(std::move(head));
  constexpr int kSkipBody = 1;
  return skips_body ? kSkipBody : 0;
}

int Http1Parser::OnBody(http_parser* parser, const char* at, size_t n) {
  Http1Parser* self = Self(parser);
  if (!self->CheckChunks(at)) return 1;
  self->checked_to_ = at + n;
  self->has_body_data_ = true;
  if (self->events_.on_body) self->events_.on_body({at, n});
  return 0;
}

int Http1Parser::OnMessageComplete(http_parser* parser) {
  Http1Parser* self = Self(parser);
  self->in_message_ = false;
  self->complete_ = true;
  // The next message must not be parsed before the response to this one is
  // complete.
  http_parser_pause(parser, 1);
  if (self->events_.on_complete) self->events_.on_complete();
  return 0;
}

}  // namespace primrosecove
