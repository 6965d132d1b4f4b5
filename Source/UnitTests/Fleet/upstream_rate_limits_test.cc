// Tests the rate limits of upstreams as one router knows them.
#include "Core/Fleet/upstream_rate_limits.h"

#include <catch2/catch.hpp>

namespace primrosecove {
namespace {

FleetUpstream MakeUpstream(int64_t start_time_ms = 1000) {
  FleetUpstream out;
  out.record.id = "a";
  out.record.service = "s";
  out.record.endpoint = {"10.0.0.1", 80};
  out.record.start_time_ms = start_time_ms;
  return out;
}

UpstreamRegistry MakeRegistry(int64_t start_time_ms) {
  UpstreamRegistry out;
  out.Apply({"a", MakeUpstream(start_time_ms).record, ""}, MonotonicTime(-9000),
            MonotonicTime(0));
  return out;
}

ResponseFields Response(std::optional<double> limit, bool is_signed = true) {
  ResponseFields out;
  out.is_success = true;
  out.is_signed = is_signed;
  out.rate_limit = limit;
  return out;
}

// Guards against a limit that is kept, dropped or taken over wrongly.
TEST_CASE("a rate limit holds until its process states another or none") {
  struct Row {
    const char* name;
    ResponseFields response;
    int64_t request_sent_at;
    int64_t start_time_ms;
    std::optional<double> limit;
    int responses = 1;
  };
  ResponseFields malformed = Response(std::nullopt);
  malformed.has_malformed_rate_limit = true;
  ResponseFields failure = Response(std::nullopt);
  failure.is_success = false;
  const Row rows[] = {
      {"another value", Response(5), 100, 1000, 5},
      {"none, in three responses to later requests", Response(std::nullopt),
       1100, 1000, std::nullopt, 3},
      {"none, in two responses to later requests", Response(std::nullopt), 1100,
       1000, 2, 2},
      {"none, in responses to earlier requests", Response(std::nullopt), 900,
       1000, 2, 3},
      {"none, in failures", failure, 1100, 1000, 2, 9},
      {"none, in an unsigned response", Response(std::nullopt, false), 1100,
       1000, 2, 9},
      {"malformed", malformed, 1100, 1000, 2},
      {"none, by the next process", Response(std::nullopt), 1100, 2000,
       std::nullopt},
      {"another value, by the next process", Response(7, false), 1100, 2000, 7},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    UpstreamRateLimits limits;
    FleetUpstream upstream = MakeUpstream();
    CHECK_FALSE(limits.LimitOf(upstream));
    limits.OnResponse("a", upstream.record.start_time_ms, Response(2, false),
                      MonotonicTime(0), MonotonicTime(1000));
    CHECK(limits.LimitOf(upstream) == 2);
    upstream.record.start_time_ms = row.start_time_ms;
    for (int n = 0; n < row.responses; ++n) {
      limits.OnResponse("a", upstream.record.start_time_ms, row.response,
                        MonotonicTime(row.request_sent_at),
                        MonotonicTime(1200));
    }
    CHECK(limits.LimitOf(upstream) == row.limit);
  }
}

// Guards against requests of all routers at once, at an upstream that seems to
// have restarted because an entry of another writer says so.
TEST_CASE("the limit of an upstream outlasts a restart until it responds") {
  UpstreamRateLimits limits;
  limits.OnResponse("a", 1000, Response(2), MonotonicTime(0),
                    MonotonicTime(10));
  CHECK(limits.size() == 1);
  CHECK(limits.LimitOf(MakeUpstream(2000)) == 2);
  limits.Update(MakeRegistry(2000), MonotonicTime(20));
  CHECK(limits.size() == 1);
  // A response to a request that was sent before the limit was stated.
  limits.OnResponse("a", 2000, Response(std::nullopt), MonotonicTime(5),
                    MonotonicTime(30));
  CHECK(limits.size() == 1);
  limits.OnResponse("a", 2000, Response(std::nullopt), MonotonicTime(25),
                    MonotonicTime(30));
  CHECK(limits.size() == 0);
}

// Guards against a limit that never ends, because it was stated for a start
// time that an entry of another writer gave.
TEST_CASE("a limit that was stated for a foreign start time ends") {
  UpstreamRateLimits limits;
  limits.OnResponse("a", 9000, Response(2), MonotonicTime(0),
                    MonotonicTime(10));
  for (int n = 0; n < UpstreamRateLimits::kResponsesToEnd; ++n) {
    CHECK(limits.size() == 1);
    limits.OnResponse("a", 1000, Response(std::nullopt), MonotonicTime(20),
                      MonotonicTime(30));
  }
  CHECK(limits.size() == 0);
}

// Guards against a limit that is forgotten while the registration of its
// process lapses, or kept for ever.
TEST_CASE("a rate limit outlives its upstream's registration for a while") {
  struct Row {
    const char* name;
    Milliseconds age;
    bool is_registered;
    size_t limits;
  };
  constexpr Milliseconds kLifetime = UpstreamRateLimits::kUnregisteredLifetime;
  const Row rows[] = {
      {"lapsed", Milliseconds(5000), false, 1},
      {"gone for long", kLifetime + Milliseconds(1), false, 0},
      {"registered, without requests", 10 * kLifetime, true, 1},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    UpstreamRateLimits limits;
    limits.OnResponse("a", 1000, Response(2), MonotonicTime(0),
                      MonotonicTime(0));
    UpstreamRegistry registry =
        row.is_registered ? MakeRegistry(1000) : UpstreamRegistry();
    limits.Update(registry, row.age);
    CHECK(limits.size() == row.limits);
    // What has been forgotten does not return by way of a relay.
    auto age_ms = static_cast<uint32_t>(row.age.count());
    RateLimitSummary summary{{{{"a", 1000, 2.0, age_ms}, {7}, false}}};
    limits.OnSummary(summary, registry, row.age);
    CHECK(limits.size() == row.limits);
  }
}

// Guards against a limit that ends as the start time of its process becomes
// known, is unknown again for a while, or seems to be another one.
TEST_CASE("a rate limit holds while the start time of its process is unknown") {
  struct Row {
    const char* name;
    int64_t stated_for;
    int64_t known;
    int responses_to_end;
  };
  const Row rows[] = {
      {"known later", 0, 1000, 3},        {"unknown again", 1000, 0, 3},
      {"the same", 1000, 1000, 3},        {"earlier", 2000, 1000, 3},
      {"a later process", 1000, 2000, 1},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    UpstreamRateLimits limits;
    FleetUpstream upstream = MakeUpstream(row.known);
    limits.OnResponse("a", row.stated_for, Response(2), MonotonicTime(0),
                      MonotonicTime(0));
    for (int n = 0; n < row.responses_to_end; ++n) {
      CHECK(limits.LimitOf(upstream) == 2);
      limits.OnResponse("a", row.known, Response(std::nullopt),
                        MonotonicTime(10), MonotonicTime(20));
    }
    CHECK_FALSE(limits.LimitOf(upstream));
  }
}

// Guards against a limit that never ends because no request tests its end, and
// against too many such requests.
TEST_CASE("a router tests the end of a rate limit with single requests") {
  UpstreamRateLimits limits;
  FleetUpstream upstream = MakeUpstream();
  MonotonicTime now(10);
  int64_t unix_ms = 1'796'000'000'000;
  auto send_all = [&] {
    int sent = 0;
    for (; sent < 100 && limits.MaySend(upstream, now, unix_ms); ++sent)
      limits.OnSent(upstream, unix_ms);
    return sent;
  };
  limits.OnResponse("a", 1000, Response(2), MonotonicTime(0), now);
  send_all();
  CHECK(send_all() == 0);
  for (int n = 1; n < UpstreamRateLimits::kResponsesToEnd; ++n) {
    limits.OnResponse("a", 1000, Response(std::nullopt), MonotonicTime(20),
                      now);
    CHECK(send_all() == 1);
  }
  limits.OnResponse("a", 1000, Response(2), MonotonicTime(20), now);
  limits.OnResponse("a", 1000, Response(std::nullopt), MonotonicTime(30), now);
  CHECK(send_all() == 1);
  CHECK(limits.LimitOf(upstream) == 2);
}

// Guards against excess requests whose cause can't be told from the log.
TEST_CASE("requests after the end of a rate limit are counted") {
  UpstreamRateLimits limits;
  FleetUpstream upstream = MakeUpstream();
  limits.OnSent(upstream, 0);
  limits.OnResponse("a", upstream.record.start_time_ms, Response(2),
                    MonotonicTime(0), MonotonicTime(10));
  for (int n = 0; n < UpstreamRateLimits::kResponsesToEnd; ++n) {
    limits.OnResponse("a", upstream.record.start_time_ms,
                      Response(std::nullopt), MonotonicTime(20),
                      MonotonicTime(30));
  }
  limits.OnSent(upstream, 40);
  limits.OnSent(upstream, 50);
  limits.Update(MakeRegistry(1000), MonotonicTime(5100));
  limits.OnSent(upstream, 6000);
  CHECK(limits.counters().ends == 1);
  CHECK(limits.counters().sends_after_end == 2);
}

// Guards against limits that have ended and are reported back and forth.
TEST_CASE("the end of a rate limit is forgotten") {
  UpstreamRegistry registry = MakeRegistry(1000);
  RateLimitSummary summary{{{{"a", 1000, 2.0, 0}, {7}, false}}};
  RateLimitSummary end{{{{"a", 1000, std::nullopt, 0}, {7}, false}}};
  UpstreamRateLimits limits;
  limits.OnSummary(end, registry, MonotonicTime(100));
  CHECK(limits.MakeReports(MonotonicTime(100)).at(0).entries.empty());
  limits.OnSummary(summary, registry, MonotonicTime(200));
  CHECK(limits.size() == 1);
  limits.OnSummary(end, registry, MonotonicTime(1000));
  CHECK(limits.size() == 0);
  CHECK(limits.MakeReports(MonotonicTime(1000)).at(0).entries.size() == 1);
  limits.Update(registry, MonotonicTime(7000));
  // A relay keeps it a little longer.
  end.entries[0].statement.age_ms = 6000;
  limits.OnSummary(end, registry, MonotonicTime(7000));
  CHECK(limits.MakeReports(MonotonicTime(7000)).at(0).entries.empty());
  CHECK_FALSE(limits.HasNews());
}

}  // namespace
}  // namespace primrosecove
