// Input of an experiment: a deployment, its traffic, and the incidents that
// affect them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Core/Common/error.h"
#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// Log-normal distribution of a size, with its mean and coefficient of
/// variation; larger values are cut to `upper_limit`.
struct SizeDistribution {
  double mean = 1;
  double variation = 0;
  double upper_limit = 0;  ///< 0: no limit.
};

/// A class of requests with equal objectives.
struct RequestClass {
  std::string name;
  double per_second = 1;            ///< At traffic factor 1, over all zones.
  SizeDistribution prompt;          ///< Tokens.
  SizeDistribution events;          ///< Of a response.
  Milliseconds target{400};         ///< Latency objective of the first event.
  Milliseconds max_event_gap{400};  ///< Accepted gap between events.
  Milliseconds patience{6000};      ///< Callers without an event abandon then.
  double utility = 1;       ///< Of a response in time, at the mean size.
  double late_utility = 0;  ///< Of a late response, at the mean size.
  int max_retries = 1;      ///< After refusals.
};

/// A failure domain with routers, engines and callers.
struct EmulatedZone {
  std::string name;
  std::string region;
  int routers = 1;
  int engines = 1;
  double share = 1;  ///< Relative weight of this zone's callers.
};

/// Traffic level from `at_s` on: `factor` times the classes' rates.
struct TrafficStep {
  double at_s = 0;
  double factor = 1;
};

/// A single event that changes traffic, engines or weights.
struct Incident {
  enum class Kind {
    kBurst,       ///< `factor` times the traffic, of `request_class` if given.
    kShift,       ///< `share` of the first zone's callers move to the second.
    kAbandon,     ///< `share` of the callers abandon after half their target.
    kCrash,       ///< `share` of the engines are down.
    kSlow,        ///< `share` of the engines take `factor` times as long.
    kJoin,        ///< `share` more engines start, without weights.
    kNewVersion,  ///< The target version increases; engines copy and reload.
    kDrain,       ///< `share` of the engines drain permanently.
    kRateLimit,   ///< `share` of the engines take `factor` requests/s.
    kStall,       ///< `share` of the engines stand still and go on.
  };
  /// What the agent of a stalled engine does.
  enum class StalledAgent {
    kStandsStill,     ///< Sends no status.
    kReportsSilence,  ///< Reports soon that its engine does not respond.
  };
  Kind kind = Kind::kBurst;
  double at_s = 0;
  double duration_s = 5;
  double share = 0.2;
  double factor = 1.5;
  std::string request_class;  ///< Empty: all classes.
  StalledAgent stalled_agent = StalledAgent::kStandsStill;
};

/// Parts of the model that are replaced by an ideal, to measure what each of
/// them costs.
struct Idealizations {
  bool constant_service_time = false;  ///< As before the first stall.
  bool exact_loads = false;            ///< Routers know each engine's load.
  bool no_ejections = false;
  bool no_retry_budget = false;
  bool no_returns = false;           ///< Refused callers don't retry.
  bool avoids_stale_status = false;  ///< Engines without a recent status get
                                     ///< no new requests.
  bool late_work_last = false;       ///< Engines admit requests in time first.
  bool drops_late_work =
      false;  ///< Engines drop waiting requests that are late.
  bool resumed_need_room = false;  ///< Resumed streams go to free slots only.
  bool pauses_accepted = false;    ///< A pause does not make a response late.
};

/// A deployment, its traffic and its incidents.
struct Scenario {
  std::string name;
  double seconds = 30;
  EngineProfile engine;
  int engine_queue = 32;
  double copy_ms = 4000;  ///< From an engine's start or a new target version to
                          ///< a complete copy.
  double warm_up_ms = 300;
  double version_bound_ms = 8000;
  double zone_delay_ms = 0.5;  ///< One way, between zones of a region.
  double region_delay_ms = 1;  ///< One way, between regions.
  double caller_delay_ms = 1;  ///< One way, between callers and routers.
  double status_interval_ms = 100;
  int tokens_per_event = 5;
  int workspaces = 10;
  /// Name of the routers' SilencePolicy.
  std::string silence_policy = "none";
  Idealizations ideal;
  std::vector<EmulatedZone> zones;
  std::vector<RequestClass> classes;
  std::vector<TrafficStep> traffic;
  std::vector<Incident> incidents;

  /// Parses a scenario. Fails with kInvalidArgument; the message contains file
  /// and line. Thread safe.
  static Result<Scenario> Parse(const std::string& file,
                                const std::string& text);
  /// Reads and parses a file. Fails with kNotFound if it can't be read, else as
  /// Parse(). Thread safe.
  static Result<Scenario> Load(const std::string& path);
  /// Demanded over available engine time at the highest traffic step, with full
  /// batches.
  double PeakLoad() const;
};

/// Engine time of one request in a full batch, milliseconds: the prefill of its
/// prompt, and the share of its tokens in the decode steps.
double EngineTimeMs(const EngineProfile& engine, double prompt_tokens,
                    double output_tokens);

}  // namespace primrosecove
