// Calls that each want one whole answer.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "Core/Common/error.h"
#include "Core/Net/http1_client.h"

namespace primrosecove {

/// Holds calls until they end; dropping the set drops them. Use it on its
/// client's loop thread only.
class Http1Calls {
 public:
  using Callback = std::function<void(Result<HttpResponse>)>;
  /// Precondition: `client` outlives this object.
  explicit Http1Calls(Http1Client* client) : client_(client) {}
  /// Sends and reports the whole response; fails with kUnavailable when nothing
  /// was sent and with kTimeout when the answer was not whole in `bound`.
  void Send(const Endpoint& endpoint, const HttpRequest& request,
            Milliseconds bound, Callback callback);
  size_t size() const { return calls_.size(); }
  /// Drops all calls.
  void Clear() { calls_.clear(); }

 private:
  Http1Client* client_;
  uint64_t next_ = 0;
  std::map<uint64_t, std::unique_ptr<Http1Call>> calls_;
};

}  // namespace primrosecove
