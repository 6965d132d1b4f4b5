#include "Core/Fleet/router_count.h"

#include <algorithm>

namespace primrosecove {

void RouterCount::Report(int routers, Milliseconds now) {
  bool is_recent = now - reported_at_ <= window_;
  if (routers < routers_ && is_recent) return;
  routers_ = std::max(routers, 1);
  reported_at_ = now;
}

}  // namespace primrosecove
