#include "Core/Net/endpoint.h"

#include <arpa/inet.h>

#include "Core/Common/text.h"

namespace primrosecove {

std::string Endpoint::ToString() const {
  return ip + ":" + std::to_string(port);
}

sockaddr_in Endpoint::ToSockaddr() const {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
  return out;
}

Result<Endpoint> Endpoint::Parse(std::string_view text) {
  constexpr uint64_t kMaxPort = 65535;
  auto invalid = [&] {
    return Fail(ErrorCode::kInvalidArgument,
                "'" + std::string(text) +
                    "' is not IP:PORT (an IPv4 address, a port 1-65535)");
  };
  size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return invalid();
  auto port = ParseU64(text.substr(colon + 1));
  if (!port || *port == 0 || *port > kMaxPort) return invalid();
  Endpoint out{std::string(text.substr(0, colon)),
               static_cast<uint16_t>(*port)};
  in_addr parsed{};
  if (inet_pton(AF_INET, out.ip.c_str(), &parsed) != 1) return invalid();
  return out;
}

Endpoint Endpoint::FromSockaddr(const sockaddr_in& address) {
  char buf[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, buf, sizeof(buf));
  return {buf, ntohs(address.sin_port)};
}

}  // namespace primrosecove
