#include "Primrosecove/operator_commands.h"

#include <cstdio>
#include <ctime>
#include <iostream>
#include <memory>

#include "Core/Config/diff.h"
#include "Core/Config/parser.h"
#include "Core/Operator/config_apply.h"
#include "Core/Operator/config_files.h"
#include "Core/Operator/explanation_client.h"
#include "Core/Operator/process_status.h"
#include "Core/Platform/etcd_store.h"
#include "Primrosecove/command_line.h"

namespace primrosecove {
namespace {

// Options of all config commands; each command uses a subset.
struct ConfigOptions {
  std::string folder = ".";
  std::string deployment;
  std::vector<Endpoint> key_value;
  std::string author;
  uint64_t based_on = 0;
  uint64_t revision = 0;
  uint64_t limit = 20;
  uint64_t timeout_ms = 3000;
};

constexpr uint64_t kMaxRevision = UINT64_MAX / 2;

int PrintError(const Error& error) {
  std::cerr << "primrosecove: " << error.message << "\n";
  return error.code == ErrorCode::kConflict ? kExitConflict : kExitFailed;
}

// Calls `action` with a store for the configured key-value service.
int RunWithStore(const ConfigOptions& options,
                 const std::function<int(ConfigStore*)>& action) {
  EventLoop loop;
  EtcdStore store(&loop, options.key_value, Milliseconds(options.timeout_ms));
  ConfigStore config(&loop, &store, options.deployment);
  return action(&config);
}

int Check(const ConfigOptions& options) {
  auto bundle = ReadBundleFiles(options.folder);
  if (!bundle) return PrintError(bundle.error());
  auto valid = ValidateBundle(bundle.value());
  if (!valid) return PrintError(valid.error());
  auto config = ParseBundle(bundle.value(), "");
  std::cout << "ok: " << config.value().upstreams.size() << " upstreams, "
            << config.value().models.size() << " models, "
            << config.value().workspaces.size() << " workspaces, "
            << bundle.value().overlays.size() << " overlays\n";
  return kExitOk;
}

int Diff(const ConfigOptions& options) {
  auto bundle = ReadBundleFiles(options.folder);
  if (!bundle) return PrintError(bundle.error());
  auto after = ParseBundle(bundle.value(), "");
  if (!after) return PrintError(after.error());
  return RunWithStore(options, [&](ConfigStore* store) {
    auto current = store->Read();
    if (!current) return PrintError(current.error());
    Configuration before;
    if (current.value().head.revision > 0) {
      auto parsed = ParseBundle(current.value().bundle, "");
      if (!parsed) return PrintError(parsed.error());
      before = std::move(parsed).value();
    }
    for (const std::string& it : DescribeChanges(before, after.value()))
      std::cout << it << "\n";
    return static_cast<int>(kExitOk);
  });
}

int Apply(const ConfigOptions& options) {
  ApplyRequest request;
  auto bundle = ReadBundleFiles(options.folder);
  if (!bundle) return PrintError(bundle.error());
  request.bundle = std::move(bundle).value();
  request.author = options.author;
  if (options.based_on > 0) request.based_on = options.based_on;
  return RunWithStore(options, [&](ConfigStore* store) {
    auto result = store->Apply(request);
    if (!result) return PrintError(result.error());
    const Head& head = result.value().head;
    if (result.value().unchanged) {
      std::cout << "revision " << head.revision
                << " already holds this configuration; nothing applied\n";
      return static_cast<int>(kExitOk);
    }
    for (const std::string& it : result.value().changes)
      std::cout << it << "\n";
    std::cout << "accepted as revision " << head.revision << "\n";
    return static_cast<int>(kExitOk);
  });
}

int Show(const ConfigOptions& options) {
  return RunWithStore(options, [&](ConfigStore* store) {
    auto stored = options.revision > 0 ? store->ReadRevision(options.revision)
                                       : store->Read();
    if (!stored) return PrintError(stored.error());
    const Head& head = stored.value().head;
    std::cout << "# revision " << head.revision << " by " << head.author << ": "
              << head.summary << "\n# base.yaml\n"
              << stored.value().bundle.base;
    for (const auto& [site, text] : stored.value().bundle.overlays) {
      std::cout << "# overlays/" << site << ".yaml\n" << text;
    }
    return static_cast<int>(kExitOk);
  });
}

int History(const ConfigOptions& options) {
  return RunWithStore(options, [&](ConfigStore* store) {
    auto heads = store->History(static_cast<int64_t>(options.limit));
    if (!heads) return PrintError(heads.error());
    for (const Head& it : heads.value()) {
      constexpr int64_t kMsPerSecond = 1000;
      std::time_t seconds = it.time_ms / kMsPerSecond;
      char when[32] = {};
      std::strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%SZ",
                    std::gmtime(&seconds));
      std::cout << it.revision << "  " << when << "  " << it.author << "  "
                << it.summary << "\n";
    }
    return static_cast<int>(kExitOk);
  });
}

using ConfigCommand = int (*)(const ConfigOptions&);

void AddConfigCommand(CLI::App* parent, const std::string& name,
                      const std::string& help, ConfigCommand command,
                      const std::shared_ptr<ConfigOptions>& options,
                      std::function<int()>* run, bool uses_files,
                      bool uses_store) {
  CLI::App* app = parent->add_subcommand(name, help);
  if (uses_files) {
    AddSetting(app, "--folder", &options->folder,
               "Folder with base.yaml and overlays/");
  }
  if (uses_store) {
    AddSetting(app, "--deployment", &options->deployment,
               "Name of the deployment")
        ->required();
    AddEndpoints(app, "--key-value", &options->key_value,
                 "Gateway addresses of the key-value service")
        ->required();
    AddNumber(app, "--key-value-timeout-ms", &options->timeout_ms, 10, 60'000,
              "Timeout of one call, milliseconds");
  }
  app->callback([=] { *run = [=] { return command(*options); }; });
}

struct ProcessOptions {
  std::vector<Endpoint> admins;
  bool json = false;
};

int Status(const ProcessOptions& options) {
  auto status = FetchStatus(options.admins.front());
  if (!status) return PrintError(status.error());
  std::cout << (options.json ? status.value().dump(2) + "\n"
                             : RenderStatus(status.value()));
  return kExitOk;
}

int BurnReport(const ProcessOptions& options) {
  std::vector<nlohmann::json> routers;
  for (const Endpoint& it : options.admins) {
    auto status = FetchStatus(it);
    if (!status) return PrintError(status.error());
    routers.push_back(std::move(status).value());
  }
  std::cout << (options.json ? nlohmann::json(routers).dump(2) + "\n"
                             : RenderReport(routers));
  return kExitOk;
}

struct ExplainOptions {
  Endpoint router;
  PlacementQuestion question;
  std::string key_file;
  uint64_t deadline_ms = 0;
  uint64_t prompt_tokens = 0;
  uint64_t output_tokens = 0;
};

int Explain(const ExplainOptions& options) {
  PlacementQuestion question = options.question;
  CallerFields& fields = question.fields;
  if (!options.key_file.empty()) {
    auto key = ReadCallerKey(options.key_file);
    if (!key) return PrintError(key.error());
    fields.key = key.value();
  }
  if (options.deadline_ms > 0)
    fields.deadline = Milliseconds(options.deadline_ms);
  fields.prompt_tokens = static_cast<int64_t>(options.prompt_tokens);
  fields.max_output_tokens = static_cast<int64_t>(options.output_tokens);
  auto explanation = FetchExplanation(options.router, question);
  if (!explanation) return PrintError(explanation.error());
  std::cout << explanation.value();
  return kExitOk;
}

void AddExplainCommand(CLI::App* parent, std::function<int()>* run) {
  constexpr uint64_t kMaxNumber = UINT32_MAX;
  CLI::App* app = parent->add_subcommand(
      "explain",
      "Print where a fleet router would send a request now, and why");
  auto options = std::make_shared<ExplainOptions>();
  PlacementQuestion* question = &options->question;
  AddEndpoint(app, "--router", &options->router,
              "Metrics address of the router")
      ->required();
  AddSetting(app, "--host", &question->host, "Host of the request")->required();
  AddSetting(app, "--path", &question->target, "Path of the request")
      ->required();
  AddSetting(app, "--api-key-file", &options->key_file,
             "File with the caller's API key; without it the request has none");
  AddSetting(app, "--model", &question->fields.model, "Model of the request");
  AddSetting(app, "--request-id", &question->fields.request_id,
             "Id of the request, which decides the service of a split route");
  AddNumber(app, "--deadline-ms", &options->deadline_ms, 0, kMaxNumber,
            "How long the caller waits, milliseconds; 0: not stated");
  AddNumber(app, "--prompt-tokens", &options->prompt_tokens, 0, kMaxNumber,
            "Tokens of the prompt");
  AddNumber(app, "--output-tokens", &options->output_tokens, 0, kMaxNumber,
            "Tokens of the response at most");
  app->callback([=] { *run = [=] { return Explain(*options); }; });
}

}  // namespace

