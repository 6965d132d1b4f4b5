#include "Core/Platform/host_list.h"

#include <nlohmann/json.hpp>

namespace primrosecove {
namespace {

using Json = nlohmann::json;

constexpr Milliseconds kFetchTimeout{5000};

std::string GetText(const Json& object, const char* key) {
  if (!object.is_object() || !object.contains(key) || !object[key].is_string())
    return {};
  return object[key].get<std::string>();
}

Result<std::vector<ListedHost>> ParseHosts(const std::string& body) {
  Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("hosts") ||
      !json["hosts"].is_array()) {
    return Fail(ErrorCode::kUnavailable, "host list: malformed response");
  }
  std::vector<ListedHost> out;
  for (const Json& it : json["hosts"]) {
    auto peer = Endpoint::Parse(GetText(it, "peer"));
    if (!peer) continue;
    out.push_back(
        {GetText(it, "name"), peer.value(), GetText(it, "state") == "leaving"});
  }
  return out;
}

}  // namespace

HttpHostList::HttpHostList(EventLoop* loop, Endpoint endpoint)
    : client_(loop), endpoint_(std::move(endpoint)) {}

void HttpHostList::Fetch(Callback done) {
  HttpCallbacks callbacks;
  callbacks.on_response = [done](const HttpResponse& response) {
    if (response.status == 200) return done(ParseHosts(response.body));
    done(Fail(ErrorCode::kUnavailable, "host list: unexpected status " +
                                           std::to_string(response.status)));
  };
  callbacks.on_failure = [done](const HttpFailure& failure) {
    done(Fail(failure.error.code, "host list: " + failure.error.message));
  };
  HttpRequest req{
      .method = "GET", .target = "/hosts", .headers = {}, .body = {}};
  call_ = client_.Send(endpoint_, req, {.timeout = kFetchTimeout}, callbacks);
}

}  // namespace primrosecove
