// Client of the key-value service over the JSON gateway protocol of etcd v3.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Core/Net/endpoint.h"
#include "Core/Net/http_client.h"
#include "Core/Platform/kv_store.h"

namespace primrosecove {

/// Calls /v3/kv/range, /v3/kv/txn, /v3/lease/... and /v3/watch on one of
/// several gateways; after a failed call it switches to the next one. See
/// KvStore for thread safety and errors.
class EtcdStore : public KvStore {
 public:
  /// Precondition: `endpoints` is not empty. `call_timeout` applies to each
  /// call except watches.
  EtcdStore(EventLoop* loop, std::vector<Endpoint> endpoints,
            Milliseconds call_timeout);
  ~EtcdStore() override;

  void Get(const std::string& key,
           Callback<std::optional<KvEntry>> done) override;
  void List(const std::string& prefix, int64_t limit, bool descending,
            Callback<std::vector<KvEntry>> done) override;
  void Commit(const KvTransaction& txn, Callback<KvCommit> done) override;
  std::unique_ptr<KvWatch> Watch(
      const std::string& prefix, int64_t after_revision,
      std::function<void(std::vector<KvEvent>)> on_events,
      std::function<void(Error)> on_end) override;
  void GrantLease(std::chrono::seconds ttl, Callback<int64_t> done) override;
  void KeepLeaseAlive(int64_t lease, Callback<void> done) override;
  void RevokeLease(int64_t lease, Callback<void> done) override;
  uint64_t calls() const override { return calls_; }

 private:
  using BodyCallback = std::function<void(Result<std::string>)>;
  void Call(const std::string& path, std::string body, BodyCallback done);
  void UseNextEndpoint();

  EventLoop* loop_;
  HttpClient client_;
  std::vector<Endpoint> endpoints_;
  size_t current_endpoint_ = 0;
  Milliseconds call_timeout_;
  uint64_t calls_ = 0;
  uint64_t next_call_id_ = 0;
  std::map<uint64_t, std::unique_ptr<HttpCall>> open_calls_;
};

}  // namespace primrosecove
