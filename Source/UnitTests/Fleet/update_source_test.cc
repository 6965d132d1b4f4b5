// Control messages of many routers to many agents.
#include "Core/Fleet/update_source.h"

#include <catch2/catch.hpp>
#include <string>

namespace primrosecove {
namespace {

const SteadyTime kStart = SteadyTime(std::chrono::hours(1));

Endpoint RouterAt(int zone, int n) {
  return {"10." + std::to_string(zone) + ".0." + std::to_string(n), 18090};
}

std::string ZoneName(int zone) { return "z" + std::to_string(zone); }

DeploymentDigest DigestFrom(int zone, uint64_t digest,
                            uint32_t store_age_ms = 0) {
  return {digest, "llm", ZoneName(zone), 1, 0, store_age_ms};
}

// Every router sent the list of all members to every agent each second and on
// each change, which filled the links between regions with 189 processes.
TEST_CASE("lists of members cross no zone border while a zone has a router",
          "[control]") {
  struct Row {
    int zones;
    int routers;  // A zone.
    int agents;   // A zone.
  };
  for (const Row& row : {Row{5, 7, 31}, Row{7, 48, 86}, Row{1, 3, 10}}) {
    INFO(row.zones << " zones of " << row.routers << " routers and "
                   << row.agents << " agents");
    int lists = 0;
    for (int zone = 0; zone < row.zones; ++zone) {
      for (int agent = 0; agent < row.agents; ++agent) {
        UpdateSource source("agent" + std::to_string(agent), ZoneName(zone));
        for (int second = 0; second < 10; ++second) {
          // The deployment changes every two seconds.
          auto digest = static_cast<uint64_t>(second / 2);
          SteadyTime now = kStart + Milliseconds(1000 * second);
          for (int z = 0; z < row.zones; ++z) {
            for (int n = 0; n < row.routers; ++n) {
              Endpoint router = RouterAt(z, n);
              if (!source.OnDigest(router, DigestFrom(z, digest), now))
                continue;
              source.OnUpdate(router, digest, now);
              ++lists;
              // The first router that it hears may be in another zone.
              if (second > 0) REQUIRE(z == zone);
            }
          }
        }
      }
    }
    CHECK(lists <= 5 * row.zones * row.agents);
  }
}

TEST_CASE("an agent replaces a router that is silent or lacks the store",
          "[control]") {
  UpdateSource source("agent", ZoneName(0));
  SteadyTime now = kStart;
  REQUIRE(source.OnDigest(RouterAt(0, 1), DigestFrom(0, 1), now));
  source.OnUpdate(RouterAt(0, 1), 1, now);
  // A router of another zone announces more, but the own zone is preferred.
  now += Milliseconds(1000);
  CHECK_FALSE(source.OnDigest(RouterAt(1, 1), DigestFrom(1, 2), now));
  SECTION("silent") {
    now += Milliseconds(2000);
    CHECK_FALSE(source.OnDigest(RouterAt(1, 1), DigestFrom(1, 2), now));
    now += Milliseconds(1000);
    CHECK(source.OnDigest(RouterAt(1, 1), DigestFrom(1, 2), now));
    CHECK_FALSE(source.Knows(RouterAt(0, 1)));
  }
  SECTION("without the store") {
    CHECK_FALSE(source.OnDigest(RouterAt(0, 1), DigestFrom(0, 1, 5000), now));
    CHECK(source.OnDigest(RouterAt(1, 1), DigestFrom(1, 2), now));
  }
  SECTION("all without the store") {
    CHECK_FALSE(source.OnDigest(RouterAt(1, 1), DigestFrom(1, 2, 5000), now));
    CHECK(source.OnDigest(RouterAt(0, 1), DigestFrom(0, 3, 5000), now));
  }
}

TEST_CASE("a lost list is requested again", "[control]") {
  UpdateSource source("agent", ZoneName(0));
  REQUIRE(source.OnDigest(RouterAt(0, 1), DigestFrom(0, 1), kStart));
  // A second announcement while the first list may still arrive.
  CHECK_FALSE(source.OnDigest(RouterAt(0, 1), DigestFrom(0, 2),
                              kStart + Milliseconds(50)));
  CHECK(source.OnDigest(RouterAt(0, 1), DigestFrom(0, 2),
                        kStart + Milliseconds(1000)));
  source.OnUpdate(RouterAt(0, 1), 2, kStart + Milliseconds(1010));
  CHECK_FALSE(source.OnDigest(RouterAt(0, 1), DigestFrom(0, 2),
                              kStart + Milliseconds(2000)));
}

TEST_CASE("a digest does not depend on revision and ages", "[control]") {
  DeploymentUpdate update;
  update.service = "llm";
  update.members.push_back({"u1", {"10.0.0.1", 1}, "z0", 1, false});
  uint64_t digest = DigestOf(update);
  update.store_position = {2, 7};
  update.target_age_ms = 9;
  CHECK(DigestOf(update) == digest);
  DeploymentUpdate changed = update;
  changed.target_weights_version = 2;
  CHECK(DigestOf(changed) != digest);
  changed = update;
  changed.members[0].leaving = true;
  CHECK(DigestOf(changed) != digest);
  changed = update;
  changed.members[0].served_version = 2;
  CHECK(DigestOf(changed) != digest);
}

TEST_CASE("digests and requests survive encoding, cut ones are rejected",
          "[control]") {
  DeploymentDigest digest{5, "llm", "z1", 2, 300, 40};
  std::string encoded = EncodeMessage(digest);
  auto decoded = DecodeMessage(encoded);
  REQUIRE(decoded);
  const auto& it = std::get<DeploymentDigest>(decoded.value());
  CHECK(it.digest == 5);
  CHECK(it.zone == "z1");
  CHECK(it.target_weights_version == 2);
  CHECK(it.target_age_ms == 300);
  CHECK(it.store_age_ms == 40);
  std::string request = EncodeMessage(DeploymentRequest{"llm"});
  REQUIRE(DecodeMessage(request));
  for (const std::string& whole : {encoded, request}) {
    for (size_t n = 0; n < whole.size(); ++n)
      CHECK_FALSE(DecodeMessage(std::string_view(whole).substr(0, n)));
  }
}

}  // namespace
}  // namespace primrosecove
