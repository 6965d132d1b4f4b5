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
  /// Of the store when it responded. The era is known also of a failed call
  /// that was answered; the revision only with kOk.
  StorePosition position;
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
  /// Waits at most `timeout` for changes after `position`. A result of the same
  /// era without changes confirms that there were none when the call was sent.
  virtual void Watch(const StorePosition& position, Milliseconds timeout,
                     Callback callback) = 0;
};

}  // namespace primrosecove
