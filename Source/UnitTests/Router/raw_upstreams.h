// A FleetRouter whose upstreams send scripted bytes, for tests.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "../raw_server.h"
#include "fleet_router_fixture.h"

namespace primrosecove {

// A router whose service "raw" has scripted servers.
class RawUpstreams {
 public:
  RawUpstreams(int group, size_t servers, uint64_t router_memory_bytes = 0)
      : fixture(group, Milliseconds(8000), Milliseconds(8000),
                router_memory_bytes) {
    nlohmann::json config = RouterFixture::MakeConfigJson(2);
    config["routes"].push_back(RouteJson("/raw-once/", "unsafe", "raw", 2));
    config["routes"].push_back(RouteJson("/raw-twice/", "safe", "raw", 2));
    config["routes"].push_back(
        RouteJson("/raw-resumed/", "streaming", "raw", 2));
    fixture.store.Put("op/config", config.dump());
    for (size_t n = 0; n < servers; ++n) {
      Endpoint endpoint = fixture.EndpointAt(40 + static_cast<int>(n));
      this->servers.push_back(
          std::make_unique<RawServer>(&fixture.loop, endpoint));
      this->servers[n]->ShareResponses(this->servers[0].get());
      nlohmann::json entry = {{"service", "raw"},
                              {"address", endpoint.ToString()},
                              {"zone", "z1"},
                              {"slots", 4},
                              {"state", "ready"}};
      fixture.store.Put("servers/raw-" + std::to_string(n), entry.dump());
    }
    RunUntil(&fixture.loop, [&] {
      return fixture.router->config_version() == 2 &&
             fixture.router->registry().all().size() == 4 + servers;
    });
  }

  int Requests() const {
    int out = 0;
    for (const auto& it : servers) out += it->requests();
    return out;
  }

  RouterFixture fixture;
  std::vector<std::unique_ptr<RawServer>> servers;
};

}  // namespace primrosecove
