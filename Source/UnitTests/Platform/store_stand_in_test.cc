// The store's stand-in speaks the published calls, also when it misbehaves, so
// that tests that rest on it mean something.
#include "platform/testing/store_stand_in.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "../test_support.h"
#include "Core/Common/base64.h"
#include "Core/Net/http1_calls.h"

namespace primrosecove {
namespace {

using nlohmann::json;
using platform::StoreFault;
using platform::StoreStandIn;

constexpr int kGroup = 61;
constexpr Milliseconds kBound{400};

struct Client {
  EventLoop loop;
  StoreStandIn store{&loop};
  Http1Client client{&loop};
  Http1Calls calls{&client};

  Client() {
    for (int door : {1, 2}) {
      if (!store.Listen(TestEndpoint(kGroup, door))) FAIL("listen");
    }
  }

  // The status and body of a call, or 0 without an answer.
  std::pair<int, json> Call(const std::string& method,
                            const std::string& target, const json& body = {},
                            int door = 1) {
    HttpRequest request;
    request.method = method;
    request.target = target;
    if (!body.is_null()) request.body = body.dump();
    std::optional<std::pair<int, json>> out;
    calls.Send(TestEndpoint(kGroup, door), request, kBound,
               [&out](Result<HttpResponse> it) {
                 out = {0, json()};
                 if (!it) return;
                 out = {it.value().status,
                        json::parse(it.value().body, nullptr, false)};
               });
    RunUntil(&loop, [&] { return out.has_value(); });
    return *out;
  }

  static json Put(const std::string& key, const std::string& value,
                  uint64_t expected, uint64_t lease = 0) {
    return {{"expected", {{{"key", key}, {"revision", expected}}}},
            {"puts",
             {{{"key", key}, {"value", ToBase64(value)}, {"lease", lease}}}}};
  }
};

TEST_CASE("a condition that fails says how things stand", "[stand-in]") {
  Client it;
  CHECK(it.Call("POST", "/kv-txn", Client::Put("a", "1", 0)).first == 200);
  auto [status, body] = it.Call("POST", "/kv-txn", Client::Put("a", "2", 0));
  CHECK(status == 412);
  CHECK(body["entries"][0]["key"] == "a");
  CHECK(it.store.items().at("a").value == "1");
}

TEST_CASE("faults keep what they promise about writes", "[stand-in]") {
  struct Row {
    StoreFault fault;
    int status;
    bool done_at_once;
    bool done_later;
  };
  auto row = GENERATE(values<Row>({
      {StoreFault::kNoResponse, 0, false, false},
      {StoreFault::kBusy, 503, false, false},
      {StoreFault::kTooMany, 429, false, false},
      {StoreFault::kReset, 0, false, false},
      {StoreFault::kLoseResponse, 0, true, true},
      {StoreFault::kLateWrite, 0, false, true},
  }));
  CAPTURE(static_cast<int>(row.fault));
  Client it;
  it.store.SetFault(row.fault);
  CHECK(it.Call("POST", "/kv-txn", Client::Put("a", "1", 0)).first ==
        row.status);
  CHECK(it.store.items().contains("a") == row.done_at_once);
  it.store.SetFault(StoreFault::kNone);
  if (row.done_later) {
    RunUntil(&it.loop, [&] { return it.store.items().contains("a"); });
  }
}

TEST_CASE("a late write whose condition no longer holds isn't done",
          "[stand-in]") {
  Client it;
  it.store.SetFault(StoreFault::kLateWrite);
  it.Call("POST", "/kv-txn", Client::Put("a", "late", 0));
  it.store.SetFault(StoreFault::kNone);
  it.store.Put("a", "first");
  bool over = false;
  Timer timer = it.loop.After(Milliseconds(150), [&] { over = true; });
  RunUntil(&it.loop, [&] { return over; });
  CHECK(it.store.items().at("a").value == "first");
}

TEST_CASE("one address is turned away while others are served", "[stand-in]") {
  Client it;
  it.store.SetFaultAt(0, StoreFault::kBusy);
  it.store.Put("a", "1");
  CHECK(it.Call("GET", "/kv-key?key=a", {}, 1).first == 503);
  CHECK(it.Call("GET", "/kv-key?key=a", {}, 2).first == 200);
}

TEST_CASE("reads that allow old answers may get them, others don't",
          "[stand-in]") {
  Client it;
  it.store.Put("a", "1");
  it.store.HoldStaleReads();
  it.store.Put("b", "2");
  auto old = it.Call("GET", "/kv-range?prefix=&serializable=1").second;
  auto now = it.Call("GET", "/kv-range?prefix=").second;
  CHECK(old["entries"].size() == 1);
  CHECK(now["entries"].size() == 2);
}

TEST_CASE("calls over the limit get 429 and do nothing", "[stand-in]") {
  Client it;
  it.store.SetLimits(2, 1);
  CHECK(it.Call("GET", "/kv-range?prefix=").first == 200);
  CHECK(it.Call("GET", "/kv-range?prefix=").first == 200);
  CHECK(it.Call("GET", "/kv-range?prefix=").first == 429);
  CHECK(it.Call("GET", "/kv-range?prefix=&serializable=1").first == 200);
  CHECK(it.Call("POST", "/kv-txn", Client::Put("a", "1", 0)).first == 200);
  CHECK(it.Call("POST", "/kv-txn", Client::Put("b", "1", 0)).first == 429);
  CHECK_FALSE(it.store.items().contains("b"));
}

TEST_CASE("a lease takes its keys with it, and pauses if it is to",
          "[stand-in]") {
  bool run_on = GENERATE(true, false);
  CAPTURE(run_on);
  Client it;
  it.store.SetLeasesRunOn(run_on);
  uint64_t lease =
      it.Call("POST", "/kv-lease", {{"ttl_ms", 100}}).second.at("lease");
  CHECK(it.Call("POST", "/kv-txn", Client::Put("a", "1", 0, lease)).first ==
        200);
  it.store.SetFault(StoreFault::kBusy);
  bool over = false;
  Timer timer = it.loop.After(Milliseconds(250), [&] { over = true; });
  RunUntil(&it.loop, [&] { return over; });
  CHECK(it.store.items().contains("a") == !run_on);
  it.store.SetFault(StoreFault::kNone);
  RunUntil(&it.loop, [&] { return !it.store.items().contains("a"); });
}

}  // namespace
}  // namespace primrosecove
