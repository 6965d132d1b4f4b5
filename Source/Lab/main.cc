// Fake servers and tools for tests, benchmarks and the demo. Not part of a
// release.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <functional>
#include <iostream>

#include "Core/Common/log.h"
#include "Core/Common/text.h"
#include "Emulator/experiment.h"
#include "Lab/engine.h"
#include "Lab/fault_proxy.h"
#include "Lab/history.h"
#include "Lab/load_generator.h"
#include "Lab/plain_service.h"
#include "Lab/platform.h"

namespace primrosecove {
namespace {

constexpr int kFailure = 1;
constexpr int kUsageError = 2;
constexpr int kViolationsFound = 3;

int ReportError(const Error& error) {
  std::cerr << "primrosecove-lab: " << error.message << "\n";
  return kFailure;
}

Result<std::vector<Endpoint>> ParseEndpoints(const std::string& text) {
  std::vector<Endpoint> out;
  for (const std::string& it : Split(text, ',')) {
    BOOST_OUTCOME_TRY(endpoint, Endpoint::Parse(it));
    out.push_back(endpoint);
  }
  return out;
}

void RunUntilSignal(EventLoop* loop) {
  signal(SIGPIPE, SIG_IGN);
  loop->OnSignal(SIGTERM, [loop] { loop->Stop(); });
  loop->OnSignal(SIGINT, [loop] { loop->Stop(); });
  loop->Run();
}

// Starts all servers and runs the event loop until SIGTERM or SIGINT.
template <typename T>
int ServeAll(EventLoop* loop, const std::vector<std::unique_ptr<T>>& servers) {
  for (const auto& it : servers) {
    auto started = it->Start();
    if (!started) return ReportError(started.error());
  }
  RunUntilSignal(loop);
  return 0;
}

struct Options {
  std::string listen;
  std::string target;
  std::string record;
  std::vector<std::string> weights;
  PlatformOptions platform;
  EngineOptions engine;
  EngineFaults engine_faults;
  ProxyOptions proxy;
  LoadGeneratorOptions load;
  uint64_t work_ms = 5;
  std::string routers;
  std::string workspaces;
  std::string adapters;
  std::string callers;
  std::string upstreams;
  std::string fingerprints;
  ExperimentOptions experiment;
  std::string policies = "expected-wait,least-in-flight,round-robin";
  std::string output;
};

int RunPlatform(Options options) {
  auto listen = Endpoint::Parse(options.listen);
  if (!listen) return ReportError(listen.error());
  options.platform.listen = listen.value();
  for (const std::string& it : options.weights) {
    auto spec = WeightsSpec::Parse(it);
    if (!spec) return ReportError(spec.error());
    options.platform.weights.push_back(spec.value());
  }
  EventLoop loop;
  std::vector<std::unique_ptr<Platform>> servers;
  servers.push_back(std::make_unique<Platform>(&loop, options.platform));
  return ServeAll(&loop, servers);
}

int RunEngines(Options options) {
  auto endpoints = ParseEndpoints(options.listen);
  if (!endpoints) return ReportError(endpoints.error());
  EventLoop loop;
  RecordFile record(options.record);
  std::vector<std::unique_ptr<Engine>> servers;
  for (const Endpoint& it : endpoints.value()) {
    options.engine.listen = it;
    servers.push_back(std::make_unique<Engine>(&loop, options.engine, &record));
    servers.back()->SetFaults(options.engine_faults);
  }
  return ServeAll(&loop, servers);
}

int RunServices(Options options) {
  auto endpoints = ParseEndpoints(options.listen);
  if (!endpoints) return ReportError(endpoints.error());
  EventLoop loop;
  RecordFile record(options.record);
  std::vector<std::unique_ptr<PlainService>> servers;
  for (const Endpoint& it : endpoints.value()) {
    servers.push_back(
        std::make_unique<PlainService>(&loop, it, options.work_ms, &record));
  }
  return ServeAll(&loop, servers);
}

int RunProxy(Options options) {
  auto listen = Endpoint::Parse(options.listen);
  auto target = Endpoint::Parse(options.target);
  if (!listen) return ReportError(listen.error());
  if (!target) return ReportError(target.error());
  options.proxy.listen = listen.value();
  options.proxy.target = target.value();
  EventLoop loop;
  std::vector<std::unique_ptr<FaultProxy>> servers;
  servers.push_back(std::make_unique<FaultProxy>(&loop, options.proxy));
  return ServeAll(&loop, servers);
}

int RunLoad(Options options) {
  auto routers = ParseEndpoints(options.routers);
  if (!routers) return ReportError(routers.error());
  options.load.routers = routers.value();
  options.load.workspaces = Split(options.workspaces, ',');
  options.load.adapters = Split(options.adapters, ',');
  if (options.load.workspaces.empty()) {
    return ReportError({ErrorCode::kInvalidArgument, "--workspaces is empty"});
  }
  EventLoop loop;
  RecordFile record(options.record);
  LoadGenerator load(&loop, options.load, &record);
  load.Start();
  RunUntilSignal(&loop);
  return 0;
}

int RunCheck(const Options& options) {
  History history;
  for (const std::string& it : Split(options.callers, ',')) {
    auto records = ReadRecords(it);
    if (!records) return ReportError(records.error());
    for (auto& record : records.value())
      history.callers.push_back(std::move(record));
  }
  for (const std::string& it : Split(options.upstreams, ',')) {
    auto records = ReadRecords(it);
    if (!records) return ReportError(records.error());
    for (auto& record : records.value())
      history.upstreams.push_back(std::move(record));
  }
  for (const std::string& it : Split(options.fingerprints, ','))
    history.fingerprints.insert(it);
  Verdict verdict = CheckHistory(history);
  for (const std::string& it : verdict.violations)
    std::cerr << "violation: " << it << "\n";
  std::cout << nlohmann::json{{"requests", verdict.request_count},
                              {"answered", verdict.responded},
                              {"not_run", verdict.not_executed},
                              {"unknown", verdict.unknown},
                              {"refused", verdict.refused},
                              {"lost", verdict.lost},
                              {"wrong", verdict.wrong_responses},
                              {"doubled", verdict.repeated_executions},
                              {"ran_after_not_run",
                               verdict.executed_after_not_run},
                              {"broken", verdict.violations.size()}}
                   .dump()
            << "\n";
  return verdict.violations.empty() ? 0 : kViolationsFound;
}

int RunWeights(const Options& options) {
  for (const std::string& it : options.weights) {
    auto spec = WeightsSpec::Parse(it);
    if (!spec) return ReportError(spec.error());
    std::string bytes = spec.value().MakeBytes();
    Manifest manifest =
        Manifest::FromBytes(spec.value().name, bytes, spec.value().chunk_bytes);
    std::cout << spec.value().name << " " << manifest.digest.ToHex() << " "
              << WeightsFingerprint(bytes) << "\n";
  }
  return 0;
}

int RunExperiments(Options options) {
  options.experiment.policies = Split(options.policies, ',');
  auto result = RunExperiment(options.experiment);
  if (!result) return ReportError(result.error());
  constexpr int kIndent = 1;
  std::string text = result.value().dump(kIndent) + "\n";
  if (options.output.empty()) {
    std::cout << text;
    return 0;
  }
  std::ofstream file(options.output);
  file << text;
  if (!file.flush()) {
    return ReportError(
        {ErrorCode::kUnavailable, "can't write " + options.output});
  }
  return 0;
}

using Command = int (*)(Options);

CLI::App* AddCommand(CLI::App* app, const std::string& name,
                     const std::string& help, Options* options, Command command,
                     std::function<int()>* run) {
  CLI::App* out = app->add_subcommand(name, help);
  out->callback([=] { *run = [=] { return command(*options); }; });
  return out;
}

void AddPlatform(CLI::App* app, Options* it, std::function<int()>* run) {
  CLI::App* command =
      AddCommand(app, "platform", "Fake key-value store, origin and host list",
                 it, RunPlatform, run);
  command->add_option("--listen", it->listen, "IP:PORT")->required();
  command->add_option(
      "--weights", it->weights,
      "name=N,bytes=B,chunk=C,seed=S[,base=S,shared=PERCENT]; may be repeated");
  command->add_option("--origin-rate", it->platform.origin_bytes_per_second,
                      "Bytes per second");
  command->add_option("--host-list-lag-ms", it->platform.host_list_lag_ms,
                      "Delay until a new host list is served");
  command->add_option("--seed", it->platform.seed,
                      "Seed of the injected faults");
}

void AddEngines(CLI::App* app, Options* it, std::function<int()>* run) {
  CLI::App* command =
      AddCommand(app, "engine", "Fake model engines", it, RunEngines, run);
  command->add_option("--listen", it->listen, "IP:PORT,...: one engine each")
      ->required();
  command->add_option("--record", it->record,
                      "File for records of executed requests");
  command->add_option("--step-ms", it->engine.step_ms,
                      "Duration of a decode step");
  command->add_option("--max-batch", it->engine.max_batch,
                      "Maximum requests in a batch");
  command->add_option("--prefill", it->engine.prefill_bytes_per_step,
                      "Prompt bytes prefilled per step");
  command->add_option("--cache-blocks", it->engine.cache_blocks,
                      "Capacity of the prefix cache in blocks");
  command->add_option("--load-ms", it->engine.load_ms,
                      "Duration of a load, besides the download");
  command->add_option("--load-report-lag-ms", it->engine.load_report_lag_ms,
                      "Interval at which the reported load is updated");
  command->add_flag("--ignore-fencing", it->engine.ignores_fencing,
                    "Accept orders with an old fencing number");
  command->add_flag("--crash-on-load", it->engine_faults.crash_on_load,
                    "Crash during a load");
  command->add_flag("--refuse-load", it->engine_faults.refuse_load,
                    "Reject load orders");
  command->add_flag("--lie-on-load", it->engine_faults.fake_load_success,
                    "Acknowledge loads but keep the old weights");
}

void AddProxy(CLI::App* app, Options* it, std::function<int()>* run) {
  CLI::App* command =
      AddCommand(app, "proxy", "Fault-injecting TCP proxy", it, RunProxy, run);
  command->add_option("--listen", it->listen, "IP:PORT")->required();
  command->add_option("--target", it->target, "IP:PORT")->required();
  command->add_option("--seed", it->proxy.seed, "Seed of the injected faults");
  command->add_option("--delay-ms", it->proxy.delay_ms, "Delay of each read");
  command->add_option("--corrupt", it->proxy.corrupt_per_mille,
                      "Reads of 1000 in which a bit is flipped");
  command->add_option("--cut", it->proxy.cut_per_mille,
                      "Reads of 1000 that close the connection");
  command->add_option("--stall", it->proxy.stall_per_mille,
                      "Reads of 1000 that stall the connection");
  command->add_option(
      "--drop-reply", it->proxy.cut_reply_per_mille,
      "Reads of 1000 from the target that close the connection");
}

void AddLoad(CLI::App* app, Options* it, std::function<int()>* run) {
  CLI::App* command =
      AddCommand(app, "load", "Load generator", it, RunLoad, run);
  command->add_option("--routers", it->routers, "IP:PORT,...")->required();
  command->add_option("--workspaces", it->workspaces, "Names, comma-separated")
      ->required();
  command->add_option("--record", it->record,
                      "File for records of requests and responses");
  command->add_option("--rate", it->load.requests_per_second,
                      "Requests per second");
  command->add_option("--seconds", it->load.seconds, "Duration in seconds");
  command->add_option("--model", it->load.model, "Model to call");
  command->add_option("--adapters", it->adapters, "Adapters, comma-separated");
  command->add_option("--plain-path", it->load.plain_path,
                      "Path prefix of plain GETs");
  command->add_option("--once-path", it->load.run_once_path,
                      "Path prefix of POSTs that must run once");
  command->add_option("--max-tokens", it->load.max_tokens,
                      "Tokens per response");
  command->add_option("--crash", it->load.crash_per_mille,
                      "Model requests of 1000 that crash the engine");
  command->add_option("--timeout-ms", it->load.timeout_ms,
                      "Timeout of a request");
  command->add_option("--seed", it->load.seed, "Seed of the random requests");
}

void AddServiceAndCheckCommands(CLI::App* app, Options* it,
                                std::function<int()>* run) {
  CLI::App* service =
      AddCommand(app, "service", "Fake plain services", it, RunServices, run);
  service->add_option("--listen", it->listen, "IP:PORT,...: one service each")
      ->required();
  service->add_option("--record", it->record,
                      "File for records of executed requests");
  service->add_option("--work-ms", it->work_ms, "Duration of a request");
  CLI::App* check =
      app->add_subcommand("check-history", "Check the guarantees to callers");
  check->callback([=] { *run = [=] { return RunCheck(*it); }; });
  check
      ->add_option("--callers", it->callers,
                   "Record files of callers, comma-separated")
      ->required();
  check->add_option("--upstreams", it->upstreams,
                    "Record files of upstreams, comma-separated");
  check->add_option("--fingerprints", it->fingerprints,
                    "Fingerprints of accepted weights, comma-separated");
  CLI::App* weights = app->add_subcommand(
      "weights",
      "Print name, manifest digest and fingerprint of synthetic weights");
  weights->callback([=] { *run = [=] { return RunWeights(*it); }; });
  weights->add_option("specs", it->weights, "name=N,bytes=B,chunk=C,seed=S...")
      ->required();
}

void AddExperiment(CLI::App* app, Options* it, std::function<int()>* run) {
  CLI::App* command = AddCommand(
      app, "experiment", "Compare placement policies on emulated engines", it,
      RunExperiments, run);
  command->add_option("scenario", it->experiment.scenario_path, "YAML file")
      ->required();
  command->add_option("--policies", it->policies, "Names, comma-separated")
      ->capture_default_str();
  command->add_option("--seed", it->experiment.seed, "First seed")
      ->capture_default_str();
  command->add_option("--seeds", it->experiment.seed_count, "Number of seeds")
      ->capture_default_str()
      ->check(CLI::PositiveNumber);
  command
      ->add_option(
          "--load", it->experiment.load,
          "Requested over available engine time; 0: as in the scenario")
      ->check(CLI::NonNegativeNumber);
  command->add_option("--output", it->output,
                      "JSON file; default: standard output");
  command->add_option("--plots", it->experiment.plot_directory,
                      "Existing directory for charts");
}

int Main(int argc, char** argv) {
  CLI::App app("Fake platform, engines, services and callers for tests");
  app.require_subcommand(1);
  std::function<int()> run;
  Options options;
  AddPlatform(&app, &options, &run);
  AddEngines(&app, &options, &run);
  AddProxy(&app, &options, &run);
  AddLoad(&app, &options, &run);
  AddServiceAndCheckCommands(&app, &options, &run);
  AddExperiment(&app, &options, &run);
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& e) {
    return app.exit(e);
  } catch (const CLI::ParseError& e) {
    std::cerr << "primrosecove-lab: " << e.what() << "\n";
    return kUsageError;
  }
  // The routers' log lines would mix with an experiment's result on standard
  // output.
  bool quiet = app.got_subcommand("experiment");
  auto logging = InitializeLogging(quiet ? "error" : "info", LogFormat::kPlain);
  if (!logging) return ReportError(logging.error());
  return run();
}

}  // namespace
}  // namespace primrosecove

int main(int argc, char** argv) { return primrosecove::Main(argc, argv); }
