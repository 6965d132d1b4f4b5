// An HTTP/1.1 client for upstreams that may break off, answer twice or stay
// silent: it tells exactly how far each call came.
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
  kComplete,        ///< The whole response is here.
  kNotSent,         ///< No byte of the request left this host.
  kConnectionLost,  ///< The connection ended before the whole response.
  kMalformed,       ///< The other side sent bytes that are no HTTP response.
  kTimeout,         ///< The bound passed; the request may have been served.
};

/// The end of a call. With `on_data`, `body` stays empty.
struct CallResult {
  CallEnd end = CallEnd::kConnectionLost;
  std::optional<Http1Head> head;
  std::string body;
  /// The body had neither length nor chunks and ended with the connection.
  bool unframed = false;
};

struct CallOptions {
  /// From the call to its end; zero for none.
  Milliseconds timeout{0};
  /// From the call to an open connection. Clients and upstreams are at most a
  /// few milliseconds away; a dropped opening packet is repeated after one
  /// second.
  Milliseconds connect_timeout{1500};
  /// Never uses a kept connection, on which a request can be lost unseen.
  bool fresh_connection = false;
  uint64_t max_body_bytes = 16 << 20;
  /// A response whose header of this name has another value belongs to an
  /// earlier request and is skipped. Empty: not checked.
  std::string echo_header;
  std::string echo_value;
  bool head_request = false;  ///< Set by Send from the request's method.
};

struct CallEvents {
  /// Status and headers, before the body. Optional.
  std::function<void(const Http1Head&)> on_head;
  /// A piece of the body; when absent the body is gathered. Optional.
  std::function<void(std::string_view)> on_data;
  /// The end, exactly once unless the call is dropped.
  std::function<void(CallResult)> on_end;
};

class Http1Connection;

/// A call under way. Dropping it closes its connection, which tells the other
/// side that the caller has left. Not thread safe.
class Http1Call {
 public:
  Http1Call(std::weak_ptr<Http1Connection> connection, uint64_t number)
      : connection_(std::move(connection)), number_(number) {}
  ~Http1Call();
  Http1Call(const Http1Call&) = delete;
  Http1Call& operator=(const Http1Call&) = delete;

 private:
  std::weak_ptr<Http1Connection> connection_;
  uint64_t number_;  ///< Which of the connection's calls this is.
};

/// Sends requests over kept connections. Use it on its loop's thread only; it
/// must outlive its calls.
class Http1Client {
 public:
  struct Stats {
    uint64_t connections_opened = 0;
    uint64_t responses_skipped = 0;
  };

  explicit Http1Client(EventLoop* loop);
  ~Http1Client();
  /// Sends `request` to `endpoint`; callbacks never run before Send returns.
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
  void Keep(const std::shared_ptr<Http1Connection>& connection,
            Milliseconds keep_for);
  void Forget(Http1Connection* connection);
  void Sweep();

  EventLoop* loop_;
  std::set<std::shared_ptr<Http1Connection>> busy_;
  std::map<Endpoint, std::deque<Idle>> idle_;
  Timer sweep_timer_;
  Stats stats_;
};

}  // namespace primrosecove
