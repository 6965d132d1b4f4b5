// Reads configuration files: base.yaml and overlays/SITE.yaml in one folder.
#pragma once

#include <string>

#include "Core/Common/error.h"
#include "Core/Config/bundle.h"

namespace primrosecove {

/// Reads base.yaml and every overlays/*.yaml of a folder. Fails with kNotFound
/// and the path if a file cannot be opened; a missing overlays folder counts as
/// empty. Thread safe.
Result<Bundle> ReadBundleFiles(const std::string& folder);

}  // namespace primrosecove
