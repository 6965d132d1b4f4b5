#include "Core/Fleet/relay_choice.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "Core/Common/log.h"

namespace primrosecove {
namespace {

std::string ToText(const std::vector<RelayChoice::Relay>& relays) {
  std::string out;
  for (const RelayChoice::Relay& it : relays) {
    if (!out.empty()) out += ',';
    out += it.ip;
    if (!it.is_chosen) out += "(joined)";
  }
  return out.empty() ? "none" : out;
}

// An unknown start sorts last.
int64_t SortableStart(const FleetUpstream& upstream) {
  int64_t start = upstream.StartTimeMs();
  return start == 0 ? std::numeric_limits<int64_t>::max() : start;
}

// Routers learn of new upstreams at different times, or not while the store
// turns them away, but each of them has learned of the oldest ones.
std::vector<const FleetUpstream*> FindAgents(const UpstreamRegistry& registry,
                                             MonotonicTime now) {
  std::vector<const FleetUpstream*> out;
  for (const auto& [id, upstream] : registry.all()) {
    bool has_agent = upstream.status && now - upstream.status_received_at <
                                            UpstreamRegistry::kStatusLifetime;
    if (has_agent) out.push_back(&upstream);
  }
  std::ranges::stable_sort(
      out, {}, [](const FleetUpstream* it) { return SortableStart(*it); });
  return out;
}

}  // namespace

bool RelayChoice::Update(const UpstreamRegistry& registry, MonotonicTime now) {
  std::erase_if(heard_at_, [now](const auto& it) {
    return now - it.second > kJoinedLifetime;
  });
  auto agents = FindAgents(registry, now);
  std::vector<Relay> relays;
  for (const FleetUpstream* it : agents) {
    if (relays.size() == kRelays) break;
    relays.push_back({it->record.endpoint.ip, true});
  }
  size_t max_relays = relays.size() + kMaxJoined;
  for (const auto& [ip, at] : heard_at_) {
    if (relays.size() == max_relays) break;
    if (std::ranges::find(relays, ip, &Relay::ip) == relays.end())
      relays.push_back({ip, false});
  }
  if (relays == relays_) return false;
  ++changes_;
  PC_INFO(kMembership,
          "event=relays now=" << ToText(relays) << " before=" << ToText(relays_)
                              << " heard=" << agents.size()
                              << " known=" << registry.all().size());
  relays_ = std::move(relays);
  return true;
}

void RelayChoice::OnRelayMessage(const std::string& ip, MonotonicTime now) {
  heard_at_[ip] = now;
}

}  // namespace primrosecove
