// The stand-ins and tools of tests, measurements and the demo; not shipped.
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
#include "Lab/load.h"
#include "Lab/plain_service.h"
#include "Lab/platform.h"

namespace primrosecove {
namespace {

constexpr int kFailed = 1;
constexpr int kUsage = 2;
constexpr int kBroken = 3;

int ReportError(const Error& error) {
  std::cerr << "primrosecove-lab: " << error.message << "\n";
  return kFailed;
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

// Starts each of several servers of one process and serves until a signal.
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
  LoadOptions load;
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
    return ReportError(
        {ErrorCode::kInvalidArgument, "--workspaces names none"});
  }
  EventLoop loop;
  RecordFile record(options.record);
  Load load(&loop, options.load, &record);
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
  for (const std::string& it : verdict.broken)
    std::cerr << "broken: " << it << "\n";
  std::cout << nlohmann::json{{"requests", verdict.requests},
                              {"answered", verdict.answered},
                              {"not_run", verdict.not_run},
                              {"unknown", verdict.unknown},
                              {"refused", verdict.refused},
                              {"lost", verdict.lost},
                              {"wrong", verdict.wrong},
                              {"doubled", verdict.doubled},
                              {"ran_after_not_run", verdict.ran_after_not_run},
                              {"broken", verdict.broken.size()}}
                   .dump()
            << "\n";
  return verdict.broken.empty() ? 0 : kBroken;
}

int RunWeights(const Options& options) {
  for (const std::string& it : options.weights) {
    auto spec = WeightsSpec::Parse(it);
    if (!spec) return ReportError(spec.error());
    std::string bytes = spec.value().MakeBytes();
    Manifest manifest =
        Manifest::FromBytes(spec.value().name, bytes, spec.value().chunk_bytes);
    std::cout << spec.value().name << " " << manifest.digest.ToHex() << " "
              << FingerprintOf(bytes) << "\n";
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
      AddCommand(app, "platform", "Key-value service, origin and host list", it,
                 RunPlatform, run);
  command->add_option("--listen", it->listen, "IP:PORT")->required();
  command->add_option(
      "--weights", it->weights,
      "name=N,bytes=B,chunk=C,seed=S[,base=S,shared=PERCENT]; may be repeated");
  command->add_option("--origin-rate", it->platform.origin_bytes_per_second,
                      "Bytes a second");
  command->add_option("--host-list-lag-ms", it->platform.host_list_lag_ms,
                      "Milliseconds");
  command->add_option("--seed", it->platform.seed, "Seed of the faults");
}

void AddEngines(CLI::App* app, Options* it, std::function<int()>* run) {
  CLI::App* command =
      AddCommand(app, "engine", "Model engines", it, RunEngines, run);
  command->add_option("--listen", it->listen, "IP:PORT,...: one engine each")
      ->required();
  command->add_option("--record", it->record, "File for what is run");
  command->add_option("--step-ms", it->engine.step_ms, "Time of one token");
  command->add_option("--max-batch", it->engine.max_batch,
                      "Requests run at once");
  command->add_option("--prefill", it->engine.prefill_per_step,
                      "Bytes of prompt a step");
  command->add_option("--cache-blocks", it->engine.cache_blocks,
                      "Blocks in the prefix cache");
  command->add_option("--load-ms", it->engine.load_ms, "Time of a load");
  command->add_option("--load-report-lag-ms", it->engine.load_report_lag_ms,
                      "Milliseconds");
  command->add_flag("--ignore-fencing", it->engine.ignores_fencing,
                    "Obey old fencing numbers");
  command->add_flag("--crash-on-load", it->engine_faults.crash_on_load,
                    "Die while loading");
  command->add_flag("--refuse-load", it->engine_faults.refuse_load,
                    "Refuse loads");
  command->add_flag("--lie-on-load", it->engine_faults.lie_on_load,
                    "Say loaded, run the old");
}

void AddProxy(CLI::App* app, Options* it, std::function<int()>* run) {
  CLI::App* command =
      AddCommand(app, "proxy", "Fault-injecting TCP proxy", it, RunProxy, run);
  command->add_option("--listen", it->listen, "IP:PORT")->required();
  command->add_option("--target", it->target, "IP:PORT")->required();
  command->add_option("--seed", it->proxy.seed, "Seed of the schedule");
  command->add_option("--delay-ms", it->proxy.delay_ms, "Added to each piece");
  command->add_option("--corrupt", it->proxy.corrupt_per_mille,
                      "Pieces of 1000 changed");
  command->add_option("--cut", it->proxy.cut_per_mille,
                      "Pieces of 1000 that cut");
  command->add_option("--stall", it->proxy.stall_per_mille,
                      "Pieces of 1000 that stall");
  command->add_option("--drop-reply", it->proxy.drop_reply_per_mille,
                      "Pieces of 1000 from the target that cut");
}

void AddLoad(CLI::App* app, Options* it, std::function<int()>* run) {
  CLI::App* command = AddCommand(app, "load", "Callers", it, RunLoad, run);
  command->add_option("--routers", it->routers, "IP:PORT,...")->required();
  command->add_option("--workspaces", it->workspaces, "Names, comma separated")
      ->required();
  command->add_option("--record", it->record, "File for the history");
  command->add_option("--rate", it->load.requests_per_second,
                      "Requests a second");
  command->add_option("--seconds", it->load.seconds, "How long");
  command->add_option("--model", it->load.model, "Model to ask");
  command->add_option("--adapters", it->adapters, "Adapters, comma separated");
  command->add_option("--plain-path", it->load.plain_path,
                      "Prefix of plain GETs");
  command->add_option("--once-path", it->load.once_path,
                      "Prefix of POSTs that run once");
  command->add_option("--max-tokens", it->load.max_tokens, "Tokens an answer");
  command->add_option("--crash", it->load.crash_per_mille,
                      "Requests of 1000 that crash engines");
  command->add_option("--timeout-ms", it->load.timeout_ms, "Callers' timeout");
  command->add_option("--seed", it->load.seed, "Seed");
}

void AddTools(CLI::App* app, Options* it, std::function<int()>* run) {
  CLI::App* service =
      AddCommand(app, "service", "Plain services", it, RunServices, run);
  service->add_option("--listen", it->listen, "IP:PORT,...: one service each")
      ->required();
  service->add_option("--record", it->record, "File for what is run");
  service->add_option("--work-ms", it->work_ms, "Time of a request");
  CLI::App* check =
      app->add_subcommand("check-history", "Judge the promises to callers");
  check->callback([=] { *run = [=] { return RunCheck(*it); }; });
  check
      ->add_option("--callers", it->callers,
                   "Callers' histories, comma separated")
      ->required();
  check->add_option("--upstreams", it->upstreams,
                    "Upstreams' records, comma separated");
  check->add_option("--fingerprints", it->fingerprints,
                    "Accepted weights, comma separated");
  CLI::App* weights = app->add_subcommand(
      "weights", "Print name, manifest digest, fingerprint");
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
  command->add_option("--policies", it->policies, "Names, comma separated")
      ->capture_default_str();
  command->add_option("--seed", it->experiment.seed, "First seed")
      ->capture_default_str();
  command->add_option("--seeds", it->experiment.seed_count, "How many seeds")
      ->capture_default_str()
      ->check(CLI::PositiveNumber);
  command
      ->add_option("--load", it->experiment.load,
                   "Engine time asked over what there is; 0: as written")
      ->check(CLI::NonNegativeNumber);
  command->add_option("--output", it->output, "JSON file; else on the output");
  command->add_option("--plots", it->experiment.plot_directory,
                      "Existing directory for charts");
}

int Main(int argc, char** argv) {
  CLI::App app("Stand-ins for the platform, engines, services and callers");
  app.require_subcommand(1);
  std::function<int()> run;
  Options options;
  AddPlatform(&app, &options, &run);
  AddEngines(&app, &options, &run);
  AddProxy(&app, &options, &run);
  AddLoad(&app, &options, &run);
  AddTools(&app, &options, &run);
  AddExperiment(&app, &options, &run);
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& e) {
    return app.exit(e);
  } catch (const CLI::ParseError& e) {
    std::cerr << "primrosecove-lab: " << e.what() << "\n";
    return kUsage;
  }
  // An experiment's result goes to the output, where its routers' lines would
  // be mixed in.
  bool quiet = app.got_subcommand("experiment");
  auto logging = InitializeLogging(quiet ? "error" : "info", LogFormat::kPlain);
  if (!logging) return ReportError(logging.error());
  return run();
}

}  // namespace
}  // namespace primrosecove

int main(int argc, char** argv) { return primrosecove::Main(argc, argv); }
