#include "Core/Fleet/route_table.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "Core/Common/text.h"

namespace primrosecove {

RouteTable::RouteTable(FleetConfig config) : config_(std::move(config)) {
  for (const Route& route : config_.routes) {
    by_host_[ToLower(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* a, const Route* b) {
                       return a->prefix.size() > b->prefix.size();
                     });
  }
  for (const FleetWorkspace& workspace : config_.workspaces) {
    for (const std::string& key : workspace.keys) by_key_[key] = &workspace;
  }
}

const Route* RouteTable::Match(std::string_view host,
                               std::string_view path) const {
  auto it = by_host_.find(ToLower(host.substr(0, host.find(':'))));
  if (it == by_host_.end()) return nullptr;
  for (const Route* route : it->second) {
    if (path.starts_with(route->prefix)) return route;
  }
  return nullptr;
}

const FleetWorkspace* RouteTable::FindKey(std::string_view key) const {
  auto it = by_key_.find(std::string(key));
  return it == by_key_.end() ? nullptr : it->second;
}

const std::string& RouteTable::ChooseService(const Route& route,
                                             double random_value) const {
  double total = 0;
  for (const ServiceShare& it : route.services) total += it.weight;
  double remaining = random_value * total;
  for (const ServiceShare& it : route.services) {
    if (remaining < it.weight) return it.service;
    remaining -= it.weight;
  }
  return route.services.back().service;
}

const FleetService* RouteTable::FindService(const std::string& name) const {
  auto it = config_.services.find(name);
  return it == config_.services.end() ? nullptr : &it->second;
}

int RouteTable::CombinedPriority(const Route& route,
                                 const FleetWorkspace* workspace) {
  constexpr int kMaxPriority = 99;
  int own = std::clamp(route.priority, 0, kMaxPriority);
  bool has_priority = workspace != nullptr && workspace->priority;
  int first =
      has_priority ? std::clamp(*workspace->priority, 0, kMaxPriority) : own;
  return first * (kMaxPriority + 1) + own;
}

std::map<int, Milliseconds> RouteTable::PrioritiesOf(
    const std::string& service) const {
  std::map<int, Milliseconds> out;
  auto add = [&out](int priority, Milliseconds target) {
    auto it = out.try_emplace(priority, target).first;
    bool is_shorter =
        target.count() > 0 && (it->second.count() == 0 || target < it->second);
    if (is_shorter) it->second = target;
  };
  std::set<std::optional<int>> own_priorities;
  for (const FleetWorkspace& it : config_.workspaces)
    own_priorities.insert(it.priority);
  for (const Route& route : config_.routes) {
    bool leads_there = std::any_of(
        route.services.begin(), route.services.end(),
        [&](const ServiceShare& it) { return it.service == service; });
    if (!leads_there) continue;
    if (!needs_keys() || route.is_public)
      add(CombinedPriority(route, nullptr), route.latency_target);
    for (const auto& it : own_priorities) {
      FleetWorkspace workspace;
      workspace.priority = it;
      add(CombinedPriority(route, &workspace), route.latency_target);
    }
  }
  return out;
}

}  // namespace primrosecove
