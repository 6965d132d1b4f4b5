#include "Core/Common/build_info.h"

#include <algorithm>

namespace primrosecove {
namespace {

const char* Architecture() {
#if defined(__x86_64__)
  return "x86-64";
#elif defined(__aarch64__)
  return "arm64";
#else
  return "other";
#endif
}

std::string Compiler() {
#if defined(__clang__)
  std::string out = "clang-" __clang_version__;
#else
  std::string out = "gcc-" __VERSION__;
#endif
  // Distributions add words to the number.
  out.resize(std::min(out.find(' '), out.size()));
  return out;
}

}  // namespace

BuildInfo GetBuildInfo() {
  return {PRIMROSECOVE_VERSION, kBuildCommit,   kBuildSources,
          Compiler(),           Architecture(), PRIMROSECOVE_BUILD_TYPE};
}

std::string DescribeBuild() {
  BuildInfo it = GetBuildInfo();
  return "version=" + it.version + " commit=" + it.commit +
         " sources=" + it.sources + " compiler=" + it.compiler +
         " arch=" + it.architecture + " build=" + it.type;
}

}  // namespace primrosecove
