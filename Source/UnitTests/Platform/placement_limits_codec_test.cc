// Decoding of what limits where requests may go. Guards against a value of
// another writer that ends the use of an upstream or a configuration, and
// against a restriction that is not understood.
#include <catch2/catch.hpp>

#include "platform/codec.h"
#include "platform/headers.h"
#include "platform/settings.h"

namespace primrosecove::platform {
namespace {

std::string EntryWithColdTime(const std::string& value) {
  return R"({"service":"s","address":"127.0.0.1:1","zone":"z","slots":2,)"
         R"("state":"ready")" +
         (value.empty() ? "" : ",\"cold_remaining_ms\":" + value) + "}";
}

TEST_CASE("the cold time of a registration is decoded, or unknown") {
  struct Row {
    const char* value;
    bool usable;
    std::optional<int64_t> ms;
  };
  const Row rows[] = {
      {"", true, std::nullopt},
      {"null", true, std::nullopt},
      {"0", true, 0},
      {"1500", true, 1500},
      {"1500.7", true, 1500},
      {"-5", true, std::nullopt},
      {"4000000", true, std::nullopt},
      {"1e300", false, std::nullopt},
      {"\"soon\"", false, std::nullopt},
      {"true", false, std::nullopt},
  };
  for (const Row& row : rows) {
    INFO(row.value);
    auto record = DecodeUpstream("u", EntryWithColdTime(row.value));
    REQUIRE(record.has_value() == row.usable);
    if (!row.usable) continue;
    const auto& cold = record.value().cold_start_remaining;
    REQUIRE(cold.has_value() == row.ms.has_value());
    if (cold) CHECK(cold->count() == *row.ms);
  }
}

TEST_CASE("evacuations are decoded from their keys, whatever their value") {
  struct Row {
    const char* key;
    const char* value;
    bool deleted;
    bool evacuated;
  };
  const Row rows[] = {{"op/evacuate/z1", "{}", false, true},
                      {"op/evacuate/z1", "not json", false, true},
                      {"op/evacuate/z1", "", true, false}};
  for (const Row& row : rows) {
    StoreItem item;
    item.key = row.key;
    item.value = row.value;
    item.deleted = row.deleted;
    auto change = DecodeItem(item);
    REQUIRE(change);
    REQUIRE(change.value());
    const auto* it = std::get_if<ZoneEvacuation>(&*change.value());
    REQUIRE(it != nullptr);
    CHECK(it->zone == "z1");
    CHECK(it->evacuated == row.evacuated);
    CHECK_FALSE(it->is_inferred);
  }
}

TEST_CASE("regions and cold-start rates of a configuration are decoded") {
  auto config = DecodeConfig(R"({"version":1,
    "routes":[{"host":"h","prefix":"/a/","route_type":"safe","service":"s",
               "allowed_regions":["r1","r2"]},
              {"host":"h","prefix":"/b/","route_type":"safe","service":"s",
               "allowed_regions":null},
              {"host":"h","prefix":"/c/","route_type":"safe","service":"s"}],
    "services":[{"name":"s","cold_start_s":2.5,"cold_per_s":26.0},
                {"name":"t"}],
    "tenants":[{"name":"w","api_keys":["k"],"allowed_regions":["r3"]},
               {"name":"v","api_keys":[]}]})");
  REQUIRE(config);
  const FleetConfig& it = config.value();
  using Regions = std::vector<std::string>;
  CHECK(it.routes[0].allowed_regions == Regions{"r1", "r2"});
  CHECK(it.routes[1].allowed_regions.empty());
  CHECK(it.routes[2].allowed_regions.empty());
  CHECK(it.workspaces[0].allowed_regions == Regions{"r3"});
  CHECK(it.workspaces[1].allowed_regions.empty());
  CHECK(it.services.at("s").cold_start == Milliseconds(2500));
  CHECK(it.services.at("s").cold_start_rate == 26);
  CHECK(it.services.at("t").cold_start_rate == 0);
}

TEST_CASE("bounds of evacuations and cold starts are read if they are set") {
  const std::string head =
      "node_name: n\nip: 127.0.0.1\nplatform: {address: '127.0.0.1:1'}\n";
  auto without = ParseSettings(head + "bounds: {drain_ms: 100}\n");
  REQUIRE(without);
  CHECK_FALSE(without.value().bounds.evacuate);
  auto with = ParseSettings(
      head + "bounds: {evacuate_ms: 5000, cold_overage: 1.5, cold_slack: 5}\n");
  REQUIRE(with);
  CHECK(with.value().bounds.evacuate == Milliseconds(5000));
  CHECK(with.value().bounds.cold_overage == 1.5);
  CHECK(with.value().bounds.cold_slack == 5);
  for (const char* value : {".nan", ".inf", "-.inf", "many"}) {
    INFO(value);
    CHECK_FALSE(ParseSettings(head + "bounds: {cold_slack: " + value + "}\n"));
  }
}

TEST_CASE("the cold time of a response is decoded") {
  struct Row {
    const char* value;
    std::optional<int64_t> ms;
  };
  const Row rows[] = {{"1200", 1200},         {"0", 0},
                      {"-1", std::nullopt},   {"1.5", std::nullopt},
                      {"soon", std::nullopt}, {"", std::nullopt}};
  for (const Row& row : rows) {
    INFO(row.value);
    auto fields = DecodeResponseFields(200, {{"Cold-Start-Ms", row.value}});
    REQUIRE(fields.cold_start_remaining.has_value() == row.ms.has_value());
    if (row.ms) CHECK(fields.cold_start_remaining->count() == *row.ms);
    CHECK_FALSE(DecodeResponseFields(421, {{"Cold-Start-Ms", row.value}})
                    .cold_start_remaining);
  }
}

}  // namespace
}  // namespace primrosecove::platform
