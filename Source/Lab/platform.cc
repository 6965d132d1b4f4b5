#include "Lab/platform.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "Core/Common/log.h"

namespace primrosecove {

using Json = nlohmann::json;

Platform::Platform(EventLoop* loop, const PlatformOptions& options)
    : loop_(loop),
      options_(options),
      etcd_(loop, options.seed),
      origin_(loop, options.origin_bytes_per_second, options.seed + 1),
      server_(loop, {}, [this](const auto& exchange) { Handle(exchange); }) {
  for (const WeightsSpec& it : options.weights) origin_.AddWeights(it);
}

Result<void> Platform::Start() { return server_.Listen(options_.listen); }

void Platform::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  std::string_view path = exchange->request().Path();
  if (path.starts_with("/v3/")) return etcd_.Handle(exchange);
  if (path.starts_with("/manifests/") || path.starts_with("/weights/")) {
    return origin_.Handle(exchange);
  }
  if (path == "/hosts") {
    if (host_list_down_) return exchange->Abort();
    return exchange->Respond(200, {{"Content-Type", "application/json"}},
                             host_list_);
  }
  HandleControlRequest(exchange);
}

void Platform::HandleControlRequest(
    const std::shared_ptr<HttpExchange>& exchange) {
  const HttpRequest& req = exchange->request();
  std::string_view path = req.Path();
  if (path == "/lab/stats") return exchange->Respond(200, {}, StatsJson());
  bool ok = true;
  if (path == "/lab/faults") {
    ok = SetFaults(req.body);
  } else if (path == "/lab/hosts") {
    SetHostList(req.body);
  } else if (path == "/lab/backup") {
    etcd_.Backup();
  } else if (path == "/lab/restore") {
    etcd_.Restore();
  } else {
    return exchange->Respond(404, {}, "no such page\n");
  }
  exchange->Respond(ok ? 200 : 400, {}, ok ? "ok\n" : "malformed\n");
}

void Platform::SetHostList(const std::string& text) {
  auto timer = std::make_shared<Timer>();
  *timer = loop_->After(Milliseconds(options_.host_list_lag_ms),
                        [this, text, timer] { host_list_ = text; });
}

bool Platform::SetFaults(const std::string& text) {
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return false;
  EtcdFaults etcd = etcd_.faults();
  etcd.down = json.value("kv_down", etcd.down);
  etcd.delay_ms = json.value("kv_delay_ms", etcd.delay_ms);
  etcd.lose_reply_percent =
      json.value("kv_lose_percent", etcd.lose_reply_percent);
  etcd_.SetFaults(etcd);
  OriginFaults origin = origin_.faults();
  origin.down = json.value("origin_down", origin.down);
  origin.busy_percent = json.value("origin_busy_percent", origin.busy_percent);
  origin.corrupt_percent =
      json.value("origin_corrupt_percent", origin.corrupt_percent);
  origin.down_after_bytes =
      json.value("origin_down_after_bytes", origin.down_after_bytes);
  origin_.SetFaults(origin);
  host_list_down_ = json.value("hosts_down", host_list_down_);
  PC_INFO(kLab, "injected faults changed: " << text);
  return true;
}

std::string Platform::StatsJson() const {
  return Json{{"kv_calls", etcd_.call_count()},
              {"origin_bytes", origin_.bytes_sent()}}
      .dump();
}

}  // namespace primrosecove
