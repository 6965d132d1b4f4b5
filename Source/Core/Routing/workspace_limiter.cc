#include "Core/Routing/workspace_limiter.h"

#include <algorithm>

namespace primrosecove {
namespace {

// Capacity of the token bucket, in seconds of the rate.
constexpr double kBurstSeconds = 2;
// Minimum share of a limit, so that every router can serve at least one request
// of every workspace.
constexpr double kMinShare = 1;
constexpr Milliseconds kRetryAfterWhenFull{1000};

}  // namespace

void WorkspaceLimiter::Configure(const std::vector<Workspace>& workspaces,
                                 size_t routers) {
  auto n = static_cast<double>(std::max<size_t>(1, routers));
  std::map<std::string, State, std::less<>> next;
  for (const Workspace& it : workspaces) {
    auto old = states_.find(it.name);
    State state = old == states_.end() ? State() : old->second;
    bool is_new = old == states_.end();
    state.limits = it;
    state.in_flight_share = std::max(kMinShare, it.requests_in_flight / n);
    state.tokens_share = std::max(kMinShare, it.tokens_in_flight / n);
    double rate = it.requests_per_second / n;
    double burst = std::max(kMinShare, rate * kBurstSeconds);
    if (is_new) {
      state.rate = TokenBucket(rate, burst);
    } else {
      state.rate.SetRate(rate, burst);
    }
    next.emplace(it.name, std::move(state));
  }
  states_ = std::move(next);
}

AdmissionDecision WorkspaceLimiter::Admit(std::string_view workspace,
                                          uint32_t tokens, SteadyTime now) {
  auto it = states_.find(workspace);
  if (it == states_.end())
    return {false, "unknown workspace", kRetryAfterWhenFull};
  State& state = it->second;
  if (state.in_flight + 1 > state.in_flight_share) {
    return {false, "too many requests of the workspace are running",
            kRetryAfterWhenFull};
  }
  // A single request may exceed the share if nothing else is in flight; else it
  // could never run.
  bool exceeds =
      static_cast<double>(state.tokens + tokens) > state.tokens_share;
  if (exceeds && state.in_flight > 0) {
    return {false, "too many tokens of the workspace are running",
            kRetryAfterWhenFull};
  }
  if (!state.rate.TryTake(1, now)) {
    return {false, "the workspace's request rate is exceeded",
            state.rate.Wait(1, now)};
  }
  ++state.in_flight;
  state.tokens += tokens;
  return {true, {}, {}};
}

void WorkspaceLimiter::OnEnded(std::string_view workspace, uint32_t tokens) {
  auto it = states_.find(workspace);
  if (it == states_.end()) return;
  it->second.in_flight -= std::min<uint32_t>(1, it->second.in_flight);
  it->second.tokens -= std::min<uint64_t>(tokens, it->second.tokens);
}

}  // namespace primrosecove
