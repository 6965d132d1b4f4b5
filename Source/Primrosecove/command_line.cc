#include "Primrosecove/command_line.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "Core/Common/text.h"
#include "Core/Net/key_ring.h"

namespace primrosecove {
namespace {

constexpr char kKeyVariable[] = "PRIMROSECOVE_KEY";

// Returns the environment variable of a flag: "--peer-listen" maps to
// PRIMROSECOVE_PEER_LISTEN.
std::string VariableName(const std::string& flag) {
  std::string out = "PRIMROSECOVE_";
  for (char c : flag.substr(2)) {
    out.push_back(c == '-' ? '_'
                           : static_cast<char>(
                                 std::toupper(static_cast<unsigned char>(c))));
  }
  return out;
}

CLI::Option* BindVariable(CLI::Option* option, const std::string& flag) {
  return option->envname(VariableName(flag));
}

// Adds an option whose value `parse` stores; `parse` returns an error message,
// or an empty string on success.
CLI::Option* AddParsedOption(
    CLI::App* app, const std::string& flag, const std::string& help,
    std::function<std::string(const std::string&)> parse,
    const std::string& type_name) {
  auto callback = [flag, parse](const CLI::results_t& results) {
    std::string why = parse(results.back());
    if (!why.empty()) throw CLI::ValidationError(flag, why);
    return true;
  };
  CLI::Option* option = app->add_option(flag, CLI::callback_t(callback), help);
  option->type_name(type_name)->expected(1);
  return BindVariable(option, flag);
}

}  // namespace

CLI::Option* AddSetting(CLI::App* app, const std::string& flag,
                        std::string* value, const std::string& help) {
  return BindVariable(
      app->add_option(flag, *value, help)->capture_default_str(), flag);
}

CLI::Option* AddEndpoint(CLI::App* app, const std::string& flag,
                         Endpoint* value, const std::string& help) {
  auto parse = [value](const std::string& text) {
    auto endpoint = Endpoint::Parse(text);
    if (!endpoint) return endpoint.error().message;
    *value = endpoint.value();
    return std::string();
  };
  return AddParsedOption(app, flag, help, parse, "IP:PORT");
}

CLI::Option* AddEndpoints(CLI::App* app, const std::string& flag,
                          std::vector<Endpoint>* value,
                          const std::string& help) {
  auto parse = [value](const std::string& text) {
    value->clear();
    for (const std::string& it : Split(text, ',')) {
      auto endpoint = Endpoint::Parse(it);
      if (!endpoint) return endpoint.error().message;
      value->push_back(endpoint.value());
    }
    return std::string();
  };
  return AddParsedOption(app, flag, help, parse, "IP:PORT,...");
}

CLI::Option* AddNumber(CLI::App* app, const std::string& flag, uint64_t* value,
                       uint64_t min, uint64_t max, const std::string& help) {
  auto parse = [value, min, max](const std::string& text) {
    auto number = ParseU64(text);
    if (!number || *number < min || *number > max) {
      return "'" + text + "' is not an integer from " + std::to_string(min) +
             " to " + std::to_string(max);
    }
    *value = *number;
    return std::string();
  };
  return AddParsedOption(app, flag, help + " [" + std::to_string(*value) + "]",
                         parse, "NUMBER");
}

CLI::Option* AddChoice(CLI::App* app, const std::string& flag,
                       std::string* value, std::vector<std::string> words,
                       const std::string& help) {
  std::string allowed;
  for (const std::string& it : words)
    allowed += (allowed.empty() ? "" : ", ") + it;
  auto parse = [value, words, allowed](const std::string& text) {
    if (std::find(words.begin(), words.end(), text) == words.end()) {
      return "'" + text + "' is not one of: " + allowed;
    }
    *value = text;
    return std::string();
  };
  return AddParsedOption(
      app, flag, help + " (" + allowed + ") [" + *value + "]", parse, "WORD");
}

void AddDaemonOptions(CLI::App* app, DaemonOptions* options) {
  DaemonSettings* it = &options->settings;
  AddSetting(app, "--deployment", &it->deployment, "Name of the deployment")
      ->required();
  AddSetting(app, "--name", &it->name,
             "Name of this process: that of the upstream or the router")
      ->required();
  AddSetting(app, "--place", &it->place,
             "Place of this host in the configuration")
      ->required();
  AddEndpoint(app, "--listen", &it->listen, "HTTP address for requests")
      ->required();
  AddEndpoint(app, "--peer-listen", &it->peer_listen,
              "Address for peers, TCP and UDP")
      ->required();
  AddEndpoint(app, "--admin-listen", &it->admin_listen,
              "HTTP address for health and metrics")
      ->required();
  AddEndpoint(app, "--advertise", &it->advertise,
              "Address at which others reach --listen");
  AddEndpoint(app, "--peer-advertise", &it->peer_advertise,
              "Address at which others reach --peer-listen");
  AddEndpoints(app, "--key-value", &it->key_value,
               "Gateway addresses of the key-value service")
      ->required();
  AddEndpoints(app, "--host-list", &it->host_list,
               "Address of the platform's host list");
  AddEndpoints(app, "--seeds", &it->seeds,
               "Initial peers, in addition to the host list");
  AddSetting(app, "--key-file", &options->key_file,
             "File with one or two shared keys, one per line; without it "
             "PRIMROSECOVE_KEY is read");
  AddSetting(app, "--log-level", &it->log_levels,
             "Default level and levels of subsystems, e.g. info,weights=debug");
  AddChoice(app, "--log-format", &options->log_format, {"plain", "json"},
            "Format of log lines");
  AddNumber(app, "--drain-timeout-s", &options->drain_timeout_s, 1, 86400,
            "Longest wait for in-flight requests at shutdown, seconds");
  AddNumber(app, "--key-value-timeout-ms", &options->key_value_timeout_ms, 10,
            60'000,
            "Timeout of one call to the key-value service, milliseconds");
}

Result<std::vector<std::string>> ReadSharedKeys(const std::string& key_file) {
  std::string text;
  const char* variable = std::getenv(kKeyVariable);
  if (!key_file.empty()) {
    BOOST_OUTCOME_TRY(contents, ReadFile(key_file));
    text = contents;
  } else if (variable != nullptr) {
    text = variable;
    // Keeps the key out of the environment of the running process.
    unsetenv(kKeyVariable);
  }
  auto keys = KeyRing::FromText(text);
  if (!keys) {
    return Fail(ErrorCode::kInvalidArgument,
                "--key-file or PRIMROSECOVE_KEY: " + keys.error().message);
  }
  return keys.value().keys();
}

Result<DaemonSettings> FinishDaemonSettings(const DaemonOptions& options) {
  DaemonSettings out = options.settings;
  if (out.advertise.port == 0) out.advertise = out.listen;
  if (out.peer_advertise.port == 0) out.peer_advertise = out.peer_listen;
  if (out.host_list.size() > 1) {
    return Fail(ErrorCode::kInvalidArgument,
                "--host-list accepts one address only");
  }
  out.log_format =
      options.log_format == "json" ? LogFormat::kJson : LogFormat::kPlain;
  out.drain_timeout = std::chrono::seconds(options.drain_timeout_s);
  out.key_value_timeout = Milliseconds(options.key_value_timeout_ms);
  BOOST_OUTCOME_TRY(keys, ReadSharedKeys(options.key_file));
  out.shared_keys = keys;
  auto logging = InitializeLogging(out.log_levels, out.log_format);
  if (!logging)
    return Fail(ErrorCode::kInvalidArgument,
                "--log-level: " + logging.error().message);
  return out;
}

}  // namespace primrosecove
