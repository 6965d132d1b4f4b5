// Tests what a relay of rate limits tells routers, and how much it sends.
#include "Core/Membership/rate_limit_relay.h"

#include <catch2/catch.hpp>
#include <string>

namespace primrosecove {
namespace {

Endpoint RouterAt(size_t n) { return {"10.0.0." + std::to_string(n), 80}; }

RateLimitReport Report(uint64_t router, size_t first, size_t upstreams,
                       bool is_chosen = true) {
  RateLimitReport out{.router_id = router, .is_chosen = is_chosen};
  for (size_t n = first; n < first + upstreams; ++n) {
    out.entries.push_back(
        {{"i-0123456789-" + std::to_string(n), 1000, 5.0, 100}, true});
  }
  return out;
}

size_t BytesOf(const std::vector<RateLimitSummary>& summaries) {
  size_t out = 0;
  for (const auto& it : summaries) out += EncodeMessage(it).size();
  return out;
}

// Guards against routers that report to each other's relays for ever, and
// against a relay that nobody hears of.
TEST_CASE("an agent is a relay while a router has chosen it") {
  RateLimitRelay relay;
  CHECK(relay.MakeAnnouncements(0).empty());
  auto joined = relay.OnReport(Report(1, 0, 1, false), RouterAt(1), 0);
  CHECK(joined.to_sender.empty());
  CHECK(joined.to_others.empty());
  relay.OnReport({.router_id = 2}, RouterAt(2), 100);
  CHECK(relay.MakeAnnouncements(100).size() == 1);
  CHECK(relay.ReportsHere(RouterAt(2), 100));
  CHECK_FALSE(relay.ReportsHere(RouterAt(3), 100));
  joined =
      relay.OnReport({.router_id = 1, .is_chosen = false}, RouterAt(1), 300);
  CHECK(joined.to_sender.size() == 1);
  // The router that had chosen it is gone.
  int64_t later = 101 + RateLimitRelay::kChosenLifetimeMs;
  joined =
      relay.OnReport({.router_id = 1, .is_chosen = false}, RouterAt(1), later);
  CHECK(joined.to_sender.empty());
  CHECK(relay.MakeAnnouncements(later).empty());
  CHECK_FALSE(relay.ReportsHere(RouterAt(2), later));
}

// Guards against relays whose links are full of summaries, which are then lost,
// when many upstreams state limits at the same time.
TEST_CASE("a relay sends little if many upstreams have a limit") {
  constexpr size_t kRouters = 16;
  constexpr size_t kUpstreams = 68;
  constexpr int64_t kSeconds = 5;
  // An eighth of a link of 7.3 Mbit/s, which also carries an engine's
  // responses and weights.
  constexpr size_t kMaxBytesPerSecond = 7'300'000 / 8 / 8;
  RateLimitRelay relay;
  size_t bytes = 0;
  for (int64_t now_ms = 0; now_ms < kSeconds * 1000; now_ms += 500) {
    for (size_t router = 0; router < kRouters; ++router) {
      for (size_t first = 0; first < kUpstreams;
           first += RateLimitReport::kMaxEntries) {
        size_t n = std::min(RateLimitReport::kMaxEntries, kUpstreams - first);
        auto answer = relay.OnReport(Report(router, first, n), RouterAt(router),
                                     now_ms + static_cast<int64_t>(router));
        bytes += BytesOf(answer.to_sender) +
                 (kRouters - 1) * BytesOf(answer.to_others);
      }
    }
  }
  CHECK(bytes / kSeconds <= kMaxBytesPerSecond);
}

}  // namespace
}  // namespace primrosecove
