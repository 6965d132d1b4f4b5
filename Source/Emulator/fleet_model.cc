#include "Emulator/fleet_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Core/Fleet/retry_after.h"

namespace primrosecove {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr char kModel[] = "model";
constexpr char kServiceName[] = "engines";
// Callers leave after a gap of this length, four times their target, or eight
// times the pause that they accept, whichever is longest.
constexpr double kLeastGapMs = 2000;
constexpr double kTargetsOfGap = 4;
constexpr double kPausesOfGap = 8;
// Callers wait at most this share of what is left of their patience.
constexpr double kHeededShare = 1.0 / 3;
// Share of the moving average that a new time makes up.
constexpr double kMeanTimeShare = 0.05;
constexpr double kAssumedTimeMs = 2000;
constexpr int kPercent = 100;
// Routers begin nothing on older weights about this long before the bound.
constexpr double kRouterMarginMs = 1100;

}  // namespace

struct FleetModel::Engine {
  std::string id;
  std::string zone;
  Endpoint endpoint;
  bool leaving = false;
  double up_since = 0;
  double up_ms = 0;      // of earlier lives
  uint64_t copying = 0;  // the version under way, or the last that was
  double named_at = 0;
  bool copy_complete = false;
  double turn = 0;  // in the order of swaps, 0 to 1
  std::unique_ptr<EmulatedEngine> model;
};

struct FleetModel::Router {
  std::string zone;
  UpstreamRegistry registry;
  std::unique_ptr<PlacementPolicy> policy;
  double mean_time_ms = kAssumedTimeMs;
};

struct FleetModel::Call {
  CallerOutcome outcome;
  Router* router = nullptr;
  Engine* engine = nullptr;
  double attempt_at = 0;  // when this attempt reached its router
  double sent_at = 0;
  double heard_at = 0;  // the last event at the caller
  double leaves_at = 0;
  int written = 0;
  int sends = 0;
  bool ended = false;
  std::vector<std::string> tried;
};

