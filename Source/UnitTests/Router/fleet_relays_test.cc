// Tests that routers and agents that know different upstreams share what they
// learn, with real routers and agents and stand-ins of the store and the
// upstreams.
#include <algorithm>
#include <deque>
#include <set>

#include "Core/Agent/fleet_agent.h"
#include "Core/Fleet/fleet_ports.h"
#include "fleet_router_fixture.h"

namespace primrosecove {
namespace {

constexpr uint16_t kPeerPort = 18090;
constexpr double kLimit = 5;  // Requests per second.

// Two pairs of routers that read different stores. All know a plain service and
// four engines; those of the second store also know four engines that started
// later and whose ids come first.
class TwoViews {
 public:
  explicit TwoViews(int group)
      : group_(group), old_store_(&loop_), new_store_(&loop_) {
    if (!old_store_.Listen(EndpointAt(1)) || !new_store_.Listen(EndpointAt(2)))
      FAIL("store");
    for (int i = 0; i < 4; ++i) AddEngine("old-" + std::to_string(i), 20 + i);
    limited_ = MakeUpstream("plain", "desk", "", 30);
    limited_->SetRateLimit(std::to_string(kLimit));
    for (const auto& [key, item] : old_store_.items())
      new_store_.Put(key, item.value);
    FinishStartTime();
    for (int i = 0; i < 4; ++i) AddEngine("new-" + std::to_string(i), 40 + i);
    // The old view lacks the engines that were added.
    for (int i = 0; i < 4; ++i) {
      std::string key = "servers/new-" + std::to_string(i);
      new_store_.Put(key, old_store_.items().at(key).value);
      old_store_.Remove(key);
    }
    std::string config = RouterFixture::MakeConfigJson(1).dump();
    old_store_.Put("op/config", config);
    new_store_.Put("op/config", config);
    for (int i = 0; i < 4; ++i) AddRouter(10 + i, i < 2 ? 1 : 2);
    RunUntil(&loop_, [this] {
      return std::ranges::all_of(routers_, [](const auto& it) {
        auto& all = it->registry().all();
        return it->IsReady() && (all.size() == 5 || all.size() == 9) &&
               std::ranges::all_of(all, [](const auto& upstream) {
                 return upstream.first == "plain" || upstream.second.status;
               });
      });
    });
  }

  // Sends requests for the limited service to all routers for this long.
  // Returns the most that arrived there in a window.
  int MostArrivals(Milliseconds duration, Milliseconds from,
                   Milliseconds window) {
    std::deque<std::pair<SteadyTime, int>> seen;
    int most = 0;
    SteadyTime start = EventLoop::Now();
    SteadyTime next = start;
    RunUntil(&loop_, [&] {
      SteadyTime now = EventLoop::Now();
      for (; next <= now; next += Milliseconds(10)) SendToAll();
      if (now - start >= from) {
        seen.emplace_back(now, limited_->arrivals());
        while (now - seen.front().first > window) seen.pop_front();
        most = std::max(most, limited_->arrivals() - seen.front().second);
      }
      return now - start >= duration;
    });
    return most;
  }

 private:
  Endpoint EndpointAt(int n) const { return TestEndpoint(group_, n); }

  // Start times have a resolution of one millisecond.
  void FinishStartTime() {
    int64_t now_ms = WallClockMs();
    RunUntil(&loop_, [now_ms] { return WallClockMs() > now_ms + 1; });
  }

  std::unique_ptr<EngineStandIn> MakeUpstream(const std::string& id,
                                              const std::string& service,
                                              const std::string& model,
                                              int at) {
    EngineStandIn::Options options;
    options.id = id;
    options.service = service;
    options.zone = "z1";
    options.endpoint = EndpointAt(at);
    options.model = model;
    options.version = model.empty() ? 0 : 1;
    options.event_period = Milliseconds(1);
    options.queue = 100;
    auto out = std::make_unique<EngineStandIn>(&loop_, &old_store_, options);
    if (!out->Start()) FAIL(id);
    return out;
  }

  void AddEngine(const std::string& id, int at) {
    engines_.push_back(MakeUpstream(id, "llm", "m", at));
    HostSettings settings;
    settings.name = id;
    settings.zone = "z1";
    settings.ip = EndpointAt(at).ip;
    settings.first_internal_port = kPeerPort;
    settings.upstream_endpoint = EndpointAt(at);
    settings.service = "llm";
    settings.link_bytes_per_second = 1e6;
    agents_.push_back(std::make_unique<FleetAgent>(&loop_, settings));
    if (!agents_.back()->Start()) FAIL("agent");
  }

  void AddRouter(int at, int store) {
    HostSettings settings;
    settings.name = "router-" + std::to_string(at);
    settings.zone = "z1";
    settings.region = "r1";
    settings.region_of_zone = {{"z1", "r1"}};
    settings.ip = EndpointAt(at).ip;
    settings.caller_endpoint = {settings.ip, 18081};
    settings.readiness_endpoint = {settings.ip, 18082};
    settings.first_internal_port = kPeerPort;
    settings.store_endpoint = EndpointAt(store);
    settings.max_descriptors = 1000;
    routers_.push_back(
        std::make_unique<FleetRouter>(&loop_, FleetRouterOptions{}, settings));
    if (!routers_.back()->Start()) FAIL("router");
    callers_.push_back(settings.caller_endpoint);
  }

  void SendToAll() {
    std::erase_if(calls_, [](const auto& it) { return *it.second; });
    for (const Endpoint& it : callers_) {
      HttpRequest request;
      request.method = "POST";
      request.target = "/safe/1";
      request.headers.Add("Host", "h.example");
      request.headers.Add("Request-Id", std::to_string(++requests_));
      request.headers.Add("Deadline-Ms", "1000");
      request.headers.Add("Authorization", std::string("Bearer ") + kApiKey);
      CallOptions options;
      options.timeout = Milliseconds(2000);
      auto has_ended = std::make_shared<bool>(false);
      CallEvents events;
      events.on_end = [has_ended](const CallResult&) { *has_ended = true; };
      calls_.emplace_back(client_.Send(it, request, options, std::move(events)),
                          has_ended);
    }
  }

  int group_;
  EventLoop loop_;
  StoreStandIn old_store_;
  StoreStandIn new_store_;
  Http1Client client_{&loop_};
  std::unique_ptr<EngineStandIn> limited_;
  std::vector<std::unique_ptr<EngineStandIn>> engines_;
  std::vector<std::unique_ptr<FleetAgent>> agents_;
  std::vector<std::unique_ptr<FleetRouter>> routers_;
  std::vector<Endpoint> callers_;
  std::vector<std::pair<std::unique_ptr<Http1Call>, std::shared_ptr<bool>>>
      calls_;
  int requests_ = 0;
};

// Guards against routers that report to different agents, since the store turns
// some of them away while engines are added, and that each divide the whole
// rate limit of an upstream.
TEST_CASE("routers and agents with different views keep a rate limit",
          "[fleet]") {
  TwoViews fleet(106);
  constexpr Milliseconds kContactTime{3000};
  constexpr Milliseconds kWindow{4000};
  int most = fleet.MostArrivals(Milliseconds(12'000), kContactTime, kWindow);
  double seconds = std::chrono::duration<double>(kWindow).count();
  CHECK(most <= 1.5 * kLimit * seconds + 5);
  // The limit is used.
  CHECK(most >= kLimit * seconds / 2);
}

}  // namespace
}  // namespace primrosecove
