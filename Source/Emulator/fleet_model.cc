#include "Emulator/fleet_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Core/Fleet/retry_after.h"

namespace primrosecove {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr char kModelName[] = "model";
constexpr char kServiceName[] = "engines";
// Callers that got events abandon a request after a gap of this duration, four
// times their target, or eight times their accepted gap, whichever is longest.
constexpr double kMinAbandonGapMs = 2000;
constexpr double kTargetsPerAbandonGap = 4;
constexpr double kGapsPerAbandonGap = 8;
// Callers delay a retry by at most this share of their remaining patience.
constexpr double kMaxRetryDelayShare = 1.0 / 3;
// Weight of a new service time in the moving average.
constexpr double kServiceTimeSmoothing = 0.05;
constexpr double kInitialServiceTimeMs = 2000;
constexpr int kPercent = 100;
constexpr double kRateLimitReportMs = 500;
// Interval at which routers look at their attempts.
constexpr double kCheckPeriodMs = 100;
// Age of a status after which its agent is taken to stand still.
constexpr Milliseconds kMaxStatusAge{300};
// Time without a response after which an agent reports its engine unreachable.
constexpr double kAgentTimeoutMs = 300;
// From the first response with a rate limit to the arrivals that are judged.
constexpr double kContactMs = 3000;
// Routers stop placing requests on older weights about this long before the
// version bound.
constexpr double kRouterVersionMarginMs = 1100;

}  // namespace

struct FleetModel::Engine {
  std::string id;
  std::string zone;
  Endpoint endpoint;
  bool leaving = false;
  double up_since = 0;
  double up_ms = 0;           // before the last restart
  uint64_t copy_version = 0;  // version being copied, or copied last
  double target_set_at = 0;
  bool copy_complete = false;
  double reload_position = 0;  // reload slot, 0..1
  std::optional<double> rate_limit;
  double limit_stated_at = -1;  // first response with the limit
  std::vector<double> limited_arrivals;
  int in_transit = 0;  // sent to it and not read yet
  double stalled_since = 0;
  Incident::StalledAgent stalled_agent = Incident::StalledAgent::kStandsStill;
  std::unique_ptr<EmulatedEngine> model;
};

struct FleetModel::Router {
  explicit Router(const FleetBounds& bounds) : retry_budget(bounds) {}

  std::string zone;
  UpstreamRegistry registry;
  FleetRetryBudget retry_budget;
  UpstreamRateLimits rate_limits;
  std::unique_ptr<PlacementPolicy> policy;
  double mean_service_time_ms = kInitialServiceTimeMs;
};

struct FleetModel::Call {
  CallerOutcome outcome;
  Router* router = nullptr;
  std::vector<std::shared_ptr<Attempt>> attempts;  // in progress
  double attempt_at = 0;     // arrival of this attempt at its router
  double last_event_at = 0;  // arrival of the last event at the caller
  double abandons_at = 0;
  int forwarded = 0;  // events that the router has received
  int send_count = 0;
  bool may_have_executed = false;  // an attempt was abandoned
  bool ended = false;
  std::vector<std::string> attempted_ids;
};

// One request to an engine.
struct FleetModel::Attempt {
  Engine* engine = nullptr;
  uint64_t job_id = 0;
  double sent_at = 0;
  double last_data_at = 0;
  int skipped_events = 0;  // forwarded before it was sent
  int generated = 0;
  bool ended = false;
};

FleetModel::FleetModel(const Scenario* scenario, std::string policy,
                       uint64_t seed)
    : scenario_(scenario),
      policy_(std::move(policy)),
      silence_policy_(MakeSilencePolicy(scenario->silence_policy)),
      random_(seed) {
  service_.name = kServiceName;
  service_.engine = scenario->engine;
  for (const RequestClass& it : scenario->classes) {
    Route route;
    route.name = it.name;
    route.kind = RequestKind::kStream;
    route.timeout = it.patience;
    route.latency_target = it.target;
    route.inter_token_latency_target = it.max_event_gap;
    route.max_attempts = 2;
    route.is_generative = true;
    routes_.push_back(route);
  }
  for (const EmulatedZone& it : scenario->zones) {
    region_of_zone_[it.name] = it.region;
    AddRouters(it);
  }
  for (const EmulatedZone& it : scenario->zones) {
    for (int i = 0; i < it.engines; ++i) AddEngine(it, 1);
  }
  for (const Incident& it : scenario->incidents) ScheduleIncident(it);
}

