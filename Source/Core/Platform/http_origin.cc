#include "Core/Platform/http_origin.h"

#include <utility>

#include "Core/Common/text.h"

namespace primrosecove {
namespace {

constexpr uint64_t kMaxManifestBytes = 16 << 20;
constexpr uint64_t kUnknownSize = UINT64_MAX;

class HttpFetch : public OriginFetch {
 public:
  std::unique_ptr<HttpCall> call;
  std::string body;
};

Milliseconds ParseRetryAfter(const HttpResponse& response) {
  auto text = response.headers.Find("Retry-After");
  auto seconds = text ? ParseU64(*text) : std::nullopt;
  return seconds ? std::chrono::seconds(*seconds) : Milliseconds(0);
}

}  // namespace

HttpOrigin::HttpOrigin(EventLoop* loop, Endpoint endpoint, Milliseconds timeout)
    : client_(loop), endpoint_(std::move(endpoint)), timeout_(timeout) {}

std::unique_ptr<OriginFetch> HttpOrigin::FetchManifest(const Digest& manifest,
                                                       Callbacks callbacks) {
  HttpRequest req;
  req.target = "/manifests/" + manifest.ToHex();
  return Fetch(req, 200, kUnknownSize, std::move(callbacks));
}

std::unique_ptr<OriginFetch> HttpOrigin::FetchRange(const Digest& manifest,
                                                    uint64_t offset,
                                                    uint64_t size,
                                                    Callbacks callbacks) {
  HttpRequest req;
  req.target = "/weights/" + manifest.ToHex();
  req.headers.Add("Range", "bytes=" + std::to_string(offset) + "-" +
                               std::to_string(offset + size - 1));
  return Fetch(req, 206, size, std::move(callbacks));
}

std::unique_ptr<OriginFetch> HttpOrigin::Fetch(const HttpRequest& request,
                                               int expected_status,
                                               uint64_t expected_size,
                                               Callbacks callbacks) {
  auto fetch = std::make_unique<HttpFetch>();
  HttpFetch* raw = fetch.get();
  HttpCallbacks http;
  http.on_data = [raw, bytes = bytes_received_](std::string_view data) {
    *bytes += data.size();
    raw->body.append(data);
  };
  http.on_response = [raw, callbacks, expected_status,
                      expected_size](const HttpResponse& response) {
    if (response.status != expected_status) {
      callbacks.on_failure(
          {Error{ErrorCode::kUnavailable, "origin: unexpected status " +
                                              std::to_string(response.status)},
           ParseRetryAfter(response)});
      return;
    }
    if (expected_size != kUnknownSize && raw->body.size() != expected_size) {
      callbacks.on_failure(
          {Error{ErrorCode::kCorrupt, "origin: range has an unexpected size"},
           {}});
      return;
    }
    callbacks.on_bytes(std::move(raw->body));
  };
  http.on_failure = [callbacks](const HttpFailure& failure) {
    callbacks.on_failure(
        {Error{failure.error.code, "origin: " + failure.error.message}, {}});
  };
  uint64_t limit =
      expected_size == kUnknownSize ? kMaxManifestBytes : expected_size;
  raw->call = client_.Send(endpoint_, request,
                           {.timeout = timeout_, .max_body_bytes = limit},
                           std::move(http));
  return fetch;
}

}  // namespace primrosecove