FleetModel::FleetModel(const Scenario* scenario, std::string policy,
                       uint64_t seed)
    : scenario_(scenario), policy_(std::move(policy)), random_(seed) {
  service_.name = kServiceName;
  service_.engine = scenario->engine;
  for (const RequestClass& it : scenario->classes) {
    Route route;
    route.name = it.name;
    route.kind = RequestKind::kStream;
    route.timeout = it.patience;
    route.latency_target = it.target;
    route.inter_token_latency_target = it.pause;
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
  for (const Incident& it : scenario->incidents) Plan(it);
}

FleetModel::~FleetModel() = default;

void FleetModel::AddRouters(const EmulatedZone& zone) {
  for (int i = 0; i < zone.routers; ++i) {
    auto router = std::make_unique<Router>();
    router->zone = zone.name;
    router->policy = MakePlacementPolicy(policy_);
    routers_.push_back(std::move(router));
  }
}

void FleetModel::AddEngine(const EmulatedZone& zone, uint64_t version) {
  auto engine = std::make_unique<Engine>();
  size_t number = engines_.size();
  engine->id = "engine-" + std::to_string(number);
  engine->zone = zone.name;
  // Only told apart, never connected to.
  engine->endpoint = Endpoint{engine->id, 1};
  engine->up_since = queue_.now();
  engine->turn = std::uniform_real_distribution<double>(0, 1)(random_);
  engine->model = std::make_unique<EmulatedEngine>(&queue_, scenario_->engine,
                                                   scenario_->engine_queue);
  engine->model->Restart(version);
  engines_.push_back(std::move(engine));
  Register(*engines_.back(), false);
  if (version == 0) CopyAndLoad(number, named_version_);
}

void FleetModel::Register(const Engine& engine, bool gone) {
  UpstreamChange change;
  change.id = engine.id;
  if (!gone) {
    UpstreamRecord record;
    record.id = engine.id;
    record.service = kServiceName;
    record.endpoint = engine.endpoint;
    record.zone = engine.zone;
    record.slots = scenario_->engine.slots;
    record.leaving = engine.leaving;
    record.weights = {{kModel, engine.model->version(), true}};
    change.record = record;
  }
  for (auto& it : routers_) it->registry.Apply(change, Milliseconds(0), Now());
}

// Each agent reads its engine beside it and tells all routers.
void FleetModel::SendStatuses() {
  for (const auto& engine : engines_) {
    UpstreamStatus status;
    status.upstream = engine->endpoint;
    status.sequence = static_cast<uint64_t>(queue_.now()) + 1;
    status.reachable = engine->model->is_up();
    status.loading = engine->model->is_loading();
    status.served_version = engine->model->version();
    status.running = static_cast<uint32_t>(engine->model->running());
    status.waiting = static_cast<uint32_t>(engine->model->waiting());
    status.slowdown_percent =
        static_cast<uint32_t>(engine->model->pace() * kPercent);
    status.active_routers = static_cast<uint32_t>(routers_.size());
    status.reload_in_ms = LoadsInMs(*engine);
    for (auto& router : routers_) {
      queue_.After(DelayMs(engine->zone, router->zone),
                   [this, status, it = router.get()] {
                     it->registry.RecordStatus(status, Now());
                   });
    }
  }
  queue_.After(scenario_->report_interval_ms, [this] { SendStatuses(); });
}

double FleetModel::DelayMs(const std::string& from_zone,
                           const std::string& to_zone) const {
  if (from_zone == to_zone) return 0;
  bool same_region =
      region_of_zone_.at(from_zone) == region_of_zone_.at(to_zone);
  return same_region ? scenario_->zone_delay_ms : scenario_->region_delay_ms;
}

void FleetModel::Plan(const Incident& incident) {
  queue_.At(incident.at_s * kMsPerSecond,
            [this, incident] { Begin(incident); });
}

std::vector<size_t> FleetModel::DrawEngines(double share) {
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

void FleetModel::Begin(const Incident& incident) {
  using Kind = Incident::Kind;
  std::vector<size_t> chosen;
  switch (incident.kind) {
    case Kind::kBurst:
    case Kind::kShift:
    case Kind::kLeave:
      return;  // Part of the traffic.
    case Kind::kVersion:
      return NameVersion();
    case Kind::kJoin: {
      auto n = static_cast<size_t>(
          std::ceil(incident.share * static_cast<double>(engines_.size())));
      for (size_t i = 0; i < n; ++i) {
        AddEngine(scenario_->zones[i % scenario_->zones.size()], 0);
      }
      return;
    }
    case Kind::kCrash:
      chosen = DrawEngines(incident.share);
      for (size_t it : chosen) {
        engines_[it]->up_ms += queue_.now() - engines_[it]->up_since;
        engines_[it]->model->Crash();
      }
      break;
    case Kind::kSlow:
      chosen = DrawEngines(incident.share);
      for (size_t it : chosen) engines_[it]->model->SetPace(incident.factor);
      break;
    case Kind::kDrain:
      for (size_t it : DrawEngines(incident.share)) {
        engines_[it]->leaving = true;
        engines_[it]->up_ms += queue_.now() - engines_[it]->up_since;
        Register(*engines_[it], false);
      }
      return;
  }
  queue_.After(incident.for_s * kMsPerSecond,
               [this, incident, chosen] { End(incident, chosen); });
}

void FleetModel::End(const Incident& incident,
                     const std::vector<size_t>& engines) {
  for (size_t it : engines) {
    engines_[it]->model->SetPace(1);
    if (incident.kind != Incident::Kind::kCrash) continue;
    // An engine that starts again holds nothing but its staged copy.
    engines_[it]->model->Restart(0);
    engines_[it]->up_since = queue_.now();
    CopyAndLoad(it, named_version_);
  }
}

void FleetModel::NameVersion() {
  ++named_version_;
  double binding = scenario_->version_bound_ms - kRouterMarginMs;
  queue_.After(binding, [this, it = named_version_] {
    lowest_version_ = std::max(lowest_version_, it);
  });
  for (size_t i = 0; i < engines_.size(); ++i) CopyAndLoad(i, named_version_);
}

void FleetModel::CopyAndLoad(size_t engine, uint64_t version) {
  Engine& it = *engines_[engine];
  it.copying = version;
  it.named_at = queue_.now();
  it.copy_complete = false;
  queue_.After(scenario_->copy_ms, [this, engine, version] {
    if (engines_[engine]->copying != version) return;
    engines_[engine]->copy_complete = true;
    LoadIfDue(engine, version);
  });
}

ReloadState FleetModel::SituationOf(const Engine& engine) const {
  ReloadState out;
  out.target_version = engine.copying;
  out.served_version = engine.model->version();
  out.loading = engine.model->is_loading();
  out.idle = engine.model->running() == 0 && engine.model->waiting() == 0;
  out.copy_complete = engine.copy_complete;
  out.target_age =
      Milliseconds(static_cast<int64_t>(queue_.now() - engine.named_at));
  out.copy_complete_age =
      Milliseconds(static_cast<int64_t>(scenario_->copy_ms));
  out.version_bound =
      Milliseconds(static_cast<int64_t>(scenario_->version_bound_ms));
  out.reload_slot = engine.turn;
  return out;
}

uint32_t FleetModel::LoadsInMs(const Engine& engine) const {
  ReloadState situation = SituationOf(engine);
  if (situation.served_version == 0 ||
      situation.served_version >= situation.target_version) {
    return UpstreamStatus::kNoReloadPlanned;
  }
  Milliseconds left = PlannedReloadAge(situation) - situation.target_age;
  return static_cast<uint32_t>(std::max(left, Milliseconds(0)).count());
}

// As the product's agents do, at each report of their engine.
void FleetModel::LoadIfDue(size_t engine, uint64_t version) {
  Engine& it = *engines_[engine];
  if (it.copying != version || it.model->version() >= version) return;
  if (ShouldReload(SituationOf(it))) {
    it.model->Load(version, scenario_->warm_up_ms);
    return;
  }
  queue_.After(scenario_->report_interval_ms,
               [this, engine, version] { LoadIfDue(engine, version); });
}

std::vector<CallerOutcome> FleetModel::Run(std::span<const Arrival> arrivals) {
  std::vector<CallerOutcome> out;
  out.reserve(arrivals.size());
  outcomes_ = &out;
  SendStatuses();
  for (const Arrival& it : arrivals) {
    auto call = std::make_shared<Call>();
    call->outcome.arrival = it;
    queue_.At(it.at_ms, [this, call] { Arrive(call); });
  }
  double longest = 0;
  for (const RequestClass& it : scenario_->classes) {
    longest = std::max(longest, static_cast<double>(it.patience.count()));
  }
  queue_.RunUntil(scenario_->seconds * kMsPerSecond + longest);
  outcomes_ = nullptr;
  return out;
}

double FleetModel::Utilization() const {
  double busy = 0;
  double there = 0;
  for (const auto& it : engines_) {
    busy += it->model->busy_ms();
    there += it->up_ms;
    if (it->model->is_up() && !it->leaving)
      there += queue_.now() - it->up_since;
  }
  return there > 0 ? busy / there : 0;
}

// An attempt reaches one of the routers of its caller's zone.
void FleetModel::Arrive(const std::shared_ptr<Call>& call) {
  const Arrival& arrival = call->outcome.arrival;
  const RequestClass& it = scenario_->classes[arrival.request_class];
  const std::string& zone = scenario_->zones[arrival.zone].name;
  std::vector<Router*> near;
  for (const auto& router : routers_) {
    if (router->zone == zone) near.push_back(router.get());
  }
  call->router =
      near[std::uniform_int_distribution<size_t>(0, near.size() - 1)(random_)];
  call->attempt_at = queue_.now() + scenario_->caller_delay_ms;
  if (call->outcome.refusals == 0) {
    double stays = arrival.leaves_after_ms > 0
                       ? arrival.leaves_after_ms
                       : static_cast<double>(it.patience.count());
    call->leaves_at = queue_.now() + stays;
    queue_.At(call->leaves_at, [this, call] { Leave(call); });
  }
  queue_.After(scenario_->caller_delay_ms, [this, call] {
    if (!call->ended) Place(call);
  });
}

void FleetModel::Place(const std::shared_ptr<Call>& call) {
  Router& router = *call->router;
  Milliseconds now = Now();
  std::vector<FleetUpstream*> candidates =
      router.registry.Usable(kServiceName, now);
  std::erase_if(candidates, [&](FleetUpstream* it) {
    uint64_t version = UpstreamRegistry::ServedVersion(*it, kModel, now);
    return version == 0 || version < lowest_version_ ||
           std::find(call->tried.begin(), call->tried.end(), it->record.id) !=
               call->tried.end();
  });
  const Arrival& arrival = call->outcome.arrival;
  PlacementRequest request;
  request.route = &routes_[arrival.request_class];
  request.service = &service_;
  request.home_zone = router.zone;
  request.home_region = region_of_zone_[router.zone];
  request.region_of_zone = &region_of_zone_;
  request.prompt_tokens = arrival.prompt_tokens;
  request.mean_service_time =
      Milliseconds(static_cast<int64_t>(router.mean_time_ms));
  request.expected_service_time = Milliseconds(static_cast<int64_t>(
      router.mean_time_ms * arrival.events /
      scenario_->classes[arrival.request_class].events.mean));
  request.waited =
      Milliseconds(static_cast<int64_t>(queue_.now() - arrival.at_ms));
  Placement placement = router.policy->Choose(candidates, request, now);
  if (placement.upstream != nullptr) return Send(call, placement.upstream);
  double draw = std::uniform_real_distribution<double>(0, 1)(random_);
  Refuse(call, ComputeRetryAfter(placement.retry_after, draw));
}

void FleetModel::Send(const std::shared_ptr<Call>& call,
                      FleetUpstream* upstream) {
  Router& router = *call->router;
  const std::string id = upstream->record.id;
  call->tried.push_back(id);
  ++call->sends;
  router.registry.OnSent(id, Now());
  auto found = std::find_if(engines_.begin(), engines_.end(),
                            [&id](const auto& it) { return it->id == id; });
  Engine* engine = found->get();
  call->engine = engine;
  call->sent_at = queue_.now();
  double delay = DelayMs(router.zone, engine->zone);
  queue_.After(delay, [this, call, engine, delay] {
    if (call->ended) return;
    const Arrival& arrival = call->outcome.arrival;
    EngineJob job{arrival.id, arrival.prompt_tokens,
                  arrival.events * scenario_->tokens_per_event};
    EngineJobEvents events;
    double back = delay + scenario_->caller_delay_ms;
    events.on_tokens = [this, call, back](bool last) {
      queue_.After(back, [this, call, last] { TakeTokens(call, last); });
    };
    events.on_broken = [this, call](bool begun) {
      if (call->ended) return;
      call->router->registry.OnEnded(call->engine->id, false, Now());
      call->engine = nullptr;
      if (!begun && call->sends < 2) return Place(call);
      EndCall(call, CallerOutcome::End::kFailed);
    };
    if (engine->model->Submit(job, events)) return;
    call->router->registry.OnRefused(engine->id, Now());
    call->engine = nullptr;
    if (call->sends < 2) return Place(call);
    Refuse(call, ComputeRetryAfter(Milliseconds(0), 0));
  });
}

void FleetModel::Refuse(const std::shared_ptr<Call>& call,
                        Milliseconds retry_after) {
  const RequestClass& it =
      scenario_->classes[call->outcome.arrival.request_class];
  double left = call->leaves_at - queue_.now();
  if (call->outcome.refusals++ >= it.returns || left <= 0) {
    return EndCall(call, CallerOutcome::End::kRefused);
  }
  call->tried.clear();
  call->sends = 0;
  double pause =
      std::min(static_cast<double>(retry_after.count()), left * kHeededShare);
  queue_.After(scenario_->caller_delay_ms + pause, [this, call] {
    if (!call->ended) Arrive(call);
  });
}

void FleetModel::TakeTokens(const std::shared_ptr<Call>& call, bool last) {
  if (call->ended) return;
  const Arrival& arrival = call->outcome.arrival;
  const RequestClass& it = scenario_->classes[arrival.request_class];
  double now = queue_.now();
  bool first = call->outcome.first_event_ms < 0;
  if (first) {
    call->outcome.first_event_ms = now - arrival.at_ms;
  } else {
    call->outcome.longest_pause_ms =
        std::max(call->outcome.longest_pause_ms, now - call->heard_at);
  }
  call->heard_at = now;
  if (!last) return;
  call->outcome.in_time =
      call->outcome.first_event_ms <= static_cast<double>(it.target.count()) &&
      call->outcome.longest_pause_ms <= static_cast<double>(it.pause.count());
  double took = now - call->sent_at;
  Router& router = *call->router;
  router.mean_time_ms += kMeanTimeShare * (took - router.mean_time_ms);
  EndCall(call, CallerOutcome::End::kServed);
}

void FleetModel::Detach(Call* call) {
  if (call->engine == nullptr) return;
  call->router->registry.OnEnded(call->engine->id, true, Now());
  call->engine = nullptr;
}

void FleetModel::EndCall(const std::shared_ptr<Call>& call,
                         CallerOutcome::End end) {
  if (call->ended) return;
  Detach(call.get());
  call->ended = true;
  call->outcome.end = end;
  outcomes_->push_back(call->outcome);
}

void FleetModel::Leave(const std::shared_ptr<Call>& call) {
  if (call->ended) return;
  const RequestClass& it =
      scenario_->classes[call->outcome.arrival.request_class];
  // A caller that gets events stays until they stop.
  bool gets_events = call->outcome.first_event_ms >= 0;
  double gap = std::max({kLeastGapMs,
                         kTargetsOfGap * static_cast<double>(it.target.count()),
                         kPausesOfGap * static_cast<double>(it.pause.count())});
  if (gets_events && call->outcome.arrival.leaves_after_ms <= 0 &&
      queue_.now() - call->heard_at < gap) {
    queue_.At(call->heard_at + gap, [this, call] { Leave(call); });
    return;
  }
  if (call->engine != nullptr) {
    call->engine->model->Cancel(call->outcome.arrival.id);
  }
  EndCall(call, CallerOutcome::End::kLeft);
}

}  // namespace primrosecove
