// A token bucket rate limiter.
#pragma once

#include <cstdint>

#include "Core/Net/event_loop.h"

namespace primrosecove {

/// Holds tokens that refill at a constant rate up to the burst size. A rate of
/// 0 means no limit. Not thread safe.
class TokenBucket {
 public:
  /// The unit of `tokens_per_second` and `burst` is the caller's, e.g. bytes.
  TokenBucket(double tokens_per_second, double burst);
  /// Consumes `n` tokens if that many are available; returns whether it did. A
  /// full bucket also grants more than the burst size, and the number of
  /// available tokens becomes negative, so that a large consumer is delayed but
  /// never blocked.
  bool TryTake(double n, SteadyTime now);
  /// Consumes `n` tokens unconditionally. The number of available tokens may
  /// become negative, which delays later consumers.
  void Take(double n, SteadyTime now);
  /// Returns the time until `n` tokens (at most the burst size) are available;
  /// zero when they are available now.
  Milliseconds Wait(double n, SteadyTime now);
  /// Changes rate and burst size; available tokens beyond the new burst size
  /// are discarded.
  void SetRate(double tokens_per_second, double burst);
  double rate() const { return rate_; }

 private:
  void Refill(SteadyTime now);

  double rate_;
  double burst_;
  double available_;
  SteadyTime refilled_;
};

}  // namespace primrosecove
