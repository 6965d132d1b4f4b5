// The upstreams that may get a request, and why the others may not.
#pragma once

#include <algorithm>
#include <array>
#include <concepts>
#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Core/Fleet/upstream_registry.h"

namespace primrosecove {

/// Why an upstream may not get a request. The order is the one in which the
/// reasons are checked.
enum class ExclusionReason {
  kRegion,         ///< The route or the workspace does not allow its region.
  kEvacuation,     ///< Its zone is evacuated.
  kFailing,        ///< It fails or is silent, and others are sound.
  kTried,          ///< An earlier attempt of the request was sent to it.
  kSilent,         ///< It does not respond at present.
  kWeights,        ///< It does not serve the weights that the request needs.
  kActiveSuspect,  ///< It runs another request suspected of crashing upstreams.
  kRest,           ///< It has asked for rest.
  kRateLimit,      ///< This router's share of its rate limit is used up.
  kColdStart,      ///< This router's share of its cold-start rate is used up.
};
inline constexpr size_t kExclusionReasons = 10;

/// Returns the name of a reason in logs and metrics. Thread safe.
std::string_view NameOf(ExclusionReason reason);

/// The candidates of one placement. Reasons are applied one after another; an
/// upstream counts for the first one that excludes it. Not thread safe.
class CandidateSet {
 public:
  explicit CandidateSet(std::vector<FleetUpstream*> upstreams)
      : upstreams_(std::move(upstreams)) {}

  /// Excludes the upstreams for which `is_excluded` returns true.
  template <std::predicate<const FleetUpstream&> F>
  void Exclude(ExclusionReason reason, F is_excluded) {
    ExcludeWith(reason, [&](std::vector<FleetUpstream*>* upstreams) {
      std::erase_if(*upstreams,
                    [&](const FleetUpstream* it) { return is_excluded(*it); });
    });
  }

  /// Excludes upstreams for a limited time: `remove` takes the vector of
  /// candidates, removes some of them, and returns the time until one of those
  /// may get a request, or nothing if it removed none.
  template <typename F>
  void ExcludeForTime(ExclusionReason reason, F remove) {
    std::optional<Milliseconds> time;
    ExcludeWith(reason, [&](auto* it) { time = remove(it); });
    if (time)
      time_to_request_ = std::min(time_to_request_.value_or(*time), *time);
  }

  /// Excludes upstreams: `remove` takes the vector of candidates and removes
  /// some of them.
  template <typename F>
  void ExcludeWith(ExclusionReason reason, F remove) {
    size_t before = upstreams_.size();
    std::vector<FleetUpstream*> all;
    if (records_reasons_) all = upstreams_;
    remove(&upstreams_);
    excluded_[static_cast<size_t>(reason)] += before - upstreams_.size();
    if (records_reasons_) RecordReason(reason, all);
  }

  /// Records from now on for each upstream which reason excludes it. Requests
  /// do without, because it takes a copy of the candidates for each reason.
  void RecordReasons() { records_reasons_ = true; }
  /// Returns the recorded reason that excludes an upstream, or nothing.
  std::optional<ExclusionReason> ReasonFor(const FleetUpstream& upstream) const;

  std::span<FleetUpstream* const> upstreams() const { return upstreams_; }
  bool empty() const { return upstreams_.empty(); }
  size_t excluded(ExclusionReason reason) const {
    return excluded_[static_cast<size_t>(reason)];
  }
  /// Returns the time until an upstream that is excluded for a limited time may
  /// get a request, or nothing if there is none.
  std::optional<Milliseconds> time_to_request() const {
    return time_to_request_;
  }
  /// Returns the reason that excluded the last candidates, or nothing if there
  /// are candidates left or never were any.
  std::optional<ExclusionReason> LastReason() const;
  /// Returns the reasons with the number of upstreams, such as "region=3
  /// rest=1", or "-" for none.
  std::string Summary() const;

 private:
  // Records the reason for those of `before` that are candidates no longer.
  void RecordReason(ExclusionReason reason,
                    std::span<FleetUpstream* const> before);

  std::vector<FleetUpstream*> upstreams_;
  bool records_reasons_ = false;
  std::map<const FleetUpstream*, ExclusionReason> reasons_;
  std::array<size_t, kExclusionReasons> excluded_{};
  std::optional<Milliseconds> time_to_request_;
};

}  // namespace primrosecove
