#include "Core/Router/caller_request.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "Core/Common/digest.h"
#include "Core/Common/text.h"
#include "Core/Routing/request_headers.h"

namespace primrosecove {
namespace {

using Json = nlohmann::json;

constexpr Milliseconds kDefaultTimeout{120'000};
constexpr uint64_t kMaxTimeoutMs = 600'000;
constexpr uint32_t kDefaultMaxTokens = 256;
// Prompts that share this many leading bytes prefer the same upstream, so that
// its prefix cache is reused.
constexpr size_t kPrefixBytes = 512;
constexpr size_t kMaxIdempotencyKeyBytes = 256;

bool Reject(RequestError* error, int status, std::string message) {
  *error = {status, std::move(message)};
  return false;
}

std::string GetString(const Json& json, const char* key) {
  return json.contains(key) && json[key].is_string()
             ? json[key].get<std::string>()
             : std::string();
}

// Returns the first kPrefixBytes of the prompt or of the concatenated message
// contents.
std::string GetPromptPrefix(const Json& json) {
  std::string out = GetString(json, "prompt");
  if (json.contains("messages") && json["messages"].is_array()) {
    for (const Json& it : json["messages"]) {
      if (!it.is_object()) continue;
      out += GetString(it, "content");
      if (out.size() >= kPrefixBytes) break;
    }
  }
  return out.substr(0, kPrefixBytes);
}

// Resolves the model name of a request, "MODEL" or "MODEL:ADAPTER".
bool ResolveModelAndAdapter(const Configuration& config,
                            const std::string& name, CallerRequest* out,
                            RequestError* error) {
  size_t colon = name.find(':');
  out->model = config.FindModel(name.substr(0, colon));
  if (out->model == nullptr)
    return Reject(error, 404, "unknown model '" + name + "'");
  out->service = config.FindService(out->model->service);
  if (colon == std::string::npos) return true;
  out->adapter = name.substr(colon + 1);
  const auto& adapters = out->model->adapters;
  bool found =
      std::any_of(adapters.begin(), adapters.end(),
                  [&](const Adapter& it) { return it.name == out->adapter; });
  return found || Reject(error, 404, "unknown adapter '" + out->adapter + "'");
}

bool ParseModelRequest(const Configuration& config, const HttpRequest& http,
                       CallerRequest* out, RequestError* error) {
  if (http.method != "POST") return Reject(error, 405, "use POST");
  Json json = Json::parse(http.body, nullptr, false);
  if (!json.is_object())
    return Reject(error, 400, "the body is not a JSON object");
  if (!ResolveModelAndAdapter(config, GetString(json, "model"), out, error))
    return false;
  out->prompt_prefix = GetPromptPrefix(json);
  out->max_tokens = kDefaultMaxTokens;
  if (json.contains("max_tokens")) {
    if (!json["max_tokens"].is_number_unsigned() ||
        json["max_tokens"] > 1'000'000) {
      return Reject(error, 400,
                    "'max_tokens' must be a whole number up to 1000000");
    }
    out->max_tokens = json["max_tokens"].get<uint32_t>();
  }
  out->streaming = json.contains("stream") && json["stream"] == true;
  return true;
}

bool IsModelPath(std::string_view path) {
  return path == "/v1/chat/completions" || path == "/v1/completions";
}

// Sets the execute-once id. The hash covers the workspace, so that equal keys
// of two workspaces give different ids.
bool SetExecuteOnceId(const HttpRequest& http, CallerRequest* out,
                      RequestError* error) {
  auto key = http.headers.Find(kIdempotencyKeyHeader);
  if (key && key->size() > kMaxIdempotencyKeyBytes) {
    return Reject(error, 400, "the Idempotency-Key is longer than 256 bytes");
  }
  bool non_idempotent =
      IsNonIdempotent(*out->service, http.method, http.Path());
  if (key && !key->empty()) {
    out->execute_once_id =
        Sha256(out->workspace + "\n" + std::string(*key)).ToHex();
    out->has_idempotency_key = true;
  } else if (non_idempotent) {
    // Without a key a caller's retry cannot be distinguished from a new
    // request, so a random id only keeps this one from executing twice.
    out->execute_once_id = Sha256(RandomBytes(Digest::kBytes)).ToHex();
  }
  return true;
}

}  // namespace

bool ParseCallerRequest(const Configuration& config, const HttpRequest& http,
                        CallerRequest* out, RequestError* error) {
  out->workspace = http.headers.Find(kWorkspaceHeader).value_or("");
  const Workspace* workspace = config.FindWorkspace(out->workspace);
  if (workspace == nullptr)
    return Reject(error, 403, "unknown workspace '" + out->workspace + "'");
  out->priority = workspace->priority;
  std::string_view path = http.Path();
  if (IsModelPath(path)) {
    if (!ParseModelRequest(config, http, out, error)) return false;
  } else {
    out->service = config.FindServiceByPath(path);
    if (out->service == nullptr)
      return Reject(error, 404, "no service has this path");
  }
  out->timeout = kDefaultTimeout;
  if (auto text = http.headers.Find(kTimeoutHeader)) {
    auto ms = ParseU64(*text);
    if (!ms || *ms == 0 || *ms > kMaxTimeoutMs) {
      return Reject(error, 400,
                    "X-Request-Timeout-Ms must be from 1 to 600000");
    }
    out->timeout = Milliseconds(*ms);
  }
  return SetExecuteOnceId(http, out, error);
}

}  // namespace primrosecove
