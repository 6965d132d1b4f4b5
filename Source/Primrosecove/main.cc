// Entry point of the primrosecove binary: routers, agents and operators'
// commands.
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <utility>

#include "Core/Agent/agent.h"
#include "Core/Agent/fleet_agent.h"
#include "Core/Common/build_info.h"
#include "Core/Common/log.h"
#include "Core/Router/fleet_router.h"
#include "Core/Router/router.h"
#include "Primrosecove/command_line.h"
#include "Primrosecove/operator_commands.h"
#include "platform/settings.h"

namespace primrosecove {
namespace {

constexpr char kExitCodesText[] =
    "Exit codes: 0 success; 1 the command failed; 2 a setting is invalid; 3 a "
    "newer process with this name took over; 4 another revision was accepted "
    "first.";

int PrintUsageError(const Error& error) {
  std::cerr << "primrosecove: " << error.message << "\n";
  return kExitUsage;
}

// Starts a router or agent and runs it until it exits; returns the exit code.
template <typename Process, typename Settings>
int RunProcess(const DaemonOptions& options, const Settings& settings) {
  auto daemon = FinishDaemonSettings(options);
  if (!daemon) return PrintUsageError(daemon.error());
  auto keys = KeyRing::Create(daemon.value().shared_keys);
  if (!keys) return PrintUsageError(keys.error());
  Process process(std::move(daemon).value(), settings, std::move(keys).value());
  auto started = process.Start();
  if (!started) {
    std::cerr << "primrosecove: " << started.error().message << "\n";
    return kExitFailed;
  }
  return process.Run();
}

void AddRouter(CLI::App* app, std::function<int()>* run) {
  CLI::App* command =
      app->add_subcommand("router", "Route callers' requests on an entry host");
  auto options = std::make_shared<DaemonOptions>();
  auto settings = std::make_shared<RouterSettings>();
  AddDaemonOptions(command, options.get());
  AddChoice(command, "--routing", &settings->picker,
            {"affinity", "round-robin", "least-in-flight"}, "Routing policy");
  AddNumber(command, "--max-body-bytes", &settings->max_body_bytes, 1024,
            1 << 30, "Largest request body, bytes");
  command->callback(
      [=] { *run = [=] { return RunProcess<Router>(*options, *settings); }; });
}

struct AgentOptions {
  AgentSettings settings;
  uint64_t origin_timeout_ms = 30'000;
  uint64_t load_timeout_s = 300;
  uint64_t once_window_s = 600;
};

void AddAgent(CLI::App* app, std::function<int()>* run) {
  CLI::App* command =
      app->add_subcommand("agent", "Run the agent of an upstream");
  auto options = std::make_shared<DaemonOptions>();
  auto agent = std::make_shared<AgentOptions>();
  AddDaemonOptions(command, options.get());
  AddEndpoint(command, "--upstream", &agent->settings.upstream,
              "HTTP address of the upstream")
      ->required();
  AddEndpoint(command, "--origin", &agent->settings.origin,
              "HTTP address of the origin of weights")
      ->required();
  AddNumber(command, "--weights-memory-bytes",
            &agent->settings.weights_memory_bytes, 1 << 20, 1ULL << 42,
            "Memory for weights, bytes");
  AddChoice(command, "--transfer", &agent->settings.transfer_policy,
            {"swarm", "origin-only", "tree"}, "How weights are transferred");
  AddNumber(command, "--origin-timeout-ms", &agent->origin_timeout_ms, 100,
            3'600'000, "Timeout of one read from the origin, milliseconds");
  AddNumber(command, "--load-timeout-s", &agent->load_timeout_s, 1, 86'400,
            "Timeout of one load by the engine, seconds");
  AddNumber(
      command, "--once-window-s", &agent->once_window_s, 1, 86'400,
      "How long ids of run-once requests are kept for deduplication, seconds");
  command->callback([=] {
    agent->settings.origin_timeout = Milliseconds(agent->origin_timeout_ms);
    agent->settings.load_timeout = std::chrono::seconds(agent->load_timeout_s);
    agent->settings.dedup_window = std::chrono::seconds(agent->once_window_s);
    *run = [=] { return RunProcess<Agent>(*options, agent->settings); };
  });
}

// Starts a process of a fleet deployment, which reads its settings from a file
// that the platform writes, and runs it until it exits.
template <typename Process, typename... Options>
int RunFleetProcess(const std::string& log_levels, const std::string& path,
                    Options... options) {
  auto logging = InitializeEventLogging(log_levels);
  if (!logging) return PrintUsageError(logging.error());
  auto settings = platform::ReadSettings(path);
  if (!settings) return PrintUsageError(settings.error());
  EventLoop loop;
  Process process(&loop, options..., std::move(settings).value());
  auto started = process.Start();
  if (!started) {
    std::cerr << "primrosecove: " << started.error().message << "\n";
    return kExitFailed;
  }
  // At a normal exit log4cplus joins its own threads. On fleet hosts that join
  // does not return, and the process would stay until it is killed. All
  // persistent output has been flushed here.
  std::quick_exit(process.Run());
}

struct FleetOptions {
  std::string settings_path = platform::SettingsPath();
  std::string log_levels = "info";
  std::string placement = "expected-wait";
};

void AddFleetOptions(CLI::App* command, FleetOptions* options) {
  AddSetting(command, "--settings", &options->settings_path,
             "Settings file that the platform writes");
  AddSetting(command, "--log-level", &options->log_levels,
             "Default level and levels of subsystems, e.g. info,weights=debug");
}

void AddFleetRouter(CLI::App* app, std::function<int()>* run) {
  CLI::App* command = app->add_subcommand(
      "fleet-router", "Route callers' requests on a fleet entry host");
  auto options = std::make_shared<FleetOptions>();
  AddFleetOptions(command, options.get());
  AddChoice(command, "--placement", &options->placement,
            {"expected-wait", "least-in-flight", "round-robin"},
            "Placement policy of requests");
  command->callback([=] {
    *run = [=] {
      FleetRouterOptions router{options->settings_path, options->placement};
      return RunFleetProcess<FleetRouter>(options->log_levels,
                                          options->settings_path, router);
    };
  });
}

void AddFleetAgent(CLI::App* app, std::function<int()>* run) {
  CLI::App* command = app->add_subcommand(
      "fleet-agent", "Run the agent of an engine on a fleet host");
  auto options = std::make_shared<FleetOptions>();
  AddFleetOptions(command, options.get());
  command->callback([=] {
    *run = [=] {
      return RunFleetProcess<FleetAgent>(options->log_levels,
                                         options->settings_path);
    };
  });
}

int Main(int argc, char** argv) {
  CLI::App app(
      "primrosecove distributes model weights and routes callers' requests "
      "to model engines and plain services");
  app.footer(kExitCodesText);
  app.set_version_flag("--version", "primrosecove " + DescribeBuild());
  app.require_subcommand(1);
  std::function<int()> run;
  AddRouter(&app, &run);
  AddAgent(&app, &run);
  AddFleetRouter(&app, &run);
  AddFleetAgent(&app, &run);
  AddOperatorCommands(&app, &run);
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& e) {
    return app.exit(e);
  } catch (const CLI::ParseError& e) {
    std::cerr << "primrosecove: " << e.what() << "\n";
    return kExitUsage;
  }
  return run();
}

}  // namespace
}  // namespace primrosecove

int main(int argc, char** argv) { return primrosecove::Main(argc, argv); }
