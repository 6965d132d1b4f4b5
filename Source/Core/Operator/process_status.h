// Status of running processes, for the `status` and `report` commands.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Core/Common/error.h"
#include "Core/Net/endpoint.h"

namespace primrosecove {

/// Fetches the status of a process over JSON-RPC from its admin address; blocks
/// for at most 5 seconds. Fails with kUnavailable. Thread safe.
Result<nlohmann::json> FetchStatus(const Endpoint& admin);

/// Formats the status of one process as text: deployment and revision, then a
/// line per host with its state, revision, served version and transfer
/// progress. Thread safe.
std::string RenderStatus(const nlohmann::json& status);

/// Formats a table of error budget burn per service, summed over the statuses
/// of `routers` since their start. Thread safe.
std::string RenderReport(const std::vector<nlohmann::json>& routers);

}  // namespace primrosecove
