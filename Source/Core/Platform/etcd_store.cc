#include "Core/Platform/etcd_store.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "Core/Common/base64.h"
#include "Core/Common/text.h"

namespace primrosecove {
namespace {

using Json = nlohmann::json;

// The response body of a watch is an unbounded stream of events.
constexpr uint64_t kMaxWatchBodyBytes = 1ULL << 60;
// Responses hold a few base64 values of up to 1 MB each.
constexpr uint64_t kMaxResponseBytes = 16 << 20;
constexpr size_t kMaxWatchMessageBytes = 16 << 20;

// Returns the exclusive end of a prefix's key range: the prefix with its last
// byte incremented.
std::string PrefixEnd(std::string prefix) {
  while (!prefix.empty()) {
    auto last = static_cast<unsigned char>(prefix.back());
    if (last < 0xff) {
      prefix.back() = static_cast<char>(last + 1);
      return prefix;
    }
    prefix.pop_back();
  }
  return std::string(1, '\0');
}

// The gateway encodes 64-bit numbers as strings; some versions use JSON
// numbers.
int64_t GetNumber(const Json& object, const char* key) {
  if (!object.is_object() || !object.contains(key)) return 0;
  const Json& it = object[key];
  if (it.is_number_integer()) return it.get<int64_t>();
  if (!it.is_string()) return 0;
  auto value = ParseU64(it.get<std::string>());
  return value ? static_cast<int64_t>(*value) : 0;
}

std::string GetBase64(const Json& object, const char* key) {
  if (!object.is_object() || !object.contains(key) || !object[key].is_string())
    return {};
  return FromBase64(object[key].get<std::string>()).value_or("");
}

KvEntry ParseEntry(const Json& kv) {
  return {GetBase64(kv, "key"), GetBase64(kv, "value"),
          GetNumber(kv, "mod_revision")};
}

std::vector<KvEntry> ParseEntries(const Json& json) {
  std::vector<KvEntry> out;
  if (!json.contains("kvs") || !json["kvs"].is_array()) return out;
  for (const Json& it : json["kvs"]) out.push_back(ParseEntry(it));
  return out;
}

Result<Json> ParseResponse(const Result<std::string>& body) {
  if (!body) return body.as_failure();
  Json json = Json::parse(body.value(), nullptr, false);
  if (!json.is_object()) {
    return Fail(ErrorCode::kUnavailable,
                "key-value service: malformed response");
  }
  return json;
}

class EtcdWatch : public KvWatch {
 public:
  std::function<void(std::vector<KvEvent>)> on_events;
  std::function<void(Error)> on_end;
  std::unique_ptr<HttpCall> call;
  Timer end_later;

  // Parses bytes of the response body, which holds one JSON object a line.
  void OnData(std::string_view data) {
    buffer_.append(data);
    if (buffer_.size() > kMaxWatchMessageBytes)
      return End("watch message exceeds the size limit");
    for (size_t line_end = buffer_.find('\n'); line_end != std::string::npos;
         line_end = buffer_.find('\n')) {
      Json json = Json::parse(buffer_.substr(0, line_end), nullptr, false);
      buffer_.erase(0, line_end + 1);
      if (!HandleMessage(json)) return;
    }
  }

  void End(std::string reason) {
    if (!on_end) return;
    auto callback = std::exchange(on_end, nullptr);
    callback(Error{ErrorCode::kUnavailable,
                   "key-value service: " + std::move(reason)});
  }

