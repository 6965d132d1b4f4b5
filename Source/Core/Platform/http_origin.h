// Client of the weight origin over HTTP: GET /manifests/DIGEST, and GET
// /weights/DIGEST with a Range field.
#pragma once

#include "Core/Net/endpoint.h"
#include "Core/Net/http_client.h"
#include "Core/Platform/origin.h"

namespace primrosecove {

/// Fetches ranges with Range requests (RFC 9110, section 14). Failures carry
/// the Retry-After of responses with an unexpected status such as 429 and 503.
class HttpOrigin : public Origin {
 public:
  HttpOrigin(EventLoop* loop, Endpoint endpoint, Milliseconds timeout);
  std::unique_ptr<OriginFetch> FetchManifest(const Digest& manifest,
                                             Callbacks callbacks) override;
  std::unique_ptr<OriginFetch> FetchRange(const Digest& manifest,
                                          uint64_t offset, uint64_t size,
                                          Callbacks callbacks) override;
  uint64_t bytes_received() const override { return *bytes_received_; }

 private:
  std::unique_ptr<OriginFetch> Fetch(const HttpRequest& request,
                                     int expected_status,
                                     uint64_t expected_size,
                                     Callbacks callbacks);

  HttpClient client_;
  Endpoint endpoint_;
  Milliseconds timeout_;
  // Shared with the fetches, whose callbacks may run after this object's
  // destruction.
  std::shared_ptr<uint64_t> bytes_received_ = std::make_shared<uint64_t>(0);
};

}  // namespace primrosecove
