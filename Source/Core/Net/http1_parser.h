// A strict HTTP/1.1 parser for traffic with callers and upstreams.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "Core/Net/http_types.h"

namespace primrosecove {

/// The part of a message before its body. A request fills `method` and
/// `target`, a response fills `status` and `reason`.
struct Http1Head {
  std::string method;
  std::string target;
  int status = 0;
  std::string reason;
  HttpHeaders headers;
  bool keep_alive = false;
  /// The body ends with the connection: it has neither length nor chunks.
  bool ends_with_connection = false;
  std::optional<uint64_t> content_length;
};

/// Parses one message after another from one connection. Not thread safe.
class Http1Parser {
 public:
  enum class Kind { kRequest, kResponse };
  /// What Parse reports; the callbacks must not destroy the parser.
  struct Events {
    std::function<void(Http1Head)> on_head;
    std::function<void(std::string_view)> on_body;
    std::function<void()> on_complete;
  };

  Http1Parser(Kind kind, uint32_t max_head_bytes, Events events);
  Http1Parser(const Http1Parser&) = delete;
  Http1Parser& operator=(const Http1Parser&) = delete;

  /// Responses have no body, whatever their head says: they answer HEAD.
  void SkipBodies() { skip_body_ = true; }
  /// Takes bytes up to the end of the current message and returns how many;
  /// fewer than given only at a message's end or when failed() turns true.
  size_t Parse(std::string_view bytes);
  /// Tells the end of the connection; completes a body that ends with it.
  void ParseEnd();
  /// The bytes were no message, or the head was over its limit.
  bool failed() const { return failed_; }
  bool head_too_large() const { return head_too_large_; }
  /// A message has begun and is not complete.
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

  bool CountHeadBytes(size_t n);
  void FinishHeader();

  http_parser parser_;
  uint32_t max_head_bytes_;
  Events events_;
  Http1Head head_;
  std::string field_;
  std::string value_;
  size_t head_bytes_ = 0;
  bool value_begun_ = false;
  bool in_message_ = false;
  bool complete_ = false;
  bool skip_body_ = false;
  bool failed_ = false;
  bool head_too_large_ = false;
};

}  // namespace primrosecove
