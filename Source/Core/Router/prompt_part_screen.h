// Decides which requests may run while parts of their prompts are suspected of
// crashing upstreams.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>

#include "Core/Fleet/router_count.h"
#include "Core/Fleet/upstream_registry.h"
#include "Core/Membership/suspect_table.h"

namespace primrosecove {

/// What may be done with a request because of the parts of its prompt.
enum class PromptPartAction {
  kRun,
  kRunAsSuspect,  ///< One of its parts was running at a crash.
  kTest,          ///< As kRunAsSuspect; tests a blocked part that it may clear.
  kRefuse,        ///< One of its parts is blocked.
};

/// The action for a request, with the part that decides it.
struct PromptPartDecision {
  PromptPartAction action = PromptPartAction::kRun;
  uint64_t part = 0;            ///< Fingerprint; set for kTest and kRefuse.
  size_t crashes = 0;           ///< At which that part was running.
  Milliseconds retry_after{0};  ///< Until the part may be tested; for kRefuse.
};

/// Classifies the parts of prompts at one router. Answers the load in which
/// requests that all differ, but share a part that crashes upstreams, arrive at
/// all routers, while sound requests share their other parts. A part that
/// crashes upstreams has no sound execution, so one sound execution clears a
/// part of earlier crashes. A blocked part is tested by single requests, at
/// intervals that grow with its crashes and at a time that differs by router,
/// so that all routers together make few tests. Not thread safe; callers pass
/// the time since the process's start.
class PromptPartScreen {
 public:
  /// An execution that has been responding for this long is sound: a request
  /// that crashes its upstream does so when it begins to respond.
  static constexpr Milliseconds kSoundExecutionTime{1000};
  /// Parts whose last sound execution is remembered; beyond it, none is added.
  static constexpr size_t kMaxSoundParts = 8192;

  /// `router_id` identifies this router across restarts; `router_count_window`
  /// is the time for which a report of the number of routers counts.
  PromptPartScreen(uint64_t router_id, Milliseconds router_count_window)
      : router_id_(router_id), router_count_(router_count_window) {}

  void SetRouterCountWindow(Milliseconds window) {
    router_count_.SetWindow(window);
  }
  void SetRouterCount(int routers, MonotonicTime now) {
    router_count_.Report(routers, now);
  }
  /// Decides about a request with these parts.
  PromptPartDecision Check(const SuspectTable& table,
                           std::span<const uint64_t> parts,
                           MonotonicTime now) const;
  /// Records the start of a test. No other test of the part starts here before
  /// the end of this one or, if it may have crashed its upstream, before that
  /// would be known.
  void BeginTest(uint64_t part) { test_ends_[part] = MonotonicTime::max(); }
  void EndTest(uint64_t part, bool may_have_crashed, MonotonicTime now);
  /// Records that an execution with this part has turned out to be sound.
  void RecordSound(uint64_t part, MonotonicTime at);
  /// Returns when a part was last known to be sound, if that was lately.
  std::optional<MonotonicTime> LastSoundAt(uint64_t part) const;
  void RemoveExpired(MonotonicTime now);

 private:
  // Time from a blocked part's last crash to its next test at this router.
  Milliseconds TestDelay(uint64_t part, size_t crashes) const;

  uint64_t router_id_;
  RouterCount router_count_;
  std::map<uint64_t, MonotonicTime> test_ends_;           // By part.
  std::unordered_map<uint64_t, MonotonicTime> sound_at_;  // By part.
  MonotonicTime expired_at_{0};
};

}  // namespace primrosecove
