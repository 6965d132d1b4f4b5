#include "Lab/fake_etcd.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Core/Common/base64.h"
#include "Core/Common/text.h"

namespace primrosecove {
namespace {

using Json = nlohmann::json;

constexpr uint64_t kPercent = 100;

std::string DecodeKey(const Json& request, const char* name = "key") {
  return request.contains(name)
             ? FromBase64(request[name].get<std::string>()).value_or("")
             : std::string();
}

int64_t IntegerField(const Json& request, const char* name) {
  if (!request.contains(name)) return 0;
  if (request[name].is_number()) return request[name].get<int64_t>();
  return static_cast<int64_t>(
      ParseU64(request[name].get<std::string>()).value_or(0));
}

bool InRange(const std::string& key, const std::string& range_start,
             const std::string& end) {
  if (end.empty()) return key == range_start;
  return key >= range_start && (end == std::string(1, '\0') || key < end);
}

}  // namespace

void FakeEtcd::SetFaults(EtcdFaults faults) {
  faults_ = faults;
  if (!faults_.down) return;
  for (Watch& it : watches_) it.exchange->Abort();
  watches_.clear();
}

void FakeEtcd::Restore() {
  keys_ = backup_;
  for (Watch& it : watches_) it.exchange->Abort();
  watches_.clear();
}

void FakeEtcd::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  ++call_count_;
  if (faults_.down) return exchange->Abort();
  Json request = Json::parse(exchange->request().body, nullptr, false);
  if (!request.is_object()) return exchange->Respond(400, {}, "{}");
  std::string path(exchange->request().Path());
  if (path == "/v3/watch") return OpenWatch(request, exchange);
  static const std::map<std::string, Handler> kHandlers = {
      {"/v3/kv/range", &FakeEtcd::Range},
      {"/v3/kv/txn", &FakeEtcd::Txn},
      {"/v3/kv/put", &FakeEtcd::Put},
      {"/v3/kv/deleterange", &FakeEtcd::DeleteRange},
      {"/v3/lease/grant", &FakeEtcd::GrantLease},
      {"/v3/lease/keepalive", &FakeEtcd::KeepAlive},
      {"/v3/lease/revoke", &FakeEtcd::RevokeLease}};
  auto handler = kHandlers.find(path);
  if (handler == kHandlers.end()) return exchange->Respond(404, {}, "{}");
  Json response = (this->*handler->second)(request);
  if (random_() % kPercent < faults_.lose_reply_percent)
    return exchange->Abort();
  RespondAfterDelay(exchange, response.dump());
}

void FakeEtcd::RespondAfterDelay(const std::shared_ptr<HttpExchange>& exchange,
                                 const std::string& body) {
  HttpHeaders headers = {{"Content-Type", "application/json"}};
  if (faults_.delay_ms == 0)
    return exchange->Respond(200, std::move(headers), body);
  auto timer = std::make_shared<Timer>();
  *timer = loop_->After(Milliseconds(faults_.delay_ms),
                        [exchange, headers, body, timer] {
                          exchange->Respond(200, headers, body);
                        });
}

Json FakeEtcd::Header() const {
  return {{"revision", std::to_string(revision_)}};
}

Json FakeEtcd::EntryJson(const std::string& key, const Value& value) const {
  return {{"key", ToBase64(key)},
          {"value", ToBase64(value.value)},
          {"create_revision", std::to_string(value.create_revision)},
          {"mod_revision", std::to_string(value.mod_revision)},
          {"version", std::to_string(value.version)}};
}

Json FakeEtcd::Range(const Json& request) {
  std::string range_start = DecodeKey(request);
  std::string end = DecodeKey(request, "range_end");
  Json kvs = Json::array();
  for (const auto& [key, value] : keys_) {
    if (InRange(key, range_start, end)) kvs.push_back(EntryJson(key, value));
  }
  if (request.value("sort_order", "") == "DESCEND")
    std::reverse(kvs.begin(), kvs.end());
  int64_t limit = IntegerField(request, "limit");
  while (limit > 0 && static_cast<int64_t>(kvs.size()) > limit)
    kvs.erase(kvs.size() - 1);
  return {{"header", Header()},
          {"kvs", kvs},
          {"count", std::to_string(kvs.size())}};
}

bool FakeEtcd::CompareSucceeds(const Json& compare) const {
  auto it = keys_.find(DecodeKey(compare));
  int64_t mod = it == keys_.end() ? 0 : it->second.mod_revision;
  return mod == IntegerField(compare, "mod_revision");
}

void FakeEtcd::PutKey(const std::string& key, std::string value,
                      int64_t lease) {
  Value& it = keys_[key];
  if (it.version == 0) it.create_revision = revision_;
  it.value = std::move(value);
  it.mod_revision = revision_;
  it.lease = lease;
  ++it.version;
  NotifyWatches(key, {{"kv", EntryJson(key, it)}});
}

