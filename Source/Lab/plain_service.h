// A fake HTTP service that records each request it executes.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "Core/Net/http_server.h"
#include "Lab/record_file.h"

namespace primrosecove {

/// Records each request on arrival and after `work_ms` responds with its
/// method, path and body, whatever they are. Not thread safe.
class PlainService {
 public:
  /// `work_ms` is the duration of a request. `record` must outlive the service.
  PlainService(EventLoop* loop, Endpoint listen, uint64_t work_ms,
               RecordFile* record);
  Result<void> Start() { return server_.Listen(listen_); }

 private:
  void Handle(const std::shared_ptr<HttpExchange>& exchange);

  EventLoop* loop_;
  Endpoint listen_;
  uint64_t work_ms_;
  RecordFile* record_;
  HttpServer server_;
};

}  // namespace primrosecove
