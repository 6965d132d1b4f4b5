#include "Core/Router/fleet_router.h"

#include <signal.h>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "Core/Common/build_info.h"
#include "Core/Common/digest.h"
#include "Core/Common/log.h"
#include "Core/Fleet/fleet_ports.h"
#include "Core/Membership/crash_exchange.h"
#include "Core/Router/fleet_request.h"
#include "Core/Router/placement_explanation.h"
#include "platform/headers.h"
#include "platform/settings.h"
#include "platform/store_source.h"

namespace primrosecove {
namespace {

// Interval at which digests of the deployment are sent even without a change. A
// lost datagram is replaced by the next one.
constexpr Milliseconds kDigestPeriod{1000};
// Requests on a lost upstream are detected and retried at this interval.
constexpr Milliseconds kRequestCheckPeriod{100};
// A longer time between two checks shows that this process has been stopped or
// was short of processor time.
constexpr Milliseconds kMaxCheckDelay{300};
constexpr Milliseconds kLogFlushPeriod{100};
// Interval at which the known rate limits are sent to the relays.
constexpr Milliseconds kRateLimitReportPeriod{500};
// Interval at which the use of rate limits is logged.
constexpr Milliseconds kRateLimitLogPeriod{1000};
constexpr Milliseconds kStopCheckPeriod{50};
// Interval at which crash observations are compared with the agents'. A process
// that restarted or lost reports lacks them for this long.
constexpr Milliseconds kCrashDigestPeriod{1000};
// The load balancer probes once a second and removes a host after two failures.
// Until then new connections still arrive and must be served.
constexpr Milliseconds kStopServeTime{2600};
// Reserved at the end of the grace period for the delivery of the last
// responses, and within it for the process's exit.
constexpr Milliseconds kStopMargin{400};
constexpr Milliseconds kExitMargin{150};
// Each request needs a connection to its caller and one to an upstream, and the
// platform reserves 200 descriptors for files.
constexpr size_t kReservedDescriptors = 250;
constexpr size_t kDescriptorsPerCaller = 2;
// Share of the host's memory that responses may take: the rest is for
// connections, requests and the process itself.
constexpr uint64_t kResponseMemoryDivisor = 4;
// Time for callers to receive the last responses and close.
constexpr Milliseconds kLingerTime{400};
// Limits of the readiness and metrics servers.
constexpr Http1Server::Limits kInternalServerLimits = {.max_connections = 64};

Http1Server::Limits MakeCallerServerLimits(const CallerLimits& limits,
                                           const HostSettings& settings) {
  Http1Server::Limits out;
  out.max_head_bytes = limits.max_head_bytes;
  out.max_body_bytes = limits.max_body_bytes;
  out.head_timeout = limits.head_timeout;
  out.idle_timeout = limits.idle_timeout;
  size_t usable = settings.max_descriptors > 2 * kReservedDescriptors
                      ? settings.max_descriptors - kReservedDescriptors
                      : kReservedDescriptors;
  out.max_connections = usable / kDescriptorsPerCaller;
  return out;
}

}  // namespace

size_t FleetState::HeldResponseBytes() const {
  size_t out = 0;
  for (const auto& [key, request] : requests) out += request->HeldBytes();
  return out;
}

void FleetState::LimitHeldResponses() {
  size_t limit = settings.memory_bytes / kResponseMemoryDivisor;
  if (limit == 0) return;
  while (HeldResponseBytes() > limit) {
    auto largest = std::max_element(
        requests.begin(), requests.end(), [](const auto& a, const auto& b) {
          return a.second->HeldBytes() < b.second->HeldBytes();
        });
    std::shared_ptr<FleetRequest> request = largest->second;
    size_t held = request->HeldBytes();
    ++counters.responses_dropped;
    request->EndLargestResponse();
    // What is on its way to the caller may remain.
    if (request->HeldBytes() >= held) return;
  }
}

FleetRetryBudget& FleetState::RetryBudgetFor(const std::string& service) {
  return retry_budgets.try_emplace(service, settings.bounds).first->second;
}

PlacementPolicy* FleetState::PolicyFor(
    std::span<FleetUpstream* const> candidates) const {
  bool states_slowdown =
      std::any_of(candidates.begin(), candidates.end(),
                  [](const auto* it) { return it->StatesSlowdown(); });
  return even_load_policy != nullptr && states_slowdown ? even_load_policy.get()
                                                        : policy.get();
}

PriorityDemand* FleetState::PriorityDemandFor(const std::string& service) {
  auto it = priority_demands.find(service);
  return it == priority_demands.end() ? nullptr : &it->second;
}

void FleetState::UpdatePriorities() {
  for (const auto& [name, service] : routes->config().services) {
    auto targets = routes->PrioritiesOf(name);
    if (targets.size() > 1) {
      priority_demands[name].SetTargets(targets);
    } else {
      priority_demands.erase(name);
    }
  }
}

Milliseconds FleetState::MeanServiceTime(const std::string& service,
                                         Milliseconds fallback) {
  auto it = mean_service_time_ms.find(service);
  if (it == mean_service_time_ms.end()) return fallback;
  return Milliseconds(static_cast<int64_t>(it->second));
}

void FleetState::RecordServiceTime(const std::string& service,
                                   Milliseconds time) {
  // Adapts to a load change within about thirty requests.
  constexpr double kNewShare = 0.05;
  auto ms = static_cast<double>(time.count());
  auto [it, is_new] = mean_service_time_ms.try_emplace(service, ms);
  if (!is_new) it->second += kNewShare * (ms - it->second);
}

double FleetState::RandomFraction() {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

FleetRouter::FleetRouter(EventLoop* loop, FleetRouterOptions options,
                         HostSettings settings)
    : options_(std::move(options)), loop_(loop) {
  state_.loop = loop_;
  state_.settings = std::move(settings);
  state_.client = std::make_unique<Http1Client>(loop_);
  const FleetBounds& bounds = state_.settings.bounds;
  state_.freshness = ConfigFreshness(bounds);
  uint64_t router_id = RendezvousScore("router", state_.settings.name);
  state_.crash_correlator = CrashCorrelator(
      UpstreamRegistry::MaxDetectionTime(state_.settings.heartbeat),
      PromptPartScreen(router_id, bounds.retry_window));
  state_.minimum_versions = MinimumVersion(bounds.version);
  state_.rate_limits = UpstreamRateLimits(router_id, bounds.retry_window);
  state_.cold_starts = ColdStartLimits(bounds, router_id, state_.Now());
  state_.random.seed(RandomU64());
  AddMetrics();
}

FleetRouter::~FleetRouter() { state_.requests.clear(); }

Result<void> FleetRouter::Start() {
  state_.policy = MakePlacementPolicy(options_.placement, state_.random());
  if (options_.placement == FleetRouterOptions().placement) {
    state_.even_load_policy = MakePlacementPolicy("even-load", state_.random());
  }
  if (state_.policy == nullptr) {
    return Fail(ErrorCode::kInvalidArgument,
                "unknown placement '" + options_.placement + "'");
  }
  const HostSettings& settings = state_.settings;
  caller_server_ = std::make_unique<Http1Server>(
      loop_, MakeCallerServerLimits({}, settings),
      [this](auto exchange) { HandleRequest(std::move(exchange)); });
  readiness_server_ = std::make_unique<Http1Server>(
      loop_, kInternalServerLimits,
      [this](auto exchange) { HandleReadiness(std::move(exchange)); });
  metrics_server_ = std::make_unique<Http1Server>(
      loop_, kInternalServerLimits,
      [this](auto exchange) { HandleMetrics(std::move(exchange)); });
  peer_socket_ = std::make_unique<UdpSocket>(
      loop_, [this](std::string_view bytes, const Endpoint& from) {
        HandleDatagram(bytes, from);
      });
  BOOST_OUTCOME_TRY(caller_server_->Listen(settings.caller_endpoint));
  BOOST_OUTCOME_TRY(readiness_server_->Listen(settings.readiness_endpoint));
  BOOST_OUTCOME_TRY(metrics_server_->Listen(MetricsEndpoint(settings)));
  BOOST_OUTCOME_TRY(peer_socket_->Bind(PeerEndpoint(settings, settings.ip)));
  source_ = std::make_unique<platform::StoreSource>(state_.client.get(),
                                                    settings.store_endpoint);
  DeploymentWatcher::Events events;
  events.on_change = [this](const DeploymentChange& it) { ApplyChange(it); };
  events.on_confirmed = [this](BootTime at) { OnDeploymentConfirmed(at); };
  events.on_synced = [this](const StorePosition&) { OnSynced(); };
  events.on_restored = [this] { OnStoreRestored(); };
  events.on_reachable = [this](bool it) { OnStoreReachable(it); };
  watcher_ = std::make_unique<DeploymentWatcher>(
      loop_, source_.get(), settings.bounds.revoke, std::move(events));
  watcher_->SetUnrestrictedAge(state_.freshness.UnrestrictedAge());
  watcher_->Start();
  deployment_digest_timer_ =
      loop_->Every(kDigestPeriod, [this] { SendDeploymentDigests(true); });
  crash_digest_timer_ =
      loop_->Every(kCrashDigestPeriod, [this] { SendCrashDigest(); });
  rate_limit_report_timer_ = loop_->Every(
      kRateLimitReportPeriod, [this] { ReportRateLimits(state_.Now()); });
  rate_limit_log_timer_ = loop_->Every(kRateLimitLogPeriod, [this] {
    state_.rate_limits.Update(state_.registry, state_.Now());
    state_.rests.RemoveExpired(state_.Now());
    state_.cold_starts.RemoveExpired(state_.Now());
    for (auto& [service, demand] : state_.priority_demands)
      demand.RemoveExpired(state_.Now());
  });
  last_check_at_ = state_.Now();
  request_check_timer_ =
      loop_->Every(kRequestCheckPeriod, [this] { CheckRequests(); });
  log_flush_timer_ = loop_->Every(kLogFlushPeriod, [] { FlushLogs(); });
  PC_INFO(kMain,
          "event=start role=router name="
              << settings.name << " zone=" << settings.zone
              << " callers=" << settings.caller_endpoint.ToString()
              << " placement=" << options_.placement << " clock="
              << (BootClock() == CLOCK_BOOTTIME ? "boottime" : "monotonic")
              << " " << DescribeBuild());
  return outcome::success();
}

int FleetRouter::Run() {
  signal(SIGPIPE, SIG_IGN);
  loop_->OnSignal(SIGTERM, [this] { BeginStop(); });
  loop_->OnSignal(SIGHUP, [this] { ReloadSettings(); });
  loop_->Run();
  PC_INFO(kMain, "event=stop role=router name=" << state_.settings.name);
  FlushLogs();
  return 0;
}

void FleetRouter::HandleRequest(std::shared_ptr<Http1Exchange> exchange) {
  auto request = std::make_shared<FleetRequest>(&state_, std::move(exchange));
  state_.requests.emplace(request.get(), request);
  request->Start();
}

bool FleetRouter::IsReady() const {
  return !state_.stopping && state_.routes != nullptr &&
         state_.freshness.MayAcceptCallers(BootNow());
}

void FleetRouter::HandleReadiness(std::shared_ptr<Http1Exchange> exchange) {
  bool ready = IsReady();
  if (ready != was_ready_) {
    auto age = state_.freshness.Age(BootNow());
    PC_INFO(kRouter, "event=readiness ready="
                         << ready << " stopping=" << state_.stopping
                         << " config_age_ms=" << (age ? age->count() : -1));
    was_ready_ = ready;
  }
  if (ready) return exchange->Respond(200, "OK", {}, "");
  exchange->Respond(503, "Service Unavailable", {}, "");
}

void FleetRouter::HandleMetrics(std::shared_ptr<Http1Exchange> exchange) {
  const HttpHeaders headers = {{"Content-Type", "text/plain"}};
  const HttpRequest& request = exchange->request();
  if (request.Path() != PlacementQuestion::kPath)
    return exchange->Respond(200, "OK", headers, metrics_.Render());
  auto question = DecodeQuestion(request);
  if (!question) {
    return exchange->Respond(400, "Bad Request", headers,
                             question.error().message + "\n");
  }
  question.value().fields.key =
      platform::DecodeCallerFields(request.headers).key;
  ++state_.counters.explanations;
  PlacementExplanation explanation =
      ExplainPlacement(&state_, question.value());
  exchange->Respond(200, "OK", headers, RenderExplanation(explanation));
}

void FleetRouter::ApplyChange(const DeploymentChange& change) {
  MonotonicTime now = state_.Now();
  if (const auto* config = std::get_if<FleetConfig>(&change)) {
    ApplyConfig(*config);
  } else if (const auto* upstream = std::get_if<UpstreamChange>(&change)) {
    state_.registry.Apply(*upstream, last_store_return_, now);
    update_due_ = true;
  } else if (const auto* target = std::get_if<TargetVersion>(&change)) {
    if (target->version > state_.minimum_versions.NewestTarget(target->model)) {
      PC_INFO(kRollout, "event=version_named model="
                            << target->model << " version=" << target->version);
      remote_update_due_ = true;
    }
    state_.minimum_versions.SetTarget(target->model, target->version,
                                      !state_.deployment_read, now);
  } else if (const auto* evacuation = std::get_if<ZoneEvacuation>(&change)) {
    bool is_new = state_.evacuations.Apply(*evacuation, now);
    if (is_new && !state_.settings.region_of_zone.contains(evacuation->zone)) {
      PC_WARN(kConfig,
              "event=evacuation_of_unknown_zone zone=" << evacuation->zone);
    }
  }
}

void FleetRouter::ApplyConfig(const FleetConfig& config) {
  uint64_t version =
      state_.routes == nullptr ? 0 : state_.routes->config().version;
  if (restored_config_version_) restored_config_version_ = config.version;
  if (state_.routes != nullptr && config.version <= version) {
    if (config.version < version) {
      PC_ERROR(kConfig, "event=config_refused version="
                            << config.version << " in_force=" << version
                            << " why=\"older than the active configuration\"");
    }
    return;
  }
  state_.routes = std::make_shared<const RouteTable>(config);
  state_.UpdatePriorities();
  std::set<std::string> services;
  for (const auto& [name, service] : config.services) services.insert(name);
  state_.registry.SetServices(std::move(services), state_.Now());
  caller_server_->SetLimits(
      MakeCallerServerLimits(config.limits, state_.settings));
  remote_update_due_ = true;
  WarnOfUnknownRegions(config);
  PC_INFO(kConfig, "event=config_in_force version="
                       << config.version << " before=" << version
                       << " routes=" << config.routes.size()
                       << " workspaces=" << config.workspaces.size());
}

void FleetRouter::WarnOfUnknownRegions(const FleetConfig& config) const {
  std::set<std::string> unknown;
  auto check = [&](const std::vector<std::string>& regions) {
    unknown.insert(regions.begin(), regions.end());
  };
  for (const Route& it : config.routes) check(it.allowed_regions);
  for (const FleetWorkspace& it : config.workspaces) check(it.allowed_regions);
  for (const auto& [zone, region] : state_.settings.region_of_zone)
    unknown.erase(region);
  for (const std::string& it : unknown)
    PC_WARN(kConfig, "event=unknown_region region=" << it);
}

bool FleetRouter::IsStoreBehind() {
  if (!restored_config_version_) return false;
  if (*restored_config_version_ < config_version()) return true;
  restored_config_version_.reset();
  PC_INFO(kConfig, "event=store_caught_up config=" << config_version());
  return false;
}

void FleetRouter::OnDeploymentConfirmed(BootTime confirmed_at) {
  // A store that lacks the configuration in force may lack later ones, too.
  if (state_.routes == nullptr || IsStoreBehind()) return;
  state_.freshness.Confirm(confirmed_at);
}

void FleetRouter::OnSynced() {
  state_.deployment_read = true;
  if (update_due_ || remote_update_due_)
    SendDeploymentDigests(remote_update_due_);
}

void FleetRouter::OnStoreRestored() {
  // Registrations that the copy lacks are written again.
  last_store_return_ = state_.Now();
  state_.registry.OnStoreRestored(last_store_return_);
  state_.evacuations.OnStoreRestored(last_store_return_);
  restored_config_version_ = 0;
}

void FleetRouter::OnStoreReachable(bool reachable) {
  if (reachable) {
    last_store_return_ = state_.Now();
    store_reachable_since_ = last_store_return_;
  } else {
    store_reachable_since_.reset();
  }
}

void FleetRouter::HandleDatagram(std::string_view bytes, const Endpoint& from) {
  auto message = DecodeMessage(bytes);
  if (!message) {
    PC_WARN(kNet,
            "event=datagram_dropped why=\"" << message.error().message << "\"");
    return;
  }
  MonotonicTime now = state_.Now();
  if (const auto* report = std::get_if<CrashReport>(&message.value())) {
    for (const CrashObservation& it : ReadCrashReport(*report, now.count()))
      state_.crash_correlator.AddRemoteObservation(it, now);
    return;
  }
  if (const auto* report = std::get_if<LossReport>(&message.value()))
    return state_.crash_correlator.AddRemoteLosses(*report, now);
  if (const auto* summary = std::get_if<RateLimitSummary>(&message.value())) {
    relay_choice_.OnRelayMessage(from.ip, now);
    return state_.rate_limits.OnSummary(*summary, state_.registry, now);
  }
  if (const auto* digest = std::get_if<CrashDigest>(&message.value())) {
    for (const FleetMessage& it : AnswerCrashDigest(
             state_.crash_correlator.table(), *digest, now.count())) {
      peer_socket_->Send(EncodeMessage(it), from);
    }
    return;
  }
  if (const auto* request = std::get_if<DeploymentRequest>(&message.value()))
    return SendDeploymentUpdate(*request, from);
  const auto* status = std::get_if<UpstreamStatus>(&message.value());
  if (status == nullptr) return;
  state_.registry.RecordStatus(*status, state_.Now());
  auto routers = static_cast<int>(status->active_routers);
  state_.rate_limits.SetRouterCount(routers, now);
  state_.cold_starts.SetRouterCount(routers, now);
  state_.crash_correlator.prompt_part_screen().SetRouterCount(routers, now);
  for (auto& [service, retry_budget] : state_.retry_budgets)
    retry_budget.SetRouterCount(routers, now);
}

std::vector<DeploymentUpdate> FleetRouter::MakeDeploymentUpdates() {
  std::vector<DeploymentUpdate> out;
  MonotonicTime now = state_.Now();
  Endpoint origin;
  for (const auto& [name, service] : state_.routes->config().services) {
    if (service.origin) origin = *service.origin;
  }
  for (const auto& [name, service] : state_.routes->config().services) {
    if (!service.engine || service.engine->models.empty()) continue;
    const EngineModel& model = service.engine->models.front();
    DeploymentUpdate update;
    update.store_position = watcher_->position();
    update.service = name;
    update.model = model.name;
    // Without a target version, engines serve their first one.
    update.target_weights_version =
        std::max<uint64_t>(state_.minimum_versions.NewestTarget(model.name), 1);
    update.target_age_ms = static_cast<uint64_t>(
        state_.minimum_versions.NewestTargetAge(model.name, now).count());
    update.version_bound_ms =
        static_cast<uint32_t>(state_.settings.bounds.version.count());
    update.warm_up_ms = static_cast<uint32_t>(model.warm_up.count());
    update.chunks = static_cast<uint32_t>(service.engine->chunks);
    update.chunk_bytes = static_cast<uint32_t>(service.engine->chunk_bytes);
    update.origin = origin;
    for (const auto& [id, upstream] : state_.registry.all()) {
      if (upstream.record.service != name || now < upstream.absent_until)
        continue;
      update.members.push_back(
          {id, upstream.record.endpoint, upstream.record.zone,
           UpstreamRegistry::ServedVersion(upstream, model.name, now),
           upstream.IsLeaving()});
    }
    out.push_back(std::move(update));
  }
  return out;
}

void FleetRouter::SendDeploymentUpdate(const DeploymentRequest& request,
                                       const Endpoint& to) {
  if (state_.routes == nullptr) return;
  for (const DeploymentUpdate& it : MakeDeploymentUpdates()) {
    if (it.service == request.service)
      peer_socket_->Send(EncodeMessage(it), to);
  }
}

// Agents request the deployment from a router of their own zone, so those in
// other zones need no digest for each change of a member.
void FleetRouter::SendDeploymentDigests(bool to_all_zones) {
  update_due_ = false;
  if (to_all_zones) remote_update_due_ = false;
  if (state_.routes == nullptr) return;
  auto store_age = state_.freshness.Age(BootNow());
  for (const DeploymentUpdate& update : MakeDeploymentUpdates()) {
    DeploymentDigest digest;
    digest.digest = DigestOf(update);
    digest.service = update.service;
    digest.zone = state_.settings.zone;
    digest.target_weights_version = update.target_weights_version;
    digest.target_age_ms = update.target_age_ms;
    digest.store_age_ms =
        store_age ? static_cast<uint32_t>(store_age->count()) : UINT32_MAX;
    std::string datagram = EncodeMessage(digest);
    for (const FleetMember& member : update.members) {
      if (!to_all_zones && member.zone != state_.settings.zone) continue;
      peer_socket_->Send(datagram,
                         PeerEndpoint(state_.settings, member.upstream.ip));
    }
  }
}

void FleetRouter::CheckRequests() {
  MonotonicTime now = state_.Now();
  ExcuseOwnStall(now);
  state_.registry.Expire(now);
  state_.registry.UpdateSilence(now);
  ReportCrashes(now);
  // A new relay has to learn of this router before the others forget it.
  bool has_new_relay = relay_choice_.Update(state_.registry, now);
  if (has_new_relay || state_.rate_limits.HasNews()) ReportRateLimits(now);
  std::vector<std::shared_ptr<FleetRequest>> all;
  all.reserve(state_.requests.size());
  for (auto& [key, request] : state_.requests) all.push_back(request);
  for (auto& it : all) it->CheckUpstream(now);
}

// While this process does not run, data of upstreams waits in its sockets.
void FleetRouter::ExcuseOwnStall(MonotonicTime now) {
  Milliseconds stall = now - std::exchange(last_check_at_, now);
  if (stall <= kMaxCheckDelay) return;
  PC_WARN(kRouter, "event=process_stalled ms=" << stall.count());
  state_.registry.ExcuseSilence(stall, now);
  for (auto& [key, request] : state_.requests) request->ExcuseSilence(stall);
}

// Routers have no addresses of each other, so agents forward crash reports to
// all routers that they receive updates from.
void FleetRouter::ReportCrashes(MonotonicTime now) {
  for (const UpstreamCrash& it : state_.registry.PopCrashes()) {
    state_.crash_correlator.OnUpstreamCrash(it, now);
    for (auto& [key, request] : state_.requests)
      request->OnUpstreamCrash(it.id);
  }
  state_.crash_correlator.RemoveExpired(now, store_reachable_since_);
  auto observations = state_.crash_correlator.PopNewObservations();
  for (const CrashObservation& it : observations) {
    if (!it.completed) ++state_.counters.crash_observations;
  }
  for (const CrashReport& report :
       MakeCrashReports(observations, now.count())) {
    SendToRelays(report);
  }
  for (const LossReport& report : state_.crash_correlator.PopNewLosses(now))
    SendToRelays(report);
}

void FleetRouter::SendToRelays(const FleetMessage& message) {
  std::string datagram = EncodeMessage(message);
  for (const RelayChoice::Relay& it : relay_choice_.relays())
    peer_socket_->Send(datagram, PeerEndpoint(state_.settings, it.ip));
}

void FleetRouter::ReportRateLimits(MonotonicTime now) {
  for (RateLimitReport& report : state_.rate_limits.MakeReports(now)) {
    for (const RelayChoice::Relay& it : relay_choice_.relays()) {
      report.is_chosen = it.is_chosen;
      peer_socket_->Send(EncodeMessage(report),
                         PeerEndpoint(state_.settings, it.ip));
    }
  }
}

void FleetRouter::SendCrashDigest() {
  MonotonicTime now = state_.Now();
  SendToRelays(
      CrashDigest{state_.crash_correlator.table().Digest(now.count()), false});
}

void FleetRouter::ReloadSettings() {
  auto settings = platform::ReadSettings(options_.settings_path);
  if (!settings) {
    PC_ERROR(kMain,
             "event=reload_failed why=\"" << settings.error().message << "\"");
    return;
  }
  SetBounds(settings.value().bounds);
  PC_INFO(kMain, "event=reload name=" << settings.value().name);
}

void FleetRouter::SetBounds(const FleetBounds& bounds) {
  state_.settings.bounds = bounds;
  state_.freshness.SetBounds(bounds);
  state_.minimum_versions.SetBound(bounds.version);
  state_.cold_starts.SetBounds(bounds);
  state_.rate_limits.SetRouterCountWindow(bounds.retry_window);
  state_.crash_correlator.prompt_part_screen().SetRouterCountWindow(
      bounds.retry_window);
  for (auto& [service, retry_budget] : state_.retry_budgets)
    retry_budget.SetBounds(bounds, state_.Now());
  watcher_->SetMaxConfigAge(bounds.revoke);
  watcher_->SetUnrestrictedAge(state_.freshness.UnrestrictedAge());
}

void FleetRouter::BeginStop() {
  if (state_.stopping) return;
  state_.stopping = true;
  stop_started_at_ = state_.Now();
  last_busy_at_ = stop_started_at_;
  // Requests that are still at work then get a response rather than a closed
  // connection.
  state_.responses_due_at =
      stop_started_at_ + state_.settings.bounds.stop_grace - kStopMargin;
  for (auto& [key, request] : state_.requests)
    request->LimitTime(*state_.responses_due_at);
  caller_server_->BeginDrain();
  PC_INFO(kMain, "event=stopping in_flight=" << caller_server_->in_flight());
  stop_check_timer_ = loop_->Every(kStopCheckPeriod, [this] { CheckStop(); });
}

void FleetRouter::CheckStop() {
  Milliseconds elapsed = state_.Now() - stop_started_at_;
  if (elapsed < kStopServeTime) return;
  if (!state_.closing) {
    state_.closing = true;
    caller_server_->CloseIdle();
  }
  if (caller_server_->in_flight() > 0 || caller_server_->unsent_bytes() > 0) {
    last_busy_at_ = state_.Now();
  }
  bool late = elapsed > state_.settings.bounds.stop_grace - kExitMargin;
  // The last responses may still be in transit until their callers have closed.
  bool done = caller_server_->connections() == 0 ||
              state_.Now() - last_busy_at_ > kLingerTime;
  if (!done && !late) return;
  if (!done) {
    PC_WARN(kRouter, "event=stop_late in_flight="
                         << caller_server_->in_flight()
                         << " unsent_bytes=" << caller_server_->unsent_bytes());
  }
  loop_->Stop();
}

}  // namespace primrosecove
