// The product's one binary: router, agent and the operators' commands.
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <utility>

#include "Core/Agent/agent.h"
#include "Core/Agent/fleet_agent.h"
#include "Core/Common/log.h"
#include "Core/Router/fleet_router.h"
#include "Core/Router/router.h"
#include "Primrosecove/command_line.h"
#include "Primrosecove/operator_commands.h"
#include "platform/settings.h"

namespace primrosecove {
namespace {

constexpr char kExitCodesText[] =
    "Exit codes: 0 done; 1 the command failed; 2 a setting is wrong; 3 a newer "
    "process of this "
    "name has taken over; 4 another operator's revision came first.";

int ReportUsage(const Error& error) {
  std::cerr << "primrosecove: " << error.message << "\n";
  return kExitUsage;
}

// Starts a daemon and runs it to its end.
template <typename Process, typename Settings>
int RunProcess(const DaemonOptions& options, const Settings& settings) {
  auto daemon = FinishDaemonSettings(options);
  if (!daemon) return ReportUsage(daemon.error());
  auto keys = KeyRing::Create(daemon.value().shared_keys);
  if (!keys) return ReportUsage(keys.error());
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
      app->add_subcommand("router", "Take callers' requests on an entry host");
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
  CLI::App* command = app->add_subcommand("agent", "Stand beside an upstream");
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
            {"swarm", "origin-only", "tree"}, "How weights are moved");
  AddNumber(command, "--origin-timeout-ms", &agent->origin_timeout_ms, 100,
            3'600'000, "Bound of one read from the origin, milliseconds");
  AddNumber(command, "--load-timeout-s", &agent->load_timeout_s, 1, 86'400,
            "Bound of one load by the engine, seconds");
  AddNumber(command, "--once-window-s", &agent->once_window_s, 1, 86'400,
            "How long ids of requests that run once are kept, seconds");
  command->callback([=] {
    agent->settings.origin_timeout = Milliseconds(agent->origin_timeout_ms);
    agent->settings.load_timeout = std::chrono::seconds(agent->load_timeout_s);
    agent->settings.dedup_window = std::chrono::seconds(agent->once_window_s);
    *run = [=] { return RunProcess<Agent>(*options, agent->settings); };
  });
}

// Starts a daemon of a prepared deployment, whose settings the platform lays in
// a file.
template <typename Process, typename... Options>
int RunFleetProcess(const std::string& log_levels, const std::string& path,
                    Options... options) {
  auto logging = InitializeEventLogging(log_levels);
  if (!logging) return ReportUsage(logging.error());
  auto settings = platform::ReadSettings(path);
  if (!settings) return ReportUsage(settings.error());
  EventLoop loop;
  Process process(&loop, options..., std::move(settings).value());
  auto started = process.Start();
  if (!started) {
    std::cerr << "primrosecove: " << started.error().message << "\n";
    return kExitFailed;
  }
  // The logging library joins threads of its own at the end of a process, and
  // on the prepared hosts that does not return: the process would stay until it
  // is killed. Everything that lasts has been flushed.
  std::quick_exit(process.Run());
}

struct FleetOptions {
  std::string settings_path = platform::SettingsPath();
  std::string log_levels = "info";
  std::string placement = "expected-wait";
};

void AddFleetOptions(CLI::App* command, FleetOptions* options) {
  AddSetting(command, "--settings", &options->settings_path,
             "Settings file that the platform lays");
  AddSetting(command, "--log-level", &options->log_levels,
             "Default level and levels of parts, e.g. info,weights=debug");
}

void AddFleetRouter(CLI::App* app, std::function<int()>* run) {
  CLI::App* command = app->add_subcommand(
      "fleet-router", "Take callers' requests on a prepared entry host");
  auto options = std::make_shared<FleetOptions>();
  AddFleetOptions(command, options.get());
  AddChoice(command, "--placement", &options->placement,
            {"expected-wait", "least-in-flight", "round-robin"},
            "How upstreams are chosen");
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
      "fleet-agent", "Stand beside an engine on a prepared host");
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
      "primrosecove delivers model weights and routes callers' requests "
      "meanwhile");
  app.footer(kExitCodesText);
  app.set_version_flag("--version", "primrosecove " PRIMROSECOVE_VERSION);
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
