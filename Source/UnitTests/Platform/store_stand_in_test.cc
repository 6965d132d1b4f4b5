// The store's test server must follow the store's protocol, also with injected
// faults. Otherwise tests that use it could pass against wrong behaviour.
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

constexpr int kPortGroup = 61;
constexpr Milliseconds kTimeout{400};

struct StoreClient {
  EventLoop loop;
  StoreStandIn store{&loop};
  Http1Client client{&loop};
  Http1Calls calls{&client};

  StoreClient() {
    for (int listener : {1, 2}) {
      if (!store.Listen(TestEndpoint(kPortGroup, listener))) FAIL("listen");
    }
  }

  // Returns the status and body of a response, or 0 if there was none.
  std::pair<int, json> Call(const std::string& method,
                            const std::string& target, const json& body = {},
                            int listener = 1) {
    HttpRequest request;
    request.method = method;
    request.target = target;
    if (!body.is_null()) request.body = body.dump();
    std::optional<std::pair<int, json>> out;
    calls.Send(TestEndpoint(kPortGroup, listener), request, kTimeout,
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

TEST_CASE("a failed condition names the key and writes nothing", "[stand-in]") {
  StoreClient it;
  CHECK(it.Call("POST", "/kv-txn", StoreClient::Put("a", "1", 0)).first == 200);
  auto [status, body] =
      it.Call("POST", "/kv-txn", StoreClient::Put("a", "2", 0));
  CHECK(status == 412);
  CHECK(body["entries"][0]["key"] == "a");
  CHECK(it.store.items().at("a").value == "1");
}

TEST_CASE("each fault applies a write at once, later or never", "[stand-in]") {
  struct Row {
    StoreFault fault;
    int status;
    bool applied_at_once;
    bool applied_later;
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
  StoreClient it;
  it.store.SetFault(row.fault);
  CHECK(it.Call("POST", "/kv-txn", StoreClient::Put("a", "1", 0)).first ==
        row.status);
  CHECK(it.store.items().contains("a") == row.applied_at_once);
  it.store.SetFault(StoreFault::kNone);
  if (row.applied_later) {
    RunUntil(&it.loop, [&] { return it.store.items().contains("a"); });
  }
}

TEST_CASE("a late write is dropped if its condition no longer holds",
          "[stand-in]") {
  StoreClient it;
  it.store.SetFault(StoreFault::kLateWrite);
  it.Call("POST", "/kv-txn", StoreClient::Put("a", "late", 0));
  it.store.SetFault(StoreFault::kNone);
  it.store.Put("a", "first");
  bool waited = false;
  Timer timer = it.loop.After(Milliseconds(150), [&] { waited = true; });
  RunUntil(&it.loop, [&] { return waited; });
  CHECK(it.store.items().at("a").value == "first");
}

TEST_CASE("a fault of one address doesn't affect the other", "[stand-in]") {
  StoreClient it;
  it.store.SetListenerFault(0, StoreFault::kBusy);
  it.store.Put("a", "1");
  CHECK(it.Call("GET", "/kv-key?key=a", {}, 1).first == 503);
  CHECK(it.Call("GET", "/kv-key?key=a", {}, 2).first == 200);
}

TEST_CASE("only serializable reads return stale items", "[stand-in]") {
  StoreClient it;
  it.store.Put("a", "1");
  it.store.FreezeSerializableReads();
  it.store.Put("b", "2");
  auto old = it.Call("GET", "/kv-range?prefix=&serializable=1").second;
  auto now = it.Call("GET", "/kv-range?prefix=").second;
  CHECK(old["entries"].size() == 1);
  CHECK(now["entries"].size() == 2);
}

TEST_CASE("calls above the rate limit get 429 and have no effect",
          "[stand-in]") {
  StoreClient it;
  it.store.SetLimits(2, 1);
  CHECK(it.Call("GET", "/kv-range?prefix=").first == 200);
  CHECK(it.Call("GET", "/kv-range?prefix=").first == 200);
  CHECK(it.Call("GET", "/kv-range?prefix=").first == 429);
  CHECK(it.Call("GET", "/kv-range?prefix=&serializable=1").first == 200);
  CHECK(it.Call("POST", "/kv-txn", StoreClient::Put("a", "1", 0)).first == 200);
  CHECK(it.Call("POST", "/kv-txn", StoreClient::Put("b", "1", 0)).first == 429);
  CHECK_FALSE(it.store.items().contains("b"));
}

TEST_CASE("keys are deleted with their lease, which can pause in an outage",
          "[stand-in]") {
  bool expire = GENERATE(true, false);
  CAPTURE(expire);
  StoreClient it;
  it.store.SetLeasesExpireInOutage(expire);
  uint64_t lease =
      it.Call("POST", "/kv-lease", {{"ttl_ms", 100}}).second.at("lease");
  CHECK(
      it.Call("POST", "/kv-txn", StoreClient::Put("a", "1", 0, lease)).first ==
      200);
  it.store.SetFault(StoreFault::kBusy);
  bool waited = false;
  Timer timer = it.loop.After(Milliseconds(250), [&] { waited = true; });
  RunUntil(&it.loop, [&] { return waited; });
  CHECK(it.store.items().contains("a") == !expire);
  it.store.SetFault(StoreFault::kNone);
  RunUntil(&it.loop, [&] { return !it.store.items().contains("a"); });
}

}  // namespace
}  // namespace primrosecove
