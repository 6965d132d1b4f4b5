// Decides when an agent orders its engine to load new weights.
#pragma once

#include <optional>
#include <string>

#include "Core/Fleet/deployment.h"
#include "Core/Fleet/fleet_messages.h"

namespace primrosecove {

/// Input of the decision.
struct ReloadState {
  uint64_t target_version = 0;
  uint64_t served_version = 0;  ///< Version that the engine serves; 0 for none.
  bool loading = false;
  bool idle = false;  ///< No request runs or waits at the engine.
  bool copy_complete = false;
  Milliseconds target_age{0};     ///< Since the target version was set.
  Milliseconds version_bound{0};  ///< Age by which all engines must serve it.
  Milliseconds copy_complete_age{0};  ///< Age when the copy was complete.
  /// Age from which on routers send no requests to the version that the engine
  /// serves, because of a version between that one and the target.
  std::optional<Milliseconds> served_until_age;
  double reload_slot = 0;  ///< Position in the reload schedule, 0 to 1.
};

/// An incomplete copy at the moment when a newer version is set.
struct IncompleteCopy {
  double held_share = 0;          ///< Of its chunks, 0 to 1.
  Milliseconds elapsed{0};        ///< Since its transfer started.
  Milliseconds target_age{0};     ///< Since its version was set.
  Milliseconds newer_age{0};      ///< Since the newer version was set.
  Milliseconds version_bound{0};  ///< Age by which all engines must serve it.
};

/// Returns the time that the rest of a copy is expected to take at the rate so
/// far, or nothing if it holds nothing yet. Thread safe.
std::optional<Milliseconds> TimeToFinish(const IncompleteCopy& copy);

/// Whether to finish a copy although a newer version is set. If it is dropped,
/// all engines reload between the completion of the newer copy and the bound of
/// the older version. If it is finished, they reload twice, each time with more
/// time. It is finished if the shorter of these times is more than twice the
/// time that dropping leaves. Thread safe.
bool ShouldFinishCopy(const IncompleteCopy& copy);

/// Returns the age of the target version at which its engine is to be ordered
/// to load it. Thread safe.
Milliseconds PlannedReloadAge(const ReloadState& state);

/// Returns how long a complete copy usually takes after its version was set,
/// over links of that rate; 0 bytes a second means unlimited links. Thread
/// safe.
Milliseconds TypicalCopyTime(double copy_bytes, double link_bytes_per_second);

/// Whether to stage, verify and order the load now. An engine that serves
/// nothing or is idle is ordered at once. The others are spread by their reload
/// slots between the completion of their copy and the time when routers stop
/// using older weights: an engine accepts no requests until its running ones
/// have ended, and callers lose less when only some engines are out at a time.
/// Thread safe.
bool ShouldReload(const ReloadState& state);

/// Returns the reload slot of member `self`, 0 to 1; the same in every process.
/// Thread safe.
double ReloadSlot(const DeploymentUpdate& update, const std::string& self);

}  // namespace primrosecove
