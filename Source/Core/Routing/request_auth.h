// Signatures that authenticate a router's requests to an agent.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "Core/Net/http_types.h"
#include "Core/Net/key_ring.h"

namespace primrosecove {

/// Signs the request's method, target, request id, execute-once id and time
/// with the shared key. Thread safe.
std::string SignRequest(const KeyRing& keys, const HttpRequest& request,
                        int64_t now_ms);

/// Whether the signature in the request's headers is valid and recent. Thread
/// safe.
bool IsRequestSigned(const KeyRing& keys, const HttpRequest& request,
                     int64_t now_ms);

}  // namespace primrosecove
