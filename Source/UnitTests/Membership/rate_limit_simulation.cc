#include "rate_limit_simulation.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace primrosecove {
namespace {

constexpr double kAllowedRatio = 1.5;
constexpr double kAllowedExcess = 5;
constexpr int64_t kUnixStartMs = 1'796'000'000'123;
constexpr int64_t kStartTimeMs = 1000;
constexpr Milliseconds kLimitStart{10'000};
constexpr Milliseconds kLimitEnd{50'000};
constexpr Milliseconds kSimulatedTime{70'000};
constexpr Milliseconds kDisturbance{4000};
// Until a request that is sent at the limit has shown that it has ended.
constexpr Milliseconds kEndKnown{14'000};
// Routers learn of a change in the store within this time of each other.
constexpr int64_t kMaxWatchLagMs = 300;
constexpr Milliseconds kSilenceTime{1500};
// A registration that ends while the store is reachable has ended for good.
constexpr MonotonicTime kStoreReachableSince{-60'000};

const Endpoint kUpstreamEndpoint{"10.0.1.1", 80};
constexpr MonotonicTime kLateAgentStart{15'000};
constexpr Milliseconds kStatusPeriod{500};
constexpr Milliseconds kAnnouncementPeriod{500};

// Agents and the upstreams beside them, in the order of their ids.
std::string AgentId(size_t agent) {
  return "engine-" + std::to_string(100 + agent);
}

constexpr char kAgentIpPrefix[] = "10.0.2.";

Endpoint AgentEndpoint(size_t agent) {
  return {kAgentIpPrefix + std::to_string(agent), 80};
}

size_t AgentAt(const std::string& ip) {
  return std::stoul(ip.substr(sizeof(kAgentIpPrefix) - 1));
}

Endpoint RouterEndpoint(size_t router) {
  return {"router-" + std::to_string(router), 80};
}

}  // namespace

RateLimitSimulation::RateLimitSimulation(const RateLimitScenario& scenario,
                                         uint64_t seed)
    : scenario_(scenario),
      random_(seed),
      routers_(scenario.routers),
      relays_(scenario.agents) {
  for (size_t n = 0; n < routers_.size(); ++n) StartRouter(n);
  for (size_t n = 0; n < routers_.size(); ++n) {
    At(RandomTime(kStatusPeriod.count()), [this, n] { UpdateView(n); });
    At(RandomTime(500), [this, n] { SendReports(n); });
    At(RandomTime(100), [this, n] { Tick(n); });
    At(RandomTime(1000), [this, n] { UpdateLimits(n); });
  }
  for (size_t relay = 0; relay < relays_.size(); ++relay) {
    At(RandomTime(kAnnouncementPeriod.count()),
       [this, relay] { Announce(relay); });
  }
  ScheduleRequest();
  ScheduleDisturbances();
}

void RateLimitSimulation::ScheduleDisturbances() {
  Repeat(scenario_.restarts, [this] {
    size_t n = Random(routers_.size());
    StartRouter(n);
    Disturb(n, Milliseconds(0));
  });
  Repeat(scenario_.cuts, [this] {
    Router& router = routers_[Disturb(Random(routers_.size()), kDisturbance)];
    router.cut_until = now_ + kDisturbance;
  });
  Repeat(scenario_.suspensions, [this] {
    size_t n = Disturb(Random(routers_.size()), kDisturbance);
    routers_[n].suspended_until = now_ + kDisturbance;
    At(routers_[n].suspended_until, [this, n] {
      int waiting = std::exchange(routers_[n].waiting, 0);
      for (int i = 0; i < waiting; ++i) Receive(n);
    });
  });
  Repeat(scenario_.relay_restarts, [this] {
    if (!relays_.empty()) relays_[Random(relays_.size())] = RateLimitRelay();
  });
  Repeat(scenario_.lapses, [this] { LapseRegistration(); });
  Repeat(scenario_.foreign_entries, [this] { WriteForeignEntry(); });
  Repeat(scenario_.silences, [this] { Silence(); });
}

void RateLimitSimulation::Run() {
  while (!events_.empty() && events_.begin()->first <= kSimulatedTime) {
    auto node = events_.extract(events_.begin());
    now_ = node.key();
    node.mapped()();
  }
}

size_t RateLimitSimulation::MostArrivals() const {
  size_t out = 0;
  for (size_t from = 0, to = 0; from < counted_.size(); ++from) {
    while (to < counted_.size() && counted_[to] - counted_[from] <= kWindow)
      ++to;
    out = std::max(out, to - from);
  }
  return out;
}

double RateLimitSimulation::AllowedArrivals() const {
  auto seconds = std::chrono::duration<double>(kWindow).count();
  return kAllowedRatio * scenario_.limit * seconds + kAllowedExcess;
}

double RateLimitSimulation::Use() const {
  auto seconds =
      std::chrono::duration<double>(kLimitEnd - kLimitStart - kContactTime);
  return static_cast<double>(counted_.size()) /
         (seconds.count() * scenario_.limit);
}

double RateLimitSimulation::ShareSentAfterEnd() const {
  return static_cast<double>(sent_after_end_) /
         std::max<double>(requests_after_end_, 1);
}

void RateLimitSimulation::At(MonotonicTime at, std::function<void()> action) {
  events_.emplace(at, std::move(action));
}

void RateLimitSimulation::Repeat(Milliseconds mean,
                                 const std::function<void()>& action) {
  if (mean == Milliseconds(0)) return;
  At(now_ + mean / 2 + RandomTime(mean.count()), [this, mean, action] {
    action();
    Repeat(mean, action);
  });
}

Milliseconds RateLimitSimulation::RandomTime(int64_t below_ms) {
  return Milliseconds(Random(static_cast<size_t>(below_ms)));
}

void RateLimitSimulation::StartRouter(size_t n) {
  routers_[n].registry = std::make_unique<UpstreamRegistry>();
  routers_[n].limits = std::make_unique<UpstreamRateLimits>(1000 + n);
  routers_[n].limits->SetRouterCount(static_cast<int>(routers_.size()), now_);
  routers_[n].relay_choice = RelayChoice();
  Register(n);
}

size_t RateLimitSimulation::Disturb(size_t n, Milliseconds duration) {
  MonotonicTime& until = routers_[n].disturbed_until;
  until = std::max(until, now_ + duration);
  return n;
}

bool RateLimitSimulation::IsLimited() const {
  return now_ >= kLimitStart && now_ < kLimitEnd;
}

int64_t RateLimitSimulation::UnixMs(size_t n) const {
  bool is_stepped = n % 3 == 0 && now_ > MonotonicTime(20'000) &&
                    now_ < MonotonicTime(35'000);
  Milliseconds step = is_stepped ? scenario_.clock_step : Milliseconds(0);
  return kUnixStartMs + (now_ + step).count();
}

bool RateLimitSimulation::Knows(size_t n, size_t agent) const {
  if (agent < scenario_.late_agents && now_ < kLateAgentStart) return false;
  return scenario_.knows == nullptr || scenario_.knows(n, agent, now_);
}

void RateLimitSimulation::UpdateView(size_t n) {
  UpstreamRegistry& registry = *routers_[n].registry;
  for (size_t agent = 0; agent < relays_.size(); ++agent) {
    UpstreamChange change;
    change.id = AgentId(agent);
    if (!Knows(n, agent)) {
      registry.Apply(change, kStoreReachableSince, now_);
      continue;
    }
    bool is_late = agent < scenario_.late_agents;
    UpstreamStatus status;
    status.upstream = AgentEndpoint(agent);
    status.sequence = static_cast<uint64_t>(now_.count());
    status.start_time_ms =
        kStartTimeMs + (is_late ? kLateAgentStart.count() : 0);
    status.reachable = true;
    if (registry.Find(change.id) == nullptr) {
      change.record.emplace();
      change.record->id = change.id;
      change.record->service = "engines";
      change.record->endpoint = status.upstream;
      change.record->start_time_ms = status.start_time_ms;
      registry.Apply(change, kStoreReachableSince, now_);
    }
    registry.RecordStatus(status, now_);
  }
  At(now_ + kStatusPeriod, [this, n] { UpdateView(n); });
}

void RateLimitSimulation::Register(size_t n) {
  WriteEntry(n, scenario_.status_delay ? 0 : kStartTimeMs);
  if (!scenario_.status_delay) return;
  At(now_ + *scenario_.status_delay + RandomTime(kMaxWatchLagMs), [this, n] {
    UpstreamStatus status;
    status.upstream = kUpstreamEndpoint;
    status.start_time_ms = kStartTimeMs;
    status.reachable = true;
    routers_[n].registry->RecordStatus(status, now_);
  });
}

void RateLimitSimulation::WriteEntry(size_t n, int64_t start_time_ms) {
  UpstreamChange change;
  change.id = "a";
  change.record.emplace();
  change.record->id = "a";
  change.record->service = "s";
  change.record->endpoint = kUpstreamEndpoint;
  change.record->start_time_ms = start_time_ms;
  routers_[n].registry->Apply(change, kStoreReachableSince, now_);
}

void RateLimitSimulation::Unregister(size_t n) {
  UpstreamChange change;
  change.id = "a";
  routers_[n].registry->Apply(change, kStoreReachableSince, now_);
}

void RateLimitSimulation::LapseRegistration() {
  // Without requests, the routers could not learn of the limit's end.
  if (now_ >= kLimitEnd - scenario_.lapse_time) return;
  for (size_t n = 0; n < routers_.size(); ++n) {
    At(now_ + RandomTime(kMaxWatchLagMs), [this, n] { Unregister(n); });
    At(now_ + scenario_.lapse_time + RandomTime(kMaxWatchLagMs), [this, n] {
      if (routers_[n].registry->Find("a") == nullptr) Register(n);
    });
  }
}

void RateLimitSimulation::WriteForeignEntry() {
  if (now_ >= kLimitEnd - scenario_.lapse_time) return;
  int64_t start_time_ms = kStartTimeMs + now_.count();
  for (size_t n = 0; n < routers_.size(); ++n) {
    At(now_ + RandomTime(kMaxWatchLagMs),
       [this, n, start_time_ms] { WriteEntry(n, start_time_ms); });
    At(now_ + scenario_.lapse_time + RandomTime(kMaxWatchLagMs),
       [this, n] { Register(n); });
  }
}

void RateLimitSimulation::Silence() { silent_until_ = now_ + kSilenceTime; }

void RateLimitSimulation::Carry(size_t n, std::function<void()> action) {
  bool lost = static_cast<int>(Random(100)) < scenario_.datagram_loss_percent;
  if (lost || now_ < routers_[n].cut_until) return;
  At(now_ + Milliseconds(1) + RandomTime(5), std::move(action));
}

void RateLimitSimulation::SendSummary(size_t n, size_t relay,
                                      const RateLimitSummary& summary) {
  Carry(n, [this, n, relay, summary] {
    if (!IsUp(n)) return;
    routers_[n].relay_choice.OnRelayMessage(AgentEndpoint(relay).ip, now_);
    routers_[n].limits->OnSummary(summary, *routers_[n].registry, now_);
  });
}

void RateLimitSimulation::ReportNow(size_t n) {
  for (auto& report : routers_[n].limits->MakeReports(now_)) {
    for (const RelayChoice::Relay& it : routers_[n].relay_choice.relays()) {
      size_t relay = AgentAt(it.ip);
      report.is_chosen = it.is_chosen;
      Carry(n, [this, n, relay, report] {
        auto answer =
            relays_[relay].OnReport(report, RouterEndpoint(n), now_.count());
        for (const auto& summary : answer.to_sender)
          SendSummary(n, relay, summary);
        for (const auto& summary : answer.to_others) {
          for (size_t i = 0; i < routers_.size(); ++i)
            if (i != n && Knows(i, relay)) SendSummary(i, relay, summary);
        }
      });
    }
  }
}

void RateLimitSimulation::Announce(size_t relay) {
  for (const auto& summary : relays_[relay].MakeAnnouncements(now_.count())) {
    for (size_t i = 0; i < routers_.size(); ++i) {
      if (!Knows(i, relay)) continue;
      if (!relays_[relay].ReportsHere(RouterEndpoint(i), now_.count()))
        SendSummary(i, relay, summary);
    }
  }
  At(now_ + kAnnouncementPeriod, [this, relay] { Announce(relay); });
}

void RateLimitSimulation::SendReports(size_t n) {
  if (IsUp(n)) ReportNow(n);
  At(now_ + Milliseconds(500), [this, n] { SendReports(n); });
}

void RateLimitSimulation::Tick(size_t n) {
  if (IsUp(n)) {
    Router& router = routers_[n];
    bool has_new_relay = router.relay_choice.Update(*router.registry, now_);
    if (has_new_relay || router.limits->HasNews()) ReportNow(n);
  }
  At(now_ + Milliseconds(100), [this, n] { Tick(n); });
}

void RateLimitSimulation::UpdateLimits(size_t n) {
  if (IsUp(n)) routers_[n].limits->Update(*routers_[n].registry, now_);
  At(now_ + Milliseconds(1000), [this, n] { UpdateLimits(n); });
}

double RateLimitSimulation::RequestsPerSecond() const {
  double per_second =
      std::max(scenario_.limit * scenario_.demand_per_limit, 0.5);
  if (scenario_.demand == RateLimitDemand::kBursts)
    return per_second * (now_.count() % 10'000 < 1000 ? 10 : 0.05);
  if (scenario_.demand == RateLimitDemand::kPauses)
    return (now_.count() + 4000) % 16'000 < 8000 ? 0 : per_second;
  return per_second;
}

void RateLimitSimulation::ScheduleRequest() {
  constexpr double kMaxInterval = 0.5;
  double per_second = RequestsPerSecond();
  if (per_second == 0)
    return At(now_ + Milliseconds(10), [this] { ScheduleRequest(); });
  std::exponential_distribution<double> interval(per_second);
  auto ms =
      static_cast<int64_t>(std::min(interval(random_), kMaxInterval) * 1000);
  At(now_ + Milliseconds(ms), [this] {
    Receive(ChooseRouter());
    ScheduleRequest();
  });
}

size_t RateLimitSimulation::ChooseRouter() {
  switch (scenario_.demand) {
    case RateLimitDemand::kOneRouter:
      return 0;
    case RateLimitDemand::kUneven:
      return Random(2) == 0 ? 0 : Random(routers_.size());
    default:
      return Random(routers_.size());
  }
}

void RateLimitSimulation::Receive(size_t n) {
  Router& router = routers_[n];
  if (!IsUp(n)) {
    ++router.waiting;
    return;
  }
  bool is_disturbed = now_ - router.disturbed_until <= kContactTime;
  bool is_after_end = now_ > kLimitEnd + kEndKnown && !is_disturbed;
  FleetUpstream* upstream = router.registry->Find("a");
  if (upstream == nullptr) return;
  if (is_after_end) ++requests_after_end_;
  if (!router.limits->MaySend(*upstream, now_, UnixMs(n))) return;
  router.limits->OnSent(*upstream, UnixMs(n));
  if (is_after_end) ++sent_after_end_;
  Attempt attempt{n, now_, upstream->StartTimeMs()};
  MonotonicTime arrives_at = now_ + Milliseconds(1) + RandomTime(5);
  At(std::max(arrives_at, silent_until_), [this, attempt] { Arrive(attempt); });
}

void RateLimitSimulation::Count(const Attempt& attempt) {
  if (!IsLimited()) return;
  if (!first_stated_at_) first_stated_at_ = now_;
  const Router& router = routers_[attempt.router];
  bool is_excused = attempt.sent_at - router.disturbed_until <= kContactTime;
  if (now_ >= *first_stated_at_ + kContactTime && !is_excused)
    counted_.push_back(now_);
}

void RateLimitSimulation::Arrive(const Attempt& attempt) {
  Count(attempt);
  ResponseFields response;
  response.is_signed = true;
  response.is_success = true;
  bool is_missing =
      static_cast<int>(Random(100)) < scenario_.missing_limit_percent;
  if (IsLimited() && !is_missing) {
    double less =
        scenario_.limit_change * 0.01 * static_cast<double>(Random(100));
    response.rate_limit = scenario_.limit * (1 - less);
  }
  At(now_ + Milliseconds(5) + RandomTime(200), [this, attempt, response] {
    Router& router = routers_[attempt.router];
    if (!IsUp(attempt.router)) return;
    router.limits->OnResponse("a", attempt.start_time_ms, response,
                              attempt.sent_at, now_);
  });
}

}  // namespace primrosecove