FleetModel::~FleetModel() = default;

void FleetModel::AddRouters(const EmulatedZone& zone) {
  const FleetBounds bounds;
  for (int i = 0; i < zone.routers; ++i) {
    auto router = std::make_unique<Router>(bounds);
    router->zone = zone.name;
    router->rate_limits = UpstreamRateLimits(routers_.size() + 1);
    router->policy = MakePlacementPolicy(policy_, random_());
    routers_.push_back(std::move(router));
  }
}

void FleetModel::AddEngine(const EmulatedZone& zone, uint64_t version) {
  auto engine = std::make_unique<Engine>();
  size_t index = engines_.size();
  engine->id = "engine-" + std::to_string(index);
  engine->zone = zone.name;
  // Serves as a unique key; nothing connects to it.
  engine->endpoint = Endpoint{engine->id, 1};
  engine->up_since = queue_.now();
  engine->reload_position =
      std::uniform_real_distribution<double>(0, 1)(random_);
  engine->model = std::make_unique<EmulatedEngine>(&queue_, scenario_->engine,
                                                   scenario_->engine_queue);
  engine->model->Restart(version);
  engines_.push_back(std::move(engine));
  Register(*engines_.back(), false);
  if (version == 0) CopyAndReload(index, target_version_);
}

void FleetModel::Register(const Engine& engine, bool removed) {
  UpstreamChange change;
  change.id = engine.id;
  if (!removed) {
    UpstreamRecord record;
    record.id = engine.id;
    record.service = kServiceName;
    record.endpoint = engine.endpoint;
    record.zone = engine.zone;
    record.slots = scenario_->engine.slots;
    record.leaving = engine.leaving;
    record.weights = {{kModelName, engine.model->version(), true}};
    change.record = record;
  }
  for (auto& it : routers_) it->registry.Apply(change, Milliseconds(0), Now());
}

// Each agent reads the status of its local engine and sends it to all routers.
void FleetModel::SendStatuses() {
  auto lag_ms = static_cast<double>(scenario_->engine.status_lag.count());
  for (const auto& engine : engines_) {
    UpstreamStatus status;
    status.upstream = engine->endpoint;
    status.sequence = static_cast<uint64_t>(queue_.now()) + 1;
    bool is_stalled = engine->model->is_stalled();
    if (is_stalled &&
        engine->stalled_agent == Incident::StalledAgent::kStandsStill)
      continue;
    bool reports_silence =
        is_stalled && queue_.now() - engine->stalled_since > kAgentTimeoutMs;
    status.reachable = engine->model->is_up() && !reports_silence;
    status.loading = engine->model->is_reloading();
    status.served_version = engine->model->version();
    status.running = static_cast<uint32_t>(engine->model->running());
    status.waiting = static_cast<uint32_t>(engine->model->waiting());
    status.slowdown_percent =
        static_cast<uint32_t>(engine->model->slowdown() * kPercent);
    status.active_routers = static_cast<uint32_t>(routers_.size());
    status.reload_in_ms = ReloadDelayMs(*engine);
    for (auto& router : routers_) {
      queue_.ScheduleAfter(lag_ms + DelayMs(engine->zone, router->zone),
                           [this, status, it = router.get()] {
                             it->registry.RecordStatus(status, Now());
                           });
    }
  }
  queue_.ScheduleAfter(scenario_->status_interval_ms,
                       [this] { SendStatuses(); });
}

// One relay stands for all of them.
void FleetModel::ReportRateLimits() {
  for (auto& sender : routers_) {
    for (const auto& report : sender->rate_limits.MakeReports(Now())) {
      Endpoint address{std::to_string(report.router_id), 0};
      auto answer = relay_.OnReport(report, address, Now().count());
      for (auto& router : routers_) {
        const auto& summaries =
            router == sender ? answer.to_sender : answer.to_others;
        for (const auto& it : summaries) {
          router->rate_limits.OnSummary(it, router->registry, Now());
        }
      }
    }
    sender->rate_limits.Update(sender->registry, Now());
  }
  queue_.ScheduleAfter(kRateLimitReportMs, [this] { ReportRateLimits(); });
}