void AddOperatorCommands(CLI::App* app, std::function<int()>* run) {
  CLI::App* config = app->add_subcommand(
      "config", "Validate, compare, apply and show configurations");
  config->require_subcommand(1);
  auto options = std::make_shared<ConfigOptions>();
  AddConfigCommand(config, "check", "Validate base file and overlays offline",
                   Check, options, run, true, false);
  AddConfigCommand(config, "diff",
                   "Print the changes against the newest revision", Diff,
                   options, run, true, true);
  AddConfigCommand(config, "apply",
                   "Commit base file and overlays as a new revision", Apply,
                   options, run, true, true);
  AddConfigCommand(config, "show", "Print a revision", Show, options, run,
                   false, true);
  AddConfigCommand(config, "history", "List revisions, newest first", History,
                   options, run, false, true);
  CLI::App* apply = config->get_subcommand("apply");
  AddSetting(apply, "--author", &options->author,
             "Author of the revision, recorded in the history")
      ->required();
  AddNumber(apply, "--based-on", &options->based_on, 1, kMaxRevision,
            "Edited revision; fail if a newer one was accepted");
  AddNumber(config->get_subcommand("show"), "--revision", &options->revision, 1,
            kMaxRevision, "Revision to print (default: newest)");
  AddNumber(config->get_subcommand("history"), "--limit", &options->limit, 1,
            10'000, "Maximum number of revisions");

  auto process = std::make_shared<ProcessOptions>();
  CLI::App* status =
      app->add_subcommand("status", "Print the fleet as one process sees it");
  AddEndpoints(status, "--admin", &process->admins,
               "Admin address of any process")
      ->required();
  status->add_flag("--json", process->json, "Print JSON");
  status->callback([=] { *run = [=] { return Status(*process); }; });
  CLI::App* report = app->add_subcommand(
      "report", "Print the error budget burn of each service");
  AddEndpoints(report, "--admin", &process->admins,
               "Admin addresses of the routers")
      ->required();
  report->add_flag("--json", process->json, "Print JSON");
  report->callback([=] { *run = [=] { return BurnReport(*process); }; });
  AddExplainCommand(app, run);
}

}  // namespace primrosecove
