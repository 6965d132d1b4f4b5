// Where a request would go at a given moment, and why.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Core/Common/error.h"
#include "Core/Fleet/placement_question.h"
#include "Core/Router/fleet_state.h"

namespace primrosecove {

/// The decisions of one router about a request that it does not send.
struct PlacementExplanation {
  struct Upstream {
    std::string id;
    std::string zone;
    /// Why the upstream may not get the request; empty for a candidate. The
    /// other fields are set for candidates.
    std::string exclusion;
    Milliseconds wait{0};  ///< Expected in its queue.
    int load = 0;
    int slots = 0;
    std::optional<Milliseconds> load_age;  ///< Empty: no load was reported.
  };
  struct RetryAfter {
    Milliseconds min{0};
    Milliseconds max{0};  ///< Callers are spread up to here.
  };

  /// Empty if the request has none, or was rejected before it was found.
  std::string route;
  std::string service;
  std::string workspace;
  int priority = 0;
  Milliseconds latency_target{0};
  Milliseconds caller_wait{0};  ///< In earlier attempts of the same caller.
  std::vector<Upstream> upstreams;
  std::string chosen;  ///< Id of the upstream; empty for a refusal.
  Milliseconds chosen_wait{0};
  /// Of the refusal or denial.
  int status = 0;
  std::string why;
  std::optional<RetryAfter> retry_after;
};

/// Explains what `state`'s router would do with a request now. Nothing that a
/// request depends on changes, and nothing is logged. Whether the request, or a
/// part of its prompt, has crashed upstreams is not considered, because that
/// depends on its body. Use it on the loop's thread only.
PlacementExplanation ExplainPlacement(FleetState* state,
                                      const PlacementQuestion& question);

/// Returns an explanation as lines of text. Thread safe.
std::string RenderExplanation(const PlacementExplanation& explanation);

}  // namespace primrosecove
