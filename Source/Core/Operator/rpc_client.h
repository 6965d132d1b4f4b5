// Blocking JSON-RPC client. A separate library, because libjsonrpccpp's client
// headers compile as C++14 only.
#pragma once

#include <string>

namespace primrosecove {

/// Outcome of a call: JSON if `ok`, otherwise an error message.
struct RpcResult {
  bool ok = false;
  std::string text;
};

/// Calls a method without parameters at `url`; blocks for at most `timeout_ms`
/// milliseconds. Thread safe.
RpcResult CallRpc(const std::string& url, const std::string& method,
                  long timeout_ms);

}  // namespace primrosecove
