#include "Core/Platform/engine_client.h"

#include <nlohmann/json.hpp>

namespace primrosecove {
namespace {

using Json = nlohmann::json;

constexpr Milliseconds kReadStateTimeout{5000};

std::string GetText(const Json& object, const char* key) {
  if (!object.contains(key) || !object[key].is_string()) return {};
  return object[key].get<std::string>();
}

Result<EngineState> ParseState(const std::string& body) {
  Json json = Json::parse(body, nullptr, false);
  if (!json.is_object())
    return Fail(ErrorCode::kUnavailable, "engine: malformed state");
  EngineState out;
  if (json.contains("fencing") && json["fencing"].is_number_unsigned()) {
    out.fencing = json["fencing"].get<uint64_t>();
  }
  out.model = GetText(json, "model");
  out.version = GetText(json, "version");
  if (!out.model.empty()) {
    BOOST_OUTCOME_TRY(manifest, Digest::FromHex(GetText(json, "manifest")));
    out.manifest = manifest;
  }
  if (!json.contains("adapters") || !json["adapters"].is_object()) return out;
  for (const auto& [name, manifest] : json["adapters"].items()) {
    if (!manifest.is_string()) continue;
    BOOST_OUTCOME_TRY(digest, Digest::FromHex(manifest.get<std::string>()));
    out.adapters[name] = digest;
  }
  return out;
}

}  // namespace

HttpEngineClient::HttpEngineClient(EventLoop* loop, Endpoint endpoint,
                                   Milliseconds load_timeout)
    : client_(loop),
      endpoint_(std::move(endpoint)),
      load_timeout_(load_timeout) {}

void HttpEngineClient::ReadState(StateCallback done) {
  HttpCallbacks callbacks;
  callbacks.on_response = [done](const HttpResponse& response) {
    if (response.status == 200) return done(ParseState(response.body));
    done(Fail(ErrorCode::kUnavailable,
              "engine: unexpected status " + std::to_string(response.status)));
  };
  callbacks.on_failure = [done](const HttpFailure& failure) {
    done(Fail(failure.error.code, "engine: " + failure.error.message));
  };
  HttpRequest req{
      .method = "GET", .target = "/orders/state", .headers = {}, .body = {}};
  read_call_ =
      client_.Send(endpoint_, req, {.timeout = kReadStateTimeout}, callbacks);
}

void HttpEngineClient::Load(const EngineWeights& weights, uint64_t fencing,
                            const Endpoint& source, DoneCallback done) {
  Json body = {{"model", weights.model},
               {"version", weights.version},
               {"manifest", weights.manifest.ToHex()},
               {"fencing", fencing},
               {"source", source.ToString()}};
  if (!weights.adapter.empty()) body["adapter"] = weights.adapter;
  SendOrder("/orders/load", body.dump(), std::move(done));
}

void HttpEngineClient::UnloadAdapter(const std::string& adapter,
                                     uint64_t fencing, DoneCallback done) {
  Json body = {{"adapter", adapter}, {"fencing", fencing}};
  SendOrder("/orders/unload", body.dump(), std::move(done));
}

void HttpEngineClient::SendOrder(const std::string& path, std::string body,
                                 DoneCallback done) {
  HttpCallbacks callbacks;
  callbacks.on_response = [done](const HttpResponse& response) {
    if (response.status == 200) return done(outcome::success());
    ErrorCode code =
        response.status == 409 ? ErrorCode::kConflict : ErrorCode::kUnavailable;
    done(Fail(code, "engine refused the order with status " +
                        std::to_string(response.status) + ": " +
                        response.body.substr(0, 200)));
  };
  callbacks.on_failure = [done](const HttpFailure& failure) {
    done(Fail(failure.error.code, "engine: " + failure.error.message));
  };
  HttpRequest req{
      .method = "POST", .target = path, .headers = {}, .body = std::move(body)};
  req.headers.Add("Content-Type", "application/json");
  order_call_ =
      client_.Send(endpoint_, req, {.timeout = load_timeout_}, callbacks);
}

}  // namespace primrosecove