void FakeEtcd::EraseKey(const std::string& key) {
  if (keys_.erase(key) == 0) return;
  NotifyWatches(key, {{"type", "DELETE"},
                      {"kv",
                       {{"key", ToBase64(key)},
                        {"mod_revision", std::to_string(revision_)}}}});
}

Json FakeEtcd::Put(const Json& request) {
  ++revision_;
  PutKey(DecodeKey(request), DecodeKey(request, "value"),
         IntegerField(request, "lease"));
  return {{"header", Header()}};
}

Json FakeEtcd::DeleteRange(const Json& request) {
  std::vector<std::string> matching_keys;
  for (const auto& [key, value] : keys_) {
    if (InRange(key, DecodeKey(request), DecodeKey(request, "range_end")))
      matching_keys.push_back(key);
  }
  ++revision_;
  for (const std::string& it : matching_keys) EraseKey(it);
  return {{"header", Header()},
          {"deleted", std::to_string(matching_keys.size())}};
}

Json FakeEtcd::Txn(const Json& request) {
  bool succeeded = true;
  for (const Json& it : request.value("compare", Json::array()))
    succeeded = succeeded && CompareSucceeds(it);
  const Json operations =
      request.value(succeeded ? "success" : "failure", Json::array());
  if (!operations.empty()) ++revision_;
  for (const Json& it : operations) {
    if (it.contains("request_put")) {
      const Json& put = it["request_put"];
      PutKey(DecodeKey(put), DecodeKey(put, "value"),
             IntegerField(put, "lease"));
    } else if (it.contains("request_delete_range")) {
      EraseKey(DecodeKey(it["request_delete_range"]));
    }
  }
  Json response = {{"header", Header()}};
  // Like the etcd gateway, omits fields that are false.
  if (succeeded) response["succeeded"] = true;
  return response;
}

Json FakeEtcd::GrantLease(const Json& request) {
  int64_t id = next_lease_++;
  Lease& lease = leases_[id];
  lease.ttl_s = IntegerField(request, "TTL");
  lease.expiry = loop_->After(std::chrono::seconds(lease.ttl_s),
                              [this, id] { RemoveLease(id); });
  return {{"ID", std::to_string(id)}, {"TTL", std::to_string(lease.ttl_s)}};
}

Json FakeEtcd::KeepAlive(const Json& request) {
  int64_t id = IntegerField(request, "ID");
  auto it = leases_.find(id);
  if (it == leases_.end()) return {{"result", {{"ID", std::to_string(id)}}}};
  it->second.expiry = loop_->After(std::chrono::seconds(it->second.ttl_s),
                                   [this, id] { RemoveLease(id); });
  return {{"result",
           {{"ID", std::to_string(id)},
            {"TTL", std::to_string(it->second.ttl_s)}}}};
}

Json FakeEtcd::RevokeLease(const Json& request) {
  RemoveLease(IntegerField(request, "ID"));
  return {{"header", Header()}};
}

void FakeEtcd::RemoveLease(int64_t id) {
  auto lease_node =
      std::make_shared<decltype(leases_)::node_type>(leases_.extract(id));
  loop_->Post([lease_node] {});
  std::vector<std::string> matching_keys;
  for (const auto& [key, value] : keys_) {
    if (value.lease == id) matching_keys.push_back(key);
  }
  ++revision_;
  for (const std::string& it : matching_keys) EraseKey(it);
}

void FakeEtcd::OpenWatch(const Json& request,
                         const std::shared_ptr<HttpExchange>& exchange) {
  const Json create = request.value("create_request", Json::object());
  Watch watch{DecodeKey(create), DecodeKey(create, "range_end"), exchange};
  exchange->StartStream(200, {{"Content-Type", "application/json"}});
  exchange->Write(
      Json{{"result", {{"header", Header()}, {"created", true}}}}.dump() +
      "\n");
  int64_t start = IntegerField(create, "start_revision");
  for (const auto& [key, value] : keys_) {
    if (start == 0 || value.mod_revision < start) continue;
    if (!InRange(key, watch.key, watch.range_end)) continue;
    Json event = {{"kv", EntryJson(key, value)}};
    exchange->Write(
        Json{{"result",
              {{"header", Header()}, {"events", Json::array({event})}}}}
            .dump() +
        "\n");
  }
  watches_.push_back(std::move(watch));
}

void FakeEtcd::NotifyWatches(const std::string& key, const Json& event) {
  watches_.remove_if([](const Watch& it) { return it.exchange->finished(); });
  std::string line =
      Json{{"result", {{"header", Header()}, {"events", Json::array({event})}}}}
          .dump() +
      "\n";
  for (Watch& it : watches_) {
    if (InRange(key, it.key, it.range_end)) it.exchange->Write(line);
  }
}

}  // namespace primrosecove
