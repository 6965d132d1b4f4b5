// A simulation without network of routers that share the rate limit of one
// upstream by way of relays. Routers restart, are cut off from the relays or
// suspended, know different agents, their clocks are stepped, datagrams are
// lost, the upstream's registration lapses, it falls silent, and its responses
// lack the limit.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "Core/Fleet/relay_choice.h"
#include "Core/Fleet/upstream_rate_limits.h"
#include "Core/Fleet/upstream_registry.h"
#include "Core/Membership/rate_limit_relay.h"

namespace primrosecove {

enum class RateLimitDemand { kEven, kOneRouter, kUneven, kBursts, kPauses };

// Whether a router knows an agent and exchanges datagrams with it at a time.
using KnowsAgent = bool (*)(size_t router, size_t agent, MonotonicTime now);

struct RateLimitScenario {
  const char* name;
  size_t routers;
  double limit;             // Requests per second.
  double demand_per_limit;  // Requests for the upstream over its limit.
  RateLimitDemand demand = RateLimitDemand::kEven;
  Milliseconds restarts{0};  // Mean time between; 0: none.
  Milliseconds cuts{0};
  Milliseconds suspensions{0};
  Milliseconds relay_restarts{0};
  Milliseconds lapses{0};  // Of the upstream's registration.
  Milliseconds lapse_time{1500};
  // Entries of another writer that give the upstream a later start time, until
  // it writes its own again.
  Milliseconds foreign_entries{0};
  Milliseconds silences{0};    // Of the upstream, for a second and a half.
  Milliseconds clock_step{0};  // Of each third router, for some seconds.
  // The registration has no start time, and the status with it arrives this
  // long after the registration.
  std::optional<Milliseconds> status_delay;
  int datagram_loss_percent = 1;
  int missing_limit_percent = 0;  // Of the responses while there is a limit.
  double limit_change = 0;        // Each response states up to this share less.
  double min_use = 0;             // Of the limit, while there is demand.
  // Agents that routers may use as relays; `knows` is empty if all know all.
  size_t agents = RelayChoice::kRelays;
  KnowsAgent knows = nullptr;
  // Agents that start in the middle of the run. Their ids are the first ones.
  size_t late_agents = 0;
};

// One run of a scenario. The bound holds from kContactTime after the upstream
// has first stated its limit. A router that was disturbed within this time is
// excused.
class RateLimitSimulation {
 public:
  static constexpr Milliseconds kContactTime{3000};
  static constexpr Milliseconds kWindow{4000};

  RateLimitSimulation(const RateLimitScenario& scenario, uint64_t seed);
  void Run();

  // Returns the largest number of arrivals in a window that begins while the
  // limit holds, from routers that were not disturbed.
  size_t MostArrivals() const;
  // Returns the most arrivals that the bound allows in a window.
  double AllowedArrivals() const;
  // Returns the arrivals over what the limit allows, from the contact time on.
  double Use() const;
  // Returns the share of the requests at routers that were not disturbed that
  // are sent after the limit has ended and its end may have become known.
  double ShareSentAfterEnd() const;

 private:
  struct Router {
    std::unique_ptr<UpstreamRegistry> registry;
    std::unique_ptr<UpstreamRateLimits> limits;
    RelayChoice relay_choice;
    MonotonicTime disturbed_until{-60'000};
    MonotonicTime cut_until{0};
    MonotonicTime suspended_until{0};
    int waiting = 0;  // Requests that arrived while suspended.
  };
  struct Attempt {
    size_t router = 0;
    MonotonicTime sent_at{0};
    int64_t start_time_ms = 0;  // Of the upstream, as its router knew it.
  };

  void At(MonotonicTime at, std::function<void()> action);
  void Repeat(Milliseconds mean, const std::function<void()>& action);
  void ScheduleDisturbances();
  size_t Random(size_t n) { return random_() % n; }
  Milliseconds RandomTime(int64_t below_ms);
  void StartRouter(size_t n);
  size_t Disturb(size_t n, Milliseconds duration);
  bool IsUp(size_t n) const { return now_ >= routers_[n].suspended_until; }
  bool IsLimited() const;
  int64_t UnixMs(size_t n) const;
  bool Knows(size_t n, size_t agent) const;
  // Updates what a router knows of the agents.
  void UpdateView(size_t n);
  // Registers the upstream at a router, or ends its registration.
  void Register(size_t n);
  void WriteEntry(size_t n, int64_t start_time_ms);
  void Unregister(size_t n);
  void LapseRegistration();
  void WriteForeignEntry();
  void Silence();
  // Carries a datagram between a router and a relay.
  void Carry(size_t n, std::function<void()> action);
  void SendSummary(size_t n, size_t relay, const RateLimitSummary& summary);
  void ReportNow(size_t n);
  void SendReports(size_t n);
  void Announce(size_t relay);
  void Tick(size_t n);
  void UpdateLimits(size_t n);
  double RequestsPerSecond() const;
  void ScheduleRequest();
  size_t ChooseRouter();
  void Receive(size_t n);
  void Arrive(const Attempt& attempt);
  void Count(const Attempt& attempt);

  RateLimitScenario scenario_;
  std::mt19937_64 random_;
  MonotonicTime now_{0};
  std::multimap<MonotonicTime, std::function<void()>> events_;
  std::vector<Router> routers_;
  std::vector<RateLimitRelay> relays_;
  MonotonicTime silent_until_{0};
  std::optional<MonotonicTime> first_stated_at_;
  std::deque<MonotonicTime> counted_;  // Arrivals that the bound covers.
  int requests_after_end_ = 0;
  int sent_after_end_ = 0;
};

}  // namespace primrosecove