 private:
  // Returns false if the watch has ended or its owner destroyed it in a
  // callback; the caller must then not use this object.
  bool HandleMessage(const Json& json) {
    if (!json.is_object() || !json.contains("result") ||
        !json["result"].is_object()) {
      End("malformed watch message");
      return false;
    }
    const Json& result = json["result"];
    if (result.contains("canceled") && result["canceled"] == true) {
      End("watch was cancelled by the service");
      return false;
    }
    std::vector<KvEvent> events;
    if (result.contains("events") && result["events"].is_array()) {
      for (const Json& it : result["events"]) {
        bool deleted = it.contains("type") && it["type"] == "DELETE";
        events.push_back(
            {deleted,
             ParseEntry(it.contains("kv") ? it["kv"] : Json::object())});
      }
    }
    if (events.empty()) return true;
    std::weak_ptr<bool> alive = alive_;
    auto callback = on_events;
    callback(std::move(events));
    return !alive.expired();
  }

  std::string buffer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace

EtcdStore::EtcdStore(EventLoop* loop, std::vector<Endpoint> endpoints,
                     Milliseconds call_timeout)
    : loop_(loop),
      client_(loop),
      endpoints_(std::move(endpoints)),
      call_timeout_(call_timeout) {}

EtcdStore::~EtcdStore() = default;

void EtcdStore::UseNextEndpoint() {
  current_endpoint_ = (current_endpoint_ + 1) % endpoints_.size();
}

void EtcdStore::Call(const std::string& path, std::string body,
                     BodyCallback done) {
  ++calls_;
  uint64_t id = next_call_id_++;
  HttpRequest req{
      .method = "POST", .target = path, .headers = {}, .body = std::move(body)};
  req.headers.Add("Content-Type", "application/json");
  HttpCallbacks callbacks;
  auto finish = [this, id, done](Result<std::string> result) {
    // The call object may be in use by the caller of this callback, so the loop
    // destroys it later.
    auto node = std::make_shared<decltype(open_calls_)::node_type>(
        open_calls_.extract(id));
    loop_->Post([node] {});
    if (!result) UseNextEndpoint();
    done(std::move(result));
  };
  callbacks.on_response = [finish](const HttpResponse& response) {
    if (response.status == 200) return finish(response.body);
    finish(Fail(
        response.status == 404 ? ErrorCode::kNotFound : ErrorCode::kUnavailable,
        "key-value service: unexpected status " +
            std::to_string(response.status)));
  };
  callbacks.on_failure = [finish](const HttpFailure& failure) {
    finish(Fail(failure.error.code,
                "key-value service: " + failure.error.message));
  };
  open_calls_[id] = client_.Send(
      endpoints_[current_endpoint_], req,
      {.timeout = call_timeout_, .max_body_bytes = kMaxResponseBytes},
      std::move(callbacks));
}

void EtcdStore::Get(const std::string& key,
                    Callback<std::optional<KvEntry>> done) {
  Json body = {{"key", ToBase64(key)}};
  Call("/v3/kv/range", body.dump(), [done](Result<std::string> response_body) {
    auto json = ParseResponse(response_body);
    if (!json) return done(json.as_failure());
    auto entries = ParseEntries(json.value());
    if (entries.empty()) return done(std::optional<KvEntry>());
    done(std::optional<KvEntry>(std::move(entries.front())));
  });
}

void EtcdStore::List(const std::string& prefix, int64_t limit, bool descending,
                     Callback<std::vector<KvEntry>> done) {
  Json body = {{"key", ToBase64(prefix)},
               {"range_end", ToBase64(PrefixEnd(prefix))},
               {"limit", std::to_string(limit)},
               {"sort_target", "KEY"},
               {"sort_order", descending ? "DESCEND" : "ASCEND"}};
  Call("/v3/kv/range", body.dump(), [done](Result<std::string> response_body) {
    auto json = ParseResponse(response_body);
    if (!json) return done(json.as_failure());
    done(ParseEntries(json.value()));
  });
}

void EtcdStore::Commit(const KvTransaction& txn, Callback<KvCommit> done) {
  Json compares = Json::array();
  for (const KvCompare& it : txn.compares) {
    compares.push_back({{"key", ToBase64(it.key)},
                        {"target", "MOD"},
                        {"result", "EQUAL"},
                        {"mod_revision", std::to_string(it.mod_revision)}});
  }
  Json success = Json::array();
  for (const KvPut& it : txn.puts) {
    Json put = {{"key", ToBase64(it.key)}, {"value", ToBase64(it.value)}};
    if (it.lease != 0) put["lease"] = std::to_string(it.lease);
    success.push_back({{"request_put", put}});
  }
  for (const std::string& it : txn.deletes) {
    success.push_back({{"request_delete_range", {{"key", ToBase64(it)}}}});
  }
  Json body = {
      {"compare", compares}, {"success", success}, {"failure", Json::array()}};
  Call("/v3/kv/txn", body.dump(), [done](Result<std::string> response_body) {
    auto json = ParseResponse(response_body);
    if (!json) return done(json.as_failure());
    KvCommit out;
    // The gateway omits fields whose value is false.
    out.succeeded =
        json.value().contains("succeeded") && json.value()["succeeded"] == true;
    if (json.value().contains("header")) {
      out.revision = GetNumber(json.value()["header"], "revision");
    }
    done(out);
  });
}

std::unique_ptr<KvWatch> EtcdStore::Watch(
    const std::string& prefix, int64_t after_revision,
    std::function<void(std::vector<KvEvent>)> on_events,
    std::function<void(Error)> on_end) {
  ++calls_;
  auto watch = std::make_unique<EtcdWatch>();
  watch->on_events = std::move(on_events);
  watch->on_end = std::move(on_end);
  Json create = {{"key", ToBase64(prefix)},
                 {"range_end", ToBase64(PrefixEnd(prefix))}};
  if (after_revision > 0)
    create["start_revision"] = std::to_string(after_revision + 1);
  HttpRequest req{
      .method = "POST", .target = "/v3/watch", .headers = {}, .body = {}};
  req.headers.Add("Content-Type", "application/json");
  req.body = Json{{"create_request", create}}.dump();
  HttpCallbacks callbacks;
  EtcdWatch* raw = watch.get();
  callbacks.on_data = [raw](std::string_view data) { raw->OnData(data); };
  callbacks.on_response = [raw](const HttpResponse&) {
    raw->End("watch stream ended");
  };
  callbacks.on_failure = [this, raw](const HttpFailure& failure) {
    UseNextEndpoint();
    raw->End(failure.error.message);
  };
  watch->call = client_.Send(
      endpoints_[current_endpoint_], req,
      {.timeout = Milliseconds(0), .max_body_bytes = kMaxWatchBodyBytes},
      std::move(callbacks));
  return watch;
}

void EtcdStore::GrantLease(std::chrono::seconds ttl, Callback<int64_t> done) {
  Json body = {{"TTL", std::to_string(ttl.count())}, {"ID", "0"}};
  Call("/v3/lease/grant", body.dump(),
       [done](Result<std::string> response_body) {
         auto json = ParseResponse(response_body);
         if (!json) return done(json.as_failure());
         done(GetNumber(json.value(), "ID"));
       });
}

void EtcdStore::KeepLeaseAlive(int64_t lease, Callback<void> done) {
  Json body = {{"ID", std::to_string(lease)}};
  Call("/v3/lease/keepalive", body.dump(),
       [done](Result<std::string> response_body) {
         auto json = ParseResponse(response_body);
         if (!json) return done(json.as_failure());
         const Json& it = json.value();
         bool alive =
             it.contains("result") && GetNumber(it["result"], "TTL") > 0;
         if (alive) return done(outcome::success());
         done(Fail(ErrorCode::kNotFound, "lease has expired"));
       });
}

void EtcdStore::RevokeLease(int64_t lease, Callback<void> done) {
  Json body = {{"ID", std::to_string(lease)}};
  Call("/v3/lease/revoke", body.dump(),
       [done](Result<std::string> response_body) {
         auto json = ParseResponse(response_body);
         if (!json) return done(json.as_failure());
         done(outcome::success());
       });
}

}  // namespace primrosecove
