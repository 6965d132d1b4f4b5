// Chooses the agents that keep and forward what routers report to each other,
// because routers have no addresses of each other.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Core/Fleet/upstream_registry.h"

namespace primrosecove {

/// The relays of one router. Routers that use different relays do not hear of
/// each other. Not thread safe; callers pass the time since the process's
/// start.
class RelayChoice {
 public:
  /// Relays of one router; more than one of them may be down or unreachable.
  static constexpr size_t kRelays = 4;

  /// Chooses among the agents that have sent a status lately, and logs a change
  /// of the choice.
  void Update(const UpstreamRegistry& registry, MonotonicTime now);
  /// IP addresses of the relays.
  const std::vector<std::string>& relays() const { return relays_; }
  /// How often the choice has changed.
  uint64_t changes() const { return changes_; }

 private:
  std::vector<std::string> relays_;
  uint64_t changes_ = 0;
};

}  // namespace primrosecove
