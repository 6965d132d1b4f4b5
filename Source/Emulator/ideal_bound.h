// The most that any policy could earn on the same arrivals.
#pragma once

#include <span>

#include "Emulator/scenario.h"
#include "Emulator/traffic.h"

namespace primrosecove {

/// A bound on credit over what is owed, for a planner that knows all arrivals.
/// It treats the engines as one that may interrupt requests at will and share
/// them out in fractions, works at the rate of full batches, and needs each
/// request's engine time between its arrival and the last moment at which its
/// answer could still be in time (its target, and one pass of the engine an
/// event); what does not fit may be done late, up to its caller's patience.
/// Requests are taken in the order of worth for engine time, each as far as the
/// earlier choices leave room; with those relaxations that order is the best
/// one. Versions' swaps are left out. Thread safe.
double IdealWorth(const Scenario& scenario, std::span<const Arrival> arrivals);

}  // namespace primrosecove
