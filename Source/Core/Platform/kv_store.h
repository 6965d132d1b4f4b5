// Interface of the platform's key-value service: compare-and-swap
// transactions, leases and watches.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Core/Common/error.h"
#include "Core/Net/event_loop.h"

namespace primrosecove {

/// A key and its value. `mod_revision` is the store's revision at the key's
/// last write.
struct KvEntry {
  std::string key;
  std::string value;
  int64_t mod_revision = 0;
};

/// A condition that the key was last written at `mod_revision`, or does not
/// exist if that is 0.
struct KvCompare {
  std::string key;
  int64_t mod_revision = 0;
};

struct KvPut {
  std::string key;
  std::string value;
  int64_t lease = 0;  ///< 0 for none. The key is deleted with its lease.
};

/// Writes that are applied atomically if every comparison holds.
struct KvTransaction {
  std::vector<KvCompare> compares;
  std::vector<KvPut> puts;
  std::vector<std::string> deletes;
};

struct KvCommit {
  bool succeeded =
      false;  ///< Whether the comparisons held and the writes were applied.
  int64_t revision = 0;  ///< The store's revision after the transaction.
};

/// A change of a key under a watched prefix.
struct KvEvent {
  bool deleted = false;
  KvEntry entry;
};

/// An active watch; its destruction cancels it.
class KvWatch {
 public:
  virtual ~KvWatch() = default;
};

/// The key-value service. Calls don't block; callbacks run later on the loop's
/// thread. A call that fails with kTimeout, or with kUnavailable after it was
/// sent, may have taken effect. Use it on the loop's thread only; callbacks
/// must not outlive the objects that they use.
class KvStore {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~KvStore() = default;
  virtual void Get(const std::string& key,
                   Callback<std::optional<KvEntry>> done) = 0;
  /// Lists the entries whose keys start with `prefix`, sorted by key, at most
  /// `limit` (0 for all).
  virtual void List(const std::string& prefix, int64_t limit, bool descending,
                    Callback<std::vector<KvEntry>> done) = 0;
  virtual void Commit(const KvTransaction& txn, Callback<KvCommit> done) = 0;
  /// Reports changes of keys under `prefix` after the store's revision
  /// `after_revision` (0: from now on). `on_end` runs once when the watch
  /// fails; changes may have been missed then.
  virtual std::unique_ptr<KvWatch> Watch(
      const std::string& prefix, int64_t after_revision,
      std::function<void(std::vector<KvEvent>)> on_events,
      std::function<void(Error)> on_end) = 0;
  /// Grants a lease of `ttl` and returns its id.
  virtual void GrantLease(std::chrono::seconds ttl, Callback<int64_t> done) = 0;
  /// Renews a lease; fails with kNotFound if it has expired.
  virtual void KeepLeaseAlive(int64_t lease, Callback<void> done) = 0;
  virtual void RevokeLease(int64_t lease, Callback<void> done) = 0;
  /// Number of calls made so far; a watch counts as one.
  virtual uint64_t calls() const = 0;
};

}  // namespace primrosecove
