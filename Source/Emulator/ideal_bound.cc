#include "Emulator/ideal_bound.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "Core/Fleet/placement_policy.h"

namespace primrosecove {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kBinMs = 100;

struct Task {
  size_t first_bin = 0;
  size_t last_bin = 0;
  size_t late_bin = 0;
  double engine_ms = 0;
  double whole_ms = 0;  // before any part was taken
  double worth = 0;
  double late_worth_share = 0;
};

size_t BinOf(double at_ms) { return static_cast<size_t>(at_ms / kBinMs); }

double EnginesAt(const Scenario& scenario, double at_s) {
  using Kind = Incident::Kind;
  double base = 0;
  for (const EmulatedZone& it : scenario.zones) base += it.engines;
  double out = base;
  for (const Incident& it : scenario.incidents) {
    double chosen = std::ceil(it.share * base);
    bool is_on = at_s >= it.at_s && at_s < it.at_s + it.for_s;
    bool has_begun = at_s >= it.at_s;
    bool is_copied = at_s >= it.at_s + scenario.copy_ms / kMsPerSecond;
    if (it.kind == Kind::kSlow && is_on) out -= chosen * (1 - 1 / it.factor);
    if (it.kind == Kind::kJoin && is_copied) out += chosen;
    bool lost = (it.kind == Kind::kCrash && is_on) ||
                (it.kind == Kind::kDrain && has_begun);
    if (lost) out -= chosen;
  }
  return std::max(out, 0.0);
}

// Engine time of each bin.
std::vector<double> Capacity(const Scenario& scenario, size_t bins) {
  std::vector<double> out(bins);
  for (size_t i = 0; i < bins; ++i) {
    double at_s = static_cast<double>(i) * kBinMs / kMsPerSecond;
    out[i] = EnginesAt(scenario, at_s) * kBinMs;
  }
  return out;
}

// What of `added` is done when all of `taken` is done too, earliest deadline
// first.
double DoneOf(const std::vector<Task>& taken, const Task& added,
              const std::vector<double>& capacity) {
  // Demand by the span of bins, so that each bin is visited once.
  std::vector<std::vector<std::pair<size_t, double>>> begins(capacity.size());
  for (const Task& it : taken) {
    begins[it.first_bin].emplace_back(it.last_bin, it.engine_ms);
  }
  begins[added.first_bin].emplace_back(added.last_bin, added.engine_ms);
  using Open = std::pair<size_t, double>;
  std::priority_queue<Open, std::vector<Open>, std::greater<>> open;
  double missed = 0;
  for (size_t bin = 0; bin < capacity.size(); ++bin) {
    for (const Open& it : begins[bin]) open.push(it);
    double left = capacity[bin];
    while (left > 0 && !open.empty()) {
      Open it = open.top();
      open.pop();
      double done = std::min(left, it.second);
      left -= done;
      it.second -= done;
      if (it.second > 0) open.push(it);
    }
    while (!open.empty() && open.top().first <= bin) {
      missed += open.top().second;
      open.pop();
    }
  }
  return std::max(added.engine_ms - missed, 0.0);
}

// A full batch of writers beside a whole chunk of a prompt. A running request
// gets tokens in each pass, so that none is stretched beyond this.
double LongestPassMs(const EngineProfile& engine) {
  constexpr double kThousand = 1000;
  double context = static_cast<double>(engine.kv_cache_tokens);
  double step = engine.step_ms + engine.sequence_ms * engine.slots +
                engine.context_ms_per_k * context / kThousand;
  return step * std::max(engine.steps_per_iteration, 1) +
         PrefillMs(engine, engine.prefill_chunk_tokens);
}

// Adds up what each task earns, taking them in the order of worth for engine
// time; what is left of a task's worth stays in it.
double TakeTasks(std::vector<Task>* tasks, const std::vector<double>& capacity,
                 std::vector<Task>* taken) {
  std::sort(tasks->begin(), tasks->end(), [](const Task& a, const Task& b) {
    return a.worth * b.engine_ms > b.worth * a.engine_ms;
  });
  double credit = 0;
  for (Task& it : *tasks) {
    if (it.engine_ms <= 0) continue;
    double done = DoneOf(*taken, it, capacity);
    if (done <= 0) continue;
    credit += it.worth * done / it.engine_ms;
    Task part = it;
    part.engine_ms = done;
    taken->push_back(part);
    it.engine_ms -= done;
  }
  return credit;
}

}  // namespace

double IdealWorth(const Scenario& scenario, std::span<const Arrival> arrivals) {
  double longest_pass_ms = LongestPassMs(scenario.engine);
  double owed = 0;
  size_t bins = 1;
  std::vector<Task> tasks;
  for (const Arrival& it : arrivals) {
    if (it.leaves_after_ms > 0) continue;
    const RequestClass& kind = scenario.classes[it.request_class];
    double tokens = it.events * static_cast<double>(scenario.tokens_per_event);
    double answer_ms =
        it.events *
        std::min(static_cast<double>(kind.pause.count()), longest_pass_ms);
    double target_ms = static_cast<double>(kind.target.count());
    double patience_ms = static_cast<double>(kind.patience.count());
    Task task;
    task.engine_ms = EngineMs(scenario.engine,
                              static_cast<double>(it.prompt_tokens), tokens);
    task.whole_ms = task.engine_ms;
    task.first_bin = BinOf(it.at_ms);
    task.last_bin = BinOf(it.at_ms + target_ms + answer_ms);
    task.late_bin = BinOf(it.at_ms + patience_ms + answer_ms);
    task.worth = it.worth;
    task.late_worth_share = it.worth > 0 ? it.late_worth / it.worth : 0;
    bins = std::max({bins, task.last_bin + 1, task.late_bin + 1});
    owed += it.worth;
    tasks.push_back(task);
  }
  if (tasks.empty()) return 1;
  std::vector<double> capacity = Capacity(scenario, bins);
  std::vector<Task> taken;
  double credit = TakeTasks(&tasks, capacity, &taken);
  // What could not be done in time may still be done late.
  for (Task& it : tasks) {
    it.worth *= it.late_worth_share * it.engine_ms / it.whole_ms;
    it.last_bin = std::max(it.last_bin, it.late_bin);
  }
  credit += TakeTasks(&tasks, capacity, &taken);
  return credit / owed;
}

}  // namespace primrosecove
