// HTTP calls that deliver the complete response in one callback.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "Core/Common/error.h"
#include "Core/Net/http1_client.h"

namespace primrosecove {

/// Owns calls until they end; destroying the object cancels them. Use it on its
/// client's loop thread only.
class Http1Calls {
 public:
  using Callback = std::function<void(Result<HttpResponse>)>;
  /// Precondition: `client` outlives this object.
  explicit Http1Calls(Http1Client* client) : client_(client) {}
  /// Sends `request` and passes the complete response to `callback`. Fails with
  /// kUnavailable when no process listens at `endpoint`, with kTimeout when the
  /// peer did not accept the connection or complete its response in time, and
  /// with kCorrupt when it sent an incomplete or invalid response. In the last
  /// two cases it may have received the request.
  void Send(const Endpoint& endpoint, const HttpRequest& request,
            Milliseconds response_timeout, Callback callback);
  /// The same with the time limits in `options`.
  void Send(const Endpoint& endpoint, const HttpRequest& request,
            const CallOptions& options, Callback callback);
  size_t size() const { return calls_.size(); }
  /// Cancels all calls.
  void Clear() { calls_.clear(); }

 private:
  Http1Client* client_;
  uint64_t next_ = 0;
  std::map<uint64_t, std::unique_ptr<Http1Call>> calls_;
};

}  // namespace primrosecove
