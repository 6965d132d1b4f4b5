// Entry point of the unit tests.
#define CATCH_CONFIG_RUNNER
#include <signal.h>

#include <catch2/catch.hpp>
#include <cstdlib>

#include "Core/Common/log.h"

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  // Fixes the seed of property tests; the environment may override it.
  setenv("RC_PARAMS", "seed=20261203 max_success=500", 0);
  // Tests provoke hundreds of rejections, whose log lines would hide a failure.
  // Levels in PRIMROSECOVE_TEST_LOG show them.
  const char* levels = std::getenv("PRIMROSECOVE_TEST_LOG");
  auto logging = primrosecove::InitializeLogging(
      levels == nullptr ? "off" : levels, primrosecove::LogFormat::kPlain);
  if (!logging) return 1;
  return Catch::Session().run(argc, argv);
}
