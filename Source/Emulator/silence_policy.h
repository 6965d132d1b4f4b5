// What an emulated router does with the attempts of an engine that sends
// nothing.
#pragma once

#include <memory>
#include <string_view>

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// An attempt without a final response, as its router sees it.
struct SilentAttempt {
  /// Since the engine last sent data on any connection of this router, or since
  /// the attempt was sent, whichever is later.
  Milliseconds engine_silence{0};
  Milliseconds own_silence{0};  ///< Since the attempt last got data.
  bool agent_reports_silence = false;
  int sent = 1;                   ///< Attempts at engines so far.
  bool response_started = false;  ///< The caller has received events.
};

/// Strategy for attempts at silent engines. Thread safe.
class SilencePolicy {
 public:
  enum class Action {
    kWait,
    kReplace,  ///< Abandon the attempt if another engine takes the request.
    kReplaceOrFail,  ///< The same; without another engine the request fails.
    kAddSecond,      ///< Send to an engine with free slots beside the first.
  };

  virtual ~SilencePolicy() = default;
  virtual Action Check(const SilentAttempt& attempt) const = 0;
  /// Returns whether an engine gets new requests after `silence` with requests
  /// of this router in flight.
  virtual bool GetsNewRequests(Milliseconds silence) const = 0;
  /// Whether attempts are checked at all.
  virtual bool is_active() const { return true; }
};

/// Creates a policy. "none": attempts stay. "abandon": they are abandoned and
/// sent again once. "stay": silence stops new requests, attempts stay.
/// "second-900" and "second-2000": as "stay", with a second attempt beside the
/// first after so many milliseconds. Returns null for an unknown name.
std::unique_ptr<SilencePolicy> MakeSilencePolicy(std::string_view name);

}  // namespace primrosecove
