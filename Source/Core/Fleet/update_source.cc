#include "Core/Fleet/update_source.h"

#include <tuple>
#include <utility>

#include "Core/Common/digest.h"

namespace primrosecove {
namespace {

// A router that has not read the store for longer may lack changes that others
// know.
constexpr uint32_t kMaxStoreAgeMs = 3000;
// A request or its response may be lost. While members change all the time, the
// deployment is requested at this interval.
constexpr Milliseconds kRequestInterval{200};

}  // namespace

UpdateSource::UpdateSource(std::string self, std::string zone)
    : self_(std::move(self)), zone_(std::move(zone)) {}

bool UpdateSource::OnDigest(const Endpoint& router,
                            const DeploymentDigest& announced, SteadyTime now) {
  routers_[router] = {announced.zone, announced.store_age_ms <= kMaxStoreAgeMs,
                      now};
  RemoveSilent(now);
  bool wanted = Preferred() == router && held_digest_ != announced.digest &&
                now - requested_at_ >= kRequestInterval;
  if (wanted) requested_at_ = now;
  return wanted;
}

void UpdateSource::OnUpdate(const Endpoint& router, uint64_t digest,
                            SteadyTime now) {
  Router& it = routers_[router];
  it.heard_at = now;
  held_digest_ = digest;
}

void UpdateSource::RemoveSilent(SteadyTime now) {
  std::erase_if(routers_, [now](const auto& it) {
    return now - it.second.heard_at > kRouterTimeout;
  });
}

bool UpdateSource::IsRemote(const Endpoint& router) const {
  auto it = routers_.find(router);
  return it != routers_.end() && !it->second.zone.empty() &&
         it->second.zone != zone_;
}

std::optional<Endpoint> UpdateSource::Preferred() const {
  using Rank = std::tuple<bool, bool, uint64_t>;
  std::optional<Endpoint> out;
  Rank best;
  for (const auto& [endpoint, it] : routers_) {
    Rank rank{it.has_fresh_store, it.zone == zone_,
              RendezvousScore(self_, endpoint.ToString())};
    if (out && rank <= best) continue;
    out = endpoint;
    best = rank;
  }
  return out;
}

}  // namespace primrosecove
