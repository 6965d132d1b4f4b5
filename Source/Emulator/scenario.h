// What an experiment plays: a deployment, its callers, and what happens to
// both.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Core/Common/error.h"
#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// A size that varies: log-normal with this mean and coefficient of variation,
/// cut at `most`.
struct SizeSpread {
  double mean = 1;
  double variation = 0;
  double most = 0;  ///< 0: no bound.
};

/// One kind of request.
struct RequestClass {
  std::string name;
  double per_second = 1;  ///< At full traffic, over all zones.
  SizeSpread prompt;      ///< Tokens.
  SizeSpread events;      ///< Of an answer.
  Milliseconds target{400};
  Milliseconds pause{400};
  Milliseconds patience{6000};  ///< Callers leave without an answer.
  double worth = 1;
  double late_worth = 0;
  int returns = 1;  ///< Times that a refused caller comes back.
};

/// One place with routers, engines and callers.
struct EmulatedZone {
  std::string name;
  std::string region;
  int routers = 1;
  int engines = 1;
  double share = 1;  ///< Of all callers; the zones' shares are weighed.
};

/// A stretch of traffic: from `at_s` on, `factor` times the full traffic.
struct TrafficStep {
  double at_s = 0;
  double factor = 1;
};

/// Something that happens once.
struct Incident {
  enum class Kind {
    kBurst,    ///< `factor` times the traffic, of one class if it is named.
    kShift,    ///< `share` of a zone's callers go to the next zone.
    kLeave,    ///< `share` of the callers leave after half their target.
    kCrash,    ///< `share` of the engines are down.
    kSlow,     ///< `share` of the engines take `factor` times as long.
    kJoin,     ///< `share` more engines come, empty.
    kVersion,  ///< New weights are named; each engine copies and loads them.
    kDrain,    ///< `share` of the engines leave for good.
  };
  Kind kind = Kind::kBurst;
  double at_s = 0;
  double for_s = 5;
  double share = 0.2;
  double factor = 1.5;
  std::string request_class;  ///< Empty: all.
};

/// One experiment.
struct Scenario {
  std::string name;
  double seconds = 30;
  EngineProfile engine;
  int engine_queue = 32;
  double copy_ms = 4000;  ///< From an engine's start, or a name, to a copy.
  double warm_up_ms = 300;
  double version_bound_ms = 8000;
  double zone_delay_ms = 0.5;  ///< One way, between zones of a region.
  double region_delay_ms = 1;  ///< One way, between regions.
  double caller_delay_ms = 1;  ///< One way, between callers and routers.
  double report_interval_ms = 100;
  int tokens_per_event = 5;
  int workspaces = 10;
  std::vector<EmulatedZone> zones;
  std::vector<RequestClass> classes;
  std::vector<TrafficStep> traffic;
  std::vector<Incident> incidents;

  /// Reads a scenario; the error names file and line. Thread safe.
  static Result<Scenario> Parse(const std::string& file,
                                const std::string& text);
  /// Reads a scenario's file. Thread safe.
  static Result<Scenario> Load(const std::string& path);
  /// Engine time of all requests at full traffic and full batches, over the
  /// engines' time.
  double FullLoad() const;
};

/// Engine time of one request in a full batch, milliseconds: reading its
/// prompt, and its tokens' share of the steps.
double EngineMs(const EngineProfile& engine, double prompt_tokens,
                double answer_tokens);

}  // namespace primrosecove
