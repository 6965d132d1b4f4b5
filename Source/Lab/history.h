// Judges the promises to callers from recorded histories alone.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace primrosecove {

/// What callers recorded and what engines and services recorded.
struct History {
  std::vector<nlohmann::json> callers;
  std::vector<nlohmann::json> upstreams;
  std::set<std::string>
      fingerprints;  ///< Of whole accepted weights; empty for any.
};

/// Counts of outcomes, and every broken promise in words.
struct Verdict {
  uint64_t requests = 0;  ///< Distinct requests, whatever their sends.
  uint64_t answered = 0;
  uint64_t not_run = 0;  ///< Sends that were told "not run".
  uint64_t unknown = 0;
  uint64_t refused = 0;  ///< Connections refused by a router that has stopped.
  uint64_t lost = 0;     ///< Sends without a whole answer.
  uint64_t wrong = 0;    ///< Answers that are partial, mixed or another's.
  uint64_t doubled = 0;  ///< Requests that must run once and ran more often.
  uint64_t ran_after_not_run = 0;
  std::vector<std::string> broken;
};

/// Judges a history. Thread safe.
Verdict CheckHistory(const History& history);

}  // namespace primrosecove
