#include "Core/Routing/picker.h"

#include "Core/Common/digest.h"

namespace primrosecove {
namespace {

// The preferred upstream of a prefix is skipped if its load exceeds this
// multiple of the mean (consistent hashing with bounded loads, Mirrokni et al.,
// 2018) plus a slack of a few requests.
constexpr double kLoadBoundFactor = 1.25;
constexpr double kLoadSlackRequests = 2;

class AffinityPicker : public Picker {
 public:
  explicit AffinityPicker(uint64_t seed) : random_(seed) {}

  size_t Pick(std::span<const PickCandidate> candidates,
              const PickRequest& request) override {
    if (!request.prompt_prefix.empty()) {
      size_t preferred = PickByPrefix(candidates, request.prompt_prefix);
      if (preferred < candidates.size()) return preferred;
    }
    return PickOfTwo(candidates);
  }

 private:
  // Returns the highest-ranked candidate for the prefix whose load is within
  // the bound, or candidates.size() if there is none.
  static size_t PickByPrefix(std::span<const PickCandidate> candidates,
                             std::string_view prefix) {
    double total = 0;
    for (const PickCandidate& it : candidates)
      total += it.stats->EstimatedLoad();
    double bound = kLoadBoundFactor * (total + 1) /
                       static_cast<double>(candidates.size()) +
                   kLoadSlackRequests;
    size_t best = candidates.size();
    uint64_t best_score = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
      if (candidates[i].stats->EstimatedLoad() + 1 > bound) continue;
      uint64_t score = RendezvousScore(prefix, candidates[i].record->name);
      if (best < candidates.size() && score <= best_score) continue;
      best = i;
      best_score = score;
    }
    return best;
  }

  size_t PickOfTwo(std::span<const PickCandidate> candidates) {
    size_t a = random_() % candidates.size();
    size_t b = random_() % candidates.size();
    double delay_a = candidates[a].stats->ExpectedDelayMs();
    double delay_b = candidates[b].stats->ExpectedDelayMs();
    return delay_a <= delay_b ? a : b;
  }

  std::mt19937_64 random_;
};

class RoundRobinPicker : public Picker {
 public:
  size_t Pick(std::span<const PickCandidate> candidates,
              const PickRequest&) override {
    return next_++ % candidates.size();
  }

 private:
  size_t next_ = 0;
};

class LeastInFlightPicker : public Picker {
 public:
  explicit LeastInFlightPicker(uint64_t seed) : random_(seed) {}

  size_t Pick(std::span<const PickCandidate> candidates,
              const PickRequest&) override {
    size_t best = 0;
    size_t ties = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
      uint32_t candidate_in_flight = candidates[i].stats->in_flight();
      uint32_t fewest_in_flight = candidates[best].stats->in_flight();
      if (ties > 0 && candidate_in_flight > fewest_in_flight) continue;
      if (candidate_in_flight < fewest_in_flight) ties = 0;
      ++ties;
      if (random_() % ties == 0) best = i;
    }
    return best;
  }

 private:
  std::mt19937_64 random_;
};

}  // namespace

std::unique_ptr<Picker> MakeAffinityPicker(uint64_t seed) {
  return std::make_unique<AffinityPicker>(seed);
}

std::unique_ptr<Picker> MakeRoundRobinPicker() {
  return std::make_unique<RoundRobinPicker>();
}

std::unique_ptr<Picker> MakeLeastInFlightPicker(uint64_t seed) {
  return std::make_unique<LeastInFlightPicker>(seed);
}

std::unique_ptr<Picker> MakePickerByName(std::string_view name, uint64_t seed) {
  if (name == "affinity") return MakeAffinityPicker(seed);
  if (name == "round-robin") return MakeRoundRobinPicker();
  if (name == "least-in-flight") return MakeLeastInFlightPicker(seed);
  return nullptr;
}

}  // namespace primrosecove
