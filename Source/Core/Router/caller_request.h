// A caller's request after parsing: workspace, service, model and execution
// constraints.
#pragma once

#include <cstdint>
#include <string>

#include "Core/Common/error.h"
#include "Core/Config/configuration.h"
#include "Core/Net/event_loop.h"
#include "Core/Net/http_types.h"

namespace primrosecove {

/// The properties of a request that routing uses.
struct CallerRequest {
  std::string workspace;
  uint64_t priority = 1;
  const Service* service = nullptr;  ///< Owned by the configuration.
  const Model* model = nullptr;      ///< Null for a plain service.
  std::string adapter;               ///< Empty if the request names no adapter.
  std::string
      prompt_prefix;  ///< The first bytes of the prompt, for prefix affinity.
  uint32_t max_tokens = 0;
  bool streaming = false;
  std::string execute_once_id;  ///< Set for a request that must execute at most
                                ///< once; else empty.
  bool has_idempotency_key = false;  ///< The id derives from the caller's key,
                                     ///< so the caller's retries carry it too.
  Milliseconds timeout{0};
};

/// The HTTP status and reason for a request that is rejected before routing.
struct RequestError {
  int status = 400;
  std::string message;
};

/// Parses a request and resolves its workspace, service and model in `config`.
/// On failure sets `error` and returns false; the request has not been
/// executed. `config` must outlive `out`. Thread safe.
bool ParseCallerRequest(const Configuration& config, const HttpRequest& http,
                        CallerRequest* out, RequestError* error);

}  // namespace primrosecove
