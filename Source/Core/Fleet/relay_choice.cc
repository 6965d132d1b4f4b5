#include "Core/Fleet/relay_choice.h"

#include <utility>

#include "Core/Common/log.h"

namespace primrosecove {
namespace {

std::string Join(const std::vector<std::string>& items) {
  std::string out;
  for (const std::string& it : items) {
    if (!out.empty()) out += ',';
    out += it;
  }
  return out.empty() ? "none" : out;
}

}  // namespace

void RelayChoice::Update(const UpstreamRegistry& registry, MonotonicTime now) {
  std::vector<std::string> chosen;
  size_t heard = 0;
  // In the order of the upstreams' ids, so that all routers use the same ones.
  for (const auto& [id, upstream] : registry.all()) {
    bool has_agent = upstream.status && now - upstream.status_received_at <
                                            UpstreamRegistry::kStatusLifetime;
    if (!has_agent) continue;
    ++heard;
    if (chosen.size() < kRelays) chosen.push_back(upstream.record.endpoint.ip);
  }
  if (chosen == relays_) return;
  ++changes_;
  PC_INFO(kMembership,
          "event=relays chosen=" << Join(chosen) << " before=" << Join(relays_)
                                 << " heard=" << heard
                                 << " known=" << registry.all().size());
  relays_ = std::move(chosen);
}

}  // namespace primrosecove
