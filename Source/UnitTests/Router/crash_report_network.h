// Carries crash reports between simulated routers and relays, for tests without
// network.
#pragma once

#include <cstddef>
#include <functional>
#include <utility>
#include <vector>

#include "Core/Membership/crash_exchange.h"
#include "Core/Router/crash_correlator.h"

namespace primrosecove {

/// The relays, and what routers and relays send each other. Not thread safe.
class CrashReportNetwork {
 public:
  /// What the simulation provides.
  struct Host {
    size_t routers = 0;
    std::function<MonotonicTime()> now;
    std::function<CrashCorrelator&(size_t router)> correlator;
    /// Runs `arrive` after the time that a datagram between this router and a
    /// relay takes, or never.
    std::function<void(size_t router, std::function<void()> arrive)> carry;
  };

  CrashReportNetwork(size_t relays, Host host)
      : host_(std::move(host)), relays_(relays) {}

  /// Sends what a router has observed since the last call to all relays.
  void SendReports(size_t router) {
    CrashCorrelator& correlator = host_.correlator(router);
    for (auto& it : MakeCrashReports(correlator.PopNewObservations(),
                                     host_.now().count())) {
      SendToRelays(router, it);
    }
    for (auto& it : correlator.PopNewLosses(host_.now()))
      SendToRelays(router, it);
  }
  void SendDigest(size_t router) {
    uint64_t digest =
        host_.correlator(router).table().Digest(host_.now().count());
    SendToRelays(router, CrashDigest{digest, false});
  }
  void RestartRelay(size_t relay) { relays_[relay] = CrashRelay(); }
  size_t relays() const { return relays_.size(); }

 private:
  void SendToRelays(size_t router, const FleetMessage& message) {
    for (size_t relay = 0; relay < relays_.size(); ++relay)
      SendToRelay(router, relay, message);
  }
  void SendToRelay(size_t router, size_t relay, const FleetMessage& message) {
    host_.carry(router, [this, router, relay, message] {
      int64_t now_ms = host_.now().count();
      if (const auto* report = std::get_if<CrashReport>(&message)) {
        for (auto& it : relays_[relay].OnReport(*report, now_ms))
          Forward(router, relay, it);
      } else if (std::holds_alternative<LossReport>(message)) {
        Forward(router, relay, message);
      } else if (const auto* digest = std::get_if<CrashDigest>(&message)) {
        for (auto& it : relays_[relay].OnDigest(*digest, now_ms))
          SendToRouter(router, relay, it);
      }
    });
  }
  // Carries a message from a relay to all routers but its sender.
  void Forward(size_t sender, size_t relay, const FleetMessage& message) {
    for (size_t n = 0; n < host_.routers; ++n)
      if (n != sender) SendToRouter(n, relay, message);
  }
  void SendToRouter(size_t router, size_t relay, const FleetMessage& message) {
    host_.carry(router, [this, router, relay, message] {
      CrashCorrelator& correlator = host_.correlator(router);
      MonotonicTime now = host_.now();
      if (const auto* report = std::get_if<CrashReport>(&message)) {
        for (const auto& it : ReadCrashReport(*report, now.count()))
          correlator.AddRemoteObservation(it, now);
      } else if (const auto* losses = std::get_if<LossReport>(&message)) {
        correlator.AddRemoteLosses(*losses, now);
      } else if (const auto* digest = std::get_if<CrashDigest>(&message)) {
        for (const auto& it :
             AnswerCrashDigest(correlator.table(), *digest, now.count()))
          SendToRelay(router, relay, it);
      }
    });
  }

  Host host_;
  std::vector<CrashRelay> relays_;
};

}  // namespace primrosecove
