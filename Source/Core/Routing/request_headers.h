// Header fields of requests and responses between callers, routers, agents and
// engines.
#pragma once

#include <string>
#include <string_view>

namespace primrosecove {

// Between callers and routers.
inline constexpr std::string_view kWorkspaceHeader = "X-Workspace";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view kTimeoutHeader = "X-Request-Timeout-Ms";
inline constexpr std::string_view kOutcomeHeader = "X-Primrosecove-Outcome";
inline constexpr std::string_view kRetryAfterHeader = "Retry-After";

// Between routers and agents.
inline constexpr std::string_view kRequestIdHeader = "X-Primrosecove-Request";
inline constexpr std::string_view kAuthHeader = "X-Primrosecove-Auth";
inline constexpr std::string_view kManifestHeader = "X-Primrosecove-Manifest";
inline constexpr std::string_view kAdapterHeader = "X-Primrosecove-Adapter";
inline constexpr std::string_view kExecuteOnceIdHeader = "X-Primrosecove-Once";
inline constexpr std::string_view kHasIdempotencyKeyHeader =
    "X-Primrosecove-Keyed";
inline constexpr std::string_view kDeadlineHeader =
    "X-Primrosecove-Deadline-Ms";
inline constexpr std::string_view kPriorityHeader = "X-Primrosecove-Priority";
inline constexpr std::string_view kLoadHeader = "X-Primrosecove-Load";

inline constexpr std::string_view kFingerprintHeader =
    "X-Primrosecove-Fingerprint";
inline constexpr std::string_view kConnectionLostHeader =
    "X-Primrosecove-Broke-Off";

// From engines.
inline constexpr std::string_view kEngineManifestHeader = "X-Engine-Manifest";
inline constexpr std::string_view kEngineLoadHeader = "X-Engine-Load";

/// Values of kOutcomeHeader: whether a request was executed.
inline constexpr std::string_view kOutcomeResponded = "answered";
inline constexpr std::string_view kOutcomeNotExecuted = "not-run";
inline constexpr std::string_view kOutcomeUnknown = "unknown";

/// Target prefix of calls to the agent itself, as opposed to requests that it
/// forwards.
inline constexpr std::string_view kAgentCallPrefix = "/.primrosecove/";
inline constexpr std::string_view kRevokeRequestTarget = "/.primrosecove/bar";

}  // namespace primrosecove
