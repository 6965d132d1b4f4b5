#include "Core/Net/http1_calls.h"

#include <utility>

namespace primrosecove {
namespace {

// The latency between hosts is a few milliseconds. With a short timeout the
// next attempt reaches a recovered host at once, without waiting for the
// retransmission of a dropped SYN.
constexpr Milliseconds kConnectTimeout{300};

}  // namespace

void Http1Calls::Send(const Endpoint& endpoint, const HttpRequest& request,
                      Milliseconds response_timeout, Callback callback) {
  CallOptions options;
  options.timeout = response_timeout;
  options.connect_timeout = kConnectTimeout;
  Send(endpoint, request, options, std::move(callback));
}

void Http1Calls::Send(const Endpoint& endpoint, const HttpRequest& request,
                      const CallOptions& options, Callback callback) {
  uint64_t number = next_++;
  CallEvents events;
  events.on_end = [this, number,
                   callback = std::move(callback)](CallResult result) {
    calls_.erase(number);
    if (result.end == CallEnd::kComplete) {
      HttpResponse response;
      response.status = result.head->status;
      response.headers = std::move(result.head->headers);
      response.body = std::move(result.body);
      return callback(std::move(response));
    }
    if (result.refused)
      return callback(Fail(ErrorCode::kUnavailable, "connection refused"));
    bool timed_out =
        result.end == CallEnd::kTimeout || result.end == CallEnd::kNotSent;
    callback(timed_out
                 ? Fail(ErrorCode::kTimeout, "no response in time")
                 : Fail(ErrorCode::kCorrupt, "incomplete or invalid response"));
  };
  calls_[number] = client_->Send(endpoint, request, options, std::move(events));
}

}  // namespace primrosecove
