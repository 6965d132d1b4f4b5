// Settings of a long-running process, from flags and environment.
#pragma once

#include <string>
#include <vector>

#include "Core/Common/log.h"
#include "Core/Net/endpoint.h"
#include "Core/Net/event_loop.h"

namespace primrosecove {

/// Settings that routers and agents share. The command line has validated each.
struct DaemonSettings {
  std::string deployment;
  std::string name;
  std::string place;
  Endpoint listen;  ///< HTTP requests: from callers at a router, from routers
                    ///< at an agent.
  Endpoint peer_listen;     ///< Peers: frames over TCP, membership over UDP.
  Endpoint admin_listen;    ///< HTTP: health, metrics, status.
  Endpoint advertise;       ///< Address at which others reach `listen`.
  Endpoint peer_advertise;  ///< Address at which others reach `peer_listen`.
  std::vector<Endpoint> key_value;
  std::vector<Endpoint> host_list;  ///< At most one.
  std::vector<Endpoint>
      seeds;  ///< Initial peers, in addition to the host list.
  std::vector<std::string> shared_keys;
  std::string log_levels = "info";
  LogFormat log_format = LogFormat::kPlain;
  Milliseconds key_value_timeout{3000};
  Milliseconds drain_timeout{
      600'000};  ///< Longest wait for in-flight requests at shutdown.
};

}  // namespace primrosecove
