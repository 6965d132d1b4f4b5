// Tests that routers together contain parts of prompts that crash upstreams and
// go on serving the requests that share the other parts, in a simulation
// without network or clock: routers, agents and upstreams that run up to 16
// requests each, while routers restart or are cut off, datagrams are lost, and
// upstreams crash for other reasons.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "Core/Router/crash_correlator.h"
#include "crash_report_network.h"

namespace primrosecove {
namespace {

using std::chrono_literals::operator""ms;

constexpr Milliseconds kContactTime{3000};
// Sends that may follow the fifth crash after the contact time.
constexpr int kAllowedSends = 3;
constexpr int kExcusedCrashes = 5;
// Sound requests that share a part with crashing ones must be served at least
// this often, compared to the time before.
constexpr double kMinServedRatio = 0.5;
constexpr size_t kMinCountedRequests = 20;
constexpr Milliseconds kTroubleStart{10'000};
constexpr Milliseconds kTroubleEnd{40'000};
constexpr Milliseconds kHeartbeat{1200};
constexpr size_t kRelays = 4;
constexpr size_t kSlots = 16;
constexpr size_t kFirstParts = 60;
constexpr int kMaxAttempts = 2;
// Fingerprints of parts.
constexpr uint64_t kFirstPartBase = 1000;
constexpr uint64_t kBadPartBase = 5000;

enum class BadPart {
  kNone,
  kOwn,       // A part of its own, with one first part.
  kAnyFirst,  // A part of its own, with any first part.
  kFirst,     // A first part that no sound request has.
  kPopular,   // The most popular first part turns bad, for requests that
              // arrived before as well.
};

struct Scenario {
  const char* name;
  size_t routers = 5;
  size_t upstreams = 19;
  double requests_per_s = 100;
  double bad_requests_per_s = 3;
  BadPart bad_part = BadPart::kOwn;
  size_t bad_parts = 1;
  double outage_share = 0;  // Of the upstreams, crashing at kTroubleStart.
  Milliseconds router_restarts{0};  // Mean time between; 0: none.
  Milliseconds cuts{0};             // Mean time between; 0: none.
  int datagram_loss_percent = 1;
  bool has_agents = true;
};

// How routers classify requests.
enum class Screen {
  kParts,
  kCrashesOnly,  // Sound executions clear nothing.
  kRequests,     // Parts are ignored.
};

struct Outcome {
  int crashes = 0;  // Under bad requests.
  int late_sends = 0;
  int refused_sound = 0;  // Sound requests refused because of a part.
  int sound = 0;
  size_t counted_before = 0;
  size_t counted_after = 0;
  double served_ratio = 1;  // Of sound requests with the bad ones' first part.
};

class Simulation {
 public:
  Simulation(const Scenario& scenario, uint64_t seed, Screen screen)
      : scenario_(scenario), screen_(screen), random_(seed) {
    routers_.resize(scenario.routers);
    for (size_t i = 0; i < routers_.size(); ++i) StartRouter(i);
    upstreams_.resize(scenario.upstreams);
    for (size_t i = 0; i < upstreams_.size(); ++i)
      upstreams_[i].id = "u" + std::to_string(i);
    Every(100ms, [this] { Tick(); });
    Every(1000ms, [this] { SendDigests(); });
    Repeat(Interval(scenario.requests_per_s), [this] { SendSound(); });
    if (scenario.bad_part != BadPart::kNone) {
      At(kTroubleStart, [this] {
        Repeat(Interval(scenario_.bad_requests_per_s), [this] { SendBad(); });
      });
    }
    At(kTroubleStart, [this] { CrashByOutage(); });
    Repeat(scenario.router_restarts, [this] {
      size_t n = Random(routers_.size());
      StartRouter(n);
      routers_[n].disturbed_until = std::max(now_, routers_[n].cut_until);
    });
    Repeat(scenario.cuts, [this] {
      Router& router = routers_[Random(routers_.size())];
      router.cut_until = now_ + 4000ms;
      router.disturbed_until = router.cut_until;
    });
  }

  Outcome Run() {
    while (!events_.empty() && events_.begin()->first <= kTroubleEnd) {
      auto node = events_.extract(events_.begin());
      now_ = node.key();
      node.mapped()();
    }
    Outcome out = outcome_;
    // The bound runs from the fifth crash, or from the last if there are fewer.
    if (crash_times_.empty()) return out;
    size_t last = std::min<size_t>(crash_times_.size(), kExcusedCrashes) - 1;
    MonotonicTime since = crash_times_[last] + 2 * kContactTime;
    size_t begun_before = 0;
    size_t begun_after = 0;
    for (const Counted& it : counted_) {
      if (it.arrived_at < kTroubleStart) {
        ++out.counted_before;
        begun_before += it.has_begun ? 1 : 0;
      } else if (it.arrived_at >= since) {
        ++out.counted_after;
        begun_after += it.has_begun ? 1 : 0;
      }
    }
    if (out.counted_before >= kMinCountedRequests &&
        out.counted_after >= kMinCountedRequests && begun_before > 0) {
      double before = static_cast<double>(begun_before) / out.counted_before;
      out.served_ratio =
          static_cast<double>(begun_after) / out.counted_after / before;
    }
    return out;
  }

 private:
  struct Request {
    uint64_t fingerprint = 0;
    std::vector<uint64_t> parts;
    uint64_t first_part = 0;
    bool is_bad = false;
    std::optional<size_t> counted;  // Index in counted_.
    size_t router = 0;
    int attempts = 0;
    bool is_suspect = false;
    std::optional<uint64_t> tested_part;
    bool is_sound = false;
    // The present attempt.
    bool sent_as_suspect = false;
    MonotonicTime sent_at{0};
    std::optional<MonotonicTime> began_at;
    size_t upstream = 0;
    int router_start = 0;
  };
  using RequestPtr = std::shared_ptr<Request>;

  struct Upstream {
    std::string id;
    int incarnation = 1;
    MonotonicTime down_until{0};
    std::vector<RequestPtr> running;
    std::vector<RequestPtr> queue;
  };
  struct Router {
    std::unique_ptr<CrashCorrelator> correlator;
    int starts = 0;
    MonotonicTime cut_until{0};
    MonotonicTime disturbed_until{0};
    std::map<size_t, int> in_flight;  // By upstream.
    std::set<size_t> known_down;      // Upstreams.
  };
  // A sound request with the first part of the bad ones.
  struct Counted {
    MonotonicTime arrived_at{0};
    bool has_begun = false;
  };

  static Milliseconds Interval(double per_s) {
    return Milliseconds(static_cast<int64_t>(1000 / per_s));
  }
  void At(MonotonicTime at, std::function<void()> action) {
    events_.emplace(at, std::move(action));
  }
  void Every(Milliseconds period, const std::function<void()>& action) {
    At(now_ + period, [this, period, action] {
      action();
      Every(period, action);
    });
  }
  void Repeat(Milliseconds mean, const std::function<void()>& action) {
    if (mean == 0ms) return;
    At(now_ + RandomTime(mean / 2, mean * 3 / 2 + 1ms), [this, mean, action] {
      action();
      Repeat(mean, action);
    });
  }
  size_t Random(size_t n) { return random_() % n; }
  Milliseconds RandomTime(Milliseconds low, Milliseconds high) {
    return low + Milliseconds(Random((high - low).count()));
  }

  void StartRouter(size_t n) {
    Router& router = routers_[n];
    router.correlator = std::make_unique<CrashCorrelator>(
        UpstreamRegistry::MaxDetectionTime(kHeartbeat),
        PromptPartScreen(n + 1, 10'000ms));
    router.correlator->prompt_part_screen().SetRouterCount(
        static_cast<int>(scenario_.routers), now_);
    ++router.starts;
    router.in_flight.clear();
  }
  bool IsCut(size_t n) const { return now_ < routers_[n].cut_until; }
  bool IsDisturbed(size_t n) const {
    return routers_[n].disturbed_until > 0ms &&
           now_ - routers_[n].disturbed_until <= kContactTime;
  }

  void Carry(size_t n, std::function<void()> action) {
    bool lost = static_cast<int>(Random(100)) < scenario_.datagram_loss_percent;
    if (lost || IsCut(n)) return;
    At(now_ + Milliseconds(1 + Random(5)),
       [this, n, starts = routers_[n].starts, action = std::move(action)] {
         if (!IsCut(n) && routers_[n].starts == starts) action();
       });
  }
  void Tick() {
    for (size_t n = 0; n < routers_.size(); ++n) {
      std::optional<MonotonicTime> reachable_since;
      if (!IsCut(n)) reachable_since = routers_[n].cut_until;
      routers_[n].correlator->RemoveExpired(now_, reachable_since);
      network_.SendReports(n);
    }
    for (Upstream& upstream : upstreams_) {
      for (const RequestPtr& it : upstream.running) {
        bool is_sound =
            !it->is_sound && it->began_at &&
            now_ - *it->began_at >= PromptPartScreen::kSoundExecutionTime;
        if (is_sound) RecordSound(*it);
      }
    }
  }
  void SendDigests() {
    for (size_t n = 0; n < routers_.size(); ++n) network_.SendDigest(n);
  }

  // The n-th part is requested in proportion to 1 / sqrt(n).
  uint64_t RandomFirstPart() {
    double x = static_cast<double>(Random(10'000)) / 10'000;
    auto n = static_cast<uint64_t>(x * x * kFirstParts);
    return kFirstPartBase + n;
  }
  bool IsBadFirstPart(uint64_t part) const {
    if (scenario_.bad_part == BadPart::kPopular)
      return now_ >= kTroubleStart && part == kFirstPartBase;
    return scenario_.bad_part == BadPart::kFirst && part >= kBadPartBase;
  }
  void SendSound() {
    uint64_t first = RandomFirstPart();
    bool shares_first_part =
        scenario_.bad_part == BadPart::kOwn && first == kFirstPartBase;
    auto request = MakeRequest({first}, IsBadFirstPart(first));
    if (shares_first_part) {
      request->counted = counted_.size();
      counted_.push_back({now_, false});
    }
    if (!request->is_bad) ++outcome_.sound;
    Admit(request);
  }
  void SendBad() {
    uint64_t bad = kBadPartBase + Random(scenario_.bad_parts);
    std::vector<uint64_t> parts = {kFirstPartBase, bad};
    if (scenario_.bad_part == BadPart::kAnyFirst) parts[0] = RandomFirstPart();
    if (scenario_.bad_part == BadPart::kFirst) parts = {bad};
    if (scenario_.bad_part == BadPart::kPopular) parts = {kFirstPartBase};
    Admit(MakeRequest(parts, true));
  }
  RequestPtr MakeRequest(std::vector<uint64_t> parts, bool is_bad) {
    auto out = std::make_shared<Request>();
    out->fingerprint = random_();
    out->parts = std::move(parts);
    out->first_part = out->parts.front();
    out->is_bad = is_bad;
    out->router = Random(routers_.size());
    out->router_start = routers_[out->router].starts;
    if (screen_ == Screen::kRequests) out->parts.clear();
    return out;
  }

  void Admit(const RequestPtr& request) {
    CrashCorrelator& correlator = *routers_[request->router].correlator;
    auto decision = correlator.CheckPromptParts(request->parts, now_);
    if (decision.action == PromptPartAction::kRefuse) {
      if (!request->is_bad) ++outcome_.refused_sound;
      return;
    }
    request->is_suspect = decision.action != PromptPartAction::kRun;
    if (decision.action == PromptPartAction::kTest) {
      request->tested_part = decision.part;
      correlator.prompt_part_screen().BeginTest(decision.part);
    }
    StartAttempt(request);
  }
  bool IsBlocked(const Request& request) {
    if (request.is_sound) return false;
    if (request.tested_part) return true;
    auto action = routers_[request.router]
                      .correlator->CheckPromptParts(request.parts, now_)
                      .action;
    return action == PromptPartAction::kTest ||
           action == PromptPartAction::kRefuse;
  }
  void End(const Request& request) {
    if (!request.tested_part ||
        routers_[request.router].starts != request.router_start) {
      return;
    }
    routers_[request.router].correlator->prompt_part_screen().EndTest(
        *request.tested_part, !request.is_sound, now_);
  }

  void StartAttempt(const RequestPtr& request) {
    Router& router = routers_[request->router];
    std::vector<size_t> candidates;
    for (size_t i = 0; i < upstreams_.size(); ++i)
      if (!router.known_down.contains(i)) candidates.push_back(i);
    if (request->is_suspect) {
      auto apart = candidates;
      std::erase_if(apart, [&](size_t i) {
        return router.correlator->HasActiveSuspect(upstreams_[i].id);
      });
      if (!apart.empty()) candidates = apart;
    }
    if (candidates.empty()) return End(*request);
    // The less loaded of two, as a router with a late view would choose.
    size_t a = candidates[Random(candidates.size())];
    size_t b = candidates[Random(candidates.size())];
    if (Load(b) < Load(a)) std::swap(a, b);
    Upstream& upstream = upstreams_[a];
    if (now_ < upstream.down_until) {
      router.known_down.insert(a);
      return StartAttempt(request);
    }
    ++request->attempts;
    request->is_bad = request->is_bad || IsBadFirstPart(request->first_part);
    request->upstream = a;
    request->sent_at = now_;
    request->began_at.reset();
    request->sent_as_suspect = false;
    if (request->is_suspect) {
      request->sent_as_suspect =
          !router.correlator->HasActiveSuspect(upstream.id);
      router.correlator->AddActiveSuspect(upstream.id);
    }
    if (request->is_bad && crash_times_.size() >= kExcusedCrashes &&
        now_ - crash_times_[kExcusedCrashes - 1] > kContactTime &&
        !IsDisturbed(request->router)) {
      ++outcome_.late_sends;
    }
    upstream.queue.push_back(request);
    StartQueued(a);
  }
  size_t Load(size_t i) const {
    return upstreams_[i].running.size() + upstreams_[i].queue.size();
  }
  void StartQueued(size_t i) {
    Upstream& upstream = upstreams_[i];
    while (!upstream.queue.empty() && upstream.running.size() < kSlots) {
      RequestPtr request = upstream.queue.front();
      upstream.queue.erase(upstream.queue.begin());
      upstream.running.push_back(request);
      // Its prompt is read before its answer begins.
      At(now_ + RandomTime(50ms, 200ms),
         [this, i, request, incarnation = upstream.incarnation] {
           if (upstreams_[i].incarnation == incarnation) Begin(i, request);
         });
    }
  }
  void Begin(size_t i, const RequestPtr& request) {
    request->began_at = now_;
    request->is_bad = request->is_bad || IsBadFirstPart(request->first_part);
    if (request->counted && request->attempts == 1)
      counted_[*request->counted].has_begun = true;
    Milliseconds duration =
        request->is_bad ? RandomTime(35ms, 125ms) : RandomTime(500ms, 2500ms);
    At(now_ + duration,
       [this, i, request, incarnation = upstreams_[i].incarnation] {
         if (upstreams_[i].incarnation != incarnation) return;
         if (!request->is_bad) return Complete(i, request);
         ++outcome_.crashes;
         crash_times_.push_back(now_);
         Crash(i);
       });
  }
  void Complete(size_t i, const RequestPtr& request) {
    std::erase(upstreams_[i].running, request);
    if (request->is_suspect) ReleaseSuspect(*request);
    RecordSound(*request);
    End(*request);
    StartQueued(i);
  }
  void ReleaseSuspect(const Request& request) {
    Router& router = routers_[request.router];
    if (router.starts == request.router_start)
      router.correlator->RemoveActiveSuspect(upstreams_[request.upstream].id);
  }
  void RecordSound(Request& request) {
    request.is_sound = true;
    Router& router = routers_[request.router];
    if (screen_ != Screen::kParts || router.starts != request.router_start)
      return;
    router.correlator->OnSoundExecution(request.parts, *request.began_at, now_);
  }

  void CrashByOutage() {
    auto n = static_cast<size_t>(scenario_.outage_share *
                                 static_cast<double>(upstreams_.size()));
    for (size_t i = 0; i < n; ++i) Crash(i);
  }
  void Crash(size_t i) {
    Upstream& upstream = upstreams_[i];
    UpstreamCrash crash{upstream.id, upstream.incarnation,
                        CrashEvidence::kRegistrationEnded};
    std::vector<RequestPtr> lost = std::move(upstream.running);
    lost.insert(lost.end(), upstream.queue.begin(), upstream.queue.end());
    upstream.running.clear();
    upstream.queue.clear();
    ++upstream.incarnation;
    upstream.down_until = now_ + RandomTime(3000ms, 6000ms);
    for (size_t n = 0; n < routers_.size(); ++n) {
      auto detected_at =
          now_ + (scenario_.has_agents
                      ? RandomTime(200ms, 500ms)
                      : RandomTime(2 * kHeartbeat, 4 * kHeartbeat));
      DetectCrash(n, std::max(detected_at, routers_[n].cut_until), i, crash);
      At(upstream.down_until + 500ms,
         [this, n, i] { routers_[n].known_down.erase(i); });
    }
    for (const RequestPtr& request : lost) {
      Router& router = routers_[request->router];
      if (router.starts != request->router_start) continue;
      // As in FleetRequest: the loss is recorded before the retry.
      std::optional<Milliseconds> responding;
      if (request->began_at) responding = now_ - *request->began_at;
      router.correlator->OnConnectionLost(
          {request->fingerprint, crash.id, request->sent_as_suspect,
           request->sent_at, request->parts, responding},
          now_);
      if (request->is_suspect) ReleaseSuspect(*request);
      At(now_ + 1ms, [this, request] {
        if (routers_[request->router].starts != request->router_start) return;
        if (request->attempts < kMaxAttempts && !IsBlocked(*request))
          return StartAttempt(request);
        End(*request);
      });
    }
  }
  void DetectCrash(size_t n, MonotonicTime at, size_t i,
                   const UpstreamCrash& crash) {
    At(at, [this, n, i, crash, starts = routers_[n].starts] {
      if (now_ < upstreams_[i].down_until) routers_[n].known_down.insert(i);
      if (routers_[n].starts == starts)
        routers_[n].correlator->OnUpstreamCrash(crash, now_);
    });
  }

  Scenario scenario_;
  Screen screen_;
  std::mt19937_64 random_;
  MonotonicTime now_{0};
  std::multimap<MonotonicTime, std::function<void()>> events_;
  std::vector<Router> routers_;
  CrashReportNetwork network_{
      kRelays,
      {scenario_.routers, [this] { return now_; },
       [this](size_t n) -> CrashCorrelator& { return *routers_[n].correlator; },
       [this](size_t n, std::function<void()> arrive) {
         Carry(n, std::move(arrive));
       }}};
  std::vector<Upstream> upstreams_;
  std::vector<Counted> counted_;
  std::vector<MonotonicTime> crash_times_;
  Outcome outcome_;
};

std::vector<Scenario> Scenarios() {
  return {
      {.name = "a part of its own beside a popular one"},
      {.name = "one router", .routers = 1},
      {.name = "36 routers",
       .routers = 36,
       .upstreams = 60,
       .requests_per_s = 300},
      {.name = "frequent bad requests", .bad_requests_per_s = 12},
      {.name = "rare bad requests", .bad_requests_per_s = 0.5},
      {.name = "beside any first part", .bad_part = BadPart::kAnyFirst},
      {.name = "a first part", .bad_part = BadPart::kFirst},
      {.name = "two bad parts", .bad_part = BadPart::kAnyFirst, .bad_parts = 2},
      {.name = "beside an outage", .outage_share = 0.5},
      {.name = "an outage alone",
       .bad_part = BadPart::kNone,
       .outage_share = 0.5},
      {.name = "routers restart", .router_restarts = 2000ms},
      {.name = "routers are cut off", .cuts = 3000ms},
      {.name = "datagrams are lost", .datagram_loss_percent = 20},
      {.name = "crashes show by registrations", .has_agents = false},
      {.name = "all together",
       .bad_parts = 2,
       .outage_share = 0.3,
       .router_restarts = 3000ms,
       .cuts = 4000ms,
       .datagram_loss_percent = 10},
  };
}

void CheckContainment(const Scenario& scenario, uint64_t seed) {
  CAPTURE(scenario.name, seed);
  Outcome outcome = Simulation(scenario, seed, Screen::kParts).Run();
  int allowed = kAllowedSends * static_cast<int>(scenario.bad_parts);
  CHECK(outcome.late_sends <= allowed);
  CHECK(outcome.served_ratio >= kMinServedRatio);
}

// Guards against parts of prompts that crash more upstreams than it takes to
// identify them, and against refusing the sound requests that share the other
// parts.
TEST_CASE("parts of prompts that crash upstreams are contained by all routers",
          "[parts]") {
  for (const Scenario& scenario : Scenarios()) {
    for (uint64_t seed = 1; seed <= 5; ++seed) CheckContainment(scenario, seed);
  }
}

// Guards against blocking popular parts when many upstreams crash at once for
// another reason.
TEST_CASE("an outage of half of the upstreams blocks few requests", "[parts]") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    Scenario scenario{.name = "an outage alone",
                      .bad_part = BadPart::kNone,
                      .outage_share = 0.5};
    Outcome outcome = Simulation(scenario, seed, Screen::kParts).Run();
    CHECK(outcome.refused_sound <= outcome.sound / 100);
  }
}

// Hidden: run by hand only.
TEST_CASE("parts of prompts that crash upstreams are contained, many seeds",
          "[.long-parts]") {
  for (const Scenario& scenario : Scenarios()) {
    for (uint64_t seed = 1; seed <= 200; ++seed)
      CheckContainment(scenario, seed);
  }
}

// Hidden: run by hand only.
TEST_CASE("a popular part that turns bad is contained", "[.popular-part]") {
  for (uint64_t seed = 1; seed <= 40; ++seed)
    CheckContainment(
        {.name = "a popular part turns bad", .bad_part = BadPart::kPopular},
        seed);
}

// Hidden: prints the means of the outcomes of three seeds.
TEST_CASE("comparison of screens for parts of prompts", "[.report-parts]") {
  auto scenarios = Scenarios();
  scenarios.push_back({.name = "340 routers",
                       .routers = 340,
                       .upstreams = 600,
                       .requests_per_s = 1000,
                       .bad_requests_per_s = 10});
  scenarios.push_back(
      {.name = "a popular part turns bad", .bad_part = BadPart::kPopular});
  std::cout << "scenario | screen | crashes | worst | late sends | worst | "
               "sound refused % | served ratio, least\n";
  for (const Scenario& scenario : scenarios) {
    const std::pair<const char*, Screen> screens[] = {
        {"parts", Screen::kParts},
        {"crashes only", Screen::kCrashesOnly},
        {"requests", Screen::kRequests}};
    for (const auto& [name, screen] : screens) {
      Outcome sum;
      int worst_crashes = 0;
      int worst_sends = 0;
      double least_ratio = 1;
      int runs = scenario.routers > 100 ? 1 : 3;
      for (int seed = 1; seed <= runs; ++seed) {
        Outcome it = Simulation(scenario, seed, screen).Run();
        sum.crashes += it.crashes;
        sum.late_sends += it.late_sends;
        sum.refused_sound += it.refused_sound;
        sum.sound += it.sound;
        worst_crashes = std::max(worst_crashes, it.crashes);
        worst_sends = std::max(worst_sends, it.late_sends);
        least_ratio = std::min(least_ratio, it.served_ratio);
      }
      std::cout << scenario.name << " | " << name << " | " << std::fixed
                << std::setprecision(1)
                << static_cast<double>(sum.crashes) / runs << " | "
                << worst_crashes << " | "
                << static_cast<double>(sum.late_sends) / runs << " | "
                << worst_sends << " | " << std::setprecision(2)
                << 100.0 * sum.refused_sound / sum.sound << " | " << least_ratio
                << std::endl;
    }
  }
}

}  // namespace
}  // namespace primrosecove
