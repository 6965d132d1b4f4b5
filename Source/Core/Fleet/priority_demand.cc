#include "Core/Fleet/priority_demand.h"

#include <algorithm>

namespace primrosecove {
namespace {

// Where more urgent requests use more than this share, the wait of the others
// has no meaningful estimate.
constexpr double kMaxShare = 0.9;
// Less use than this, in milliseconds of a slot, is forgotten.
constexpr double kMinUseMs = 1;
// A workspace competes if it uses at least this part of an equal share.
constexpr double kMinCompetingShare = 0.1;

}  // namespace

void PriorityDemand::SetTargets(const std::map<int, Milliseconds>& targets) {
  std::erase_if(by_priority_,
                [&](const auto& it) { return !targets.contains(it.first); });
  for (const auto& [priority, target] : targets)
    by_priority_[priority].latency_target = target;
}

void PriorityDemand::OnSent(int priority, const std::string& workspace,
                            Milliseconds time, Milliseconds now) {
  auto it = by_priority_.find(priority);
  if (it == by_priority_.end()) return;
  auto ms = static_cast<double>(time.count());
  it->second.sent_ms.Add(ms, now);
  it->second.sent.Add(1, now);
  it->second.by_workspace_ms[workspace].Add(ms, now);
}

void PriorityDemand::OnRefused(int priority, Milliseconds now) {
  auto it = by_priority_.find(priority);
  if (it != by_priority_.end()) it->second.refused.Add(1, now);
}

std::vector<PriorityClass> PriorityDemand::Classes(Milliseconds now) const {
  double total = 0;
  for (const auto& [priority, it] : by_priority_) total += it.sent_ms.At(now);
  std::vector<PriorityClass> out;
  // By Cobham's formula, the wait in a queue by priority, and with Little's law
  // the number of waiting requests, grows by 1 / ((1 - more urgent share) *
  // (1 - share up to this priority)).
  double up_to = 0;
  double waiting = 0;
  for (const auto& [priority, it] : by_priority_) {
    double share = total > kMinUseMs
                       ? it.sent_ms.At(now) / total
                       : 1.0 / static_cast<double>(by_priority_.size());
    PriorityClass entry{priority, it.latency_target,
                        std::min(up_to, kMaxShare)};
    up_to += share;
    waiting += share / ((1 - entry.more_urgent_share) *
                        (1 - std::min(up_to, kMaxShare)));
    entry.ahead_share = waiting;
    out.push_back(entry);
  }
  for (PriorityClass& it : out)
    it.ahead_share = waiting > 0 ? it.ahead_share / waiting : 1;
  return out;
}

double PriorityDemand::WorkspaceFactor(int priority,
                                       const std::string& workspace,
                                       Milliseconds now) const {
  auto it = by_priority_.find(priority);
  if (it == by_priority_.end()) return 1;
  const Demand& demand = it->second;
  double refused = demand.refused.At(now);
  double pressure = refused / std::max(refused + demand.sent.At(now), 1.0);
  auto own = demand.by_workspace_ms.find(workspace);
  double total = demand.sent_ms.At(now);
  if (own == demand.by_workspace_ms.end() || total < kMinUseMs) return 1;
  // Workspaces with hardly any requests do not compete for an equal share.
  double least = kMinCompetingShare * total /
                 static_cast<double>(demand.by_workspace_ms.size());
  auto competing = std::count_if(
      demand.by_workspace_ms.begin(), demand.by_workspace_ms.end(),
      [&](const auto& entry) { return entry.second.At(now) >= least; });
  double uses = own->second.At(now) / total * static_cast<double>(competing);
  return 1 + pressure * std::max(uses - 1, 0.0);
}

void PriorityDemand::RemoveExpired(Milliseconds now) {
  for (auto& [priority, demand] : by_priority_) {
    std::erase_if(demand.by_workspace_ms, [now](const auto& it) {
      return it.second.At(now) < kMinUseMs;
    });
  }
}

const PriorityClass& FindClass(std::span<const PriorityClass> classes,
                               int priority) {
  return *std::find_if(
      classes.begin(), classes.end(),
      [priority](const auto& it) { return it.priority == priority; });
}

}  // namespace primrosecove
