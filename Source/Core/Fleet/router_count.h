// Estimates the number of routers from what agents report.
#pragma once

#include "Core/Fleet/deployment.h"

namespace primrosecove {

/// The largest number of routers that an agent reported within a window. An
/// agent that has just started, or was cut off, knows few routers. Not thread
/// safe; the caller supplies the time.
class RouterCount {
 public:
  /// `initial` is used until the number is known; too high a number is safe,
  /// because it makes this router's share of a common allowance smaller.
  explicit RouterCount(Milliseconds window, int initial = kInitialRouters)
      : window_(window), routers_(initial) {}

  void SetWindow(Milliseconds window) { window_ = window; }

  /// Records a report of one agent.
  void Report(int routers, Milliseconds now);
  int value() const { return routers_; }

 private:
  static constexpr int kInitialRouters = 8;

  Milliseconds window_;
  int routers_;
  Milliseconds reported_at_{0};
};

}  // namespace primrosecove
