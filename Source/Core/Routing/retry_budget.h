// Limits retries to a ratio of requests.
#pragma once

#include <cstdint>

namespace primrosecove {

/// Each request adds a fraction of a retry to the balance, up to a small
/// maximum, so that retries stay a bounded ratio of requests when many requests
/// fail at once. Not thread safe.
class RetryBudget {
 public:
  /// `ratio` is the number of retries per request; `max_balance` the number of
  /// retries that can be saved.
  RetryBudget(double ratio, double max_balance)
      : ratio_(ratio), max_balance_(max_balance), balance_(max_balance) {}
  void OnRequest() {
    balance_ =
        balance_ + ratio_ > max_balance_ ? max_balance_ : balance_ + ratio_;
  }
  /// Uses one retry of the balance if one is available.
  bool TryRetry() {
    if (balance_ < 1) return false;
    balance_ -= 1;
    return true;
  }

 private:
  double ratio_;
  double max_balance_;
  double balance_;
};

}  // namespace primrosecove