void FleetModel::OnResponse(Router* router, const Engine& engine,
                            double sent_at) {
  const FleetUpstream* upstream = router->registry.Find(engine.id);
  if (upstream == nullptr) return;
  ResponseFields response;
  response.is_signed = true;
  response.is_success = true;
  response.rate_limit = engine.rate_limit;
  router->rate_limits.OnResponse(engine.id, upstream->StartTimeMs(), response,
                                 Milliseconds(static_cast<int64_t>(sent_at)),
                                 Now());
}

size_t FleetModel::MaxRateLimitedArrivals(Milliseconds window) const {
  size_t out = 0;
  for (const auto& engine : engines_) {
    const auto& arrivals = engine->limited_arrivals;
    for (size_t from = 0, to = 0; from < arrivals.size(); ++from) {
      double end = arrivals[from] + static_cast<double>(window.count());
      while (to < arrivals.size() && arrivals[to] <= end) ++to;
      out = std::max(out, to - from);
    }
  }
  return out;
}

double FleetModel::DelayMs(const std::string& from_zone,
                           const std::string& to_zone) const {
  if (from_zone == to_zone) return 0;
  bool same_region =
      region_of_zone_.at(from_zone) == region_of_zone_.at(to_zone);
  return same_region ? scenario_->zone_delay_ms : scenario_->region_delay_ms;
}

void FleetModel::ScheduleIncident(const Incident& incident) {
  queue_.ScheduleAt(incident.at_s * kMsPerSecond,
                    [this, incident] { StartIncident(incident); });
}

std::vector<size_t> FleetModel::SampleEngines(double share) {
  std::vector<size_t> out;
  for (size_t i = 0; i < engines_.size(); ++i) {
    if (engines_[i]->model->is_up() && !engines_[i]->leaving) out.push_back(i);
  }
  std::shuffle(out.begin(), out.end(), random_);
  auto n =
      static_cast<size_t>(std::ceil(share * static_cast<double>(out.size())));
  out.resize(std::min(n, out.size()));
  return out;
}

void FleetModel::StartIncident(const Incident& incident) {
  using Kind = Incident::Kind;
  std::vector<size_t> affected;
  switch (incident.kind) {
    case Kind::kBurst:
    case Kind::kShift:
    case Kind::kAbandon:
      return;  // GenerateTraffic() applies these.
    case Kind::kNewVersion:
      return SetTargetVersion();
    case Kind::kJoin: {
      auto n = static_cast<size_t>(
          std::ceil(incident.share * static_cast<double>(engines_.size())));
      for (size_t i = 0; i < n; ++i) {
        AddEngine(scenario_->zones[i % scenario_->zones.size()], 0);
      }
      return;
    }
    case Kind::kCrash:
      affected = SampleEngines(incident.share);
      for (size_t it : affected) {
        engines_[it]->up_ms += queue_.now() - engines_[it]->up_since;
        engines_[it]->model->Crash();
      }
      break;
    case Kind::kSlow:
      affected = SampleEngines(incident.share);
      for (size_t it : affected)
        engines_[it]->model->SetSlowdown(incident.factor);
      break;
    case Kind::kRateLimit:
      affected = SampleEngines(incident.share);
      for (size_t it : affected) engines_[it]->rate_limit = incident.factor;
      break;
    case Kind::kStall:
      service_time_is_constant_ = scenario_->ideal.constant_service_time;
      for (size_t it : SampleEngines(incident.share)) {
        engines_[it]->stalled_since = queue_.now();
        engines_[it]->stalled_agent = incident.stalled_agent;
        engines_[it]->model->Stall(incident.duration_s * kMsPerSecond);
      }
      return;
    case Kind::kDrain:
      for (size_t it : SampleEngines(incident.share)) {
        engines_[it]->leaving = true;
        engines_[it]->up_ms += queue_.now() - engines_[it]->up_since;
        Register(*engines_[it], false);
      }
      return;
  }
  queue_.ScheduleAfter(
      incident.duration_s * kMsPerSecond,
      [this, incident, affected] { EndIncident(incident, affected); });
}

