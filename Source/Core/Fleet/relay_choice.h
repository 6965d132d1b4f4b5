// Chooses the agents that keep and forward what routers report to each other,
// because routers have no addresses of each other.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Core/Fleet/upstream_registry.h"

namespace primrosecove {

/// The relays of one router. Routers without a common relay do not hear of each
/// other, so a router chooses agents that other routers are likely to know as
/// well, and joins those that others have chosen. Not thread safe; callers pass
/// the time since the process's start.
class RelayChoice {
 public:
  /// Agents that a router chooses; more than one of them may be down or
  /// unreachable.
  static constexpr size_t kRelays = 4;
  /// Relays that a router joins. After a loss of power, each router has chosen
  /// others at first; all join the same of them.
  static constexpr size_t kMaxJoined = 8;
  /// How long a joined relay is used after its last message. A relay sends one
  /// each half second.
  static constexpr Milliseconds kJoinedLifetime{2000};

  struct Relay {
    std::string ip;
    bool is_chosen = false;  ///< By this router; else joined.
    bool operator==(const Relay&) const = default;
  };

  /// Chooses among the agents that have sent a status lately, drops joined
  /// relays that are silent, and logs a change. Returns whether the relays have
  /// changed.
  bool Update(const UpstreamRegistry& registry, MonotonicTime now);
  /// Records a message that an agent sends only while routers have chosen it as
  /// their relay.
  void OnRelayMessage(const std::string& ip, MonotonicTime now);
  const std::vector<Relay>& relays() const { return relays_; }
  /// How often the relays have changed.
  uint64_t changes() const { return changes_; }

 private:
  std::map<std::string, MonotonicTime> heard_at_;  // Relays, by IP address.
  std::vector<Relay> relays_;
  uint64_t changes_ = 0;
};

}  // namespace primrosecove
