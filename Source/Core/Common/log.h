// Logging: one log4cplus logger per part, whose name is the fixed prefix of its
// lines.
#pragma once

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <string>
#include <string_view>

#include "Core/Common/error.h"

namespace primrosecove {

/// The parts of the system; each can be raised alone with "part=level".
enum class LogType {
  kMain,
  kNet,
  kConfig,
  kPlatform,
  kMembership,
  kWeights,
  kRollout,
  kRouter,
  kAgent,
  kLab,
  kCount,
};

/// How lines are written.
enum class LogFormat { kPlain, kJson };

/// Returns the logger of a part. Thread safe once InitializeLogging has
/// returned.
log4cplus::Logger& GetLogger(LogType type);

/// Sets up logging to standard error. `levels` is a comma-separated list of a
/// default level
/// ("info") and levels of parts ("weights=debug"). Fails with kInvalidArgument
/// on an unknown part or level. Call it once, before other threads start.
Result<void> InitializeLogging(std::string_view levels, LogFormat format);

/// Sets up logging of event lines to standard output, for a daemon that must
/// never wait for whoever reads them: lines are kept in a bounded buffer until
/// FlushLogs, and dropped and counted beyond it. Fails like InitializeLogging.
Result<void> InitializeEventLogging(std::string_view levels);

/// Writes buffered event lines as far as standard output takes them at once.
/// Call it on the loop's thread, a few times a second and before the end.
void FlushLogs();

}  // namespace primrosecove

#define PC_DEBUG(type, message)                                             \
  LOG4CPLUS_DEBUG(::primrosecove::GetLogger(::primrosecove::LogType::type), \
                  message)
#define PC_INFO(type, message)                                             \
  LOG4CPLUS_INFO(::primrosecove::GetLogger(::primrosecove::LogType::type), \
                 message)
#define PC_WARN(type, message)                                             \
  LOG4CPLUS_WARN(::primrosecove::GetLogger(::primrosecove::LogType::type), \
                 message)
#define PC_ERROR(type, message)                                             \
  LOG4CPLUS_ERROR(::primrosecove::GetLogger(::primrosecove::LogType::type), \
                  message)