void FleetModel::EndIncident(const Incident& incident,
                             const std::vector<size_t>& engines) {
  for (size_t it : engines) {
    engines_[it]->model->SetSlowdown(1);
    engines_[it]->rate_limit.reset();
    if (incident.kind != Incident::Kind::kCrash) continue;
    // A restarted engine has no weights loaded, only its staged copy.
    engines_[it]->model->Restart(0);
    engines_[it]->up_since = queue_.now();
    CopyAndReload(it, target_version_);
  }
}

void FleetModel::SetTargetVersion() {
  ++target_version_;
  double effective_after_ms =
      scenario_->version_bound_ms - kRouterVersionMarginMs;
  queue_.ScheduleAfter(effective_after_ms, [this, it = target_version_] {
    minimum_version_ = std::max(minimum_version_, it);
  });
  for (size_t i = 0; i < engines_.size(); ++i)
    CopyAndReload(i, target_version_);
}

void FleetModel::CopyAndReload(size_t engine, uint64_t version) {
  Engine& it = *engines_[engine];
  it.copy_version = version;
  it.target_set_at = queue_.now();
  it.copy_complete = false;
  queue_.ScheduleAfter(scenario_->copy_ms, [this, engine, version] {
    if (engines_[engine]->copy_version != version) return;
    engines_[engine]->copy_complete = true;
    ReloadIfDue(engine, version);
  });
}

ReloadState FleetModel::ReloadStateOf(const Engine& engine) const {
  ReloadState out;
  out.target_version = engine.copy_version;
  out.served_version = engine.model->version();
  out.loading = engine.model->is_reloading();
  out.idle = engine.model->running() == 0 && engine.model->waiting() == 0;
  out.copy_complete = engine.copy_complete;
  out.target_age =
      Milliseconds(static_cast<int64_t>(queue_.now() - engine.target_set_at));
  out.copy_complete_age =
      Milliseconds(static_cast<int64_t>(scenario_->copy_ms));
  out.version_bound =
      Milliseconds(static_cast<int64_t>(scenario_->version_bound_ms));
  out.reload_slot = engine.reload_position;
  return out;
}

uint32_t FleetModel::ReloadDelayMs(const Engine& engine) const {
  ReloadState state = ReloadStateOf(engine);
  if (state.served_version == 0 ||
      state.served_version >= state.target_version) {
    return UpstreamStatus::kNoReloadPlanned;
  }
  Milliseconds left = PlannedReloadAge(state) - state.target_age;
  return static_cast<uint32_t>(std::max(left, Milliseconds(0)).count());
}

// Checks the reload schedule at each status interval, like the agents do.
void FleetModel::ReloadIfDue(size_t engine, uint64_t version) {
  Engine& it = *engines_[engine];
  if (it.copy_version != version || it.model->version() >= version) return;
  if (ShouldReload(ReloadStateOf(it))) {
    it.model->Reload(version, scenario_->warm_up_ms);
    return;
  }
  queue_.ScheduleAfter(scenario_->status_interval_ms, [this, engine, version] {
    ReloadIfDue(engine, version);
  });
}

std::vector<CallerOutcome> FleetModel::Run(std::span<const Arrival> arrivals) {
  std::vector<CallerOutcome> out;
  out.reserve(arrivals.size());
  outcomes_ = &out;
  SendStatuses();
  SampleLoads();
  ReportRateLimits();
  for (auto& it : routers_)
    it->retry_budget.SetRouterCount(static_cast<int>(routers_.size()), Now());
  for (const Arrival& it : arrivals) {
    auto call = std::make_shared<Call>();
    call->outcome.arrival = it;
    queue_.ScheduleAt(it.at_ms, [this, call] { StartAttempt(call); });
  }
  double max_patience_ms = 0;
  for (const RequestClass& it : scenario_->classes) {
    max_patience_ms =
        std::max(max_patience_ms, static_cast<double>(it.patience.count()));
  }
  queue_.RunUntil(scenario_->seconds * kMsPerSecond + max_patience_ms);
  outcomes_ = nullptr;
  return out;
}

