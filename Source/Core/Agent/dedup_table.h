// Records which requests an agent has forwarded to its upstream.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "Core/Net/event_loop.h"
#include "Core/Net/http_types.h"

namespace primrosecove {

/// Limits of the table.
struct DedupOptions {
  /// How long an id is remembered after its last state change.
  Milliseconds window{600'000};
  size_t max_entries = 200'000;
  /// A larger response is recorded without its body.
  size_t max_response_bytes = 64 << 10;
  uint64_t max_total_bytes = 16 << 20;
};

/// Whether a request may run.
enum class DedupVerdict {
  kRun,          ///< Not in the table: it may run.
  kRunning,      ///< The same request is running.
  kFinished,     ///< It has run; its response is recorded.
  kOutcomeLost,  ///< It has run, or may have; there is no recorded response.
  kRevoked,      ///< It was revoked before it ran.
  kFull,         ///< The table is full; the request has not run here.
};

/// Remembers ids so that an execute-once request is forwarded at most once, and
/// so that a router can revoke an id whose outcome it does not know. Not thread
/// safe.
class DedupTable {
 public:
  explicit DedupTable(DedupOptions options) : options_(options) {}

  /// Checks whether the request may run, and if so records it as running.
  DedupVerdict TryStart(const std::string& id, SteadyTime now);
  /// Records that the request ended with a complete response.
  void RecordResponse(const std::string& id, HttpResponse response,
                      SteadyTime now);
  /// Records that the request was forwarded and its outcome is not known.
  void RecordOutcomeLost(const std::string& id, SteadyTime now);
  /// Removes a request that was not forwarded after all.
  void RemoveNotForwarded(const std::string& id);
  /// Revokes an id; returns false if it has already been forwarded or the table
  /// is full.
  bool Revoke(const std::string& id, SteadyTime now);
  /// The recorded response of a finished request, or null if it was too large
  /// to keep.
  const HttpResponse* FindResponse(const std::string& id) const;
  size_t size() const { return entries_.size(); }

 private:
  enum class State { kRunning, kFinished, kOutcomeLost, kRevoked };
  struct Entry {
    State state = State::kRunning;
    SteadyTime changed_at;
    std::optional<HttpResponse> response;
  };
  void RemoveExpired(SteadyTime now);
  void SetState(const std::string& id, Entry* entry, State state,
                SteadyTime now);
  void DropResponse(Entry* entry);

  DedupOptions options_;
  std::map<std::string, Entry> entries_;
  // By time of change, oldest first.
  std::deque<std::pair<SteadyTime, std::string>> changes_;
  uint64_t response_bytes_ = 0;
};

}  // namespace primrosecove
