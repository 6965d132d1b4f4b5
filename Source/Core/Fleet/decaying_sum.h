// A sum whose terms lose weight with their age.
#pragma once

#include <cmath>

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// A term counts by half after kHalfLife. Not thread safe; the caller supplies
/// the time, which does not decrease.
class DecayingSum {
 public:
  static constexpr Milliseconds kHalfLife{2000};

  void Add(double term, Milliseconds now) {
    value_ = At(now) + term;
    at_ = now;
  }
  double At(Milliseconds now) const {
    double age = static_cast<double>((now - at_).count());
    return value_ * std::exp2(-age / static_cast<double>(kHalfLife.count()));
  }

 private:
  double value_ = 0;
  Milliseconds at_{0};
};

}  // namespace primrosecove