void FleetModel::SampleLoads() {
  constexpr double kPeriodMs = 50;
  if (queue_.now() >= scenario_->seconds * kMsPerSecond) return;
  double greatest = 0;
  double sum = 0;
  double idle = 0;
  double queued = 0;
  double slots = 0;
  int engines = 0;
  for (const auto& it : engines_) {
    if (!it->model->is_up() || it->leaving) continue;
    ++engines;
    double load = it->model->running() + it->model->waiting();
    greatest = std::max(greatest, load);
    sum += load;
    slots += scenario_->engine.slots;
    idle += std::max(scenario_->engine.slots - load, 0.0);
    queued += std::max(load - scenario_->engine.slots, 0.0);
  }
  if (sum > 0) {
    balance_.greatest_over_mean += greatest * engines / sum;
    balance_.idle_share += std::min(idle, queued) / slots;
    ++balance_.samples;
  }
  queue_.ScheduleAfter(kPeriodMs, [this] { SampleLoads(); });
}

LoadBalance FleetModel::Balance() const {
  LoadBalance out = balance_;
  out.greatest_over_mean /= std::max(out.samples, 1);
  out.idle_share /= std::max(out.samples, 1);
  return out;
}

double FleetModel::Utilization() const {
  double busy = 0;
  double available = 0;
  for (const auto& it : engines_) {
    busy += it->model->busy_ms();
    available += it->up_ms;
    if (it->model->is_up() && !it->leaving)
      available += queue_.now() - it->up_since;
  }
  return available > 0 ? busy / available : 0;
}

// Sends an attempt to a random router of its caller's zone.
void FleetModel::StartAttempt(const std::shared_ptr<Call>& call) {
  const Arrival& arrival = call->outcome.arrival;
  const RequestClass& it = scenario_->classes[arrival.request_class];
  const std::string& zone = scenario_->zones[arrival.zone].name;
  std::vector<Router*> local_routers;
  for (const auto& router : routers_) {
    if (router->zone == zone) local_routers.push_back(router.get());
  }
  call->router = local_routers[std::uniform_int_distribution<size_t>(
      0, local_routers.size() - 1)(random_)];
  call->attempt_at = queue_.now() + scenario_->caller_delay_ms;
  if (call->outcome.refusals == 0) {
    double patience_ms = arrival.abandons_after_ms > 0
                             ? arrival.abandons_after_ms
                             : static_cast<double>(it.patience.count());
    call->abandons_at = queue_.now() + patience_ms;
    queue_.ScheduleAt(call->abandons_at, [this, call] { Abandon(call); });
  }
  queue_.ScheduleAfter(scenario_->caller_delay_ms, [this, call] {
    if (!call->ended) Place(call);
  });
}

Placement FleetModel::ChoosePlacement(const Call& call, bool free_slots_only) {
  Router& router = *call.router;
  Milliseconds now = Now();
  std::vector<FleetUpstream*> candidates =
      router.registry.Usable(kServiceName, now);
  std::erase_if(candidates, [&](FleetUpstream* it) {
    uint64_t version = UpstreamRegistry::ServedVersion(*it, kModelName, now);
    if (version == 0 || version < minimum_version_) return true;
    bool is_silent = it->local_in_flight > 0 &&
                     !silence_policy_->GetsNewRequests(now - it->last_progress);
    if (is_silent) return true;
    // A router without requests there can only see that statuses stop.
    bool is_stale = it->status && now - it->status_received_at > kMaxStatusAge;
    if (scenario_->ideal.avoids_stale_status && is_stale) return true;
    if (scenario_->ideal.exact_loads) SetExactLoad(it);
    bool has_room = it->ExpectedLoad(now) < it->record.slots;
    return (free_slots_only && !has_room) ||
           std::find(call.attempted_ids.begin(), call.attempted_ids.end(),
                     it->record.id) != call.attempted_ids.end();
  });
  auto time_to_request =
      router.rate_limits.RemoveLimited(&candidates, now, UnixMs());
  const Arrival& arrival = call.outcome.arrival;
  PlacementRequest request;
  request.route = &routes_[arrival.request_class];
  request.service = &service_;
  request.home_zone = router.zone;
  request.home_region = region_of_zone_[router.zone];
  request.region_of_zone = &region_of_zone_;
  request.prompt_tokens = arrival.prompt_tokens;
  request.mean_service_time =
      Milliseconds(static_cast<int64_t>(router.mean_service_time_ms));
  request.expected_service_time = Milliseconds(static_cast<int64_t>(
      router.mean_service_time_ms * arrival.events /
      scenario_->classes[arrival.request_class].events.mean));
  request.waited =
      Milliseconds(static_cast<int64_t>(queue_.now() - arrival.at_ms));
  request.response_started = call.forwarded > 0;
  Placement out = router.policy->Choose(candidates, request, now);
  if (candidates.empty() && time_to_request) out.retry_after = *time_to_request;
  return out;
}

