#include "Core/Common/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <climits>
#include <memory>
#include <ostream>
#include <sstream>
#include <utility>

#include "Core/Common/text.h"

namespace primrosecove {
namespace {

constexpr size_t kLogTypeCount = static_cast<size_t>(LogType::kCount);
constexpr std::array<std::string_view, kLogTypeCount> kLogTypeNames = {
    "main",    "net",     "config", "platform", "membership",
    "weights", "rollout", "router", "agent",    "lab"};

// log4cplus must be initialized before the first logger is created and shut
// down after the last one.
log4cplus::Initializer& InitializeLibrary() {
  static log4cplus::Initializer initializer;
  return initializer;
}

std::array<log4cplus::Logger, kLogTypeCount>& Loggers() {
  static auto loggers = [] {
    InitializeLibrary();
    std::array<log4cplus::Logger, kLogTypeCount> out;
    for (size_t i = 0; i < kLogTypeCount; ++i) {
      out[i] = log4cplus::Logger::getInstance(std::string(kLogTypeNames[i]));
    }
    return out;
  }();
  return loggers;
}

void WriteJsonEscaped(std::ostream& out, const std::string& text) {
  for (char c : text) {
    if (c == '"' || c == '\\') {
      out << '\\' << c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      out << ' ';
    } else {
      out << c;
    }
  }
}

// Writes each event as one JSON object per line.
class JsonLayout : public log4cplus::Layout {
 public:
  void formatAndAppend(
      log4cplus::tostream& out,
      const log4cplus::spi::InternalLoggingEvent& event) override {
    auto since_epoch = event.getTimestamp().time_since_epoch();
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
                  .count();
    out << R"({"time_ms":)" << ms << R"(,"level":")"
        << log4cplus::getLogLevelManager().toString(event.getLogLevel())
        << R"(","part":")" << event.getLoggerName() << R"(","message":")";
    WriteJsonEscaped(out, event.getMessage());
    out << "\"}\n";
  }
};

// Buffers lines until FlushLogs; lines beyond the bounds are dropped and
// counted.
class BufferAppender : public log4cplus::Appender {
 public:
  ~BufferAppender() override { destructorImpl(); }
  void close() override { closed = true; }

  void Flush() {
    if (dropped_ > 0) {
      pending_ +=
          "event=log_lines_dropped count=" + std::to_string(dropped_) + "\n";
      dropped_ = 0;
    }
    lines_ = 0;
    size_t written = 0;
    while (written < pending_.size()) {
      pollfd out{STDOUT_FILENO, POLLOUT, 0};
      if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) break;
      // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
      size_t size = std::min<size_t>(pending_.size() - written, PIPE_BUF);
      ssize_t n = write(STDOUT_FILENO, pending_.data() + written, size);
      if (n <= 0) break;
      written += static_cast<size_t>(n);
    }
    pending_.erase(0, written);
  }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    if (pending_.size() >= kMaxBytes || lines_ >= kMaxLines) {
      ++dropped_;
      return;
    }
    ++lines_;
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    pending_ += line.str();
  }

 private:
  static constexpr size_t kMaxBytes = 512 << 10;
  // Limit between two flushes, about twenty times the usual rate of a busy
  // router.
  static constexpr size_t kMaxLines = 500;
  std::string pending_;
  size_t lines_ = 0;
  uint64_t dropped_ = 0;
};

BufferAppender* buffer_appender = nullptr;

Result<log4cplus::LogLevel> ParseLevel(std::string_view name) {
  struct Entry {
    std::string_view name;
    log4cplus::LogLevel level;
  };
  static constexpr std::array<Entry, 5> kLevels = {
      {{"debug", log4cplus::DEBUG_LOG_LEVEL},
       {"info", log4cplus::INFO_LOG_LEVEL},
       {"warn", log4cplus::WARN_LOG_LEVEL},
       {"error", log4cplus::ERROR_LOG_LEVEL},
       {"off", log4cplus::OFF_LOG_LEVEL}}};
  for (const Entry& it : kLevels) {
    if (it.name == name) return it.level;
  }
  return Fail(ErrorCode::kInvalidArgument,
              "unknown log level '" + std::string(name) +
                  "'; allowed: debug, info, warn, error, off");
}

Result<void> ApplyLevel(const std::string& entry) {
  size_t separator = entry.find('=');
  if (separator == std::string::npos) {
    BOOST_OUTCOME_TRY(level, ParseLevel(entry));
    log4cplus::Logger::getRoot().setLogLevel(level);
    return outcome::success();
  }
  BOOST_OUTCOME_TRY(level,
                    ParseLevel(std::string_view(entry).substr(separator + 1)));
  for (size_t i = 0; i < kLogTypeCount; ++i) {
    if (kLogTypeNames[i] != entry.substr(0, separator)) continue;
    Loggers()[i].setLogLevel(level);
    return outcome::success();
  }
  return Fail(ErrorCode::kInvalidArgument,
              "unknown log subsystem '" + entry.substr(0, separator) + "'");
}

}  // namespace

log4cplus::Logger& GetLogger(LogType type) {
  return Loggers()[static_cast<size_t>(type)];
}

namespace {

Result<void> ConfigureRootLogger(log4cplus::SharedAppenderPtr appender,
                                 std::string_view levels) {
  log4cplus::Logger::getRoot().removeAllAppenders();
  log4cplus::Logger::getRoot().addAppender(appender);
  log4cplus::Logger::getRoot().setLogLevel(log4cplus::INFO_LOG_LEVEL);
  for (const std::string& it : Split(levels, ',')) {
    BOOST_OUTCOME_TRY(ApplyLevel(it));
  }
  return outcome::success();
}

constexpr char kPlainPattern[] = "%D{%H:%M:%S.%q} %-5p %c: %m%n";

}  // namespace

Result<void> InitializeLogging(std::string_view levels, LogFormat format) {
  InitializeLibrary();
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(true, true));
  if (format == LogFormat::kJson) {
    appender->setLayout(std::make_unique<JsonLayout>());
  } else {
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>(kPlainPattern));
  }
  return ConfigureRootLogger(std::move(appender), levels);
}

Result<void> InitializeEventLogging(std::string_view levels) {
  InitializeLibrary();
  buffer_appender = new BufferAppender();
  log4cplus::SharedAppenderPtr appender(buffer_appender);
  appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>(kPlainPattern));
  return ConfigureRootLogger(std::move(appender), levels);
}

void FlushLogs() {
  if (buffer_appender != nullptr) buffer_appender->Flush();
}

}  // namespace primrosecove
