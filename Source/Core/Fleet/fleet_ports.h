// Assignment of a host's internal ports.
#pragma once

#include <string>

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// UDP datagrams of all processes, and TCP transfers of weights between agents.
inline Endpoint PeerEndpoint(const HostSettings& settings,
                             const std::string& ip) {
  return {ip, settings.first_internal_port};
}

/// The metrics page of this process.
inline Endpoint MetricsEndpoint(const HostSettings& settings) {
  return {settings.ip, static_cast<uint16_t>(settings.first_internal_port + 1)};
}

}  // namespace primrosecove
