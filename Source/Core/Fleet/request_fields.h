// What is said about a request beside its method, path and body.
#pragma once

#include <optional>
#include <string>

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// What a caller says about its request.
struct CallerFields {
  std::string request_id;
  std::optional<Milliseconds> deadline;  ///< How long the caller will wait.
  std::optional<std::string> key;        ///< Of its workspace.
  std::string model;
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  std::optional<int64_t> expected_output_tokens;  ///< The caller's estimate.
  std::optional<uint64_t> last_event_id;          ///< Resumes after this event.
};

/// What the system says to the upstream that a request is sent to.
struct UpstreamFields {
  Milliseconds deadline{0};  ///< What is left of the caller's wait.
  std::string upstream_id;   ///< Any other upstream must refuse.
  std::string workspace;     ///< Empty for requests without a key.
  std::optional<uint64_t> weights_version;  ///< Others must refuse.
  std::optional<uint64_t> last_event_id;
};

/// An upstream's load as it tells it with an answer.
struct UpstreamLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

/// What an upstream says beside an answer.
struct ResponseFields {
  bool not_executed = false;  ///< The request didn't and won't run there.
  bool is_signed = false;     ///< The upstream vouches for the answer.
  std::optional<UpstreamLoad> load;
  std::optional<uint64_t> weights_version;
};

}  // namespace primrosecove
