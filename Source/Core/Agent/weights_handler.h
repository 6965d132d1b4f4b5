// Hands complete weights to the engine on the same host.
#pragma once

#include <memory>

#include "Core/Net/http_server.h"
#include "Core/Weights/swarm.h"

namespace primrosecove {

/// Answers GET /weights/DIGEST with the bytes of complete weights, in order and
/// as fast as the engine takes them; 404 for weights that are not complete
/// here. Returns whether the request was one for weights. `swarm` must outlive
/// the answer.
bool ServeWeights(Swarm* swarm, const std::shared_ptr<HttpExchange>& exchange);

}  // namespace primrosecove
