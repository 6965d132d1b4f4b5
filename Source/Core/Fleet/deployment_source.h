// Where a process reads its deployment from: a store with one revision counter
// and watches.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "Core/Fleet/deployment.h"

namespace primrosecove {

enum class SourceStatus {
  kOk,
  kRevisionCompacted,  ///< The changes since that revision are no longer kept.
  kUnavailable,        ///< Refused, failed or not answered in time.
};

/// The answer to one read or watch.
struct SourceResult {
  SourceStatus status = SourceStatus::kUnavailable;
  std::vector<DeploymentChange> changes;
  uint64_t revision = 0;  ///< Of the store when it answered.
  std::string next_page;  ///< Where the next page begins; empty: no more.
  std::string why;        ///< Of a failure, for logs.
};

/// Reads the deployment. Use it on its loop's thread; callbacks run on it and
/// never before the call returns. One read or watch at a time.
class DeploymentSource {
 public:
  using Callback = std::function<void(SourceResult)>;
  virtual ~DeploymentSource() = default;
  /// Reads a page of all there is, as of now; `page` is empty for the first.
  virtual void ReadPage(const std::string& page, Callback callback) = 0;
  /// Waits at most `wait` for changes after `revision`. An answer without any
  /// proves that none had been made when the call was sent.
  virtual void Watch(uint64_t revision, Milliseconds wait,
                     Callback callback) = 0;
};

}  // namespace primrosecove
