// An HTTP/1.1 client that reports exactly how far a call proceeded. It handles
// upstreams that drop connections, send duplicate responses or do not respond.
#pragma once

#include <event2/bufferevent.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "Core/Net/endpoint.h"
#include "Core/Net/event_loop.h"
#include "Core/Net/http1_parser.h"
#include "Core/Net/http_types.h"

namespace primrosecove {

/// How a call ended.
enum class CallEnd {
  kComplete,        ///< The complete response was received.
  kNotSent,         ///< No byte of the request left this host.
  kConnectionLost,  ///< The connection ended before the end of the response.
  kMalformed,       ///< The received bytes are not a valid HTTP response, or
                    ///< exceed a limit.
  kTimeout,         ///< The timeout passed; the request may have been served.
};

/// The result of a call. `body` is empty when `on_data` is set.
struct CallResult {
  CallEnd end = CallEnd::kConnectionLost;
  std::optional<Http1Head> head;
  std::string body;
  /// The body was close-delimited: it had neither a length nor a chunked
  /// encoding and ended with the connection.
  bool ended_by_close = false;
  /// The response lacks the header of CallOptions::echo_header, and an earlier
  /// call used the connection, so it may belong to that one.
  bool may_be_of_earlier_call = false;
  /// With kNotSent: nothing listens at the address.
  bool refused = false;
};

struct CallOptions {
  /// From the start of the call to its end; zero means no timeout.
  Milliseconds timeout{0};
  /// Longest time without received data; zero means no limit.
  Milliseconds stall_timeout{0};
  /// From the start of the call to an established connection. The latency
  /// between clients and upstreams is at most a few milliseconds; a dropped SYN
  /// is retransmitted after one second.
  Milliseconds connect_timeout{1500};
  /// Opens a new connection. On a reused connection a request can be lost
  /// without notice.
  bool fresh_connection = false;
  /// Limits a body that is collected in the result.
  uint64_t max_body_bytes = 4 << 20;
  /// Skips a response in which the header of this name differs from
  /// `echo_value`, because it belongs to an earlier request. Empty: not
  /// checked.
  std::string echo_header;
  std::string echo_value;
  bool head_request = false;  ///< Set by Send from the request's method.
};

struct CallEvents {
  /// Status and headers, before the body. Optional.
  std::function<void(const Http1Head&)> on_head;
  /// Data of the body. Optional; without it the body is collected in the
  /// result.
  std::function<void(std::string_view)> on_data;
  /// Runs exactly once, at the end of the call, unless the call is cancelled.
  std::function<void(CallResult)> on_end;
};

class Http1Connection;

/// An active call. Destroying it cancels the call and closes its connection,
/// which notifies the server. Not thread safe.
class Http1Call {
 public:
  Http1Call(std::weak_ptr<Http1Connection> connection, uint64_t number)
      : connection_(std::move(connection)), number_(number) {}
  ~Http1Call();
  Http1Call(const Http1Call&) = delete;
  Http1Call& operator=(const Http1Call&) = delete;
  /// Stops or resumes reading the response, which applies back-pressure to the
  /// server. The time limits of the call go on.
  void SetReading(bool reading);

 private:
  std::weak_ptr<Http1Connection> connection_;
  uint64_t number_;  ///< Ordinal of this call on its connection.
};

/// Sends requests over pooled keep-alive connections. Use it on its loop's
/// thread only. The client must outlive its calls.
class Http1Client {
 public:
  struct Stats {
    uint64_t connections_opened = 0;
    uint64_t responses_skipped = 0;
  };

  explicit Http1Client(EventLoop* loop);
  ~Http1Client();
  /// Sends `request` to `endpoint`. Callbacks never run before Send returns.
  [[nodiscard]] std::unique_ptr<Http1Call> Send(const Endpoint& endpoint,
                                                const HttpRequest& request,
                                                const CallOptions& options,
                                                CallEvents events);
  /// Closes the idle connections to `endpoint`.
  void DropIdle(const Endpoint& endpoint);
  const Stats& stats() const { return stats_; }

 private:
  friend class Http1Connection;
  struct Idle {
    std::shared_ptr<Http1Connection> connection;
    SteadyTime expires;
  };
  void ReturnToPool(const std::shared_ptr<Http1Connection>& connection,
                    Milliseconds reuse_for);
  void RemoveIdle(Http1Connection* connection);
  void Sweep();

  EventLoop* loop_;
  std::set<std::shared_ptr<Http1Connection>> busy_;
  std::map<Endpoint, std::deque<Idle>> idle_;
  Timer sweep_timer_;
  Stats stats_;
};

}  // namespace primrosecove
