// Human-readable differences between two configurations.
#pragma once

#include <string>
#include <vector>

#include "Core/Config/configuration.h"

namespace primrosecove {

/// Lists the changes from `before` to `after`, one line each, in the order of
/// the sections. Thread safe.
std::vector<std::string> DescribeChanges(const Configuration& before,
                                         const Configuration& after);

}  // namespace primrosecove