void FleetModel::SetExactLoad(FleetUpstream* upstream) const {
  const Engine& engine = *FindEngine(upstream->record.id);
  upstream->reported_load =
      engine.model->running() + engine.model->waiting() + engine.in_transit;
  upstream->local_in_flight_at_report = upstream->local_in_flight;
  upstream->load_reported_at = Now();
}

FleetModel::Engine* FleetModel::FindEngine(const std::string& id) const {
  auto it = std::find_if(engines_.begin(), engines_.end(),
                         [&id](const auto& it) { return it->id == id; });
  return it->get();
}

void FleetModel::Place(const std::shared_ptr<Call>& call) {
  Placement placement = ChoosePlacement(*call, false);
  if (placement.upstream != nullptr) return Send(call, placement.upstream);
  double random_value = std::uniform_real_distribution<double>(0, 1)(random_);
  HandleRefusal(call, ComputeRetryAfter(placement.retry_after, random_value));
}

FleetUpstream* FleetModel::PlaceRetry(const Call& call, bool free_slots_only) {
  Placement placement = ChoosePlacement(call, free_slots_only);
  if (placement.upstream == nullptr) return nullptr;
  bool is_allowed = scenario_->ideal.no_retry_budget ||
                    call.router->retry_budget.TryRetry(Now());
  return is_allowed ? placement.upstream : nullptr;
}

void FleetModel::Send(const std::shared_ptr<Call>& call,
                      FleetUpstream* upstream) {
  Router& router = *call->router;
  const std::string id = upstream->record.id;
  call->attempted_ids.push_back(id);
  if (++call->send_count == 1) router.retry_budget.OnRequest(Now());
  router.registry.OnSent(id, Now());
  router.rate_limits.OnSent(*upstream, UnixMs());
  auto attempt = std::make_shared<Attempt>();
  attempt->engine = FindEngine(id);
  attempt->job_id = ++last_job_id_;
  attempt->sent_at = queue_.now();
  attempt->last_data_at = queue_.now();
  attempt->skipped_events = call->forwarded;
  call->attempts.push_back(attempt);
  ++attempt->engine->in_transit;
  double delay = DelayMs(router.zone, attempt->engine->zone);
  queue_.ScheduleAfter(delay,
                       [this, call, attempt] { Deliver(call, attempt); });
  if (silence_policy_->is_active()) CheckSilence(call, attempt);
}

void FleetModel::Deliver(const std::shared_ptr<Call>& call,
                         const std::shared_ptr<Attempt>& attempt) {
  Engine* engine = attempt->engine;
  if (engine->model->is_stalled() && !attempt->ended) {
    // The engine reads it when it goes on.
    queue_.ScheduleAt(engine->model->stalled_until(),
                      [this, call, attempt] { Deliver(call, attempt); });
    return;
  }
  --engine->in_transit;
  if (attempt->ended) return;
  bool is_judged = engine->rate_limit && engine->limit_stated_at >= 0 &&
                   queue_.now() - engine->limit_stated_at > kContactMs;
  if (is_judged) engine->limited_arrivals.push_back(queue_.now());
  const Arrival& arrival = call->outcome.arrival;
  double target_ms = static_cast<double>(
      scenario_->classes[arrival.request_class].target.count());
  bool is_late = queue_.now() - attempt->sent_at > target_ms;
  bool is_dropped = scenario_->ideal.drops_late_work && is_late;
  // A resumed response begins with a prefill of its prompt and earlier tokens.
  int skipped_tokens = std::min(attempt->skipped_events, arrival.events - 1) *
                       scenario_->tokens_per_event;
  EngineJob job{attempt->job_id, arrival.prompt_tokens + skipped_tokens,
                arrival.events * scenario_->tokens_per_event - skipped_tokens};
  constexpr int kLatePriority = 6;
  if (scenario_->ideal.late_work_last && is_late) job.priority = kLatePriority;
  if (!is_dropped && engine->model->Submit(job, MakeCallbacks(call, attempt))) {
    ++call->outcome.prompt_reads;
    return;
  }
  attempt->ended = true;
  std::erase(call->attempts, attempt);
  call->router->registry.OnRefused(engine->id, Now());
  OnAttemptRefused(call);
}

