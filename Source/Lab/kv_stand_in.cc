#include "Lab/kv_stand_in.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Core/Common/base64.h"
#include "Core/Common/text.h"

namespace primrosecove {
namespace {

using Json = nlohmann::json;

constexpr uint64_t kPercent = 100;

std::string KeyOf(const Json& request, const char* name = "key") {
  return request.contains(name)
             ? FromBase64(request[name].get<std::string>()).value_or("")
             : std::string();
}

int64_t NumberOf(const Json& request, const char* name) {
  if (!request.contains(name)) return 0;
  if (request[name].is_number()) return request[name].get<int64_t>();
  return static_cast<int64_t>(
      ParseU64(request[name].get<std::string>()).value_or(0));
}

bool InRange(const std::string& key, const std::string& from,
             const std::string& end) {
  if (end.empty()) return key == from;
  return key >= from && (end == std::string(1, '\0') || key < end);
}

}  // namespace

void KvStandIn::SetFaults(KvFaults faults) {
  faults_ = faults;
  if (!faults_.down) return;
  for (Watch& it : watches_) it.exchange->Abort();
  watches_.clear();
}

void KvStandIn::Restore() {
  keys_ = backup_;
  for (Watch& it : watches_) it.exchange->Abort();
  watches_.clear();
}

void KvStandIn::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  ++calls_;
  if (faults_.down) return exchange->Abort();
  Json request = Json::parse(exchange->request().body, nullptr, false);
  if (!request.is_object()) return exchange->Respond(400, {}, "{}");
  std::string path(exchange->request().Path());
  if (path == "/v3/watch") return OpenWatch(request, exchange);
  static const std::map<std::string, Method> kMethods = {
      {"/v3/kv/range", &KvStandIn::Range},
      {"/v3/kv/txn", &KvStandIn::Txn},
      {"/v3/kv/put", &KvStandIn::Put},
      {"/v3/kv/deleterange", &KvStandIn::DeleteRange},
      {"/v3/lease/grant", &KvStandIn::GrantLease},
      {"/v3/lease/keepalive", &KvStandIn::KeepAlive},
      {"/v3/lease/revoke", &KvStandIn::RevokeLease}};
  auto method = kMethods.find(path);
  if (method == kMethods.end()) return exchange->Respond(404, {}, "{}");
  Json reply = (this->*method->second)(request);
  if (random_() % kPercent < faults_.lose_percent) return exchange->Abort();
  Answer(exchange, reply.dump());
}

