// Command line options with environment fallbacks; an invalid one fails with a
// one-line message.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

#include "Core/Common/error.h"
#include "Core/Control/daemon_settings.h"
#include "Core/Net/endpoint.h"

namespace primrosecove {

/// Exit codes of the binary.
enum ExitCode {
  kExitOk = 0,
  kExitFailed = 1,      ///< The command failed.
  kExitUsage = 2,       ///< A setting is invalid or missing.
  kExitSuperseded = 3,  ///< A newer process with this name took over.
  kExitConflict = 4,    ///< Another revision was accepted first.
};

/// Adds a string option. Its value is taken from the flag, then from the
/// environment variable PRIMROSECOVE_FLAG_NAME, then from the default in
/// `value`. The Add functions write to `value` while the command line is
/// parsed; it must outlive the parse. Not thread safe.
CLI::Option* AddSetting(CLI::App* app, const std::string& flag,
                        std::string* value, const std::string& help);
/// Adds an address option; parsing fails on an invalid address.
CLI::Option* AddEndpoint(CLI::App* app, const std::string& flag,
                         Endpoint* value, const std::string& help);
/// Adds an option with a comma-separated list of addresses.
CLI::Option* AddEndpoints(CLI::App* app, const std::string& flag,
                          std::vector<Endpoint>* value,
                          const std::string& help);
/// Adds an integer option from `min` to `max`; `help` states the unit.
CLI::Option* AddNumber(CLI::App* app, const std::string& flag, uint64_t* value,
                       uint64_t min, uint64_t max, const std::string& help);
/// Adds an option with a value from `words`.
CLI::Option* AddChoice(CLI::App* app, const std::string& flag,
                       std::string* value, std::vector<std::string> words,
                       const std::string& help);

/// Settings that routers and agents share, before FinishDaemonSettings.
struct DaemonOptions {
  DaemonSettings settings;
  std::string key_file;
  std::string log_format = "plain";
  uint64_t drain_timeout_s = 600;
  uint64_t key_value_timeout_ms = 3000;
};

/// Adds the options of DaemonOptions; `options` must outlive the parse.
void AddDaemonOptions(CLI::App* app, DaemonOptions* options);

/// Reads the shared keys from `key_file` or, if that is empty, from the
/// variable PRIMROSECOVE_KEY, which is removed from the environment. Fails with
/// kNotFound if the file cannot be opened and with kInvalidArgument if a key is
/// invalid. Not thread safe.
Result<std::vector<std::string>> ReadSharedKeys(const std::string& key_file);

/// Completes and validates the parsed settings and initializes logging. Fails
/// with kInvalidArgument, or as ReadSharedKeys does. Not thread safe.
Result<DaemonSettings> FinishDaemonSettings(const DaemonOptions& options);

}  // namespace primrosecove
