// When an upstream may go out of service to change versions, decided by itself.
#pragma once

#include <string_view>

#include "Core/Membership/host_view.h"
#include "Core/Rollout/placement.h"

namespace primrosecove {

/// Why an upstream may not change versions yet.
enum class SwapVerdict {
  kGo,    ///< It may go out of service now.
  kWait,  ///< Enough of those before it in the order are not yet known to serve
          ///< the target.
  kFailed,   ///< Upstreams before it could not load the target; the rollout is
             ///< stopped.
  kNotOurs,  ///< The model is not assigned to this upstream.
};

/// Says whether `self` may stop serving to change to the target of `placed`.
///
/// Upstreams change in the placement's order. One at position p may go when p
/// minus the number of those before it known to serve the target is below
/// `max_unavailable`. Serving the target is a fact that only its owner states
/// and that stays true, so a late view can only make an upstream wait. Of any
/// set of upstreams that are out at once the last in the order saw all the
/// others as not yet serving, so the set has at most `max_unavailable` members.
/// A dead one counts as out until the view drops it from the placement. Thread
/// safe.
SwapVerdict MaySwap(const ModelPlacement& placed, std::string_view self,
                    const HostView& view);

/// Upstreams of `placed` that are known to serve the target and take work.
size_t CountServing(const ModelPlacement& placed, const HostView& view);

}  // namespace primrosecove
