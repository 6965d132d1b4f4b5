// The platform's list of live and leaving hosts, which may be out of date.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Core/Common/error.h"
#include "Core/Net/endpoint.h"
#include "Core/Net/http_client.h"

namespace primrosecove {

/// An entry of the platform's host list.
struct ListedHost {
  std::string name;
  Endpoint peer;  ///< Address at which peers reach the host's process.
  bool leaving = false;
};

/// Fetches the host list. Use it on its loop's thread only.
class HostList {
 public:
  using Callback = std::function<void(Result<std::vector<ListedHost>>)>;
  virtual ~HostList() = default;
  /// Fetches the list once; cancels a fetch in flight.
  virtual void Fetch(Callback done) = 0;
};

/// Fetches the list as JSON over HTTP:
/// {"hosts":[{"name","peer":"IP:PORT","state":"live"|"leaving"}]}.
class HttpHostList : public HostList {
 public:
  HttpHostList(EventLoop* loop, Endpoint endpoint);
  void Fetch(Callback done) override;

 private:
  HttpClient client_;
  Endpoint endpoint_;
  std::unique_ptr<HttpCall> call_;
};

}  // namespace primrosecove
