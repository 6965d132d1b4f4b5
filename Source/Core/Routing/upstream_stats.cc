#include "Core/Routing/upstream_stats.h"

#include <algorithm>

namespace primrosecove {
namespace {

constexpr double kSmoothing = 0.1;
// Assumed before the first response: optimistic, so that a new upstream gets
// requests.
constexpr double kDefaultFirstTokenMs = 20;
constexpr uint32_t kConsecutiveFailuresToEject = 3;
constexpr Milliseconds kBaseEjectionTime{500};
constexpr uint32_t kMaxEjectionDoublings = 5;

}  // namespace

void UpstreamStats::OnLoadReport(uint32_t running, uint32_t waiting) {
  reported_load_ = running + waiting;
  sent_since_report_ = 0;
}

void UpstreamStats::OnFirstToken(double ms) {
  double load = EstimatedLoad();
  if (first_token_ms_ == 0) {
    first_token_ms_ = ms;
    mean_load_at_samples_ = load;
    return;
  }
  first_token_ms_ += kSmoothing * (ms - first_token_ms_);
  mean_load_at_samples_ += kSmoothing * (load - mean_load_at_samples_);
}

void UpstreamStats::OnFailure(SteadyTime now) {
  ++consecutive_failures_;
  probing_ = false;
  if (consecutive_failures_ < kConsecutiveFailuresToEject) return;
  uint32_t doublings =
      std::min(consecutive_failures_ - kConsecutiveFailuresToEject,
               kMaxEjectionDoublings);
  ejected_until_ = now + kBaseEjectionTime * (1 << doublings);
}

void UpstreamStats::OnSuccess() {
  consecutive_failures_ = 0;
  probing_ = false;
}

double UpstreamStats::EstimatedLoad() const {
  return std::max(in_flight_, reported_load_ + sent_since_report_);
}

// The delay is about proportional to the number of requests in the upstream's
// batch.
double UpstreamStats::ExpectedDelayMs() const {
  double base = first_token_ms_ == 0 ? kDefaultFirstTokenMs : first_token_ms_;
  return base * (EstimatedLoad() + 1) / (mean_load_at_samples_ + 1);
}

bool UpstreamStats::IsAvailable(SteadyTime now) const {
  if (consecutive_failures_ < kConsecutiveFailuresToEject) return true;
  return now >= ejected_until_ && in_flight_ == 0;
}

}  // namespace primrosecove