void FleetModel::OnAttemptRefused(const std::shared_ptr<Call>& call) {
  if (!call->attempts.empty()) return;
  if (call->may_have_executed)
    return EndCall(call, CallerOutcome::End::kFailed);
  if (call->send_count < 2) return Place(call);
  HandleRefusal(call, ComputeRetryAfter(Milliseconds(0), 0));
}

EngineJobCallbacks FleetModel::MakeCallbacks(
    const std::shared_ptr<Call>& call,
    const std::shared_ptr<Attempt>& attempt) {
  Engine* engine = attempt->engine;
  double delay = DelayMs(call->router->zone, engine->zone);
  EngineJobCallbacks out;
  out.on_tokens = [this, call, attempt, engine, delay](bool last) {
    if (attempt->generated++ == 0) {
      if (engine->rate_limit && engine->limit_stated_at < 0)
        engine->limit_stated_at = queue_.now();
      queue_.ScheduleAfter(delay,
                           [this, router = call->router, engine, attempt] {
                             OnResponse(router, *engine, attempt->sent_at);
                           });
    }
    queue_.ScheduleAfter(
        delay, [this, call, attempt, last] { OnData(call, attempt, last); });
  };
  out.on_aborted = [this, call, attempt](bool output_started) {
    if (attempt->ended) return;
    EndAttempt(call.get(), attempt, false, false);
    if (!call->attempts.empty()) return;
    if (!output_started && call->send_count < 2) return Place(call);
    EndCall(call, CallerOutcome::End::kFailed);
  };
  return out;
}

void FleetModel::OnData(const std::shared_ptr<Call>& call,
                        const std::shared_ptr<Attempt>& attempt, bool last) {
  call->router->registry.OnProgress(attempt->engine->id, Now());
  if (attempt->ended) return;
  attempt->last_data_at = queue_.now();
  // The first attempt to continue the response wins.
  auto attempts = call->attempts;
  for (const auto& it : attempts) {
    if (it != attempt) EndAttempt(call.get(), it, true, true);
  }
  ++call->forwarded;
  queue_.ScheduleAfter(scenario_->caller_delay_ms, [this, call, attempt, last] {
    OnTokens(call, attempt->sent_at, last);
  });
}

void FleetModel::CheckSilence(const std::shared_ptr<Call>& call,
                              const std::shared_ptr<Attempt>& attempt) {
  queue_.ScheduleAfter(kCheckPeriodMs, [this, call, attempt] {
    if (attempt->ended) return;
    OnSilence(call, attempt);
    if (!attempt->ended) CheckSilence(call, attempt);
  });
}

void FleetModel::OnSilence(const std::shared_ptr<Call>& call,
                           const std::shared_ptr<Attempt>& attempt) {
  using Action = SilencePolicy::Action;
  const FleetUpstream* upstream =
      call->router->registry.Find(attempt->engine->id);
  if (upstream == nullptr) return;
  double silent_since = std::max(
      static_cast<double>(upstream->last_progress.count()), attempt->sent_at);
  SilentAttempt state;
  state.engine_silence =
      Milliseconds(static_cast<int64_t>(queue_.now() - silent_since));
  state.own_silence =
      Milliseconds(static_cast<int64_t>(queue_.now() - attempt->last_data_at));
  state.agent_reports_silence =
      upstream->status && !upstream->status->reachable &&
      Now() - upstream->status_received_at < UpstreamRegistry::kStatusLifetime;
  state.sent = call->send_count;
  state.response_started = call->forwarded > 0;
  Action action = silence_policy_->Check(state);
  if (action == Action::kWait) return;
  bool adds_second = action == Action::kAddSecond;
  bool free_slots_only = adds_second || (scenario_->ideal.resumed_need_room &&
                                         call->forwarded > 0);
  FleetUpstream* other = PlaceRetry(*call, free_slots_only);
  if (other == nullptr && action != Action::kReplaceOrFail) return;
  if (!adds_second) {
    // Attempts that end without a replacement don't count as failures.
    EndAttempt(call.get(), attempt, other == nullptr, true);
    call->may_have_executed = true;
  }
  if (other == nullptr) return EndCall(call, CallerOutcome::End::kFailed);
  Send(call, other);
}

