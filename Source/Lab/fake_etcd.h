// An in-memory fake of the etcd v3 JSON gateway with fault injection.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "Core/Net/event_loop.h"
#include "Core/Net/http_server.h"

namespace primrosecove {

/// Injected faults of the store. All are off by default.
struct EtcdFaults {
  bool down = false;      ///< Closes connections without a response.
  uint64_t delay_ms = 0;  ///< Added to each response, except watches.
  uint32_t lose_reply_percent =
      0;  ///< Calls that are executed but whose response is lost.
};

/// Serves the /v3/ calls. Not thread safe.
class FakeEtcd {
 public:
  FakeEtcd(EventLoop* loop, uint64_t seed) : loop_(loop), random_(seed) {}
  /// Handles a request whose path starts with /v3/.
  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  void SetFaults(EtcdFaults faults);
  const EtcdFaults& faults() const { return faults_; }
  /// Saves a copy of all keys.
  void Backup() { backup_ = keys_; }
  /// Replaces all keys by the saved copy and closes all watches. The store's
  /// revision doesn't go back.
  void Restore();
  uint64_t call_count() const { return call_count_; }

 private:
  struct Value {
    std::string value;
    int64_t create_revision = 0;
    int64_t mod_revision = 0;
    int64_t version = 0;
    int64_t lease = 0;
  };
  struct Watch {
    std::string key;
    std::string range_end;
    std::shared_ptr<HttpExchange> exchange;
  };
  struct Lease {
    int64_t ttl_s = 0;
    Timer expiry;
  };
  using Json = nlohmann::json;
  using Handler = Json (FakeEtcd::*)(const Json&);

  Json Range(const Json& request);
  Json Txn(const Json& request);
  Json Put(const Json& request);
  Json DeleteRange(const Json& request);
  Json GrantLease(const Json& request);
  Json KeepAlive(const Json& request);
  Json RevokeLease(const Json& request);
  void OpenWatch(const Json& request,
                 const std::shared_ptr<HttpExchange>& exchange);
  Json EntryJson(const std::string& key, const Value& value) const;
  Json Header() const;
  bool CompareSucceeds(const Json& compare) const;
  void PutKey(const std::string& key, std::string value, int64_t lease);
  void EraseKey(const std::string& key);
  void NotifyWatches(const std::string& key, const Json& event);
  void RemoveLease(int64_t id);
  void RespondAfterDelay(const std::shared_ptr<HttpExchange>& exchange,
                         const std::string& body);

  EventLoop* loop_;
  std::mt19937_64 random_;
  EtcdFaults faults_;
  std::map<std::string, Value> keys_;
  std::map<std::string, Value> backup_;
  int64_t revision_ = 1;
  std::list<Watch> watches_;
  std::map<int64_t, Lease> leases_;
  int64_t next_lease_ = 1000;
  uint64_t call_count_ = 0;
};

}  // namespace primrosecove
