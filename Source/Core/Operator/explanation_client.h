// Explanations of placements by running routers, for the `explain` command.
#pragma once

#include <string>

#include "Core/Common/error.h"
#include "Core/Fleet/placement_question.h"
#include "Core/Net/endpoint.h"

namespace primrosecove {

/// Asks the router with the metrics address `router`, and returns its
/// explanation; blocks for at most 5 seconds. Fails with kInvalidArgument and
/// the router's message if it refuses the question, and with kUnavailable.
/// Thread safe.
Result<std::string> FetchExplanation(const Endpoint& router,
                                     const PlacementQuestion& question);

/// Reads a caller's key, the only line of a file. Fails with kNotFound, or with
/// kInvalidArgument without showing the contents. Thread safe.
Result<std::string> ReadCallerKey(const std::string& path);

}  // namespace primrosecove
