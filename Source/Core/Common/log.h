// Logging with one log4cplus logger per subsystem; the logger's name prefixes
// its lines.
#pragma once

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <string>
#include <string_view>

#include "Core/Common/error.h"

namespace primrosecove {

/// Subsystems; the level of each can be set separately with "part=level".
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

/// Format of log lines: text, or one JSON object per line.
enum class LogFormat { kPlain, kJson };

/// Returns the logger of a subsystem. Thread safe once InitializeLogging has
/// returned.
log4cplus::Logger& GetLogger(LogType type);

/// Initializes logging to standard error. `levels` is a comma-separated list of
/// a default level ("info") and levels of subsystems ("weights=debug"). Fails
/// with kInvalidArgument on an unknown subsystem or level. Call it once, before
/// other threads start.
Result<void> InitializeLogging(std::string_view levels, LogFormat format);

/// Initializes logging of event lines to standard output for a daemon that must
/// not block on a slow reader. Lines are held in a bounded buffer until
/// FlushLogs; lines beyond the bound are dropped and counted. Fails like
/// InitializeLogging.
Result<void> InitializeEventLogging(std::string_view levels);

/// Writes buffered event lines to standard output without blocking; the rest
/// stays buffered. Call it on the event loop's thread a few times a second and
/// before the process exits.
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
