// A FleetRouter with stand-ins of the store and of upstreams, for tests.
#pragma once

#include <catch2/catch.hpp>
#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "../test_support.h"
#include "Core/Router/fleet_router.h"
#include "platform/testing/engine_stand_in.h"
#include "platform/testing/store_stand_in.h"

namespace primrosecove {

using platform::EngineFault;
using platform::EngineStandIn;
using platform::StoreFault;
using platform::StoreStandIn;

inline constexpr char kApiKey[] = "secret-key";

inline nlohmann::json RouteJson(const char* prefix, const char* type,
                                const char* service, int attempts) {
  bool stream = std::string(type) == "streaming";
  return {
      {"name", prefix},      {"host", "h.example"}, {"prefix", prefix},
      {"route_type", type},  {"timeout_ms", 2000},  {"latency_target_ms", 500},
      {"priority", 1},       {"service", service},  {"max_attempts", attempts},
      {"resumable", stream}, {"sticky", stream},    {"public", false}};
}

// One router with two engines and two plain services as upstreams.
class RouterFixture {
 public:
  explicit RouterFixture(int group,
                         Milliseconds version_bound = Milliseconds(8000),
                         Milliseconds stop_grace = Milliseconds(8000),
                         uint64_t memory_bytes = 0)
      : group_(group), store(&loop) {
    if (!store.Listen(EndpointAt(1))) FAIL("store");
    store.Put("op/config", MakeConfigJson(1).dump());
    for (int i = 0; i < 2; ++i) {
      AddUpstream("engine-" + std::to_string(i), "llm", "m", 2 + i);
      AddUpstream("plain-" + std::to_string(i), "desk", "", 4 + i);
    }
    HostSettings settings;
    settings.name = "router-1";
    settings.zone = "z1";
    settings.region = "r1";
    settings.region_of_zone = {{"z1", "r1"}};
    settings.ip = EndpointAt(10).ip;
    settings.caller_endpoint = {EndpointAt(10).ip, 18081};
    settings.readiness_endpoint = {EndpointAt(10).ip, 18082};
    settings.first_internal_port = 18083;
    settings.store_endpoint = EndpointAt(1);
    settings.max_descriptors = 1000;
    settings.memory_bytes = memory_bytes;
    settings.bounds.strict_revoke = true;
    settings.bounds.revoke = Milliseconds(1500);
    settings.bounds.config_apply = Milliseconds(600);
    settings.bounds.version = version_bound;
    settings.bounds.stop_grace = stop_grace;
    callers = settings.caller_endpoint;
    FleetRouterOptions options;
    options.settings_path = SettingsPath();
    router = std::make_unique<FleetRouter>(&loop, options, settings);
    if (!router->Start()) FAIL("router");
    RunUntil(&loop, [&] {
      return router->IsReady() && router->registry().all().size() == 4;
    });
  }

  // File that ReloadSettings() reads; it does not exist at first.
  std::string SettingsPath() const {
    return (std::filesystem::temp_directory_path() /
            ("primrosecove-test-" + std::to_string(group_) + ".yaml"))
        .string();
  }

  Endpoint EndpointAt(int n) const { return TestEndpoint(group_, n); }

  static nlohmann::json MakeConfigJson(uint64_t version) {
    return {{"version", version},
            {"routes",
             {RouteJson("/stream/", "streaming", "llm", 2),
              RouteJson("/once/", "unsafe", "desk", 1),
              RouteJson("/safe/", "safe", "desk", 2),
              RouteJson("/raw/", "safe", "raw", 1),
              RouteJson("/raw-stream/", "streaming", "raw", 1)}},
            {"services",
             {{{"name", "llm"},
               {"max_conns", 50},
               {"runtime",
                {{"slots", 4},
                 {"models", {{{"name", "m"}, {"warm_s", 0.01}}}},
                 {"chunks", 4},
                 {"chunk_bytes", 512}}}},
              {{"name", "desk"}, {"max_conns", 50}},
              {{"name", "raw"}, {"max_conns", 50}}}},
            {"tenants", {{{"name", "w1"}, {"api_keys", {kApiKey}}}}},
            {"limits", {{"idle_timeout_ms", 15000}}}};
  }

  void AddUpstream(const std::string& id, const std::string& service,
                   const std::string& model, int at) {
    EngineStandIn::Options options;
    options.id = id;
    options.service = service;
    options.zone = "z1";
    options.endpoint = EndpointAt(at);
    options.model = model;
    options.version = model.empty() ? 0 : 1;
    auto engine = std::make_unique<EngineStandIn>(&loop, &store, options);
    if (!engine->Start()) FAIL(id);
    engines[id] = std::move(engine);
  }

  // Sends a request, waits for its end and returns the result.
  CallResult SendAndWait(const std::string& path,
                         const std::string& key = kApiKey,
                         HttpHeaders extra_headers = {}) {
    std::optional<CallResult> out;
    auto call = StartRequest(path, key, std::move(extra_headers), &out);
    RunUntil(&loop, [&] { return out.has_value(); });
    return std::move(*out);
  }

  std::unique_ptr<Http1Call> StartRequest(const std::string& path,
                                          const std::string& key,
                                          HttpHeaders extra_headers,
                                          std::optional<CallResult>* out) {
    HttpRequest request;
    request.method = "POST";
    request.target = path;
    request.headers = std::move(extra_headers);
    request.headers.Add("Host", "h.example");
    request.headers.Add("Request-Id", "req-" + std::to_string(++request_count));
    request.headers.Add("Deadline-Ms", caller_deadline_ms);
    request.headers.Add("Model", "m");
    if (!key.empty()) request.headers.Add("Authorization", "Bearer " + key);
    request.body = "body";
    CallOptions options;
    options.timeout = Milliseconds(10'000);
    options.fresh_connection = true;
    CallEvents events;
    events.on_end = [out](CallResult result) { *out = std::move(result); };
    return client.Send(callers, request, options, std::move(events));
  }

  // Returns the number of request executions at all upstreams.
  size_t ExecutionCount() const {
    size_t out = 0;
    for (auto& [id, engine] : engines) out += engine->runs().size();
    return out;
  }

  void SetFault(EngineFault fault, int count) {
    for (auto& [id, engine] : engines) engine->SetFault(fault, count);
  }

 private:
  int group_;

 public:
  EventLoop loop;
  StoreStandIn store;
  Http1Client client{&loop};
  std::map<std::string, std::unique_ptr<EngineStandIn>> engines;
  std::unique_ptr<FleetRouter> router;
  Endpoint callers;
  int request_count = 0;
  std::string caller_deadline_ms = "2000";
};

inline std::string CompleteStream(int events) {
  std::string out;
  for (int n = 1; n <= events; ++n) {
    out += "id: " + std::to_string(n) + "\ndata: token " + std::to_string(n) +
           "\n\n";
  }
  return out;
}

}  // namespace primrosecove
