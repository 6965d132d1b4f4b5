#include "Core/Agent/fleet_agent.h"

#include <signal.h>

#include <algorithm>
#include <utility>

#include "Core/Common/build_info.h"
#include "Core/Common/log.h"
#include "Core/Fleet/fleet_ports.h"
#include "platform/settings.h"

namespace primrosecove {
namespace {

// The engine's queue changes about this fast, and polling it on the same host
// costs no network bandwidth.
constexpr Milliseconds kEnginePollPeriod{100};
// An unchanged status is resent at this interval, so that routers detect a lost
// agent.
constexpr Milliseconds kStatusResendPeriod{500};
// Statuses a second that an agent sends to routers in other zones, as long as
// each gets one in kStatusResendPeriod.
constexpr int64_t kRemoteStatusesPerSecond = 64;
constexpr Milliseconds kLogFlushPeriod{200};
// Interval at which an agent that is a relay tells the routers that do not
// report to it.
constexpr Milliseconds kAnnouncementPeriod{500};
// A poll within the host takes a few milliseconds, or some tens of them if the
// host is short of processor time.
constexpr Milliseconds kMaxPollTime{300};
// Consecutive polls whose connection the engine refuses, after which it is
// considered unreachable.
constexpr int kMaxMissedPolls = 2;
constexpr Http1Server::Limits kPeerLimits = {.max_body_bytes = 64 << 10,
                                             .max_connections = 400};

int64_t NowMs() {
  return std::chrono::duration_cast<Milliseconds>(
             EventLoop::Now().time_since_epoch())
      .count();
}

}  // namespace

FleetAgent::FleetAgent(EventLoop* loop, HostSettings settings)
    : settings_(std::move(settings)),
      loop_(loop),
      client_(std::make_unique<Http1Client>(loop_)),
      engine_(std::make_unique<platform::LocalEngineClient>(
          client_.get(), settings_.upstream_endpoint)),
      stager_(std::make_unique<WeightStager>(loop_, client_.get(),
                                             engine_.get(), settings_)),
      update_source_(settings_.ip, settings_.zone),
      last_sent_at_(EventLoop::Now() - kStatusResendPeriod) {
  status_.upstream = settings_.upstream_endpoint;
  // The wall clock keeps the sequence increasing across restarts, because the
  // agent stores no state.
  status_.sequence = static_cast<uint64_t>(WallClockMs());
  AddMetrics();
}

void FleetAgent::AddMetrics() {
  struct Entry {
    const char* name;
    const char* help;
    std::function<uint64_t()> value;
  };
  const TransferCounters& transfers = stager_->transfer_counters();
  const Entry entries[] = {
      {"origin_bytes_total", "Bytes of weights drawn from the origin",
       [&transfers] { return transfers.origin_bytes; }},
      {"peer_bytes_total", "Bytes of weights taken from peers",
       [&transfers] { return transfers.peer_bytes; }},
      {"sent_bytes_total", "Bytes of weights handed on",
       [this] { return stager_->sent_bytes(); }},
      {"corrupt_pieces_total", "Pieces that were not what their digest says",
       [&transfers] { return transfers.corrupt_chunks; }},
      {"rejected_manifests_total",
       "Manifests that do not describe the weights as the configuration does",
       [&transfers] { return transfers.rejected_manifests; }},
      {"doubted_manifests_total",
       "Manifests that were read again, as chunks did not match them",
       [&transfers] { return transfers.doubted_manifests; }},
      {"replaced_manifests_total",
       "Manifests that were replaced, as the origin stated another one",
       [&transfers] { return transfers.replaced_manifests; }},
      {"orders_total", "Orders to load",
       [this] { return stager_->counters().orders; }},
  };
  for (const Entry& entry : entries) {
    metrics_.AddCounter(
        std::string("primrosecove_agent_") + entry.name, entry.help, {},
        [value = entry.value] { return static_cast<double>(value()); });
  }
  metrics_.AddGauge("primrosecove_agent_crash_observations",
                    "Crash observations kept for routers", {}, [this] {
                      return static_cast<double>(crash_relay_.table().size());
                    });
  metrics_.AddGauge(
      "primrosecove_agent_rate_limits",
      "Upstreams whose rate limit is kept for routers", {},
      [this] { return static_cast<double>(rate_limit_relay_.size()); });
  metrics_.AddGauge("primrosecove_agent_weights_version",
                    "Version that the engine serves whole", {}, [this] {
                      return static_cast<double>(status_.served_version);
                    });
}

Result<void> FleetAgent::Start() {
  // Tells routers at once not to send requests to an engine that is loading.
  stager_->OnLoading([this] {
    status_.loading = true;
    SendStatus();
  });
  chunk_server_ = std::make_unique<Http1Server>(
      loop_, kPeerLimits,
      [this](const std::shared_ptr<Http1Exchange>& exchange) {
        stager_->Serve(exchange);
      });
  metrics_server_ = std::make_unique<Http1Server>(
      loop_, kPeerLimits, [this](const auto& exchange) {
        exchange->Respond(200, "OK", {{"Content-Type", "text/plain"}},
                          metrics_.Render());
      });
  peer_socket_ = std::make_unique<UdpSocket>(
      loop_, [this](std::string_view bytes, const Endpoint& from) {
        OnDatagram(bytes, from);
      });
  BOOST_OUTCOME_TRY(
      chunk_server_->Listen(PeerEndpoint(settings_, settings_.ip)));
  BOOST_OUTCOME_TRY(metrics_server_->Listen(MetricsEndpoint(settings_)));
  BOOST_OUTCOME_TRY(peer_socket_->Bind(PeerEndpoint(settings_, settings_.ip)));
  poll_timer_ = loop_->Every(kEnginePollPeriod, [this] { PollEngine(); });
  announcement_timer_ =
      loop_->Every(kAnnouncementPeriod, [this] { AnnounceRelay(); });
  log_timer_ = loop_->Every(kLogFlushPeriod, [] { FlushLogs(); });
  PC_INFO(kMain, "event=start role=agent name="
                     << settings_.name << " zone=" << settings_.zone
                     << " engine=" << settings_.upstream_endpoint.ToString()
                     << " " << DescribeBuild());
  return outcome::success();
}

int FleetAgent::Run() {
  signal(SIGPIPE, SIG_IGN);
  // Stopping needs no hand-over: peers fetch their chunks from other members.
  loop_->OnSignal(SIGTERM, [this] { loop_->Stop(); });
  // The agent's addresses are fixed for its lifetime, and it uses nothing else
  // of the settings file, so a reload changes nothing.
  loop_->OnSignal(SIGHUP, [] { PC_INFO(kMain, "event=reload role=agent"); });
  loop_->Run();
  PC_INFO(kMain, "event=stop role=agent name=" << settings_.name);
  FlushLogs();
  return 0;
}

void FleetAgent::OnDatagram(std::string_view bytes, const Endpoint& from) {
  auto message = DecodeMessage(bytes);
  if (!message) {
    PC_WARN(kNet,
            "event=datagram_dropped why=\"" << message.error().message << "\"");
    return;
  }
  int64_t now_ms = NowMs();
  if (const auto* report = std::get_if<CrashReport>(&message.value())) {
    for (const CrashReport& it : crash_relay_.OnReport(*report, now_ms))
      ForwardToRouters(EncodeMessage(it), from);
    return;
  }
  if (std::holds_alternative<LossReport>(message.value()))
    return ForwardToRouters(bytes, from);
  if (const auto* report = std::get_if<RateLimitReport>(&message.value())) {
    RateLimitRelay::Answer answer =
        rate_limit_relay_.OnReport(*report, from, now_ms);
    for (const RateLimitSummary& it : answer.to_sender)
      peer_socket_->Send(EncodeMessage(it), from);
    for (const RateLimitSummary& it : answer.to_others)
      ForwardToRouters(EncodeMessage(it), from);
    return;
  }
  if (const auto* digest = std::get_if<CrashDigest>(&message.value())) {
    for (const FleetMessage& it : crash_relay_.OnDigest(*digest, now_ms))
      peer_socket_->Send(EncodeMessage(it), from);
    return;
  }
  if (const auto* digest = std::get_if<DeploymentDigest>(&message.value()))
    return OnDeploymentDigest(*digest, from);
  const auto* update = std::get_if<DeploymentUpdate>(&message.value());
  if (update == nullptr) return;
  RecordRouter(from);
  if (update->service != settings_.service) return;
  if (stager_->ApplyUpdate(*update))
    update_source_.OnUpdate(from, DigestOf(*update), EventLoop::Now());
}

void FleetAgent::OnDeploymentDigest(const DeploymentDigest& digest,
                                    const Endpoint& from) {
  if (digest.service != settings_.service) return;
  RecordRouter(from);
  if (update_source_.OnDigest(from, digest, EventLoop::Now())) {
    peer_socket_->Send(EncodeMessage(DeploymentRequest{digest.service}), from);
  }
  stager_->ApplyTarget(digest.target_weights_version,
                       Milliseconds(digest.target_age_ms));
}

void FleetAgent::RecordRouter(const Endpoint& router) {
  if (routers_.insert_or_assign(router, EventLoop::Now()).second) {
    PC_INFO(kMembership, "event=router_heard at=" << router.ToString());
  }
}

void FleetAgent::ForwardToRouters(std::string_view datagram,
                                  const Endpoint& sender) {
  for (auto& [router, heard] : routers_) {
    if (router != sender) peer_socket_->Send(datagram, router);
  }
}

// Routers that know other agents may have chosen other relays.
void FleetAgent::AnnounceRelay() {
  int64_t now_ms = NowMs();
  for (const RateLimitSummary& it :
       rate_limit_relay_.MakeAnnouncements(now_ms)) {
    std::string datagram = EncodeMessage(it);
    for (const auto& [router, heard] : routers_) {
      if (!rate_limit_relay_.ReportsHere(router, now_ms))
        peer_socket_->Send(datagram, router);
    }
  }
}

void FleetAgent::PollEngine() {
  if (poll_in_flight_) {
    if (status_.responding && EventLoop::Now() - poll_sent_at_ > kMaxPollTime) {
      RecordResponding(false);
      SendStatus();
    }
    return;
  }
  poll_in_flight_ = true;
  poll_sent_at_ = EventLoop::Now();
  engine_->FetchEngineStatus([this](Result<EngineStatus> status) {
    poll_in_flight_ = false;
    OnEngineStatus(std::move(status));
  });
}

void FleetAgent::RecordResponding(bool responding) {
  if (status_.responding == responding) return;
  status_.responding = responding;
  PC_INFO(kPlatform, "event=engine_responding responding=" << responding);
}

void FleetAgent::OnEngineStatus(Result<EngineStatus> status) {
  bool was_reachable = status_.reachable;
  if (status) {
    missed_polls_ = 0;
    const EngineStatus& it = status.value();
    status_.reachable = true;
    RecordResponding(true);
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
    stager_->OnEngineStatus(it);
  } else if (status.error().code != ErrorCode::kUnavailable) {
    // A silent engine may go on. Only refused connections show that its process
    // has ended.
    missed_polls_ = 0;
    if (status.error().code == ErrorCode::kTimeout) RecordResponding(false);
  } else if (++missed_polls_ >= kMaxMissedPolls) {
    status_.reachable = false;
    status_.served_version = 0;
  }
  if (was_reachable != status_.reachable) {
    PC_INFO(kPlatform, "event=engine_reachable reachable="
                           << status_.reachable << " why=\""
                           << (status ? "" : status.error().message) << "\"");
  }
  SendStatus();
}

void FleetAgent::SendStatus() {
  SteadyTime now = EventLoop::Now();
  std::erase_if(routers_, [now](const auto& it) {
    return now - it.second > UpdateSource::kRouterTimeout;
  });
  status_.staged_version = stager_->staged_version();
  status_.reload_in_ms = UpstreamStatus::kNoReloadPlanned;
  if (auto it = stager_->TimeUntilLoad()) {
    status_.reload_in_ms = static_cast<uint32_t>(it->count());
  }
  status_.active_routers = static_cast<uint32_t>(routers_.size());
  UpstreamStatus content = status_;
  content.sequence = 0;
  std::string encoded = EncodeMessage(content);
  if (encoded == last_sent_status_ && now - last_sent_at_ < kStatusResendPeriod)
    return;
  last_sent_status_ = std::move(encoded);
  last_sent_at_ = now;
  ++status_.sequence;
  std::string datagram = EncodeMessage(status_);
  bool send_to_remote = IsRemoteStatusDue(std::move(content), now);
  for (auto& [router, heard] : routers_) {
    if (send_to_remote || !update_source_.IsRemote(router))
      peer_socket_->Send(datagram, router);
  }
}

// Routers in other zones need each change of the engine's state at once, but
// its load only as often as the links between zones can carry it.
bool FleetAgent::IsRemoteStatusDue(UpstreamStatus content, SteadyTime now) {
  int64_t remote = std::ranges::count_if(routers_, [this](const auto& it) {
    return update_source_.IsRemote(it.first);
  });
  constexpr int64_t kMsPerSecond = 1000;
  Milliseconds period =
      std::min(Milliseconds(remote * kMsPerSecond / kRemoteStatusesPerSecond),
               kStatusResendPeriod);
  content.running = 0;
  content.waiting = 0;
  content.slowdown_percent = 0;
  content.active_routers = 0;
  if (content.reload_in_ms != UpstreamStatus::kNoReloadPlanned)
    content.reload_in_ms = 0;
  std::string state = EncodeMessage(content);
  if (state == remote_state_ && now - sent_to_remote_at_ < period) return false;
  remote_state_ = std::move(state);
  sent_to_remote_at_ = now;
  return true;
}

}  // namespace primrosecove
