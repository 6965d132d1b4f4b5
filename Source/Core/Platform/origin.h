// Interface of the weight origin, or of the rate-limited store in front of it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Core/Common/digest.h"
#include "Core/Common/error.h"
#include "Core/Net/event_loop.h"

namespace primrosecove {

/// A fetch in flight; its destruction cancels the fetch.
class OriginFetch {
 public:
  virtual ~OriginFetch() = default;
};

/// The error of a refused or failed fetch.
struct OriginFailure {
  Error error;
  Milliseconds retry_after{0};  ///< The origin's Retry-After, or 0.
};

/// Fetches weights by the digest of their manifest. Use it on its loop's thread
/// only.
class Origin {
 public:
  struct Callbacks {
    std::function<void(std::string)> on_bytes;
    std::function<void(OriginFailure)> on_failure;
  };
  virtual ~Origin() = default;
  /// Fetches the manifest's text.
  virtual std::unique_ptr<OriginFetch> FetchManifest(const Digest& manifest,
                                                     Callbacks callbacks) = 0;
  /// Fetches `size` bytes from `offset` of the weights that the manifest
  /// describes.
  virtual std::unique_ptr<OriginFetch> FetchRange(const Digest& manifest,
                                                  uint64_t offset,
                                                  uint64_t size,
                                                  Callbacks callbacks) = 0;
  /// Body bytes received so far, including those of failed fetches.
  virtual uint64_t bytes_received() const = 0;
};

}  // namespace primrosecove
