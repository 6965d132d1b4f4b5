#include "Core/Config/parser.h"

#include <catch2/catch.hpp>
#include <random>

#include "Core/Config/diff.h"
#include "Core/Control/metrics.h"

namespace primrosecove {
namespace {

const std::string kDigestHex(64, '5');

std::string ValidBase() {
  return R"(deployment: test
links:
  host_bytes_per_second: 1000
places:
  - {name: north, region: r1}
  - {name: south, region: r2, failure_domain: d2}
services:
  - {name: llm, kind: engine, reports_load: true}
  - name: shop
    kind: plain
    non_idempotent:
      - {method: POST, path_prefix: /shop/orders}
upstreams:
  - {name: llm-1, service: llm, place: north}
  - {name: llm-2, service: llm, place: south}
  - {name: shop-1, service: shop, place: south}
models:
  - name: chat
    service: llm
    version: a
    versions:
      - {name: a, manifest: )" +
         kDigestHex + R"(}
    replicas: 2
workspaces:
  - {name: w1, requests_per_second: 5}
)";
}

std::string ReplaceOnce(std::string text, const std::string& from,
                        const std::string& to) {
  size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

Bundle BundleWithOverlay(const std::string& overlay) {
  return {ValidBase(), {{"south", "site: south\n" + overlay}}};
}

}  // namespace

TEST_CASE("ParseBundle reads a base file into typed values", "[config]") {
  auto config = ParseBundle({ValidBase(), {}}, "north");
  REQUIRE(config);
  const Configuration& it = config.value();
  CHECK(it.deployment == "test");
  CHECK(it.links.host_bytes_per_second == 1000);
  CHECK(it.FindPlace("north")->failure_domain == "north");
  CHECK(it.FindPlace("south")->failure_domain == "d2");
  CHECK(it.FindModel("chat")->CurrentVersion().manifest.ToHex() == kDigestHex);
  CHECK(it.UpstreamsOf("llm").size() == 2);
  CHECK(it.FindServiceByPath("/shop/stock")->name == "shop");
  CHECK(it.FindServiceByPath("/other") == nullptr);
  CHECK(IsNonIdempotent(*it.FindService("shop"), "POST", "/shop/orders/1"));
  CHECK_FALSE(
      IsNonIdempotent(*it.FindService("shop"), "GET", "/shop/orders/1"));
}

TEST_CASE("ParseBundle rejects an invalid base file with file and line",
          "[config]") {
  struct Row {
    std::string from;
    std::string to;
    std::string expected;
  };
  auto row = GENERATE(values<Row>({
      {"replicas: 2", "replica: 2",
       "base.yaml:23: model: unknown key 'replica'; did you mean 'replicas'?"},
      {"replicas: 2", "replicas: many",
       "base.yaml:23: model: 'replicas' must be an integer"},
      {"replicas: 2", "replicas: -1", "must be from 0 to"},
      {"version: a", "version: b", "'version' must name one of 'versions'"},
      {"deployment: test", "deployment: [x]", "base.yaml:1:"},
      {"place: north}", "place: west}",
       "base.yaml:14: upstream: unknown place 'west'"},
      {"service: llm, place: north", "service: lmm, place: north",
       "unknown service 'lmm'"},
      {"name: llm-2", "name: llm-1", "upstream 'llm-1' is given twice"},
      {kDigestHex, "abc", "a digest has 64 hexadecimal digits"},
      {"kind: engine", "kind: motor", "allowed: engine, plain"},
      {"name: w1", "name: 'w 1'", "letters, digits"},
      {"links:", "links: [", "base.yaml:"},
      {"places:", "links: {}\nplaces:", "'links' is given twice"},
  }));
  CAPTURE(row.from, row.to);
  auto config =
      ParseBundle({ReplaceOnce(ValidBase(), row.from, row.to), {}}, "");
  REQUIRE_FALSE(config);
  CHECK_THAT(config.error().message, Catch::Contains(row.expected));
}

TEST_CASE("an overlay's overrides apply to its own site only", "[config]") {
  Bundle bundle = BundleWithOverlay(
      "workspaces:\n  w1: {requests_per_second: 9}\n"
      "services:\n  llm: {objectives: {first_token_ms: 700}}\n"
      "links: {host_bytes_per_second: 2000}\n"
      "remove_upstreams: [shop-1]\n"
      "add_upstreams:\n  - {name: llm-3, service: llm}\n");
  REQUIRE(ValidateBundle(bundle));
  Configuration north = ParseBundle(bundle, "north").value();
  Configuration south = ParseBundle(bundle, "south").value();
  CHECK(north.FindWorkspace("w1")->requests_per_second == 5);
  CHECK(south.FindWorkspace("w1")->requests_per_second == 9);
  CHECK(north.FindService("llm")->objectives.first_token_ms == 1400);
  CHECK(south.FindService("llm")->objectives.first_token_ms == 700);
  CHECK(north.links.host_bytes_per_second == 1000);
  CHECK(south.links.host_bytes_per_second == 2000);
  // Upstreams must be the same for every site; otherwise two sites would
  // compute different placements of models.
  for (const Configuration* it : {&north, &south}) {
    CHECK(it->FindUpstream("shop-1") == nullptr);
    REQUIRE(it->FindUpstream("llm-3") != nullptr);
    CHECK(it->FindUpstream("llm-3")->place == "south");
  }
}

TEST_CASE(
    "ParseBundle rejects an overlay that changes anything outside its site",
    "[config]") {
  struct Row {
    std::string overlay;
    std::string expected;
  };
  auto row = GENERATE(values<Row>({
      {"models: []\n", "overlays/south.yaml:2: overlay: unknown key 'models'"},
      {"remove_upstreams: [llm-1]\n", "belongs to place 'north'"},
      {"remove_upstreams: [nobody]\n", "unknown upstream 'nobody'"},
      {"add_upstreams:\n  - {name: x, service: llm, place: north}\n",
       "its own place only"},
      {"workspaces:\n  w9: {weight: 2}\n", "unknown workspace 'w9'"},
      {"workspaces:\n  w1: {wieght: 2}\n", "did you mean 'weight'?"},
  }));
  auto config = ParseBundle(BundleWithOverlay(row.overlay), "north");
  REQUIRE_FALSE(config);
  CHECK_THAT(config.error().message, Catch::Contains(row.expected));
}

TEST_CASE("DescribeChanges lists changed fields with old and new values",
          "[config]") {
  Configuration before = ParseBundle({ValidBase(), {}}, "").value();
  Configuration after =
      ParseBundle({ReplaceOnce(ValidBase(), "replicas: 2", "replicas: 1"), {}},
                  "")
          .value();
  CHECK(DescribeChanges(before, before).empty());
  CHECK(DescribeChanges(before, after) ==
        std::vector<std::string>{"model chat: replicas 2 -> 1"});
}

TEST_CASE("Bundle and Head round-trip and reject malformed input", "[config]") {
  Bundle bundle = BundleWithOverlay("");
  CHECK(Bundle::Decode(bundle.Encode()).value() == bundle);
  CHECK_FALSE(Bundle::Decode("{}"));
  CHECK(Bundle::Decode(std::string(Bundle::kMaxEncodedBytes + 1, 'x'))
            .error()
            .code == ErrorCode::kTooLarge);
  Head head{7, Sha256("x"), "op", "who", 5, "what"};
  CHECK(Head::Decode(head.Encode()).value() == head);
  CHECK_FALSE(Head::Decode("[]"));
}

// Randomly corrupted YAML (anchors, tags, unbalanced brackets, invalid UTF-8)
// must fail with an error, without a crash or a leak.
TEST_CASE("10000 malformed sources neither crash the parser nor leak memory",
          "[config][malformed]") {
  constexpr int kInputs = 10000;
  constexpr uint64_t kAllowedGrowthBytes = 16 << 20;
  const std::string fragments[] = {
      "&a [*a, *a]", "{", "]",  ": ", "- ",   "\n  ",  "!!binary ", "|\n",
      "\xff",        "'", "\"", "? ", "<<: ", "1e999", "~",         "\t"};
  std::mt19937_64 random(20261203);
  const std::string valid = ValidBase();
  uint64_t before = 0;
  for (int i = 0; i < kInputs; ++i) {
    // The first thousand inputs warm up the allocator's pools.
    if (i == kInputs / 10) before = ResidentBytes();
    std::string text = valid;
    size_t changes = random() % 5 + 1;
    for (size_t n = 0; n < changes; ++n) {
      size_t at = random() % text.size();
      if (random() % 2 == 0) {
        text.insert(at, fragments[random() % std::size(fragments)]);
      } else {
        text.erase(at, random() % 20);
      }
    }
    (void)ParseBundle({text, {}}, "");
  }
  CHECK(ResidentBytes() < before + kAllowedGrowthBytes);
}

}  // namespace primrosecove
