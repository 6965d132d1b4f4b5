#include "Emulator/ideal_bound.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "Core/Fleet/admission.h"

namespace primrosecove {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kBinMs = 100;

struct Task {
  size_t first_bin = 0;
  size_t last_bin = 0;
  size_t last_late_bin = 0;
  double engine_ms = 0;
  double total_engine_ms = 0;  // before any part is admitted
  double utility = 0;
  double late_utility_share = 0;
};

size_t BinOf(double at_ms) { return static_cast<size_t>(at_ms / kBinMs); }

double EngineCapacityAt(const Scenario& scenario, double at_s) {
  using Kind = Incident::Kind;
  double base = 0;
  for (const EmulatedZone& it : scenario.zones) base += it.engines;
  double out = base;
  for (const Incident& it : scenario.incidents) {
    double affected = std::ceil(it.share * base);
    bool active = at_s >= it.at_s && at_s < it.at_s + it.duration_s;
    bool started = at_s >= it.at_s;
    bool copy_complete = at_s >= it.at_s + scenario.copy_ms / kMsPerSecond;
    if (it.kind == Kind::kSlow && active) out -= affected * (1 - 1 / it.factor);
    if (it.kind == Kind::kJoin && copy_complete) out += affected;
    bool capacity_lost = (it.kind == Kind::kCrash && active) ||
                         (it.kind == Kind::kDrain && started);
    if (capacity_lost) out -= affected;
  }
  return std::max(out, 0.0);
}

// Available engine time in each bin, milliseconds.
std::vector<double> Capacity(const Scenario& scenario, size_t bins) {
  std::vector<double> out(bins);
  for (size_t i = 0; i < bins; ++i) {
    double at_s = static_cast<double>(i) * kBinMs / kMsPerSecond;
    out[i] = EngineCapacityAt(scenario, at_s) * kBinMs;
  }
  return out;
}

// Engine time of `candidate` that fits beside all of `admitted`, milliseconds,
// under earliest-deadline-first scheduling.
double SchedulableMs(const std::vector<Task>& admitted, const Task& candidate,
                     const std::vector<double>& capacity) {
  // (last bin, engine time) of the tasks by first bin, so that each bin is
  // visited once.
  std::vector<std::vector<std::pair<size_t, double>>> arriving(capacity.size());
  for (const Task& it : admitted) {
    arriving[it.first_bin].emplace_back(it.last_bin, it.engine_ms);
  }
  arriving[candidate.first_bin].emplace_back(candidate.last_bin,
                                             candidate.engine_ms);
  using Pending = std::pair<size_t, double>;
  std::priority_queue<Pending, std::vector<Pending>, std::greater<>> pending;
  double missed = 0;
  for (size_t bin = 0; bin < capacity.size(); ++bin) {
    for (const Pending& it : arriving[bin]) pending.push(it);
    double capacity_left = capacity[bin];
    while (capacity_left > 0 && !pending.empty()) {
      Pending it = pending.top();
      pending.pop();
      double executed = std::min(capacity_left, it.second);
      capacity_left -= executed;
      it.second -= executed;
      if (it.second > 0) pending.push(it);
    }
    while (!pending.empty() && pending.top().first <= bin) {
      missed += pending.top().second;
      pending.pop();
    }
  }
  return std::max(candidate.engine_ms - missed, 0.0);
}

// Duration of an iteration with a full batch of decoding requests and a full
// prefill chunk. A running request gets tokens in each iteration, so its gaps
// between events don't exceed this.
double LongestIterationMs(const EngineProfile& engine) {
  constexpr double kTokensPerK = 1000;
  double context = static_cast<double>(engine.kv_cache_tokens);
  double step = engine.step_ms + engine.sequence_ms * engine.slots +
                engine.context_ms_per_k * context / kTokensPerK;
  return step * std::max(engine.steps_per_iteration, 1) +
         PrefillMs(engine, engine.prefill_chunk_tokens);
}

// Admits tasks by decreasing utility per engine time, each as far as capacity
// is left, and returns the utility that they earn. The engine time that was not
// admitted stays in `tasks`.
double AdmitTasks(std::vector<Task>* tasks, const std::vector<double>& capacity,
                  std::vector<Task>* admitted) {
  std::sort(tasks->begin(), tasks->end(), [](const Task& a, const Task& b) {
    return a.utility * b.engine_ms > b.utility * a.engine_ms;
  });
  double earned_utility = 0;
  for (Task& it : *tasks) {
    if (it.engine_ms <= 0) continue;
    double executed = SchedulableMs(*admitted, it, capacity);
    if (executed <= 0) continue;
    earned_utility += it.utility * executed / it.engine_ms;
    Task admitted_part = it;
    admitted_part.engine_ms = executed;
    admitted->push_back(admitted_part);
    it.engine_ms -= executed;
  }
  return earned_utility;
}

}  // namespace

double IdealUtility(const Scenario& scenario,
                    std::span<const Arrival> arrivals) {
  double longest_iteration_ms = LongestIterationMs(scenario.engine);
  double max_utility = 0;
  size_t bins = 1;
  std::vector<Task> tasks;
  for (const Arrival& it : arrivals) {
    if (it.abandons_after_ms > 0) continue;
    const RequestClass& arrival_class = scenario.classes[it.request_class];
    double tokens = it.events * static_cast<double>(scenario.tokens_per_event);
    double output_ms =
        it.events *
        std::min(static_cast<double>(arrival_class.max_event_gap.count()),
                 longest_iteration_ms);
    double target_ms = static_cast<double>(arrival_class.target.count());
    double patience_ms = static_cast<double>(arrival_class.patience.count());
    Task task;
    task.engine_ms = EngineTimeMs(
        scenario.engine, static_cast<double>(it.prompt_tokens), tokens);
    task.total_engine_ms = task.engine_ms;
    task.first_bin = BinOf(it.at_ms);
    task.last_bin = BinOf(it.at_ms + target_ms + output_ms);
    task.last_late_bin = BinOf(it.at_ms + patience_ms + output_ms);
    task.utility = it.utility;
    task.late_utility_share = it.utility > 0 ? it.late_utility / it.utility : 0;
    bins = std::max({bins, task.last_bin + 1, task.last_late_bin + 1});
    max_utility += it.utility;
    tasks.push_back(task);
  }
  if (tasks.empty()) return 1;
  std::vector<double> capacity = Capacity(scenario, bins);
  std::vector<Task> admitted;
  double earned_utility = AdmitTasks(&tasks, capacity, &admitted);
  // Work that does not fit in time may still be done late.
  for (Task& it : tasks) {
    it.utility *= it.late_utility_share * it.engine_ms / it.total_engine_ms;
    it.last_bin = std::max(it.last_bin, it.last_late_bin);
  }
  earned_utility += AdmitTasks(&tasks, capacity, &admitted);
  return earned_utility / max_utility;
}

}  // namespace primrosecove
