// Identifies the build that a process runs.
#pragma once

#include <string>

namespace primrosecove {

// Both are defined in a file that each build writes anew.
extern const char* const kBuildCommit;
extern const char* const kBuildSources;

struct BuildInfo {
  std::string version;
  /// Commit of the sources, with "-changed" if they differ from it; "unknown"
  /// outside a git repository.
  std::string commit;
  /// Digest of the sources, the same for the same sources on all machines.
  std::string sources;
  std::string compiler;
  std::string architecture;
  std::string type;  ///< The build type of CMake, and sanitizers if any.
};

/// Returns the identity of this build. Thread safe.
BuildInfo GetBuildInfo();

/// Returns the identity as fields of an event line,
/// "version=... commit=...". No value contains spaces. Thread safe.
std::string DescribeBuild();

}  // namespace primrosecove