void KvStandIn::Answer(const std::shared_ptr<HttpExchange>& exchange,
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

Json KvStandIn::Header() const {
  return {{"revision", std::to_string(revision_)}};
}

Json KvStandIn::EntryJson(const std::string& key, const Value& value) const {
  return {{"key", ToBase64(key)},
          {"value", ToBase64(value.value)},
          {"create_revision", std::to_string(value.create_revision)},
          {"mod_revision", std::to_string(value.mod_revision)},
          {"version", std::to_string(value.version)}};
}

Json KvStandIn::Range(const Json& request) {
  std::string from = KeyOf(request);
  std::string end = KeyOf(request, "range_end");
  Json kvs = Json::array();
  for (const auto& [key, value] : keys_) {
    if (InRange(key, from, end)) kvs.push_back(EntryJson(key, value));
  }
  if (request.value("sort_order", "") == "DESCEND")
    std::reverse(kvs.begin(), kvs.end());
  int64_t limit = NumberOf(request, "limit");
  while (limit > 0 && static_cast<int64_t>(kvs.size()) > limit)
    kvs.erase(kvs.size() - 1);
  return {{"header", Header()},
          {"kvs", kvs},
          {"count", std::to_string(kvs.size())}};
}

bool KvStandIn::Holds(const Json& compare) const {
  auto it = keys_.find(KeyOf(compare));
  int64_t mod = it == keys_.end() ? 0 : it->second.mod_revision;
  return mod == NumberOf(compare, "mod_revision");
}

void KvStandIn::Store(const std::string& key, std::string value,
                      int64_t lease) {
  Value& it = keys_[key];
  if (it.version == 0) it.create_revision = revision_;
  it.value = std::move(value);
  it.mod_revision = revision_;
  it.lease = lease;
  ++it.version;
  Notify(key, {{"kv", EntryJson(key, it)}});
}

void KvStandIn::Erase(const std::string& key) {
  if (keys_.erase(key) == 0) return;
  Notify(key, {{"type", "DELETE"},
               {"kv",
                {{"key", ToBase64(key)},
                 {"mod_revision", std::to_string(revision_)}}}});
}

Json KvStandIn::Put(const Json& request) {
  ++revision_;
  Store(KeyOf(request), KeyOf(request, "value"), NumberOf(request, "lease"));
  return {{"header", Header()}};
}

Json KvStandIn::DeleteRange(const Json& request) {
  std::vector<std::string> found;
  for (const auto& [key, value] : keys_) {
    if (InRange(key, KeyOf(request), KeyOf(request, "range_end")))
      found.push_back(key);
  }
  ++revision_;
  for (const std::string& it : found) Erase(it);
  return {{"header", Header()}, {"deleted", std::to_string(found.size())}};
}

Json KvStandIn::Txn(const Json& request) {
  bool holds = true;
  for (const Json& it : request.value("compare", Json::array()))
    holds = holds && Holds(it);
  const Json operations =
      request.value(holds ? "success" : "failure", Json::array());
  if (!operations.empty()) ++revision_;
  for (const Json& it : operations) {
    if (it.contains("request_put")) {
      const Json& put = it["request_put"];
      Store(KeyOf(put), KeyOf(put, "value"), NumberOf(put, "lease"));
    } else if (it.contains("request_delete_range")) {
      Erase(KeyOf(it["request_delete_range"]));
    }
  }
  Json reply = {{"header", Header()}};
  // The gateway leaves out fields that are false.
  if (holds) reply["succeeded"] = true;
  return reply;
}

Json KvStandIn::GrantLease(const Json& request) {
  int64_t id = next_lease_++;
  Lease& lease = leases_[id];
  lease.ttl_s = NumberOf(request, "TTL");
  lease.expiry = loop_->After(std::chrono::seconds(lease.ttl_s),
                              [this, id] { DropLease(id); });
  return {{"ID", std::to_string(id)}, {"TTL", std::to_string(lease.ttl_s)}};
}

Json KvStandIn::KeepAlive(const Json& request) {
  int64_t id = NumberOf(request, "ID");
  auto it = leases_.find(id);
  if (it == leases_.end()) return {{"result", {{"ID", std::to_string(id)}}}};
  it->second.expiry = loop_->After(std::chrono::seconds(it->second.ttl_s),
                                   [this, id] { DropLease(id); });
  return {{"result",
           {{"ID", std::to_string(id)},
            {"TTL", std::to_string(it->second.ttl_s)}}}};
}

Json KvStandIn::RevokeLease(const Json& request) {
  DropLease(NumberOf(request, "ID"));
  return {{"header", Header()}};
}

void KvStandIn::DropLease(int64_t id) {
  auto node =
      std::make_shared<decltype(leases_)::node_type>(leases_.extract(id));
  loop_->Post([node] {});
  std::vector<std::string> found;
  for (const auto& [key, value] : keys_) {
    if (value.lease == id) found.push_back(key);
  }
  ++revision_;
  for (const std::string& it : found) Erase(it);
}

void KvStandIn::OpenWatch(const Json& request,
                          const std::shared_ptr<HttpExchange>& exchange) {
  const Json create = request.value("create_request", Json::object());
  Watch watch{KeyOf(create), KeyOf(create, "range_end"), exchange};
  exchange->StartStream(200, {{"Content-Type", "application/json"}});
  exchange->Write(
      Json{{"result", {{"header", Header()}, {"created", true}}}}.dump() +
      "\n");
  int64_t start = NumberOf(create, "start_revision");
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

void KvStandIn::Notify(const std::string& key, const Json& event) {
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
