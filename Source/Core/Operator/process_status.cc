#include "Core/Operator/process_status.h"

#include <cstdio>
#include <map>

#include "Core/Operator/rpc_client.h"

namespace primrosecove {
namespace {

using Json = nlohmann::json;

constexpr long kRpcTimeoutMs = 5000;

template <typename... Args>
std::string Format(const char* format, Args... args) {
  char buf[256];
  int n = std::snprintf(buf, sizeof(buf), format, args...);
  return {buf, static_cast<size_t>(std::min<int>(n, sizeof(buf) - 1))};
}

std::string StringField(const Json& object, const char* key) {
  return object.contains(key) && object[key].is_string()
             ? object[key].get<std::string>()
             : "";
}

double NumberField(const Json& object, const char* key) {
  return object.contains(key) && object[key].is_number()
             ? object[key].get<double>()
             : 0;
}

// Outcomes of one service, summed over all routers.
struct ServiceTotals {
  double answered = 0;
  double not_run = 0;
  double unknown = 0;
  double first_tokens = 0;
  double first_token_in_time = 0;
  double gaps = 0;
  double slow_gaps = 0;
  double availability_share = 0.99;
  double latency_share = 0.95;
};

double Ratio(double good, double all) { return all > 0 ? good / all : 1; }

// Returns the used fraction of the error budget, where 1 is the whole budget
// (SRE Workbook, chapter 5).
double BudgetBurn(double share, double objective) {
  constexpr double kMinBudget = 1e-9;
  return (1 - share) / std::max(1 - objective, kMinBudget);
}

}  // namespace

Result<Json> FetchStatus(const Endpoint& admin) {
  RpcResult result =
      CallRpc("http://" + admin.ToString() + "/rpc", "status", kRpcTimeoutMs);
  if (!result.ok)
    return Fail(ErrorCode::kUnavailable, admin.ToString() + ": " + result.text);
  return Json::parse(result.text, nullptr, false);
}

std::string RenderStatus(const Json& status) {
  std::string out = Format("deployment %s, revision %.0f (%s)\n",
                           StringField(status, "deployment").c_str(),
                           NumberField(status, "revision"),
                           StringField(status, "summary").c_str());
  out += Format("%-20s %-7s %-16s %-8s %9s %-24s %9s\n", "host", "role",
                "place", "state", "revision", "serving", "transfer");
  if (!status.contains("hosts")) return out;
  for (const Json& it : status["hosts"]) {
    std::string serving = StringField(it, "model");
    if (!StringField(it, "version").empty())
      serving += " " + StringField(it, "version");
    if (it.value("failed", false)) serving += " (load failed)";
    out +=
        Format("%-20s %-7s %-16s %-8s %9.0f %-24s %8.0f%%\n",
               StringField(it, "name").c_str(), StringField(it, "role").c_str(),
               StringField(it, "place").c_str(),
               StringField(it, "state").c_str(), NumberField(it, "revision"),
               serving.c_str(), NumberField(it, "transfer_percent"));
  }
  return out;
}

std::string RenderReport(const std::vector<Json>& routers) {
  std::map<std::string, ServiceTotals> totals;
  for (const Json& router : routers) {
    if (!router.contains("own") || !router["own"].contains("services"))
      continue;
    for (const auto& [name, it] : router["own"]["services"].items()) {
      ServiceTotals& total = totals[name];
      total.answered += NumberField(it, "answered");
      total.not_run += NumberField(it, "not_run");
      total.unknown += NumberField(it, "unknown");
      total.first_tokens += NumberField(it, "first_tokens");
      total.first_token_in_time += NumberField(it, "first_token_in_time");
      total.gaps += NumberField(it, "gaps");
      total.slow_gaps += NumberField(it, "slow_gaps");
      if (NumberField(it, "availability_share") > 0) {
        total.availability_share = NumberField(it, "availability_share");
        total.latency_share = NumberField(it, "latency_share");
      }
    }
  }
  std::string out =
      "Since the routers' start; burn is the used fraction of the error "
      "budget.\n";
  out += Format("%-14s %9s %8s %8s | %9s %6s | %9s %6s | %9s %6s\n", "service",
                "answered", "not run", "unknown", "available", "burn",
                "1st token", "burn", "gaps", "burn");
  constexpr double kPercent = 100;
  for (const auto& [name, it] : totals) {
    double available =
        Ratio(it.answered, it.answered + it.not_run + it.unknown);
    double first_tokens_in_time =
        Ratio(it.first_token_in_time, it.first_tokens);
    double gaps_in_time = Ratio(it.gaps - it.slow_gaps, it.gaps);
    out += Format(
        "%-14s %9.0f %8.0f %8.0f | %8.3f%% %6.2f | %8.3f%% %6.2f | %8.3f%% "
        "%6.2f\n",
        name.c_str(), it.answered, it.not_run, it.unknown, available * kPercent,
        BudgetBurn(available, it.availability_share),
        first_tokens_in_time * kPercent,
        BudgetBurn(first_tokens_in_time, it.latency_share),
        gaps_in_time * kPercent, BudgetBurn(gaps_in_time, it.latency_share));
  }
  return out;
}

}  // namespace primrosecove
