// Interface to the store that holds the deployment: paged reads and watches
// over one revision counter for each era of the store.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "Core/Fleet/deployment.h"
#include "Core/Fleet/store_position.h"

namespace primrosecove {

enum class SourceStatus {
  kOk,
  kRevisionCompacted,  ///< Changes since that revision are no longer kept.
  kUnavailable,        ///< The call was refused, failed or timed out.
  kUnreadable,         ///< The response is malformed or too large.
};

/// The result of one read or watch.
struct SourceResult {
  SourceStatus status = SourceStatus::kUnavailable;
  std::vector<DeploymentChange> changes;
  /// Up to where the store's changes are contained. The era is known also of a
  /// failed call that was answered; the revision only with kOk.
  StorePosition position;
  /// The response held no items, neither readable nor unreadable ones.
  bool is_empty = false;
  std::string next_page;  ///< Token of the next page; empty after the last.
  std::string why;        ///< Reason of a failure, for logs.
};

/// Reads the deployment. Use it on its loop's thread; callbacks run on it and
/// never before the call returns. Only one read or watch may be in progress.
class DeploymentSource {
 public:
  using Callback = std::function<void(SourceResult)>;
  virtual ~DeploymentSource() = default;
  /// Reads a page of the current deployment; `page` is empty for the first.
  virtual void ReadPage(const std::string& page, Callback callback) = 0;
  /// Waits at most `timeout` for changes after `position`. An empty result of
  /// the same era confirms that there were none when the call was sent. Any
  /// other result may end before the store's newest change.
  virtual void Watch(const StorePosition& position, Milliseconds timeout,
                     Callback callback) = 0;
  /// Reads only the position of the store's newest change. The result's
  /// position contains all changes of before the call.
  virtual void ReadNewestPosition(Callback callback) = 0;
};

}  // namespace primrosecove
