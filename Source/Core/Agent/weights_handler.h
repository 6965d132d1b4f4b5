// Serves complete weights to the engine on the same host.
#pragma once

#include <memory>

#include "Core/Net/http_server.h"
#include "Core/Weights/swarm.h"

namespace primrosecove {

/// Handles GET /weights/DIGEST: responds with the bytes of complete weights, in
/// order and as fast as the engine reads them, or with 404 if the weights are
/// not complete here. Returns whether the request was for weights. `swarm` must
/// outlive the response.
bool ServeWeights(Swarm* swarm, const std::shared_ptr<HttpExchange>& exchange);

}  // namespace primrosecove
