// Decoding of the platform's items, header fields and settings. Other processes
// write them, so malformed input must fail without effect on valid input.
#include "platform/codec.h"

#include <catch2/catch.hpp>

#include "platform/headers.h"
#include "platform/settings.h"

namespace primrosecove::platform {
namespace {

constexpr char kRegistrationFields[] =
    R"("service":"s","address":"10.0.0.1:80","zone":"z","slots":4)";

TEST_CASE("malformed registrations decode to a change without a record") {
  struct Row {
    const char* name;
    std::string text;
    bool usable;
    bool leaving;
  };
  std::string base = kRegistrationFields;
  const Row rows[] = {
      {"ready", "{" + base + R"(,"state":"ready"})", true, false},
      {"leaving", "{" + base + R"(,"state":"draining"})", true, true},
      {"unknown fields",
       "{" + base + R"(,"state":"ready","future":[1,{"a":2}]})", true, false},
      {"unknown state", "{" + base + R"(,"state":"resting"})", false, false},
      {"no state", "{" + base + "}", false, false},
      {"state of another type", "{" + base + R"(,"state":1})", false, false},
      {"address without port",
       R"({"service":"s","address":"10.0.0.1","zone":"z","slots":4,)"
       R"("state":"ready"})",
       false, false},
      {"slots of another type",
       R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":"4",)"
       R"("state":"ready"})",
       false, false},
      {"models of another type",
       "{" + base + R"(,"state":"ready","models":[3]})", false, false},
      {"cut short", "{" + base, false, false},
      {"not UTF-8", "\xff\xfe", false, false},
      {"a list", "[]", false, false},
      {"empty text", "", false, false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    auto change = DecodeItem({"servers/i-1", row.text, 5, false});
    REQUIRE(change);
    REQUIRE(change.value());
    const auto& upstream = std::get<UpstreamChange>(*change.value());
    CHECK(upstream.id == "i-1");
    REQUIRE(upstream.record.has_value() == row.usable);
    if (row.usable) {
      CHECK(upstream.record->leaving == row.leaving);
    } else {
      CHECK_FALSE(upstream.unusable_reason.empty());
    }
  }
}

// Guards against an odd entry of another writer that is taken for sound: a
// number that does not fit its field is undefined, and differs between
// processors, or wraps.
TEST_CASE("a number that does not fit its field makes an entry unusable") {
  struct Row {
    const char* field;
    const char* value;
    bool usable;
  };
  const Row rows[] = {
      {"slots", "4", true},
      {"slots", "4.0", true},
      {"slots", "0", true},
      {"slots", "-1", false},
      {"slots", "4.5", false},
      {"slots", "65536", false},
      {"slots", "4294967300", false},
      {"slots", "99999999999999999999", false},
      {"slots", "1e300", false},
      {"slots", "1e400", false},
      {"slots", "true", false},
      {"slots", "null", false},
      {"born", "1796000000000", true},
      {"born", "-5", false},
      {"born", "1e300", false},
      {"born", "18446744073709551615", false},
      {"born", "1796000000000.5", false},
      {"cold_remaining_ms", "250.5", true},
      {"cold_remaining_ms", "1e300", false},
      {"cold_remaining_ms", "true", false},
      {"models", R"([{"name":"m","version":-1}])", false},
      {"models", R"([{"name":"m","version":1e30}])", false},
      {"address", R"("10.0.0.1:0")", false},
      {"address", R"("10.0.0.1:65536")", false},
      {"address", R"("10.0.0.1:-80")", false},
      {"address", R"("10.0.0.1:99999999999999999999")", false},
      {"address", "[80]", false},
  };
  for (const Row& row : rows) {
    INFO(row.field << " " << row.value);
    // Of several fields with one name, the last holds.
    std::string text = "{" + std::string(kRegistrationFields) +
                       R"(,"state":"ready",")" + row.field + "\":" + row.value +
                       "}";
    CHECK(DecodeUpstream("i-1", text).has_value() == row.usable);
  }
}

// Guards against a log line as large as the entry of another writer.
TEST_CASE("the error of an odd entry is short") {
  for (const std::string& text :
       {std::string(500'000, '9'), "{\"slots\":" + std::string(500'000, '9'),
        std::string(500'000, '[')}) {
    auto record = DecodeUpstream("i-1", text);
    REQUIRE_FALSE(record);
    CHECK(record.error().message.size() <= 300);
  }
}

TEST_CASE("an engine status with a number out of range is unreadable") {
  for (const char* field : {"pace", "running", "waiting", "kv_in_use"}) {
    for (const char* value : {"1e300", "-1"}) {
      INFO(field << " " << value);
      std::string text = std::string("{\"") + field + "\":" + value + "}";
      CHECK_FALSE(DecodeEngineStatus(text));
    }
  }
}

// Guards against numbers in header fields that wrap to small or negative ones.
TEST_CASE("numbers of header fields that fit no field are not used") {
  const char* huge = "18446744073709551615";
  CallerFields caller =
      DecodeCallerFields({{"Request-Id", "1"},
                          {"Deadline-Ms", huge},
                          {"Length-Hint", huge},
                          {"Token-Usage", std::string(huge) + "," + huge}});
  CHECK((!caller.deadline || *caller.deadline > Milliseconds(0)));
  CHECK(caller.expected_output_tokens.value_or(0) >= 0);
  CHECK(caller.prompt_tokens >= 0);
  CHECK(caller.max_output_tokens >= 0);
  ResponseFields response =
      DecodeResponseFields(200, {{"Server-Load", "4294967300,0,4"}});
  CHECK_FALSE(response.load);
}

TEST_CASE("weights are fully loaded if all layers have their version") {
  struct Row {
    const char* name;
    const char* layers;
    bool expected;
  };
  const Row rows[] = {
      {"no layers field", "", true},
      {"one range", R"(,"layers":[{"from":0,"to":16,"version":2}])", true},
      {"two ranges of one version",
       R"(,"layers":[{"from":0,"to":8,"version":2},)"
       R"({"from":8,"to":16,"version":2}])",
       true},
      {"ranges of two versions",
       R"(,"layers":[{"from":0,"to":8,"version":1},)"
       R"({"from":8,"to":16,"version":2}])",
       false},
      {"empty list", R"(,"layers":[])", false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    std::string text = R"({"models":[{"name":"m","version":2}])" +
                       std::string(row.layers) + "}";
    auto status = DecodeEngineStatus(text);
    REQUIRE(status);
    REQUIRE(status.value().weights.size() == 1);
    CHECK(status.value().weights[0].fully_loaded == row.expected);
  }
}

TEST_CASE("a truncated or invalid configuration is refused") {
  const std::string text =
      R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/",)"
      R"("route_type":"streaming","timeout_ms":6000,"latency_target_ms":400,)"
      R"("priority":1,"split":[{"service":"s","weight":90},)"
      R"({"service":"o","weight":10}],"max_attempts":2,"resumable":true,)"
      R"("sticky":true}],"services":[{"name":"s","max_conns":9,"runtime":)"
      R"({"slots":16,"read_per_s":20700.0,"models":[{"name":"m",)"
      R"("warm_s":0.3}],"chunks":96}},{"name":"o","origin":"1.2.3.4:5"}],)"
      R"("tenants":[{"name":"w","api_keys":["k"],"priority":1}],)"
      R"("limits":{"idle_timeout_ms":15000}})";
  auto config = DecodeConfig(text);
  REQUIRE(config);
  const FleetConfig& it = config.value();
  CHECK(it.version == 7);
  CHECK(it.routes[0].kind == RequestKind::kStream);
  CHECK(it.routes[0].IsRetryable());
  CHECK(it.routes[0].services.size() == 2);
  CHECK(it.services.at("s").engine->models[0].warm_up == Milliseconds(300));
  CHECK(it.services.at("o").origin->port == 5);
  CHECK(it.workspaces[0].keys[0] == "k");
  CHECK(it.limits.idle_timeout == Milliseconds(15'000));
  for (size_t n : {text.size() - 1, text.size() / 2, size_t{0}}) {
    CHECK_FALSE(DecodeConfig(text.substr(0, n)));
  }
  std::string unknown = text;
  unknown.replace(unknown.find("streaming"), 9, "telepathy");
  CHECK_FALSE(DecodeConfig(unknown));
}

TEST_CASE("credentials and system fields of a caller are not forwarded") {
  HttpHeaders caller = {{"Host", "h"},
                        {"Request-Id", "1"},
                        {"authorization", "Bearer k"},
                        {"TENANT", "somebody"},
                        {"Expect-Instance", "i-9"},
                        {"Expect-Version", "9"},
                        {"Connection", "keep-alive, x-hop"},
                        {"X-Hop", "1"},
                        {"Model", "m"},
                        {"Token-Usage", "10,20"}};
  UpstreamFields fields;
  fields.deadline = Milliseconds(900);
  fields.upstream_id = "i-1";
  HttpHeaders out = UpstreamHeaders(caller, fields);
  struct Row {
    const char* name;
    const char* value;  // nullptr if absent
  };
  const Row rows[] = {{"Authorization", nullptr}, {"Tenant", nullptr},
                      {"Expect-Instance", "i-1"}, {"Expect-Version", nullptr},
                      {"X-Hop", nullptr},         {"Connection", nullptr},
                      {"Deadline-Ms", "900"},     {"Model", "m"},
                      {"Token-Usage", "10,20"},   {"Request-Id", "1"}};
  for (const Row& row : rows) {
    INFO(row.name);
    auto value = out.Find(row.name);
    REQUIRE(value.has_value() == (row.value != nullptr));
    if (row.value != nullptr) CHECK(*value == row.value);
  }
  CHECK(DecodeCallerFields(caller).key == "k");
  CHECK(DecodeCallerFields(caller).prompt_tokens == 10);
}

// Guards against callers who hide a part of their prompt, or fill the memory,
// with an unusual list of parts.
TEST_CASE("the shared parts of a prompt are decoded, whatever their list") {
  struct Row {
    const char* name;
    std::vector<std::string> values;
    std::vector<std::string> parts;
    bool has_unusable;
  };
  std::string many;
  for (int i = 0; i < 300; ++i) many += std::to_string(i) + ":1,";
  std::vector<std::string> first_of_many;
  for (size_t i = 0; i < CallerFields::kMaxPromptParts; ++i)
    first_of_many.push_back(std::to_string(i));
  const Row rows[] = {
      {"absent", {}, {}, false},
      {"the request's own part alone", {"ab:1"}, {}, false},
      {"shared parts", {"ab:800,cd:410,ef:250"}, {"ab", "cd"}, false},
      {"spaces and capitals", {" AB:800, Cd:410, ef:250"}, {"ab", "cd"}, false},
      {"one field a part", {"ab:1", "cd:2", "ef:3"}, {"ab", "cd"}, false},
      {"an id twice", {"ab:1,ab:2,ef:3"}, {"ab"}, false},
      {"no counts", {"ab,cd,ef"}, {"ab", "cd"}, false},
      {"absurd counts", {"ab:-1,cd:9e99,ef:x"}, {"ab", "cd"}, false},
      {"not hexadecimal", {"xyz:1,ef:3"}, {"xyz"}, false},
      {"no id", {":1,cd:2,ef:3"}, {"cd"}, true},
      {"hundreds", {many}, first_of_many, true},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    HttpHeaders headers;
    for (const std::string& it : row.values) headers.Add("Prefix-Hash", it);
    CallerFields fields = DecodeCallerFields(headers);
    CHECK(fields.prompt_parts == row.parts);
    CHECK(fields.has_unusable_prompt_parts == row.has_unusable);
  }
}

TEST_CASE("an upstream states a rest as it turns a request away") {
  struct Row {
    const char* name;
    int status;
    std::vector<std::string> values;
    std::optional<int64_t> rest_ms;
    bool is_malformed;
  };
  const Row rows[] = {
      {"none", 503, {}, std::nullopt, false},
      {"seconds", 503, {"3"}, 3000, false},
      {"a fraction", 503, {"0.25"}, 250, false},
      {"too many requests", 429, {"2"}, 2000, false},
      {"zero", 503, {"0"}, 0, false},
      {"negative", 503, {"-1"}, std::nullopt, true},
      {"not a number", 503, {"soon"}, std::nullopt, true},
      {"empty", 503, {""}, std::nullopt, true},
      {"twice", 503, {"1", "2"}, 2000, false},
      {"twice, the longer one first", 503, {"2", "1"}, 2000, false},
      {"absurdly long", 503, {"1" + std::string(40, '0')}, 3'600'000, true},
      {"a date that has passed",
       503,
       {"Sun, 06 Nov 1994 08:49:37 GMT"},
       0,
       false},
      {"another upstream's response", 421, {"3"}, std::nullopt, false},
      {"a response that turns nothing away", 500, {"3"}, std::nullopt, false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    HttpHeaders headers;
    for (const std::string& it : row.values) headers.Add("Retry-After", it);
    ResponseFields fields = DecodeResponseFields(row.status, headers);
    REQUIRE(fields.rest.has_value() == row.rest_ms.has_value());
    if (row.rest_ms) CHECK(fields.rest->count() == *row.rest_ms);
    CHECK(fields.has_malformed_rest == row.is_malformed);
  }
}

TEST_CASE("an upstream states in any response of its own that it leaves") {
  struct Row {
    int status;
    const char* value;
    bool is_leaving;
  };
  const Row rows[] = {{200, "1", true},  {500, "1", true},     {503, "1", true},
                      {404, "1", true},  {200, "0", false},    {200, "", false},
                      {421, "1", false}, {200, nullptr, false}};
  for (const Row& row : rows) {
    CAPTURE(row.status);
    HttpHeaders headers;
    if (row.value != nullptr) headers.Add("Server-Leaving", row.value);
    CHECK(DecodeResponseFields(row.status, headers).is_leaving ==
          row.is_leaving);
  }
}

// Guards against a load that is lost because its header has figures of a later
// version, and against a load that is made up from a malformed header.
TEST_CASE("a load header is used as far as it is known") {
  struct Row {
    const char* name;
    int status;
    std::optional<std::string> value;
    bool is_used;
    std::optional<int> slowdown_percent;
    bool is_malformed;
  };
  const Row rows[] = {
      {"absent", 200, std::nullopt, false, {}, false},
      {"no figure", 200, "", false, {}, true},
      {"one figure", 200, "3", false, {}, true},
      {"two figures", 200, "3,1", false, {}, true},
      {"three figures", 200, "3,1,12", true, {}, false},
      {"four figures", 200, "3,1,12,250", true, 250, false},
      {"in a refusal", 503, "3,1,12,250", true, 250, false},
      {"five figures", 200, "3,1,12,100,7", true, 100, false},
      {"nine figures", 200, "3,1,12,100,7,x,-1,,9", true, 100, false},
      {"a negative figure", 200, "3,-1,12,100", false, {}, true},
      {"not a number", 200, "3,one,12", false, {}, true},
      {"the fourth is not a number", 200, "3,1,12,slow", false, {}, true},
      {"the fourth is empty", 200, "3,1,12,", false, {}, true},
      {"the fourth is too large", 200, "3,1,12,4294967396", false, {}, true},
      {"of another server", 421, "3,1,12,250", false, {}, false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    HttpHeaders headers;
    if (row.value) headers.Add("server-load", *row.value);
    ResponseFields out = DecodeResponseFields(row.status, headers);
    CHECK(out.has_malformed_load == row.is_malformed);
    REQUIRE(out.load.has_value() == row.is_used);
    if (!row.is_used) continue;
    CHECK(out.load->running == 3);
    CHECK(out.load->waiting == 1);
    CHECK(out.load->slots == 12);
    CHECK(out.load->slowdown_percent == row.slowdown_percent);
  }
}

TEST_CASE("a rate limit is one non-negative decimal number") {
  struct Row {
    const char* name;
    int status;
    std::vector<std::string> values;
    std::optional<double> limit;
    bool is_malformed;
  };
  const Row rows[] = {
      {"absent", 200, {}, std::nullopt, false},
      {"whole number", 200, {"3"}, 3, false},
      {"fraction", 200, {"0.25"}, 0.25, false},
      {"zero", 200, {"0"}, 0, false},
      {"very large", 200, {"100000000000"}, 1e11, false},
      {"in an error", 503, {"2"}, 2, false},
      {"of another server", 421, {"2"}, std::nullopt, false},
      {"empty", 200, {""}, std::nullopt, true},
      {"negative", 200, {"-1"}, std::nullopt, true},
      {"not a number", 200, {"nan"}, std::nullopt, true},
      {"infinite", 200, {"inf"}, std::nullopt, true},
      {"exponent", 200, {"1e3"}, std::nullopt, true},
      {"trailing text", 200, {"2/s"}, std::nullopt, true},
      {"two points", 200, {"1.2.3"}, std::nullopt, true},
      {"no digit", 200, {"."}, std::nullopt, true},
      {"twice", 200, {"2", "2"}, std::nullopt, true},
      {"twice, one malformed", 200, {"x", "2"}, std::nullopt, true},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    HttpHeaders headers;
    for (const std::string& it : row.values) headers.Add("server-limit", it);
    headers.Add("Server-Signature", "x");
    ResponseFields out = DecodeResponseFields(row.status, headers);
    CHECK(out.rate_limit == row.limit);
    CHECK(out.has_malformed_rate_limit == row.is_malformed);
    // A signed response without a limit ends the limit of its server.
    CHECK(out.is_signed == (row.status != 421));
  }
}

TEST_CASE("Retry-After is in seconds with three decimals") {
  auto retry_after = [](int64_t ms) {
    HttpHeaders out = RefusalHeaders("1", Milliseconds(ms));
    return std::string(out.Find("Retry-After").value_or(""));
  };
  CHECK(retry_after(0) == "0.000");
  CHECK(retry_after(45) == "0.045");
  CHECK(retry_after(1250) == "1.250");
}

TEST_CASE("settings that are malformed or lack a required field are refused") {
  const std::string good =
      "node_name: a\nip: 10.0.0.1\nzone: z\nregion: r\nplatform:\n"
      "  address: 10.0.0.9:80\nlisten:\n  frontend: 10.0.0.1:81\n"
      "internal_ports: [7700, 7715]\nbounds:\n  revoke_ms: 5000\n"
      "  strict_revoke: true\n  grace_s: 8\nunknown: 1\n";
  auto settings = ParseSettings(good);
  REQUIRE(settings);
  CHECK(settings.value().caller_endpoint.port == 81);
  CHECK(settings.value().first_internal_port == 7700);
  CHECK(settings.value().bounds.stop_grace == Milliseconds(8000));
  for (const char* text :
       {"", "a: [", "node_name: a", "node_name: a\nip: 1.2.3.4\n"}) {
    INFO(text);
    CHECK_FALSE(ParseSettings(text));
  }
}

}  // namespace
}  // namespace primrosecove::platform
