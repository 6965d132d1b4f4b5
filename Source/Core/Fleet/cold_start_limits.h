// Limits the requests that cold upstreams get from all routers together.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Core/Fleet/deployment.h"
#include "Core/Fleet/router_count.h"
#include "Core/Fleet/upstream_registry.h"
#include "Core/Fleet/zone_evacuations.h"

namespace primrosecove {

/// Limits requests when many routers send to an upstream that has just started,
/// or has become cold again, because it is idle: it would crash. Each router
/// keeps to an equal share of what the upstream tolerates, so that the sum
/// holds without communication, also between routers that have lost the store.
/// Not thread safe; callers pass the time since the process's start.
class ColdStartLimits {
 public:
  /// Assumed until agents have reported the number of routers: that of the
  /// largest deployment this is designed for.
  static constexpr int kUnknownRouters = 340;
  /// How long a send counts. Any second counts at the upstream; a request may
  /// be written a little later than it is placed.
  static constexpr Milliseconds kWindow{1100};
  /// After the first report of the number of routers, agents that have just
  /// started may still report fewer for this long.
  static constexpr Milliseconds kReportSettleTime{2000};

  /// A process that was replaced by this one may have sent requests until just
  /// before `started_at`. `router_id` differs between routers.
  ColdStartLimits(const FleetBounds& bounds, uint64_t router_id,
                  Milliseconds started_at);

  void SetBounds(const FleetBounds& bounds);
  /// Records the number of routers that an agent reports.
  void SetRouterCount(int routers, Milliseconds now);
  /// Returns whether an upstream of a service with a cold-start rate is not
  /// known to be warm. `unix_ms` is the wall clock.
  static bool MayBeCold(const FleetUpstream& upstream,
                        const FleetService& service,
                        const ZoneEvacuations& evacuations, Milliseconds now,
                        int64_t unix_ms);
  /// Removes the upstreams to which this router may not send now. Returns the
  /// time until it may send to one of them, or nothing if none was removed.
  std::optional<Milliseconds> RemoveLimited(
      std::vector<FleetUpstream*>* candidates, const FleetService& service,
      const ZoneEvacuations& evacuations, Milliseconds now,
      int64_t unix_ms) const;
  /// Records that a request is sent.
  void OnSent(const FleetUpstream& upstream, const FleetService& service,
              Milliseconds now);
  /// Forgets what no longer counts.
  void RemoveExpired(Milliseconds now);

 private:
  // This router's part of a rate of requests: `requests` in any kWindow. With
  // less than one request a second, it is one request in every `turns`th second
  // of the wall clock; the turns of the routers are spread over these seconds.
  struct Share {
    size_t requests = 0;  // 0: not limited.
    int64_t turns = 1;
  };
  Share ShareOf(double per_second, Milliseconds now) const;
  Share LimitOf(const FleetService& service, bool may_be_cold,
                Milliseconds now) const;
  bool KnowsRouterCount(Milliseconds now) const {
    return first_report_at_ && now - *first_report_at_ >= kReportSettleTime;
  }
  Milliseconds TimeToTurn(const std::string& upstream_id, int64_t turns,
                          int64_t unix_ms) const;
  Milliseconds TimeToSend(const std::string& upstream_id, const Share& share,
                          Milliseconds now, int64_t unix_ms) const;

  RouterCount routers_;
  std::optional<Milliseconds> first_report_at_;
  double overage_ = 1;
  double slack_ = 0;
  uint64_t router_id_;
  Milliseconds started_at_;
  std::map<std::string, std::deque<Milliseconds>> sends_;  // By upstream.
};

}  // namespace primrosecove
