// JSON-RPC 2.0 server for operators' queries on the admin address of a process.
#pragma once

#include <functional>
#include <memory>
#include <string>

namespace primrosecove {

struct RpcServerImpl;

/// Dispatches JSON-RPC through libjsonrpccpp without a thread or socket of its
/// own: the process's HTTP server passes in request bodies. Not thread safe.
class RpcServer {
 public:
  /// Returns the result as JSON.
  using Method = std::function<std::string()>;
  RpcServer();
  ~RpcServer();
  /// Registers a method without parameters.
  void AddMethod(const std::string& name, Method method);
  /// Handles a request body and returns the response body.
  std::string Handle(const std::string& request);

 private:
  std::unique_ptr<RpcServerImpl> impl_;
};

}  // namespace primrosecove
