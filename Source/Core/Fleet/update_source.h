// Chooses the router from which an agent requests the deployment.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Core/Fleet/fleet_messages.h"
#include "Core/Net/event_loop.h"

namespace primrosecove {

/// Routers announce the digest of the deployment that they know, and an agent
/// requests the deployment from one router alone, in its own zone if there is
/// one, when that router's digest differs from what the agent has. So a list of
/// all members enters a zone only through the store. Agents choose different
/// routers by rendezvous hash. A router that falls silent or has not read the
/// store for some seconds is replaced by the next in rank. Not thread safe; the
/// caller supplies the time.
class UpdateSource {
 public:
  /// A router that has been silent for this long is gone.
  static constexpr Milliseconds kRouterTimeout{3500};

  /// `self` is this agent's address, `zone` its zone.
  UpdateSource(std::string self, std::string zone);
  /// Records an announcement; returns whether the deployment is to be requested
  /// from that router now.
  bool OnDigest(const Endpoint& router, const DeploymentDigest& announced,
                SteadyTime now);
  /// Records that a deployment with that digest arrived from the router.
  void OnUpdate(const Endpoint& router, uint64_t digest, SteadyTime now);
  /// Removes routers that have been silent for too long.
  void RemoveSilent(SteadyTime now);
  /// Whether the router is in another zone.
  bool IsRemote(const Endpoint& router) const;
  bool Knows(const Endpoint& router) const { return routers_.contains(router); }

 private:
  struct Router {
    std::string zone;
    bool has_fresh_store = true;
    SteadyTime heard_at{};
  };

  std::optional<Endpoint> Preferred() const;

  std::string self_;
  std::string zone_;
  std::map<Endpoint, Router> routers_;
  std::optional<uint64_t> held_digest_;
  SteadyTime requested_at_{};
};

}  // namespace primrosecove
