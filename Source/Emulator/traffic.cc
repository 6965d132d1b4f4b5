#include "Emulator/traffic.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace primrosecove {
namespace {

constexpr double kMsPerSecond = 1000;
// The utility of a request consists of a fixed share and a share proportional
// to its size over the mean size of its class, up to a maximum scale. In a
// size, an output token counts as much as kOutputTokenWeight prompt tokens.
constexpr double kFixedUtilityShare = 0.3;
constexpr double kOutputTokenWeight = 10;
constexpr double kMaxUtilityScale = 4;
// Zipf distribution of requests over workspaces: the n-th workspace sends 1/n
// of the first one's requests.
constexpr double kWorkspaceZipfExponent = 1;

double SampleSize(const SizeDistribution& size_spec, std::mt19937_64* random) {
  if (size_spec.variation <= 0) return size_spec.mean;
  double sigma2 = std::log(1 + size_spec.variation * size_spec.variation);
  std::lognormal_distribution<double> distribution(
      std::log(size_spec.mean) - sigma2 / 2, std::sqrt(sigma2));
  double out = distribution(*random);
  return size_spec.upper_limit > 0 ? std::min(out, size_spec.upper_limit) : out;
}

double TrafficStepFactor(const Scenario& scenario, double at_s) {
  double out = scenario.traffic.empty() ? 1 : 0;
  for (const TrafficStep& it : scenario.traffic) {
    if (at_s >= it.at_s) out = it.factor;
  }
  return out;
}

bool IsActive(const Incident& incident, double at_s) {
  return at_s >= incident.at_s && at_s < incident.at_s + incident.duration_s;
}

double TrafficFactor(const Scenario& scenario, const RequestClass& it,
                     double at_s) {
  double out = TrafficStepFactor(scenario, at_s);
  for (const Incident& incident : scenario.incidents) {
    bool class_matches =
        incident.request_class.empty() || incident.request_class == it.name;
    if (incident.kind == Incident::Kind::kBurst && class_matches &&
        IsActive(incident, at_s)) {
      out *= incident.factor;
    }
  }
  return out;
}

double MaxTrafficFactor(const Scenario& scenario) {
  double out = 1;
  for (const TrafficStep& it : scenario.traffic) {
    out = std::max(out, it.factor);
  }
  for (const Incident& it : scenario.incidents) {
    if (it.kind == Incident::Kind::kBurst) out *= std::max(it.factor, 1.0);
  }
  return out;
}

size_t SampleZone(const Scenario& scenario, double at_s,
                  std::mt19937_64* random) {
  std::vector<double> shares;
  for (const EmulatedZone& it : scenario.zones) shares.push_back(it.share);
  std::discrete_distribution<size_t> distribution(shares.begin(), shares.end());
  size_t out = distribution(*random);
  for (const Incident& it : scenario.incidents) {
    if (it.kind != Incident::Kind::kShift || !IsActive(it, at_s)) continue;
    bool is_shifted = std::bernoulli_distribution(it.share)(*random);
    if (out == 0 && is_shifted) out = 1 % scenario.zones.size();
  }
  return out;
}

double SampleAbandonMs(const Scenario& scenario, const RequestClass& it,
                       double at_s, std::mt19937_64* random) {
  for (const Incident& incident : scenario.incidents) {
    if (incident.kind == Incident::Kind::kAbandon && IsActive(incident, at_s) &&
        std::bernoulli_distribution(incident.share)(*random)) {
      return static_cast<double>(it.target.count()) / 2;
    }
  }
  return 0;
}

int SampleWorkspace(const Scenario& scenario, std::mt19937_64* random) {
  std::vector<double> shares;
  for (int i = 1; i <= std::max(scenario.workspaces, 1); ++i) {
    shares.push_back(1 / std::pow(i, kWorkspaceZipfExponent));
  }
  std::discrete_distribution<int> distribution(shares.begin(), shares.end());
  return distribution(*random);
}

// Generates the requests of one class: a Poisson process at the maximum rate,
// thinned to the current rate.
void GenerateClass(const Scenario& scenario, size_t index,
                   std::mt19937_64* random, std::vector<Arrival>* out) {
  const RequestClass& it = scenario.classes[index];
  double max_factor = MaxTrafficFactor(scenario);
  double mean_size = it.prompt.mean + kOutputTokenWeight * it.events.mean *
                                          scenario.tokens_per_event;
  std::exponential_distribution<double> interarrival_s(it.per_second *
                                                       max_factor);
  std::uniform_real_distribution<double> uniform(0, 1);
  for (double at = interarrival_s(*random); at < scenario.seconds;
       at += interarrival_s(*random)) {
    if (uniform(*random) * max_factor >= TrafficFactor(scenario, it, at))
      continue;
    Arrival arrival;
    arrival.at_ms = at * kMsPerSecond;
    arrival.request_class = index;
    arrival.zone = SampleZone(scenario, at, random);
    arrival.workspace = SampleWorkspace(scenario, random);
    arrival.prompt_tokens =
        std::max<int64_t>(std::llround(SampleSize(it.prompt, random)), 1);
    arrival.events = std::max(
        static_cast<int>(std::lround(SampleSize(it.events, random))), 1);
    arrival.abandons_after_ms = SampleAbandonMs(scenario, it, at, random);
    double size =
        static_cast<double>(arrival.prompt_tokens) +
        kOutputTokenWeight * arrival.events * scenario.tokens_per_event;
    double utility_scale = std::min(
        kFixedUtilityShare + (1 - kFixedUtilityShare) * size / mean_size,
        kMaxUtilityScale);
    arrival.utility = it.utility * utility_scale;
    arrival.late_utility = it.late_utility * utility_scale;
    out->push_back(arrival);
  }
}

}  // namespace

std::vector<Arrival> GenerateTraffic(const Scenario& scenario, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<Arrival> out;
  for (size_t i = 0; i < scenario.classes.size(); ++i) {
    GenerateClass(scenario, i, &random, &out);
  }
  std::stable_sort(
      out.begin(), out.end(),
      [](const Arrival& a, const Arrival& b) { return a.at_ms < b.at_ms; });
  uint64_t id = 0;
  for (Arrival& it : out) it.id = ++id;
  return out;
}

}  // namespace primrosecove
