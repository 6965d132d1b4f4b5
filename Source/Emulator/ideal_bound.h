// Upper bound of the utility that any placement policy can earn.
#pragma once

#include <span>

#include "Emulator/scenario.h"
#include "Emulator/traffic.h"

namespace primrosecove {

/// Upper bound of earned over offered utility, for a scheduler that knows all
/// arrivals in advance. The engines are relaxed to one preemptive resource that
/// works at the rate of full batches and can serve a fraction of a request.
/// Each request needs its engine time between its arrival and the latest time
/// at which its response can complete and still be in time: its target plus,
/// for each event, the lesser of the accepted gap and the longest batch
/// iteration. Work that does not fit may be done late, up to the caller's
/// patience. Requests are admitted greedily by utility per engine time, each as
/// far as the capacity left by earlier ones allows; under these relaxations
/// that order is optimal. Weight reloads are not modelled, and requests that an
/// incident makes their caller abandon are not counted. Returns 1 if there are
/// no other requests. Thread safe.
double IdealUtility(const Scenario& scenario,
                    std::span<const Arrival> arrivals);

}  // namespace primrosecove
