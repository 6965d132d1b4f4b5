// The ways in which the product reads HTTP responses, for tests.
#pragma once

#include <array>
#include <functional>
#include <optional>

#include "../test_support.h"
#include "Core/Net/http1_calls.h"
#include "Core/Net/http_client.h"

namespace primrosecove {

enum class ReadOutcome { kComplete, kTimeout, kFailed };

inline constexpr Milliseconds kReadTimeout{5000};

// Routers to upstreams, and their store.
inline ReadOutcome ReadByHttp1Client(EventLoop* loop, const Endpoint& server) {
  Http1Client client(loop);
  std::optional<CallEnd> end;
  CallOptions options;
  options.timeout = kReadTimeout;
  CallEvents events;
  events.on_end = [&](const CallResult& it) { end = it.end; };
  auto call = client.Send(server, {}, options, std::move(events));
  RunUntil(loop, [&] { return end.has_value(); });
  if (end == CallEnd::kComplete) return ReadOutcome::kComplete;
  return end == CallEnd::kTimeout ? ReadOutcome::kTimeout
                                  : ReadOutcome::kFailed;
}

// Agents to engines, origin and peers.
inline ReadOutcome ReadByHttp1Calls(EventLoop* loop, const Endpoint& server) {
  Http1Client client(loop);
  Http1Calls calls(&client);
  std::optional<ReadOutcome> out;
  calls.Send(server, {}, kReadTimeout, [&](const Result<HttpResponse>& it) {
    if (it) {
      out = ReadOutcome::kComplete;
    } else {
      out = it.error().code == ErrorCode::kTimeout ? ReadOutcome::kTimeout
                                                   : ReadOutcome::kFailed;
    }
  });
  RunUntil(loop, [&] { return out.has_value(); });
  return *out;
}

// The product's own routers, agents and key-value service.
inline ReadOutcome ReadByHttpClient(EventLoop* loop, const Endpoint& server) {
  HttpClient client(loop);
  std::optional<ReadOutcome> out;
  HttpCallbacks callbacks;
  callbacks.on_response = [&](const HttpResponse&) {
    out = ReadOutcome::kComplete;
  };
  callbacks.on_failure = [&](const HttpFailure& it) {
    out = it.error.code == ErrorCode::kTimeout ? ReadOutcome::kTimeout
                                               : ReadOutcome::kFailed;
  };
  auto call = client.Send(server, {}, {.timeout = kReadTimeout}, callbacks);
  RunUntil(loop, [&] { return out.has_value(); });
  return *out;
}

struct ResponseReader {
  const char* name;
  std::function<ReadOutcome(EventLoop*, const Endpoint&)> read;
};

inline std::array<ResponseReader, 3> ResponseReaders() {
  return {{{"Http1Client", ReadByHttp1Client},
           {"Http1Calls", ReadByHttp1Calls},
           {"HttpClient", ReadByHttpClient}}};
}

}  // namespace primrosecove
