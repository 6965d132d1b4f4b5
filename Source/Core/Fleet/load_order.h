// Decides when the agent beside an engine orders it to load weights.
#pragma once

#include <string>

#include "Core/Fleet/deployment.h"
#include "Core/Fleet/fleet_messages.h"

namespace primrosecove {

/// What the decision rests on.
struct LoadSituation {
  uint64_t target_version = 0;
  uint64_t whole_version = 0;  ///< What the engine serves; 0 for nothing.
  bool loading = false;
  bool copy_complete = false;
  Milliseconds named_age{0};      ///< Since the version was named.
  Milliseconds version_bound{0};  ///< By when all must serve it.
  Milliseconds warm_up{0};
  double turn = 0;  ///< This engine's place among all, 0 to 1.
};

/// Whether to stage, verify and order now. An engine that serves nothing is
/// ordered at once; the others take turns as far as the bound leaves time, so
/// that not all are out at the same moment. Thread safe.
bool ShouldLoad(const LoadSituation& situation);

/// This member's place in the order of swaps, 0 to 1, equal in every process.
/// Thread safe.
double SwapTurn(const FleetNotice& notice, const std::string& self);

}  // namespace primrosecove
