// What requests of each priority, and of each workspace, ask of one service.
#pragma once

#include <iterator>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "Core/Fleet/decaying_sum.h"
#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// A priority of a service's requests in the queues of its upstreams, which
/// admit the more urgent first.
struct PriorityClass {
  int priority = 0;                ///< 0 is served first.
  Milliseconds latency_target{0};  ///< The shortest of its routes; 0: none.
  /// Share of the service's time that more urgent requests use.
  double more_urgent_share = 0;
  /// Share of the waiting requests that are served before a new one of this
  /// priority.
  double ahead_share = 1;
};

/// Measures the demand for one service from the requests of this router. A
/// restart loses it; it is rebuilt within seconds. Used where callers of
/// several priorities, or of uneven workspaces, compete for too few slots. Not
/// thread safe; callers pass the time since the process's start.
class PriorityDemand {
 public:
  /// Sets the priorities that the configuration knows for the service, with
  /// their shortest latency targets. What was measured is kept.
  void SetTargets(const std::map<int, Milliseconds>& targets);
  /// Records that a request is sent which is expected to use an upstream's slot
  /// for `time`.
  void OnSent(int priority, const std::string& workspace, Milliseconds time,
              Milliseconds now);
  /// Records that a request is refused because no upstream has room.
  void OnRefused(int priority, Milliseconds now);

  /// Returns the class of each priority, the most urgent first. Until requests
  /// were sent, all priorities count as equal.
  std::vector<PriorityClass> Classes(Milliseconds now) const;
  /// Returns the factor by which the expected wait of a workspace's requests is
  /// weighed, at least 1: under refusals at its priority, that of workspaces
  /// which have used more than an equal share of the service's time grows.
  double WorkspaceFactor(int priority, const std::string& workspace,
                         Milliseconds now) const;
  /// Forgets workspaces without recent requests.
  void RemoveExpired(Milliseconds now);
  /// Returns the number of more urgent priorities.
  size_t RankOf(int priority) const {
    return static_cast<size_t>(std::distance(
        by_priority_.begin(), by_priority_.lower_bound(priority)));
  }
  bool Knows(int priority) const { return by_priority_.contains(priority); }
  /// Returns how many priorities the service knows.
  size_t size() const { return by_priority_.size(); }

 private:
  struct Demand {
    Milliseconds latency_target{0};
    DecayingSum sent_ms;
    DecayingSum sent;
    DecayingSum refused;
    std::map<std::string, DecayingSum> by_workspace_ms;
  };

  std::map<int, Demand> by_priority_;
};

/// Returns the class of a priority. Precondition: it is one of `classes`.
const PriorityClass& FindClass(std::span<const PriorityClass> classes,
                               int priority);

}  // namespace primrosecove
