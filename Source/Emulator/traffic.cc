#include "Emulator/traffic.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace primrosecove {
namespace {

constexpr double kMsPerSecond = 1000;
// A caller's worth: a fixed part and one that grows with its size against the
// mean of its class, with the weight of a written token against a read one,
// and a bound.
constexpr double kFixedWorth = 0.3;
constexpr double kWrittenTokenWeight = 10;
constexpr double kMostWorth = 4;
// Large workspaces send more: the n-th sends 1/n of the first.
constexpr double kWorkspaceSkew = 1;

double Draw(const SizeSpread& spread, std::mt19937_64* random) {
  if (spread.variation <= 0) return spread.mean;
  double sigma2 = std::log(1 + spread.variation * spread.variation);
  std::lognormal_distribution<double> draw(std::log(spread.mean) - sigma2 / 2,
                                           std::sqrt(sigma2));
  double out = draw(*random);
  return spread.most > 0 ? std::min(out, spread.most) : out;
}

double StepFactor(const Scenario& scenario, double at_s) {
  double out = scenario.traffic.empty() ? 1 : 0;
  for (const TrafficStep& it : scenario.traffic) {
    if (at_s >= it.at_s) out = it.factor;
  }
  return out;
}

bool IsOn(const Incident& incident, double at_s) {
  return at_s >= incident.at_s && at_s < incident.at_s + incident.for_s;
}

double Factor(const Scenario& scenario, const RequestClass& it, double at_s) {
  double out = StepFactor(scenario, at_s);
  for (const Incident& incident : scenario.incidents) {
    bool meant =
        incident.request_class.empty() || incident.request_class == it.name;
    if (incident.kind == Incident::Kind::kBurst && meant &&
        IsOn(incident, at_s)) {
      out *= incident.factor;
    }
  }
  return out;
}

double MostFactor(const Scenario& scenario) {
  double out = 1;
  for (const TrafficStep& it : scenario.traffic) {
    out = std::max(out, it.factor);
  }
  for (const Incident& it : scenario.incidents) {
    if (it.kind == Incident::Kind::kBurst) out *= std::max(it.factor, 1.0);
  }
  return out;
}

size_t DrawZone(const Scenario& scenario, double at_s,
                std::mt19937_64* random) {
  std::vector<double> shares;
  for (const EmulatedZone& it : scenario.zones) shares.push_back(it.share);
  std::discrete_distribution<size_t> draw(shares.begin(), shares.end());
  size_t out = draw(*random);
  for (const Incident& it : scenario.incidents) {
    if (it.kind != Incident::Kind::kShift || !IsOn(it, at_s)) continue;
    bool moves = std::bernoulli_distribution(it.share)(*random);
    if (out == 0 && moves) out = 1 % scenario.zones.size();
  }
  return out;
}

double DrawLeaving(const Scenario& scenario, const RequestClass& it,
                   double at_s, std::mt19937_64* random) {
  for (const Incident& incident : scenario.incidents) {
    if (incident.kind == Incident::Kind::kLeave && IsOn(incident, at_s) &&
        std::bernoulli_distribution(incident.share)(*random)) {
      return static_cast<double>(it.target.count()) / 2;
    }
  }
  return 0;
}

int DrawWorkspace(const Scenario& scenario, std::mt19937_64* random) {
  std::vector<double> shares;
  for (int i = 1; i <= std::max(scenario.workspaces, 1); ++i) {
    shares.push_back(1 / std::pow(i, kWorkspaceSkew));
  }
  std::discrete_distribution<int> draw(shares.begin(), shares.end());
  return draw(*random);
}

// One class's requests: a Poisson process at the highest rate, thinned.
void DrawClass(const Scenario& scenario, size_t index, std::mt19937_64* random,
               std::vector<Arrival>* out) {
  const RequestClass& it = scenario.classes[index];
  double most = MostFactor(scenario);
  double mean_size = it.prompt.mean + kWrittenTokenWeight * it.events.mean *
                                          scenario.tokens_per_event;
  std::exponential_distribution<double> gap(it.per_second * most);
  std::uniform_real_distribution<double> unit(0, 1);
  for (double at = gap(*random); at < scenario.seconds; at += gap(*random)) {
    if (unit(*random) * most >= Factor(scenario, it, at)) continue;
    Arrival arrival;
    arrival.at_ms = at * kMsPerSecond;
    arrival.request_class = index;
    arrival.zone = DrawZone(scenario, at, random);
    arrival.workspace = DrawWorkspace(scenario, random);
    arrival.prompt_tokens =
        std::max<int64_t>(std::llround(Draw(it.prompt, random)), 1);
    arrival.events =
        std::max(static_cast<int>(std::lround(Draw(it.events, random))), 1);
    arrival.leaves_after_ms = DrawLeaving(scenario, it, at, random);
    double size =
        static_cast<double>(arrival.prompt_tokens) +
        kWrittenTokenWeight * arrival.events * scenario.tokens_per_event;
    double scale = std::min(kFixedWorth + (1 - kFixedWorth) * size / mean_size,
                            kMostWorth);
    arrival.worth = it.worth * scale;
    arrival.late_worth = it.late_worth * scale;
    out->push_back(arrival);
  }
}

}  // namespace

std::vector<Arrival> DrawTraffic(const Scenario& scenario, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<Arrival> out;
  for (size_t i = 0; i < scenario.classes.size(); ++i) {
    DrawClass(scenario, i, &random, &out);
  }
  std::stable_sort(
      out.begin(), out.end(),
      [](const Arrival& a, const Arrival& b) { return a.at_ms < b.at_ms; });
  uint64_t id = 0;
  for (Arrival& it : out) it.id = ++id;
  return out;
}

}  // namespace primrosecove
