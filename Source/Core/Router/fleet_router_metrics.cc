// The metrics of a FleetRouter.
#include <string>

#include "Core/Router/fleet_router.h"

namespace primrosecove {

void FleetRouter::AddMetrics() {
  struct Row {
    const char* name;
    const char* help;
    uint64_t FleetCounters::*member;
  };
  static constexpr Row kRows[] = {
      {"requests_total", "Requests that arrived", &FleetCounters::requests},
      {"answered_total", "Requests answered by an upstream",
       &FleetCounters::responded},
      {"sent_total", "Requests sent to an upstream, without retries",
       &FleetCounters::sent},
      {"refused_total", "Requests refused as not run", &FleetCounters::refused},
      {"denied_total", "Requests without a route or key",
       &FleetCounters::denied},
      {"failed_total", "Requests whose outcome is unknown",
       &FleetCounters::failed},
      {"broken_off_total", "Streams that were broken off",
       &FleetCounters::aborted},
      {"callers_gone_total", "Callers that left before their answer",
       &FleetCounters::caller_disconnects},
      {"repeats_total", "Requests sent once more", &FleetCounters::retries},
      {"resumed_total", "Streams that went on elsewhere",
       &FleetCounters::resumed_streams},
      {"second_attempts_total",
       "Requests sent to a second upstream beside a silent one",
       &FleetCounters::second_attempts},
      {"crash_sightings_total",
       "Requests and prompt parts that were running at a crash",
       &FleetCounters::crash_observations},
      {"losses_before_response_total",
       "Lost attempts whose response had not begun",
       &FleetCounters::losses_before_response},
      {"suspects_sent_total", "Suspects of a crash sent to an upstream",
       &FleetCounters::suspects_sent},
      {"suspects_refused_total",
       "Requests refused because they crash upstreams",
       &FleetCounters::suspects_refused},
      {"responses_dropped_total", "Responses ended to free memory",
       &FleetCounters::responses_dropped},
      {"rests_asked_total", "Refusals by which upstreams ask for rest",
       &FleetCounters::rests_asked},
      {"prompt_part_tests_total",
       "Requests sent to test a blocked part of their prompt",
       &FleetCounters::prompt_part_tests},
      {"prompt_parts_refused_total",
       "Requests refused because a part of their prompt crashes upstreams",
       &FleetCounters::prompt_parts_refused},
      {"explanations_total", "Placements explained to operators",
       &FleetCounters::explanations},
  };
  for (const Row& row : kRows) {
    metrics_.AddCounter(
        std::string("primrosecove_router_") + row.name, row.help, {},
        [this, row] {
          return static_cast<double>(state_.counters.*row.member);
        });
  }
  AddCandidateMetrics();
  AddCrashMetrics();
  AddRateLimitMetrics();
  metrics_.AddCounter("primrosecove_router_upstream_silences_total",
                      "Times that an upstream fell silent", {}, [this] {
                        return static_cast<double>(state_.registry.silences());
                      });
  metrics_.AddCounter(
      "primrosecove_router_malformed_loads_total",
      "Responses of upstreams that state a load that can't be used", {},
      [this] {
        return static_cast<double>(state_.registry.malformed_loads());
      });
  AddConnectionMetrics();
  metrics_.AddGauge(
      "primrosecove_router_held_response_bytes",
      "Bytes of responses that requests in progress hold", {},
      [this] { return static_cast<double>(held_response_bytes()); });
  metrics_.AddCounter(
      "primrosecove_router_store_restores_total",
      "Times that the store was found to be restored from a copy", {},
      [this] { return static_cast<double>(store_restores()); });
  metrics_.AddCounter(
      "primrosecove_router_store_backlogs_total",
      "Times that the store held changes beyond those of its last response", {},
      [this] { return static_cast<double>(store_backlogs()); });
  metrics_.AddGauge(
      "primrosecove_router_config_version",
      "Version of the configuration in force", {}, [this] {
        return state_.routes == nullptr
                   ? 0.0
                   : static_cast<double>(state_.routes->config().version);
      });
  metrics_.AddGauge(
      "primrosecove_router_config_age_seconds",
      "Time since the store last proved that configuration the newest", {},
      [this] {
        auto age = state_.freshness.Age(BootNow());
        return age ? static_cast<double>(age->count()) / 1000 : -1.0;
      });
  state_.response_seconds =
      metrics_.AddHistogram("primrosecove_router_answer_seconds",
                            "From a request's arrival to its end");
  state_.first_event_seconds =
      metrics_.AddHistogram("primrosecove_router_first_event_seconds",
                            "From a request's arrival to its first event");
}

void FleetRouter::AddCandidateMetrics() {
  for (size_t i = 0; i < kExclusionReasons; ++i) {
    auto reason = static_cast<ExclusionReason>(i);
    metrics_.AddCounter(
        "primrosecove_router_excluded_upstreams_total",
        "Upstreams left out of a choice, by the first reason",
        {{"reason", std::string(NameOf(reason))}}, [this, i] {
          return static_cast<double>(state_.counters.exclusions[i]);
        });
  }
  metrics_.AddGauge(
      "primrosecove_router_evacuated_zones",
      "Zones whose upstreams get no requests", {}, [this] {
        return static_cast<double>(state_.evacuations.Count(state_.Now()));
      });
}

void FleetRouter::AddCrashMetrics() {
  struct Row {
    const char* name;
    const char* help;
    uint64_t CrashCounters::*member;
  };
  static constexpr Row kRows[] = {
      {"upstream_crashes_total", "Detected crashes of upstreams",
       &CrashCounters::crashes},
      {"lost_connections_total", "Attempts that ended without a response",
       &CrashCounters::lost_connections},
      {"uncorrelated_losses_total", "Lost connections without a known crash",
       &CrashCounters::uncorrelated_losses},
      {"reported_losses_total", "Lost attempts that other routers reported",
       &CrashCounters::reported_losses},
      {"repeated_crash_observations_total", "Observations known already",
       &CrashCounters::repeated_observations},
  };
  for (const Row& row : kRows) {
    metrics_.AddCounter(std::string("primrosecove_router_") + row.name,
                        row.help, {}, [this, row] {
                          return static_cast<double>(
                              state_.crash_correlator.counters().*row.member);
                        });
  }
  metrics_.AddGauge(
      "primrosecove_router_crash_observations",
      "Crash observations known to this router", {}, [this] {
        return static_cast<double>(state_.crash_correlator.table().size());
      });
}

void FleetRouter::AddRateLimitMetrics() {
  struct Row {
    const char* name;
    const char* help;
    uint64_t RateLimitCounters::*member;
  };
  static constexpr Row kRows[] = {
      {"rate_limit_changes_total", "Changes of upstreams' rate limits",
       &RateLimitCounters::changes},
      {"rate_limited_sends_total", "Requests sent to rate-limited upstreams",
       &RateLimitCounters::sends},
      {"rate_limit_skips_total",
       "Choices that left out an upstream at its rate limit",
       &RateLimitCounters::skips},
      {"rate_limit_ends_total", "Rate limits that ended or were forgotten",
       &RateLimitCounters::ends},
      {"sends_after_rate_limit_end_total",
       "Requests sent in the seconds after the end of a rate limit",
       &RateLimitCounters::sends_after_end},
  };
  for (const Row& row : kRows) {
    metrics_.AddCounter(
        std::string("primrosecove_router_") + row.name, row.help, {},
        [this, row] {
          return static_cast<double>(state_.rate_limits.counters().*row.member);
        });
  }
  metrics_.AddGauge("primrosecove_router_resting_upstreams",
                    "Upstreams that rest or have just rested", {}, [this] {
                      return static_cast<double>(state_.rests.size());
                    });
  metrics_.AddCounter(
      "primrosecove_router_relay_changes_total",
      "Changes of the agents that this router reports to", {},
      [this] { return static_cast<double>(relay_choice_.changes()); });
  metrics_.AddGauge("primrosecove_router_rate_limited_upstreams",
                    "Upstreams with a rate limit", {}, [this] {
                      return static_cast<double>(state_.rate_limits.size());
                    });
}

void FleetRouter::AddConnectionMetrics() {
  struct Row {
    const char* name;
    const char* help;
    uint64_t Http1ServerCounters::*member;
  };
  static constexpr Row kRows[] = {
      {"idle_connections_closed_total",
       "Connections of callers closed because they were idle",
       &Http1ServerCounters::idle_closed},
      {"connections_closed_with_unread_total",
       "Connections of callers closed with bytes unread or dropped",
       &Http1ServerCounters::closed_with_unread},
      {"dropped_bytes_total",
       "Bytes of callers read on closing connections and dropped",
       &Http1ServerCounters::dropped_bytes},
      {"connections_refused_total", "Connections of callers beyond the limit",
       &Http1ServerCounters::refused_connections},
      {"connections_replaced_total",
       "Idle connections of callers closed in favour of new ones",
       &Http1ServerCounters::replaced_connections},
  };
  for (const Row& row : kRows) {
    metrics_.AddCounter(
        std::string("primrosecove_router_") + row.name, row.help, {},
        [this, row] {
          return caller_server_ == nullptr
                     ? 0.0
                     : static_cast<double>(caller_server_->counters().*
                                           row.member);
        });
  }
  metrics_.AddGauge(
      "primrosecove_router_connections", "Open connections of callers", {},
      [this] {
        return caller_server_ == nullptr
                   ? 0.0
                   : static_cast<double>(caller_server_->connections());
      });
}

}  // namespace primrosecove
