#include "Core/Router/fleet_router.h"

#include <signal.h>

#include <utility>
#include <vector>

#include "Core/Common/digest.h"
#include "Core/Common/log.h"
#include "Core/Fleet/fleet_ports.h"
#include "Core/Router/fleet_request.h"
#include "platform/headers.h"
#include "platform/settings.h"
#include "platform/store_source.h"

namespace primrosecove {
namespace {

// Notices repeat what has not changed this often; agents need them to know who
// their peers are, and a lost one is made up for by the next.
constexpr Milliseconds kNoticePeriod{1000};
// How soon requests on a lost upstream are moved.
constexpr Milliseconds kCheckPeriod{100};
constexpr Milliseconds kLogFlushPeriod{100};
constexpr Milliseconds kStopCheckPeriod{50};
// Agents that are asked to pass news on; more than one may be down or cut off.
constexpr int kNewsCarriers = 4;
// The balancer asks once a second and takes a host out after two misses; until
// then it sends new connections here, which are still served.
constexpr Milliseconds kServeWhileStopping{2600};
// Left to the process's end after its last answer.
constexpr Milliseconds kStopMargin{400};
// A connection to a caller and one to an upstream for each request, and the
// platform keeps 200 descriptors for files.
constexpr size_t kReservedDescriptors = 250;
constexpr size_t kDescriptorsPerCaller = 2;
// How long callers get to take the last answers and close.
constexpr Milliseconds kLastAnswers{400};
// What the configuration says before the first one is read.
constexpr Http1Server::Limits kOwnPagesLimits = {.max_connections = 64};

Http1Server::Limits LimitsOf(const CallerLimits& limits,
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

FleetRetryBudget& FleetState::AllowanceOf(const std::string& service) {
  return allowances.try_emplace(service, settings.bounds).first->second;
}

Milliseconds FleetState::MeanTime(const std::string& service,
                                  Milliseconds fallback) {
  auto it = mean_time_ms.find(service);
  if (it == mean_time_ms.end()) return fallback;
  return Milliseconds(static_cast<int64_t>(it->second));
}

void FleetState::TakeTime(const std::string& service, Milliseconds time) {
  // Follows a change of load within about thirty requests.
  constexpr double kNewShare = 0.05;
  auto ms = static_cast<double>(time.count());
  auto [it, is_new] = mean_time_ms.try_emplace(service, ms);
  if (!is_new) it->second += kNewShare * (ms - it->second);
}

double FleetState::Draw() {
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
  state_.versions = MinimumVersion(bounds.version);
  state_.random.seed(RandomU64());
  AddMetrics();
}

FleetRouter::~FleetRouter() { state_.requests.clear(); }

void FleetRouter::AddMetrics() {
  struct Row {
    const char* name;
    const char* help;
    uint64_t FleetCounters::*member;
  };
  static constexpr Row kRows[] = {
      {"requests_total", "Requests that arrived", &FleetCounters::requests},
      {"answered_total", "Requests answered by an upstream",
       &FleetCounters::answered},
      {"refused_total", "Requests refused as not run", &FleetCounters::refused},
      {"denied_total", "Requests without a route or key",
       &FleetCounters::denied},
      {"failed_total", "Requests whose outcome is unknown",
       &FleetCounters::failed},
      {"broken_off_total", "Streams that were broken off",
       &FleetCounters::broken_off},
      {"callers_gone_total", "Callers that left before their answer",
       &FleetCounters::callers_gone},
      {"repeats_total", "Requests sent once more", &FleetCounters::repeats},
      {"resumed_total", "Streams that went on elsewhere",
       &FleetCounters::resumed},
      {"crash_sightings_total", "Requests that were running at a crash",
       &FleetCounters::crash_sightings},
  };
  for (const Row& row : kRows) {
    metrics_.AddCounter(
        std::string("primrosecove_router_") + row.name, row.help, {},
        [this, row] {
          return static_cast<double>(state_.counters.*row.member);
        });
  }
  metrics_.AddGauge(
      "primrosecove_router_config_version",
      "Version of the configuration in force", {}, [this] {
        return state_.routes == nullptr
                   ? 0.0
                   : static_cast<double>(state_.routes->config().version);
      });
  metrics_.AddGauge(
      "primrosecove_router_config_age_seconds",
      "Time since the store last proved that configuration the newest", {},
      [this] {
        auto age = state_.freshness.Age(BootNow());
        return age ? static_cast<double>(age->count()) / 1000 : -1.0;
      });
  state_.answer_seconds =
      metrics_.AddHistogram("primrosecove_router_answer_seconds",
                            "From a request's arrival to its end");
  state_.first_event_seconds =
      metrics_.AddHistogram("primrosecove_router_first_event_seconds",
                            "From a request's arrival to its first event");
}

Result<void> FleetRouter::Start() {
  state_.policy = MakePlacementPolicy(options_.placement);
  if (state_.policy == nullptr) {
    return Fail(ErrorCode::kInvalidArgument,
                "unknown placement '" + options_.placement + "'");
  }
  const HostSettings& settings = state_.settings;
  callers_ = std::make_unique<Http1Server>(
      loop_, LimitsOf({}, settings),
      [this](auto exchange) { TakeRequest(std::move(exchange)); });
  ready_ = std::make_unique<Http1Server>(
      loop_, kOwnPagesLimits,
      [this](auto exchange) { AnswerReady(std::move(exchange)); });
  metrics_server_ = std::make_unique<Http1Server>(
      loop_, kOwnPagesLimits, [this](auto exchange) {
        exchange->Respond(200, "OK", {{"Content-Type", "text/plain"}},
                          metrics_.Render());
      });
  peers_ = std::make_unique<UdpSocket>(
      loop_,
      [this](std::string_view bytes, const Endpoint&) { TakeDatagram(bytes); });
  BOOST_OUTCOME_TRY(callers_->Listen(settings.caller_endpoint));
  BOOST_OUTCOME_TRY(ready_->Listen(settings.readiness_endpoint));
  BOOST_OUTCOME_TRY(metrics_server_->Listen(MetricsEndpoint(settings)));
  BOOST_OUTCOME_TRY(peers_->Bind(PeerEndpoint(settings, settings.ip)));
  source_ = std::make_unique<platform::StoreSource>(state_.client.get(),
                                                    settings.store_endpoint);
  DeploymentWatcher::Events events;
  events.on_change = [this](const DeploymentChange& it) { TakeChange(it); };
  events.on_synced = [this](BootTime requested_at, uint64_t revision) {
    TakeCurrent(requested_at, revision);
  };
  events.on_reachable = [this](bool it) { TakeReachable(it); };
  follower_ = std::make_unique<DeploymentWatcher>(
      loop_, source_.get(), settings.bounds.revoke, std::move(events));
  follower_->Start();
  notice_timer_ = loop_->Every(kNoticePeriod, [this] { SendNotices(); });
  check_timer_ = loop_->Every(kCheckPeriod, [this] { CheckRequests(); });
  log_timer_ = loop_->Every(kLogFlushPeriod, [] { FlushLogs(); });
  PC_INFO(kMain, "event=start role=router name="
                     << settings.name << " zone=" << settings.zone
                     << " callers=" << settings.caller_endpoint.ToString()
                     << " placement=" << options_.placement);
  return outcome::success();
}

int FleetRouter::Run() {
  signal(SIGPIPE, SIG_IGN);
  loop_->OnSignal(SIGTERM, [this] { BeginStop(); });
  loop_->OnSignal(SIGHUP, [this] { Reload(); });
  loop_->Run();
  PC_INFO(kMain, "event=stop role=router name=" << state_.settings.name);
  FlushLogs();
  return 0;
}

void FleetRouter::TakeRequest(std::shared_ptr<Http1Exchange> exchange) {
  auto request = std::make_shared<FleetRequest>(&state_, std::move(exchange));
  state_.requests.emplace(request.get(), request);
  request->Start();
}

bool FleetRouter::Ready() const {
  return !state_.stopping && state_.routes != nullptr &&
         state_.freshness.MayAcceptCallers(BootNow());
}

void FleetRouter::AnswerReady(std::shared_ptr<Http1Exchange> exchange) {
  bool ready = Ready();
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

void FleetRouter::TakeChange(const DeploymentChange& change) {
  MonotonicTime now = state_.Now();
  if (const auto* config = std::get_if<FleetConfig>(&change)) {
    TakeConfig(*config);
  } else if (const auto* upstream = std::get_if<UpstreamChange>(&change)) {
    state_.registry.Apply(*upstream, reachable_since_, now);
    notice_due_ = true;
  } else if (const auto* named = std::get_if<TargetVersion>(&change)) {
    if (named->version > state_.versions.NewestTarget(named->model)) {
      PC_INFO(kRollout, "event=version_named model="
                            << named->model << " version=" << named->version);
      notice_due_ = true;
    }
    state_.versions.SetTarget(named->model, named->version, !first_read_done_,
                              now);
  }
}

void FleetRouter::TakeConfig(const FleetConfig& config) {
  uint64_t version =
      state_.routes == nullptr ? 0 : state_.routes->config().version;
  if (state_.routes != nullptr && config.version <= version) {
    if (config.version < version) {
      PC_ERROR(kConfig, "event=config_refused version="
                            << config.version << " in_force=" << version
                            << " why=\"older than what is in force\"");
    }
    return;
  }
  state_.routes = std::make_shared<const RouteTable>(config);
  callers_->SetLimits(LimitsOf(config.limits, state_.settings));
  notice_due_ = true;
  PC_INFO(kConfig, "event=config_in_force version="
                       << config.version << " before=" << version
                       << " routes=" << config.routes.size()
                       << " workspaces=" << config.workspaces.size());
}

void FleetRouter::TakeCurrent(BootTime requested_at, uint64_t) {
  first_read_done_ = true;
  if (state_.routes != nullptr) state_.freshness.Confirm(requested_at);
  if (!notice_due_) return;
  SendNotices();
}

void FleetRouter::TakeReachable(bool reachable) {
  if (reachable) reachable_since_ = state_.Now();
}

void FleetRouter::TakeDatagram(std::string_view bytes) {
  auto message = DecodeMessage(bytes);
  if (!message) {
    PC_WARN(kNet,
            "event=datagram_dropped why=\"" << message.error().message << "\"");
    return;
  }
  MonotonicTime now = state_.Now();
  if (const auto* news = std::get_if<CrashReport>(&message.value())) {
    state_.crashes.Learn(
        {news->request_fingerprint, news->upstream_hash, news->as_suspect,
         (now + Milliseconds(news->valid_for_ms)).count()},
        now);
    return;
  }
  const auto* status = std::get_if<UpstreamStatus>(&message.value());
  if (status == nullptr) return;
  state_.registry.RecordStatus(*status, state_.Now());
  for (auto& [service, allowance] : state_.allowances) {
    allowance.SetRouterCount(static_cast<int>(status->active_routers));
  }
}

std::vector<DeploymentUpdate> FleetRouter::MakeNotices() {
  std::vector<DeploymentUpdate> out;
  MonotonicTime now = state_.Now();
  Endpoint origin;
  for (const auto& [name, service] : state_.routes->config().services) {
    if (service.origin) origin = *service.origin;
  }
  for (const auto& [name, service] : state_.routes->config().services) {
    if (!service.engine || service.engine->models.empty()) continue;
    const EngineModel& model = service.engine->models.front();
    DeploymentUpdate notice;
    notice.store_revision = follower_->revision();
    notice.service = name;
    notice.model = model.name;
    // Before any version is named, engines serve their first.
    notice.target_weights_version =
        std::max<uint64_t>(state_.versions.NewestTarget(model.name), 1);
    notice.target_age_ms = static_cast<uint64_t>(
        state_.versions.NewestTargetAge(model.name, now).count());
    notice.version_bound_ms =
        static_cast<uint32_t>(state_.settings.bounds.version.count());
    notice.warm_up_ms = static_cast<uint32_t>(model.warm_up.count());
    notice.chunks = static_cast<uint32_t>(service.engine->chunks);
    notice.chunk_bytes = static_cast<uint32_t>(service.engine->chunk_bytes);
    notice.origin = origin;
    for (const auto& [id, upstream] : state_.registry.all()) {
      if (upstream.record.service != name) continue;
      notice.members.push_back(
          {id, upstream.record.endpoint, upstream.record.zone,
           UpstreamRegistry::ServedVersion(upstream, model.name, now),
           upstream.record.leaving});
    }
    out.push_back(std::move(notice));
  }
  return out;
}

void FleetRouter::SendNotices() {
  notice_due_ = false;
  if (state_.routes == nullptr) return;
  for (const DeploymentUpdate& notice : MakeNotices()) {
    std::string datagram = EncodeMessage(notice);
    for (const FleetMember& member : notice.members) {
      peers_->Send(datagram, PeerEndpoint(state_.settings, member.upstream.ip));
    }
  }
}

void FleetRouter::CheckRequests() {
  MonotonicTime now = state_.Now();
  state_.registry.Expire(now);
  CheckCrashes(now);
  std::vector<std::shared_ptr<FleetRequest>> all;
  all.reserve(state_.requests.size());
  for (auto& [key, request] : state_.requests) all.push_back(request);
  for (auto& it : all) it->CheckUpstream(now);
}

// Routers don't know one another; agents pass the news on to all that they
// hear.
void FleetRouter::CheckCrashes(MonotonicTime now) {
  for (const std::string& id : state_.registry.PopCrashed()) {
    state_.crashes.OnCrash(id, now);
  }
  for (const CrashObservation& it : state_.crashes.TakeNews()) {
    ++state_.counters.crash_sightings;
    CrashReport news{it.request, it.upstream, it.as_suspect,
                     static_cast<uint32_t>(it.expires_ms - now.count())};
    std::string datagram = EncodeMessage(news);
    int told = 0;
    for (const auto& [id, upstream] : state_.registry.all()) {
      bool has_agent = upstream.status.has_value();
      if (!has_agent || told >= kNewsCarriers) continue;
      ++told;
      peers_->Send(datagram,
                   PeerEndpoint(state_.settings, upstream.record.endpoint.ip));
    }
  }
}

void FleetRouter::Reload() {
  auto settings = platform::ReadSettings(options_.settings_path);
  if (!settings) {
    PC_ERROR(kMain,
             "event=reload_failed why=\"" << settings.error().message << "\"");
    return;
  }
  state_.settings.bounds = settings.value().bounds;
  PC_INFO(kMain, "event=reload name=" << settings.value().name);
}

void FleetRouter::BeginStop() {
  if (state_.stopping) return;
  state_.stopping = true;
  stop_begun_ = state_.Now();
  last_busy_ = stop_begun_;
  callers_->BeginDrain();
  PC_INFO(kMain, "event=stopping in_flight=" << callers_->in_flight());
  stop_timer_ = loop_->Every(kStopCheckPeriod, [this] { CheckStop(); });
}

void FleetRouter::CheckStop() {
  Milliseconds passed = state_.Now() - stop_begun_;
  if (passed < kServeWhileStopping) return;
  if (!state_.closing) {
    state_.closing = true;
    callers_->CloseIdle();
  }
  if (callers_->in_flight() > 0 || callers_->unsent_bytes() > 0) {
    last_busy_ = state_.Now();
  }
  bool late = passed > state_.settings.bounds.stop_grace - kStopMargin;
  // The last answers are on their way until their callers have closed.
  bool done =
      callers_->connections() == 0 || state_.Now() - last_busy_ > kLastAnswers;
  if (!done && !late) return;
  loop_->Stop();
}

}  // namespace primrosecove
