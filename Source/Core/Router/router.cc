#include "Core/Router/router.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "Core/Common/log.h"
#include "Core/Routing/request_headers.h"

namespace primrosecove {
namespace {

constexpr double kMaxSavedRetries = 20;
constexpr Milliseconds kRetryAfterWhenStarting{1000};
// Reserved at the end of the drain timeout for the delivery of the last
// responses.
constexpr Milliseconds kStopMargin{400};

std::string SecondsText(Milliseconds ms) {
  constexpr int64_t kMsPerSecond = 1000;
  return std::to_string(
      std::max<int64_t>(1, (ms.count() + kMsPerSecond - 1) / kMsPerSecond));
}

}  // namespace

Router::Router(DaemonSettings daemon_settings, RouterSettings settings,
               KeyRing keys)
    : settings_(std::move(settings)),
      daemon_(std::move(daemon_settings), Role::kRouter, std::move(keys)),
      client_(daemon_.loop()),
      upstream_table_(MakePickerByName(settings_.picker, RandomU64())),
      retry_budget_(settings_.retry_ratio, kMaxSavedRetries),
      server_(daemon_.loop(), {.max_body_bytes = settings_.max_body_bytes},
              [this](auto exchange) { HandleRequest(std::move(exchange)); }) {}

Router::~Router() = default;

Result<void> Router::Start() {
  Daemon::Hooks hooks;
  hooks.on_config = [this] { OnConfig(); };
  hooks.on_view = [this] { ConfigureLimits(); };
  hooks.on_stop = [this] { OnStop(); };
  hooks.is_idle = [this] { return server_.in_flight() == 0; };
  hooks.status = [this] { return StatusJson(); };
  daemon_.SetHooks(std::move(hooks));
  BOOST_OUTCOME_TRY(server_.Listen(daemon_.settings().listen));
  BOOST_OUTCOME_TRY(daemon_.Start());
  daemon_.metrics()->AddCounter(
      "primrosecove_refused_total",
      "Requests refused before routing; they did not run.", {},
      [this] { return static_cast<double>(refused_); });
  return outcome::success();
}

void Router::OnStop() {
  server_.StopAccepting();
  responses_due_at_ =
      EventLoop::Now() + daemon_.settings().drain_timeout - kStopMargin;
  for (const auto& [key, weak] : tasks_) {
    if (auto task = weak.lock()) task->LimitTime(*responses_due_at_);
  }
}

void Router::OnConfig() {
  config_ = daemon_.active_config();
  upstream_table_.Prune(config_->config);
  for (const Service& it : config_->config.services) {
    if (!service_counters_.contains(it.name)) AddServiceMetrics(it.name);
  }
  router_count_ = 0;
  ConfigureLimits();
}

size_t Router::CountRouters() const {
  size_t n = 0;
  for (const HostRecord* it : daemon_.view().Live()) {
    if (it->role == Role::kRouter && !it->leaving) ++n;
  }
  return std::max<size_t>(1, n);
}

void Router::ConfigureLimits() {
  size_t n = CountRouters();
  if (config_ == nullptr || n == router_count_) return;
  router_count_ = n;
  limiter_.Configure(config_->config.workspaces, n);
}

void Router::Refuse(const std::shared_ptr<HttpExchange>& exchange, int status,
                    const std::string& reason, Milliseconds retry_after) {
  ++refused_;
  HttpHeaders headers = {
      {std::string(kOutcomeHeader), std::string(kOutcomeNotExecuted)},
      {"Content-Type", "text/plain"}};
  if (retry_after.count() > 0) {
    headers.Add(std::string(kRetryAfterHeader), SecondsText(retry_after));
  }
  exchange->Respond(status, std::move(headers), "not run: " + reason + "\n");
}

void Router::HandleRequest(std::shared_ptr<HttpExchange> exchange) {
  constexpr int kServiceUnavailable = 503;
  constexpr int kTooManyRequests = 429;
  if (config_ == nullptr) {
    return Refuse(exchange, kServiceUnavailable, "no configuration yet",
                  kRetryAfterWhenStarting);
  }
  if (responses_due_at_ && EventLoop::Now() >= *responses_due_at_) {
    return Refuse(exchange, kServiceUnavailable, "the router is stopping",
                  kRetryAfterWhenStarting);
  }
  CallerRequest request;
  RequestError error;
  if (!ParseCallerRequest(config_->config, exchange->request(), &request,
                          &error)) {
    return Refuse(exchange, error.status, error.message, Milliseconds(0));
  }
  AdmissionDecision decision =
      limiter_.Admit(request.workspace, request.max_tokens, EventLoop::Now());
  if (!decision.admitted) {
    return Refuse(exchange, kTooManyRequests, decision.reason,
                  decision.retry_after);
  }
  Gossip* gossip = daemon_.gossip();
  RequestContext context{daemon_.loop(),
                         &client_,
                         &daemon_.keys(),
                         &daemon_.view(),
                         &upstream_table_,
                         &retry_budget_,
                         &gossip->suspects(),
                         [gossip](const CrashObservation& it) {
                           gossip->AddCrashObservation(it);
                         }};
  std::shared_ptr<const Configuration> config(config_, &config_->config);
  uint32_t tokens = request.max_tokens;
  auto task = std::make_shared<RequestTask>(
      context, std::move(config), std::move(request), std::move(exchange),
      [this, tokens](const RequestSummary& summary) {
        OnRequestDone(summary, tokens);
      });
  std::erase_if(tasks_, [](const auto& it) { return it.second.expired(); });
  tasks_[task.get()] = task;
  task->Start();
  if (responses_due_at_) task->LimitTime(*responses_due_at_);
}

void Router::OnRequestDone(const RequestSummary& summary, uint32_t tokens) {
  limiter_.OnEnded(summary.workspace, tokens);
  ServiceCounters& counters = service_counters_[summary.service];
  counters.attempts += summary.attempts;
  if (summary.outcome == kOutcomeResponded) {
    ++counters.responded;
  } else if (summary.outcome == kOutcomeNotExecuted) {
    ++counters.not_executed;
  } else {
    ++counters.unknown;
  }
  counters.gaps += summary.gaps;
  counters.slow_gaps += summary.slow_gaps;
  if (summary.first_token_ms < 0) return;
  ++counters.first_tokens;
  const Service* service = config_->config.FindService(summary.service);
  bool in_time = service != nullptr &&
                 summary.first_token_ms <= service->objectives.first_token_ms;
  if (in_time) ++counters.first_token_in_time;
}

std::string Router::StatusJson() const {
  nlohmann::json services = nlohmann::json::object();
  for (const auto& [name, it] : service_counters_) {
    nlohmann::json out = {{"answered", it.responded},
                          {"not_run", it.not_executed},
                          {"unknown", it.unknown},
                          {"attempts", it.attempts},
                          {"first_tokens", it.first_tokens},
                          {"first_token_in_time", it.first_token_in_time},
                          {"gaps", it.gaps},
                          {"slow_gaps", it.slow_gaps}};
    const Service* service =
        config_ == nullptr ? nullptr : config_->config.FindService(name);
    if (service != nullptr) {
      out["availability_share"] = service->objectives.availability_share;
      out["latency_share"] = service->objectives.latency_share;
    }
    services[name] = std::move(out);
  }
  return nlohmann::json{{"services", services}, {"refused", refused_}}.dump();
}

void Router::AddServiceMetrics(const std::string& service) {
  struct Entry {
    const char* name;
    const char* help;
    Metrics::Labels labels;
    uint64_t ServiceCounters::*value;
  };
  static constexpr char kRequests[] = "primrosecove_requests_total";
  static constexpr char kRequestsHelp[] = "Requests by what became of them.";
  const Entry entries[] = {
      {kRequests,
       kRequestsHelp,
       {{"outcome", "answered"}},
       &ServiceCounters::responded},
      {kRequests,
       kRequestsHelp,
       {{"outcome", "not-run"}},
       &ServiceCounters::not_executed},
      {kRequests,
       kRequestsHelp,
       {{"outcome", "unknown"}},
       &ServiceCounters::unknown},
      {"primrosecove_attempts_total",
       "Requests sent to agents.",
       {},
       &ServiceCounters::attempts},
      {"primrosecove_first_tokens_total",
       "Answers begun.",
       {},
       &ServiceCounters::first_tokens},
      {"primrosecove_first_tokens_in_time_total",
       "Answers begun within the objective.",
       {},
       &ServiceCounters::first_token_in_time},
      {"primrosecove_token_gaps_total",
       "Gaps between pieces.",
       {},
       &ServiceCounters::gaps},
      {"primrosecove_slow_token_gaps_total",
       "Gaps above the objective.",
       {},
       &ServiceCounters::slow_gaps},
  };
  ServiceCounters* counters = &service_counters_[service];
  for (const Entry& it : entries) {
    Metrics::Labels labels = it.labels;
    labels["service"] = service;
    daemon_.metrics()->AddCounter(
        it.name, it.help, labels, [counters, value = it.value] {
          return static_cast<double>(counters->*value);
        });
  }
}

}  // namespace primrosecove
