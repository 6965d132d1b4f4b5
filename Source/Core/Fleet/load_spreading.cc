#include "Core/Fleet/load_spreading.h"

#include <algorithm>

namespace primrosecove {
namespace {

// Draws an index in proportion to `weight` of each candidate. Returns the
// number of candidates if all weights are 0.
template <typename F>
size_t Draw(std::span<const SpreadCandidate> candidates, F weight,
            std::mt19937_64* random) {
  double total = 0;
  for (const SpreadCandidate& it : candidates) total += weight(it);
  if (total <= 0) return candidates.size();
  double left = std::uniform_real_distribution<double>(0, total)(*random);
  size_t out = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    double own = weight(candidates[i]);
    if (own <= 0) continue;
    out = i;
    if (left < own) break;
    left -= own;
  }
  return out;
}

}  // namespace

double SpreadCandidate::RoomUpTo(double level_ms) const {
  double left = level_ms - cost_ms;
  if (left <= 0) return 0;
  if (left <= free_slots * slot_cost_ms) return left / slot_cost_ms;
  // The first request that finds no free slot already waits for one.
  if (free_slots > 0) left -= free_slots * slot_cost_ms + queue_cost_ms;
  return free_slots + std::max(left, 0.0) / (slot_cost_ms + queue_cost_ms);
}

double WaterLevel(std::span<const SpreadCandidate> candidates,
                  double requests) {
  // The error of the level is below a ten-thousandth of its range.
  constexpr int kSteps = 14;
  double low = candidates[0].cost_ms;
  double highest = low;
  double most_per_request = 0;
  double most_queue_cost = 0;
  for (const SpreadCandidate& it : candidates) {
    low = std::min(low, it.cost_ms);
    highest = std::max(highest, it.cost_ms);
    most_per_request =
        std::max(most_per_request, it.slot_cost_ms + it.queue_cost_ms);
    most_queue_cost = std::max(most_queue_cost, it.queue_cost_ms);
  }
  // Either the cheapest takes all, or all take an equal number on top of the
  // highest cost.
  double mean = requests / static_cast<double>(candidates.size());
  double high = most_queue_cost + std::min(low + requests * most_per_request,
                                           highest + mean * most_per_request);
  for (int i = 0; i < kSteps; ++i) {
    double middle = (low + high) / 2;
    double room = 0;
    for (const SpreadCandidate& it : candidates) room += it.RoomUpTo(middle);
    (room < requests ? low : high) = middle;
  }
  return high;
}

size_t LeastCost(std::span<const SpreadCandidate> candidates) {
  auto least = std::min_element(
      candidates.begin(), candidates.end(),
      [](const auto& a, const auto& b) { return a.cost_ms < b.cost_ms; });
  return static_cast<size_t>(least - candidates.begin());
}

size_t LessCostlyOfTwo(std::span<const SpreadCandidate> candidates,
                       std::mt19937_64* random) {
  std::uniform_int_distribution<size_t> distribution(0, candidates.size() - 1);
  size_t a = distribution(*random);
  size_t b = distribution(*random);
  return candidates[b].cost_ms < candidates[a].cost_ms ? b : a;
}

size_t DrawByFreeSlots(std::span<const SpreadCandidate> candidates,
                       std::mt19937_64* random) {
  size_t out = Draw(
      candidates, [](const SpreadCandidate& it) { return it.free_slots; },
      random);
  return out < candidates.size() ? out : LeastCost(candidates);
}

size_t DrawByRoom(std::span<const SpreadCandidate> candidates, double level_ms,
                  std::mt19937_64* random) {
  size_t out = Draw(
      candidates,
      [level_ms](const SpreadCandidate& it) { return it.RoomUpTo(level_ms); },
      random);
  return out < candidates.size() ? out : LeastCost(candidates);
}

}  // namespace primrosecove
