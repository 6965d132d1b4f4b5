// Keeps a process's knowledge of its deployment up to date.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "Core/Fleet/deployment_source.h"
#include "Core/Fleet/freshness.h"
#include "Core/Net/event_loop.h"

namespace primrosecove {

/// Reads the whole deployment, then watches it; reads it anew when the store
/// no longer has the changes in between. Use it on its loop's thread only.
class DeploymentWatcher {
 public:
  struct Events {
    std::function<void(const DeploymentChange&)> on_change;
    /// All that changed at once has been reported; the deployment was as
    /// reported when the question was sent.
    std::function<void(BootTime requested_at, uint64_t revision)> on_synced;
    /// The store can't be reached, or can again.
    std::function<void(bool reachable)> on_reachable;
  };

  /// Precondition: `loop` and `source` outlive this object. Answers come
  /// several times within `proof_bound`, the age at which the deployment's
  /// configuration may no longer be used in full.
  DeploymentWatcher(EventLoop* loop, DeploymentSource* source,
                    Milliseconds proof_bound, Events events);
  void Start() { ReadPage(""); }
  bool reachable() const { return reachable_; }
  uint64_t revision() const { return revision_; }

 private:
  void ReadPage(const std::string& page);
  void TakePage(SourceResult answer);
  void EndSnapshot();
  void Watch();
  void TakeChanges(SourceResult answer);
  void Report(const DeploymentChange& change);
  void Retry(const std::string& why, std::function<void()> again);
  void NoteReachable();

  EventLoop* loop_;
  DeploymentSource* source_;
  Events events_;
  Milliseconds watch_wait_;
  Milliseconds watch_period_;
  uint64_t revision_ = 0;
  BootTime asked_at_{0};     // of the call under way
  BootTime snapshot_at_{0};  // of the first page
  SteadyTime call_begun_;
  std::set<std::string> upstreams_;       // known ids
  std::set<std::string> page_upstreams_;  // ids of the snapshot under way
  bool reachable_ = true;
  int failures_ = 0;
  Timer timer_;
};

}  // namespace primrosecove
