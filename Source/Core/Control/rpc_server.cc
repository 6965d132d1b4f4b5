#include "Core/Control/rpc_server.h"

#include <jsonrpccpp/server.h>

#include <map>

namespace primrosecove {
namespace {

// Connects the server to RpcServer::Handle instead of a socket.
class InProcessConnector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* out) override {
    *static_cast<std::string*>(out) = response;
    return true;
  }
};

}  // namespace

struct RpcServerImpl : public jsonrpc::AbstractServer<RpcServerImpl> {
  explicit RpcServerImpl(InProcessConnector* in_process_connector)
      : jsonrpc::AbstractServer<RpcServerImpl>(*in_process_connector),
        connector(in_process_connector) {}

  // libjsonrpccpp binds each method to a member function. This override
  // dispatches by name instead, and the bound member (UnusedHandler) never
  // runs.
  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value&,
                        Json::Value& result) override {
    auto it = methods.find(procedure.GetProcedureName());
    if (it == methods.end()) return;
    Json::Reader reader;
    reader.parse(it->second(), result);
  }

  void UnusedHandler(const Json::Value&, Json::Value&) {}

  void Add(const std::string& name) {
    jsonrpc::Procedure procedure(name, jsonrpc::PARAMS_BY_NAME,
                                 jsonrpc::JSON_OBJECT, nullptr);
    bindAndAddMethod(procedure, &RpcServerImpl::UnusedHandler);
  }

  std::unique_ptr<InProcessConnector> connector;
  std::map<std::string, RpcServer::Method> methods;
};

RpcServer::RpcServer()
    : impl_(std::make_unique<RpcServerImpl>(new InProcessConnector)) {}

RpcServer::~RpcServer() = default;

void RpcServer::AddMethod(const std::string& name, Method method) {
  impl_->methods[name] = std::move(method);
  impl_->Add(name);
}

std::string RpcServer::Handle(const std::string& request) {
  std::string response;
  impl_->connector->OnRequest(request, &response);
  return response;
}

}  // namespace primrosecove