void FleetModel::EndAttempt(Call* call, std::shared_ptr<Attempt> attempt,
                            bool ok, bool cancel) {
  if (attempt->ended) return;
  attempt->ended = true;
  if (cancel) attempt->engine->model->Cancel(attempt->job_id);
  std::erase(call->attempts, attempt);
  UpstreamRegistry& registry = call->router->registry;
  registry.OnEnded(attempt->engine->id, ok, Now());
  if (!scenario_->ideal.no_ejections) return;
  if (FleetUpstream* it = registry.Find(attempt->engine->id))
    it->ejected_until = MonotonicTime(-1);
}

void FleetModel::HandleRefusal(const std::shared_ptr<Call>& call,
                               Milliseconds retry_after) {
  const RequestClass& it =
      scenario_->classes[call->outcome.arrival.request_class];
  double left = call->abandons_at - queue_.now();
  int max_retries = scenario_->ideal.no_returns ? 0 : it.max_retries;
  if (call->outcome.refusals++ >= max_retries || left <= 0) {
    return EndCall(call, CallerOutcome::End::kRefused);
  }
  call->attempted_ids.clear();
  call->send_count = 0;
  call->may_have_executed = false;
  double delay_ms = std::min(static_cast<double>(retry_after.count()),
                             left * kMaxRetryDelayShare);
  queue_.ScheduleAfter(scenario_->caller_delay_ms + delay_ms, [this, call] {
    if (!call->ended) StartAttempt(call);
  });
}

void FleetModel::OnTokens(const std::shared_ptr<Call>& call, double sent_at,
                          bool last) {
  if (call->ended) return;
  const Arrival& arrival = call->outcome.arrival;
  const RequestClass& it = scenario_->classes[arrival.request_class];
  double now = queue_.now();
  bool first = call->outcome.first_event_ms < 0;
  if (first) {
    call->outcome.first_event_ms = now - arrival.at_ms;
  } else {
    call->outcome.longest_gap_ms =
        std::max(call->outcome.longest_gap_ms, now - call->last_event_at);
  }
  call->last_event_at = now;
  if (!last) return;
  call->outcome.in_time =
      call->outcome.first_event_ms <= static_cast<double>(it.target.count()) &&
      (scenario_->ideal.pauses_accepted ||
       call->outcome.longest_gap_ms <=
           static_cast<double>(it.max_event_gap.count()));
  double service_ms = now - sent_at;
  Router& router = *call->router;
  if (!service_time_is_constant_) {
    router.mean_service_time_ms +=
        kServiceTimeSmoothing * (service_ms - router.mean_service_time_ms);
  }
  EndCall(call, CallerOutcome::End::kServed);
}

void FleetModel::EndCall(const std::shared_ptr<Call>& call,
                         CallerOutcome::End end) {
  if (call->ended) return;
  while (!call->attempts.empty())
    EndAttempt(call.get(), call->attempts.back(), true, false);
  call->ended = true;
  call->outcome.end = end;
  outcomes_->push_back(call->outcome);
}

void FleetModel::Abandon(const std::shared_ptr<Call>& call) {
  if (call->ended) return;
  const RequestClass& it =
      scenario_->classes[call->outcome.arrival.request_class];
  // A caller that gets events waits until they stop.
  bool gets_events = call->outcome.first_event_ms >= 0;
  double gap = std::max(
      {kMinAbandonGapMs,
       kTargetsPerAbandonGap * static_cast<double>(it.target.count()),
       kGapsPerAbandonGap * static_cast<double>(it.max_event_gap.count())});
  if (gets_events && call->outcome.arrival.abandons_after_ms <= 0 &&
      queue_.now() < call->last_event_at + gap) {
    queue_.ScheduleAt(call->last_event_at + gap,
                      [this, call] { Abandon(call); });
    return;
  }
  while (!call->attempts.empty())
    EndAttempt(call.get(), call->attempts.back(), true, true);
  EndCall(call, CallerOutcome::End::kAbandoned);
}

}  // namespace primrosecove
