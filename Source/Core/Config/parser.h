// Parsing, merging and validation of the base file and overlays.
#pragma once

#include <string>
#include <string_view>

#include "Core/Common/error.h"
#include "Core/Config/bundle.h"
#include "Core/Config/configuration.h"

namespace primrosecove {

/// Largest YAML source that is parsed, in bytes.
constexpr size_t kMaxSourceBytes = 1000 * 1000;

/// Parses a bundle and merges its overlays as `site` sees them. An empty site
/// excludes the values that an overlay sets for its own site only. Upstreams
/// and models are the same for every site. Fails with kInvalidArgument and one
/// "file:line: message" line per error, or with kTooLarge above
/// kMaxSourceBytes. Thread safe.
///
/// Merge rule: an overlay may add and remove upstreams of its own place and,
/// for its own site only, override workspace limits, service objectives and
/// links. It may not change models, versions, replicas, places, or upstreams of
/// other places.
Result<Configuration> ParseBundle(const Bundle& bundle, std::string_view site);

/// Checks a bundle as every site sees it; returns the first failure, as
/// ParseBundle does. Thread safe.
Result<void> ValidateBundle(const Bundle& bundle);

}  // namespace primrosecove
