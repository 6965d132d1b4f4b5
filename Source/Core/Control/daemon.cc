#include "Core/Control/daemon.h"

#include <signal.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "Core/Common/build_info.h"
#include "Core/Common/log.h"

namespace primrosecove {
namespace {

using Json = nlohmann::json;

constexpr Milliseconds kHostListPeriod{2000};
constexpr Milliseconds kIdleCheckPeriod{50};
// A leaving process keeps running this long after its last request, so that its
// leaving state has spread by gossip and peers do not declare it dead.
constexpr Milliseconds kLingerAfterLeaving{1500};
constexpr int kExitSuperseded = 3;

HostRecord SelfRecord(const DaemonSettings& settings, Role role) {
  HostRecord out;
  out.name = settings.name;
  out.role = role;
  out.incarnation = static_cast<uint64_t>(WallClockMs());
  out.place = settings.place;
  out.http = settings.advertise;
  out.peer = settings.peer_advertise;
  return out;
}

const char* LivenessName(const HostRecord& it) {
  if (it.liveness == Liveness::kDead) return "dead";
  if (it.leaving) return "leaving";
  return it.liveness == Liveness::kSuspect ? "suspect" : "alive";
}

Json HostJson(const HostRecord& it) {
  return {{"name", it.name},
          {"role", it.role == Role::kRouter ? "router" : "agent"},
          {"place", it.place},
          {"state", LivenessName(it)},
          {"http", it.http.ToString()},
          {"revision", it.config_revision},
          {"model", it.serving.model},
          {"version", it.serving.version},
          {"adapters", it.serving.adapters},
          {"failed", it.failed_manifest != 0},
          {"transfer_percent", it.transfer_percent}};
}

}  // namespace

Daemon::Daemon(DaemonSettings settings, Role role, KeyRing keys)
    : settings_(std::move(settings)),
      role_(role),
      keys_(std::move(keys)),
      store_(&loop_, settings_.key_value, settings_.key_value_timeout),
      peers_(&loop_, &keys_,
             IdentifyMessage{settings_.name,
                             static_cast<uint64_t>(WallClockMs())}),
      gossip_(&loop_, &keys_, GossipOptions{}, SelfRecord(settings_, role),
              Gossip::Callbacks{
                  [this] {
                    config_.OnViewChanged();
                    if (hooks_.on_view) hooks_.on_view();
                  },
                  [this](const HeadSummary& head, const Endpoint& holder) {
                    config_.OnHead(head, holder);
                  },
                  [this] { OnSuperseded(); }}),
      config_(&loop_, &gossip_, &peers_, &store_, settings_.deployment,
              settings_.place,
              [this] {
                if (hooks_.on_config) hooks_.on_config();
              }),
      admin_(&loop_, {},
             [this](const auto& exchange) { OnAdminRequest(exchange); }) {}

Daemon::~Daemon() = default;

const Configuration* Daemon::config() const {
  const ActiveConfig* active = config_.active();
  return active == nullptr ? nullptr : &active->config;
}

Result<void> Daemon::Start() {
  BOOST_OUTCOME_TRY(admin_.Listen(settings_.admin_listen));
  BOOST_OUTCOME_TRY(peers_.Listen(settings_.peer_listen));
  BOOST_OUTCOME_TRY(gossip_.Start(settings_.peer_listen));
  AddMetrics();
  rpc_.AddMethod("status", [this] { return StatusJson(); });
  gossip_.ContactPeers(settings_.seeds);
  if (!settings_.host_list.empty()) {
    host_list_ =
        std::make_unique<HttpHostList>(&loop_, settings_.host_list.front());
    host_list_timer_ = loop_.Every(kHostListPeriod, [this] { PollHostList(); });
    PollHostList();
  }
  config_.Start();
  signal(SIGPIPE, SIG_IGN);
  loop_.OnSignal(SIGTERM, [this] { StartShutdown(); });
  loop_.OnSignal(SIGINT, [this] { StartShutdown(); });
  PC_INFO(kMain, settings_.name << " started; listen address "
                                << settings_.listen.ToString() << ", "
                                << DescribeBuild());
  return outcome::success();
}

int Daemon::Run() {
  loop_.Run();
  return exit_code_;
}

void Daemon::StartShutdown() {
  if (std::exchange(stopping_, true)) return;
  PC_INFO(kMain, settings_.name << " is draining");
  stop_deadline_ = EventLoop::Now() + settings_.drain_timeout;
  gossip_.UpdateSelf([](HostRecord* it) { it->leaving = true; });
  if (hooks_.on_stop) hooks_.on_stop();
  idle_timer_ = loop_.Every(kIdleCheckPeriod, [this] { StopWhenIdle(); });
}

void Daemon::StopWhenIdle() {
  bool overdue = EventLoop::Now() >= stop_deadline_;
  if (hooks_.is_idle && !hooks_.is_idle() && !overdue) return;
  if (overdue)
    PC_WARN(kMain, "drain timeout expired; stopping with unfinished requests");
  if (overdue) return loop_.Stop();
  // Peers that have not seen the leaving state yet can still send requests.
  if (!lingering_) {
    lingering_ = true;
    idle_timer_ = loop_.After(kLingerAfterLeaving, [this] {
      idle_timer_ = loop_.Every(kIdleCheckPeriod, [this] { StopWhenIdle(); });
      StopWhenIdle();
    });
    return;
  }
  loop_.Stop();
}

// Another process runs under the same name: the platform replaced this one
// while it was paused. The newer process takes over, and this one exits.
void Daemon::OnSuperseded() {
  PC_ERROR(kMain,
           settings_.name << " was replaced by a newer process; exiting");
  exit_code_ = kExitSuperseded;
  loop_.Stop();
}

void Daemon::PollHostList() {
  host_list_->Fetch([this](Result<std::vector<ListedHost>> hosts) {
    if (hosts) {
      ApplyHostList(hosts.value());
    } else {
      PC_DEBUG(kPlatform, hosts.error().message);
    }
  });
}

void Daemon::ApplyHostList(const std::vector<ListedHost>& hosts) {
  std::vector<Endpoint> unknown_peers;
  for (const ListedHost& it : hosts) {
    const HostRecord* record = gossip_.view().Find(it.name);
    bool is_known = record != nullptr && record->liveness != Liveness::kDead;
    if (!is_known && !it.leaving) unknown_peers.push_back(it.peer);
    if (!it.leaving) {
      listed_leaving_since_ms_.erase(it.name);
      continue;
    }
    int64_t since =
        listed_leaving_since_ms_.emplace(it.name, WallClockMs()).first->second;
    // The list lags behind: an entry that is older than the process refers to
    // its predecessor.
    if (is_known && record->incarnation < static_cast<uint64_t>(since))
      gossip_.MarkLeaving(it.name);
  }
  gossip_.ContactPeers(unknown_peers);
}

std::string Daemon::StatusJson() const {
  Json hosts = Json::array();
  for (const auto& [name, record] : gossip_.view().records())
    hosts.push_back(HostJson(record));
  Json out = {{"name", settings_.name},
              {"deployment", settings_.deployment},
              {"hosts", hosts}};
  if (const ActiveConfig* active = config_.active()) {
    out["revision"] = active->head.revision;
    out["summary"] = active->head.summary;
  }
  Json suspects = Json::array();
  for (const CrashObservation& it : gossip_.suspects().List(WallClockMs())) {
    suspects.push_back({{"request", it.subject},
                        {"upstream", it.upstream},
                        {"as_suspect", it.as_suspect},
                        {"expires_ms", it.expires_ms}});
  }
  out["suspects"] = suspects;
  if (hooks_.status) out["own"] = Json::parse(hooks_.status(), nullptr, false);
  return out.dump();
}

void Daemon::OnAdminRequest(const std::shared_ptr<HttpExchange>& exchange) {
  std::string_view path = exchange->request().Path();
  if (path == "/healthz")
    return exchange->Respond(200, {{"Content-Type", "text/plain"}}, "ok\n");
  if (path == "/readyz") {
    bool ready = !stopping_ && config() != nullptr &&
                 (!hooks_.is_ready || hooks_.is_ready());
    return exchange->Respond(ready ? 200 : 503,
                             {{"Content-Type", "text/plain"}},
                             ready ? "ready\n" : "not ready\n");
  }
  if (path == "/metrics") {
    return exchange->Respond(200,
                             {{"Content-Type", "text/plain; version=0.0.4"}},
                             metrics_.Render());
  }
  if (path == "/rpc" && exchange->request().method == "POST") {
    return exchange->Respond(200, {{"Content-Type", "application/json"}},
                             rpc_.Handle(exchange->request().body));
  }
  if (hooks_.on_admin && hooks_.on_admin(exchange)) return;
  exchange->Respond(404, {{"Content-Type", "text/plain"}}, "no such page\n");
}

void Daemon::AddMetrics() {
  const GossipCounters* gossip = &gossip_.counters();
  metrics_.AddCounter("primrosecove_gossip_sent_bytes_total",
                      "Datagram bytes sent.", {},
                      [=] { return static_cast<double>(gossip->bytes_sent); });
  metrics_.AddCounter(
      "primrosecove_gossip_received_bytes_total", "Datagram bytes received.",
      {}, [=] { return static_cast<double>(gossip->bytes_received); });
  metrics_.AddCounter(
      "primrosecove_gossip_refused_total", "Datagrams without a valid tag.", {},
      [=] { return static_cast<double>(gossip->datagrams_refused); });
  metrics_.AddCounter(
      "primrosecove_deaths_declared_total", "Processes this one declared dead.",
      {}, [=] { return static_cast<double>(gossip->deaths_declared); });
  metrics_.AddCounter("primrosecove_key_value_calls_total",
                      "Calls to the key-value service.", {},
                      [this] { return static_cast<double>(store_.calls()); });
  metrics_.AddGauge(
      "primrosecove_config_revision", "Revision in force.", {}, [this] {
        return config_.active() == nullptr
                   ? 0.0
                   : static_cast<double>(config_.active()->head.revision);
      });
  metrics_.AddCounter(
      "primrosecove_config_refused_total", "Revisions refused.", {}, [this] {
        return static_cast<double>(config_.counters().revisions_rejected);
      });
  metrics_.AddCounter(
      "primrosecove_peer_received_bytes_total", "Frame bytes from peers.", {},
      [this] { return static_cast<double>(peers_.bytes_received()); });
}

}  // namespace primrosecove
