// Reads configuration revisions from the key-value service and commits new ones
// by compare-and-swap.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Core/Config/bundle.h"
#include "Core/Control/config_keys.h"
#include "Core/Net/event_loop.h"
#include "Core/Platform/kv_store.h"

namespace primrosecove {

/// A configuration to apply.
struct ApplyRequest {
  Bundle bundle;
  std::string author;
  /// The revision that the operator edited. If unset, the newest revision when
  /// Apply runs.
  std::optional<uint64_t> based_on;
};

/// The accepted revision, or the current one if the bundle is identical.
struct ApplyResult {
  Head head;
  bool unchanged = false;            ///< No revision was created.
  std::vector<std::string> changes;  ///< One line per change.
};

/// An accepted revision. Before the first, the head has revision 0.
struct StoredRevision {
  Head head;
  Bundle bundle;
  /// The store's modification revision of the head key, for compare-and-swap;
  /// set by ConfigStore::Read only.
  int64_t head_mod_revision = 0;
};

/// Blocking access to the configuration in the key-value service: runs `loop`
/// until each call completes. Not thread safe.
class ConfigStore {
 public:
  /// `retry_delay` is the wait before a commit with a lost response is retried.
  /// Objects passed by pointer must outlive this object.
  ConfigStore(EventLoop* loop, KvStore* store, const std::string& deployment,
              Milliseconds retry_delay = Milliseconds(500))
      : loop_(loop),
        store_(store),
        keys_(deployment),
        retry_delay_(retry_delay) {}

  /// Returns the newest accepted revision.
  Result<StoredRevision> Read();
  /// Returns one accepted revision; fails with kNotFound.
  Result<StoredRevision> ReadRevision(uint64_t revision);
  /// Returns at most `limit` accepted heads, newest first.
  Result<std::vector<Head>> History(int64_t limit);
  /// Validates a bundle and commits it as the next revision. Fails with
  /// kInvalidArgument if it is invalid, with kTooLarge above
  /// Bundle::kMaxEncodedBytes, with kConflict and the list of changes if
  /// another revision was accepted first, and with kUnavailable if the service
  /// did not respond, in which case the commit may still have taken effect.
  Result<ApplyResult> Apply(const ApplyRequest& request);

 private:
  enum class CommitOutcome { kAccepted, kRejected, kUnknown };
  // Returns kUnknown if no attempt showed whether the commit took effect.
  CommitOutcome Commit(const KvTransaction& txn, const Head& head);
  Result<bool> WasAccepted(const Head& head);
  Result<Bundle> ReadBundle(const Digest& digest);
  template <typename T, typename Start>
  Result<T> RunUntilDone(Start start);

  EventLoop* loop_;
  KvStore* store_;
  ConfigKeys keys_;
  Milliseconds retry_delay_;
};

}  // namespace primrosecove
