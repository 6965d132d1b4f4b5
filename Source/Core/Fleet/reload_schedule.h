// Decides when the agent beside an engine orders it to load weights.
#pragma once

#include <string>

#include "Core/Fleet/deployment.h"
#include "Core/Fleet/fleet_messages.h"

namespace primrosecove {

/// What the decision rests on.
struct ReloadState {
  uint64_t target_version = 0;
  uint64_t served_version = 0;  ///< What the engine serves; 0 for nothing.
  bool loading = false;
  bool idle = false;  ///< No request runs or waits there.
  bool copy_complete = false;
  Milliseconds target_age{0};         ///< Since the version was named.
  Milliseconds version_bound{0};      ///< By when all must serve it.
  Milliseconds copy_complete_age{0};  ///< Its value when the copy was complete.
  double reload_slot = 0;  ///< This engine's place among all, 0 to 1.
};

/// The age of the version's name at which its engine is to be ordered. Thread
/// safe.
Milliseconds PlannedReloadAge(const ReloadState& situation);

/// How long a whole copy usually takes from its name on, over links of that
/// rate; 0 bytes a second means that links don't limit. Thread safe.
Milliseconds TypicalCopyTime(double copy_bytes, double link_bytes_per_second);

/// Whether to stage, verify and order now. An engine that serves nothing, or
/// nobody, is ordered at once. The others take turns between the completion of
/// their copy and the time at which routers stop using older weights: an engine
/// is out until its running requests have ended, and callers lose less when
/// only some are out at a time. Thread safe.
bool ShouldReload(const ReloadState& situation);

/// This member's place in the order of swaps, 0 to 1, equal in every process.
/// Thread safe.
double ReloadSlot(const DeploymentUpdate& notice, const std::string& self);

}  // namespace primrosecove
