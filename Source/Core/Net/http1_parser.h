// A strict HTTP/1.1 parser for traffic with clients and upstreams: a library
// reads the messages, and http_grammar.h rejects what it wrongly accepts.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "Core/Net/http_grammar.h"
#include "Core/Net/http_types.h"

namespace primrosecove {

/// The head of a message: start line and header fields. `method` and `target`
/// are set for requests, `status` and `reason` for responses.
struct Http1Head {
  std::string method;
  std::string target;
  int status = 0;
  std::string reason;
  HttpHeaders headers;
  bool keep_alive = false;
  /// The body has neither a length nor a chunked encoding and ends when the
  /// connection is closed (RFC 9112, section 6.3).
  bool close_delimited = false;
  std::optional<uint64_t> content_length;
};

/// Parses the successive messages of one connection. Not thread safe.
class Http1Parser {
 public:
  using Kind = HeadGrammar::Kind;
  /// Limits the fields of a head, each of which takes more memory than its
  /// bytes.
  static constexpr size_t kMaxFields = 256;
  /// Callbacks of Parse; they must not destroy the parser.
  struct Events {
    std::function<void(Http1Head)> on_head;
    std::function<void(std::string_view)> on_body;
    std::function<void()> on_complete;
  };

  Http1Parser(Kind kind, uint32_t max_head_bytes, Events events);
  Http1Parser(const Http1Parser&) = delete;
  Http1Parser& operator=(const Http1Parser&) = delete;

  /// Sets the limit on the bytes of names, values and start line in the heads
  /// of the messages that begin from now on.
  void SetMaxHeadBytes(uint32_t max_head_bytes) {
    max_head_bytes_ = max_head_bytes;
  }
  /// Treats all messages as having no body, whatever their header fields state;
  /// for the responses to HEAD requests.
  void SkipBodies() { skip_body_ = true; }
  /// Parses `bytes` up to the end of the current message and returns the number
  /// of bytes consumed. It is less than the number given only at the end of a
  /// message or when failed() becomes true.
  size_t Parse(std::string_view bytes);
  /// Signals the end of the connection, which completes a close-delimited body.
  void ParseEnd();
  /// Returns whether the bytes were not a valid message, the head exceeded its
  /// limit, or there were too many bytes around the body's data.
  bool failed() const { return failed_; }
  bool head_too_large() const { return head_too_large_; }
  /// Returns whether the message has a major version other than 1.
  bool unsupported_version() const { return unsupported_version_; }
  /// Returns whether a message has begun and is incomplete.
  bool in_message() const { return in_message_; }

 private:
  static int OnMessageBegin(http_parser* parser);
  static int OnUrl(http_parser* parser, const char* at, size_t n);
  static int OnStatus(http_parser* parser, const char* at, size_t n);
  static int OnHeaderField(http_parser* parser, const char* at, size_t n);
  static int OnHeaderValue(http_parser* parser, const char* at, size_t n);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, size_t n);
  static int OnMessageComplete(http_parser* parser);
  static const http_parser_settings& Settings();

  // Checks the bytes before `end` that belong to no chunk's data.
  bool CheckChunks(const char* end);
  bool CountHeadBytes(size_t n);
  void FinishHeader();

  http_parser parser_;
  HeadGrammar head_grammar_;
  ChunkGrammar chunk_grammar_;
  uint32_t max_head_bytes_;
  Events events_;
  Http1Head head_;
  std::string field_;
  std::string value_;
  size_t head_bytes_ = 0;
  size_t bytes_without_body_ = 0;  // Parsed since the last data of a body.
  bool has_body_data_ = false;     // In the current call of Parse.
  // In the bytes that Parse was given: the end of those that are checked, or
  // are data.
  const char* checked_to_ = nullptr;
  bool is_chunked_ = false;
  bool has_value_ = false;
  bool in_message_ = false;
  bool complete_ = false;
  bool skip_body_ = false;
  bool failed_ = false;
  bool head_too_large_ = false;
  bool unsupported_version_ = false;
};

}  // namespace primrosecove
