// An IPv4 address with a port.
#pragma once

#include <netinet/in.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "Core/Common/error.h"

namespace primrosecove {

/// The IPv4 address and port at which a process listens. Host names are not
/// resolved, because a process reads its addresses from its settings.
struct Endpoint {
  std::string ip;
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
  /// Returns "IP:PORT".
  std::string ToString() const;
  /// Returns the socket address. Precondition: the endpoint was returned by
  /// Parse or FromSockaddr.
  sockaddr_in ToSockaddr() const;
  /// Parses "IP:PORT"; fails with kInvalidArgument and a message that states
  /// the accepted format. Thread safe.
  static Result<Endpoint> Parse(std::string_view text);
  /// Converts a socket address. Thread safe.
  static Endpoint FromSockaddr(const sockaddr_in& address);
};

}  // namespace primrosecove
