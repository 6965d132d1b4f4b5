// Metadata that travels with requests and responses beside method, path and
// body.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// Metadata of a request from a caller.
struct CallerFields {
  std::string request_id;
  std::optional<Milliseconds> deadline;  ///< How long the caller will wait.
  std::optional<std::string> key;        ///< Key of its workspace.
  std::string model;
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  std::optional<int64_t> expected_output_tokens;  ///< The caller's estimate.
  std::optional<uint64_t> last_event_id;          ///< Resume after this event.
  /// Ids of the parts of the prompt that other requests may share, in order,
  /// without repeats; at most kMaxPromptParts.
  std::vector<std::string> prompt_parts;
  /// The list of parts has entries that were left out: without an id, or beyond
  /// kMaxPromptParts.
  bool has_unusable_prompt_parts = false;

  static constexpr size_t kMaxPromptParts = 16;
};

/// Metadata of a request that a router sends to an upstream.
struct UpstreamFields {
  Milliseconds deadline{0};  ///< Remaining time that the caller will wait.
  std::string upstream_id;   ///< Any other upstream must refuse the request.
  std::string workspace;     ///< Empty for requests without a key.
  /// Rank of the request at the upstream, 0 first, at most kMaxPriority. Empty:
  /// the upstream's default.
  std::optional<int> priority;
  /// An engine that serves another version must refuse the request.
  std::optional<uint64_t> weights_version;
  std::optional<uint64_t> last_event_id;

  static constexpr int kMaxPriority = 9;
};

/// Load of an upstream as stated in its responses.
struct UpstreamLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  /// Time that work takes on its host at this moment, 100 as usual; empty if
  /// not stated.
  std::optional<int> slowdown_percent;
};

/// Whether an HTTP status says that a request succeeded. Thread safe.
inline bool IsSuccess(int status) { return status >= 200 && status < 300; }

/// Metadata of a response from an upstream.
struct ResponseFields {
  bool not_executed = false;  ///< The upstream did not and will not run it.
  /// The process that answered is not the one that the request was for, or
  /// serves other weights than it asked for. Implies not_executed.
  bool is_misdirected = false;
  bool is_signed = false;   ///< The upstream vouches for the response.
  bool is_success = false;  ///< The upstream ran it with success (2xx).
  std::optional<UpstreamLoad> load;
  /// A load is present, but has too few figures or one that is not a number.
  bool has_malformed_load = false;
  std::optional<uint64_t> weights_version;
  /// Requests per second that the upstream takes from all routers together.
  std::optional<double> rate_limit;
  /// A rate limit is present, but is not a single non-negative number.
  bool has_malformed_rate_limit = false;
  /// For how long the upstream wants no request from this router, as stated by
  /// a response with which it turns one away; at most kMaxRest.
  std::optional<Milliseconds> rest;
  /// A statement of a rest has an unusable value, or is longer than kMaxRest.
  bool has_malformed_rest = false;
  bool is_leaving = false;  ///< The upstream's process is about to end.
  /// How much longer the upstream stays cold; empty if not stated.
  std::optional<Milliseconds> cold_start_remaining;

  static constexpr Milliseconds kMaxRest{3'600'000};
};

}  // namespace primrosecove
