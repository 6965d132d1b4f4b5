#include "Core/Operator/rpc_client.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

namespace primrosecove {

RpcResult CallRpc(const std::string& url, const std::string& method,
                  long timeout_ms) {
  try {
    jsonrpc::HttpClient connector(url);
    connector.SetTimeout(timeout_ms);
    jsonrpc::Client client(connector);
    Json::Value value =
        client.CallMethod(method, Json::Value(Json::objectValue));
    return {true, Json::FastWriter().write(value)};
  } catch (const jsonrpc::JsonRpcException& e) {
    return {false, e.GetMessage()};
  }
}

}  // namespace primrosecove
