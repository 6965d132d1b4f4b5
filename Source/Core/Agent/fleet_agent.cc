#include "Core/Agent/fleet_agent.h"

#include <signal.h>

#include <algorithm>
#include <utility>

#include "Core/Common/log.h"
#include "Core/Fleet/fleet_ports.h"
#include "platform/settings.h"

namespace primrosecove {
namespace {

// An engine's queue changes about this fast; its report is free on its host.
constexpr Milliseconds kAskPeriod{100};
// A status is repeated this often when nothing has changed, so that routers
// notice a lost agent.
constexpr Milliseconds kStatusPeriod{500};
// A router that has sent nothing for so long is gone; it sends once a second.
constexpr Milliseconds kRouterLifetime{3500};
constexpr Milliseconds kLogFlushPeriod{200};
// Reports missed in a row after which the engine counts as unreachable.
constexpr int kMissedReports = 2;
constexpr Http1Server::Limits kPeerLimits = {.max_body_bytes = 64 << 10,
                                             .max_connections = 400};

}  // namespace

FleetAgent::FleetAgent(EventLoop* loop, HostSettings settings)
    : settings_(std::move(settings)),
      loop_(loop),
      client_(std::make_unique<Http1Client>(loop_)),
      engine_(std::make_unique<platform::LocalEngineClient>(
          client_.get(), settings_.upstream_endpoint)),
      stager_(std::make_unique<WeightStager>(loop_, client_.get(),
                                             engine_.get(), settings_)),
      last_sent_at_(EventLoop::Now() - kStatusPeriod) {
  status_.upstream = settings_.upstream_endpoint;
  // Grows across restarts of a process that keeps nothing.
  status_.sequence = static_cast<uint64_t>(WallClockMs());
  AddMetrics();
}

void FleetAgent::AddMetrics() {
  struct Row {
    const char* name;
    const char* help;
    std::function<uint64_t()> value;
  };
  const TransferCounters& transfers = stager_->transfer_counters();
  const Row rows[] = {
      {"origin_bytes_total", "Bytes of weights drawn from the origin",
       [&transfers] { return transfers.origin_bytes; }},
      {"peer_bytes_total", "Bytes of weights taken from peers",
       [&transfers] { return transfers.peer_bytes; }},
      {"sent_bytes_total", "Bytes of weights handed on",
       [this] { return stager_->sent_bytes(); }},
      {"corrupt_pieces_total", "Pieces that were not what their digest says",
       [&transfers] { return transfers.corrupt_pieces; }},
      {"orders_total", "Orders to load",
       [this] { return stager_->counters().orders; }},
  };
  for (const Row& row : rows) {
    metrics_.AddCounter(
        std::string("primrosecove_agent_") + row.name, row.help, {},
        [value = row.value] { return static_cast<double>(value()); });
  }
  metrics_.AddGauge("primrosecove_agent_weights_version",
                    "Version that the engine serves whole", {}, [this] {
                      return static_cast<double>(status_.served_version);
                    });
}

Result<void> FleetAgent::Start() {
  // Routers should send nothing more to an engine that takes nothing.
  stager_->OnLoading([this] {
    status_.loading = true;
    SendStatus();
  });
  pieces_ = std::make_unique<Http1Server>(
      loop_, kPeerLimits,
      [this](const std::shared_ptr<Http1Exchange>& exchange) {
        stager_->Serve(exchange);
      });
  metrics_server_ = std::make_unique<Http1Server>(
      loop_, kPeerLimits, [this](const auto& exchange) {
        exchange->Respond(200, "OK", {{"Content-Type", "text/plain"}},
                          metrics_.Render());
      });
  peers_ = std::make_unique<UdpSocket>(
      loop_, [this](std::string_view bytes, const Endpoint& from) {
        TakeDatagram(bytes, from);
      });
  BOOST_OUTCOME_TRY(pieces_->Listen(PeerEndpoint(settings_, settings_.ip)));
  BOOST_OUTCOME_TRY(metrics_server_->Listen(MetricsEndpoint(settings_)));
  BOOST_OUTCOME_TRY(peers_->Bind(PeerEndpoint(settings_, settings_.ip)));
  ask_timer_ = loop_->Every(kAskPeriod, [this] { AskEngine(); });
  log_timer_ = loop_->Every(kLogFlushPeriod, [] { FlushLogs(); });
  PC_INFO(kMain, "event=start role=agent name="
                     << settings_.name << " zone=" << settings_.zone
                     << " engine=" << settings_.upstream_endpoint.ToString());
  return outcome::success();
}

int FleetAgent::Run() {
  signal(SIGPIPE, SIG_IGN);
  // Nothing is lost by leaving: peers take their pieces elsewhere.
  loop_->OnSignal(SIGTERM, [this] { loop_->Stop(); });
  // Its addresses are fixed for its life; nothing else of the file is used.
  loop_->OnSignal(SIGHUP, [] { PC_INFO(kMain, "event=reload role=agent"); });
  loop_->Run();
  PC_INFO(kMain, "event=stop role=agent name=" << settings_.name);
  FlushLogs();
  return 0;
}

void FleetAgent::TakeDatagram(std::string_view bytes, const Endpoint& from) {
  auto message = DecodeMessage(bytes);
  if (!message) {
    PC_WARN(kNet,
            "event=datagram_dropped why=\"" << message.error().message << "\"");
    return;
  }
  if (std::holds_alternative<CrashReport>(message.value())) {
    for (auto& [router, heard] : routers_) {
      if (router != from) peers_->Send(bytes, router);
    }
    return;
  }
  const auto* notice = std::get_if<DeploymentUpdate>(&message.value());
  if (notice == nullptr) return;
  if (routers_.insert_or_assign(from, EventLoop::Now()).second) {
    PC_INFO(kMembership, "event=router_heard at=" << from.ToString());
  }
  stager_->TakeNotice(*notice);
}

void FleetAgent::AskEngine() {
  if (asking_) return;
  asking_ = true;
  engine_->FetchEngineStatus([this](Result<EngineStatus> report) {
    asking_ = false;
    TakeReport(std::move(report));
  });
}

void FleetAgent::TakeReport(Result<EngineStatus> report) {
  bool was_reachable = status_.reachable;
  if (report) {
    missed_reports_ = 0;
    const EngineStatus& it = report.value();
    status_.reachable = true;
    status_.loading = it.loading;
    status_.served_version = 0;
    for (const LoadedWeights& weights : it.weights) {
      if (weights.fully_loaded) status_.served_version = weights.version;
    }
    status_.running = static_cast<uint32_t>(it.running);
    status_.waiting = static_cast<uint32_t>(it.waiting);
    constexpr double kPercent = 100;
    status_.slowdown_percent = static_cast<uint32_t>(it.slowdown * kPercent);
    status_.start_time_ms = it.start_time_ms;
    stager_->TakeReport(it);
  } else if (++missed_reports_ >= kMissedReports) {
    status_.reachable = false;
    status_.served_version = 0;
  }
  if (was_reachable != status_.reachable) {
    PC_INFO(kPlatform, "event=engine_reachable reachable="
                           << status_.reachable << " why=\""
                           << (report ? "" : report.error().message) << "\"");
  }
  SendStatus();
}

void FleetAgent::SendStatus() {
  SteadyTime now = EventLoop::Now();
  std::erase_if(routers_, [now](const auto& it) {
    return now - it.second > kRouterLifetime;
  });
  status_.staged_version = stager_->staged_version();
  status_.reload_in_ms = UpstreamStatus::kNoReloadPlanned;
  if (auto it = stager_->LoadsIn()) {
    status_.reload_in_ms = static_cast<uint32_t>(it->count());
  }
  status_.active_routers = static_cast<uint32_t>(routers_.size());
  uint64_t sequence = std::exchange(status_.sequence, 0);
  std::string same = EncodeMessage(status_);
  status_.sequence = sequence;
  if (same == last_sent_ && now - last_sent_at_ < kStatusPeriod) return;
  last_sent_ = std::move(same);
  last_sent_at_ = now;
  ++status_.sequence;
  std::string datagram = EncodeMessage(status_);
  for (auto& [router, heard] : routers_) peers_->Send(datagram, router);
}

}  // namespace primrosecove
