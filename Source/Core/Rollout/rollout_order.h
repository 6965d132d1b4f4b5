// Decides when an upstream may stop serving to reload; each upstream decides
// for itself.
#pragma once

#include <string_view>

#include "Core/Membership/host_view.h"
#include "Core/Rollout/placement.h"

namespace primrosecove {

/// Whether an upstream may reload now.
enum class ReloadVerdict {
  kAllowed,  ///< It may stop serving now.
  kWait,  ///< Too many upstreams before it in the order are not known to serve
          ///< the target.
  kFailed,  ///< Upstreams before it could not load the target; the rollout is
            ///< stopped.
  kNotAssigned,  ///< The model is not assigned to this upstream.
};

/// Decides whether `self` may stop serving to load the target of `placed`.
///
/// Upstreams reload in the order of the placement. The upstream at position p
/// may reload when p minus the number of upstreams before it that are known to
/// serve the target is below `max_unavailable`. Only an upstream itself
/// announces that it serves the target, and this stays true, so a stale view
/// can only delay an upstream. Of any set of upstreams that are out of service
/// at once, the last in the order saw all others as not yet serving, so the set
/// has at most `max_unavailable` members. A dead upstream counts as out of
/// service until the view removes it from the placement. Thread safe.
ReloadVerdict CheckReload(const ModelPlacement& placed, std::string_view self,
                          const HostView& view);

/// Number of upstreams of `placed` that are known to serve the target and
/// accept work.
size_t CountServing(const ModelPlacement& placed, const HostView& view);

}  // namespace primrosecove
