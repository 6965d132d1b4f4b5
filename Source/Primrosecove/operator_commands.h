// Operators' subcommands: config, status, report and explain.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace primrosecove {

/// Adds the subcommands to `app`. Parsing sets `run` to the selected command,
/// which returns the exit code. `run` must outlive the parse. Not thread safe.
void AddOperatorCommands(CLI::App* app, std::function<int()>* run);

}  // namespace primrosecove
