#include "Core/Agent/agent.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "Core/Agent/weights_handler.h"
#include "Core/Common/log.h"
#include "Core/Platform/http_origin.h"

namespace primrosecove {
namespace {

constexpr Milliseconds kLinkChargePeriod{50};

SwarmMember OwnSwarmMember(const DaemonSettings& settings) {
  return {settings.name, settings.place, "", settings.peer_advertise};
}

}  // namespace

Agent::Agent(DaemonSettings daemon_settings, AgentSettings settings,
             KeyRing keys)
    : settings_(std::move(settings)),
      daemon_(std::move(daemon_settings), Role::kAgent, std::move(keys)),
      origin_(std::make_unique<HttpOrigin>(daemon_.loop(), settings_.origin,
                                           settings_.origin_timeout)),
      engine_(std::make_unique<HttpEngineClient>(
          daemon_.loop(), settings_.upstream, settings_.load_timeout)),
      gate_(daemon_.loop(), &daemon_.keys(), settings_.upstream,
            DedupOptions{.window = settings_.dedup_window},
            [this] { reconciler_.OnChange(); }),
      swarm_(daemon_.loop(), daemon_.peers(), origin_.get(),
             OwnSwarmMember(daemon_.settings()),
             SwarmOptions{.memory_bytes = settings_.weights_memory_bytes},
             *MakeSwarmPolicyByName(settings_.transfer_policy),
             [this](const Digest& manifest, const Result<void>& result) {
               if (result) {
                 reconciler_.OnChange();
               } else {
                 reconciler_.OnTransferFailed(manifest, result.error());
               }
             }),
      reconciler_(daemon_.loop(), daemon_.gossip(), &swarm_, &gate_,
                  engine_.get(), daemon_.settings().name,
                  daemon_.settings().admin_listen),
      server_(daemon_.loop(), {},
              [this](auto exchange) { gate_.Handle(std::move(exchange)); }) {}

Agent::~Agent() = default;

Result<void> Agent::Start() {
  Daemon::Hooks hooks;
  hooks.on_config = [this] { OnConfig(); };
  hooks.on_view = [this] { OnView(); };
  hooks.is_ready = [this] { return gate_.is_open(); };
  hooks.on_stop = [this] { OnStop(); };
  hooks.is_idle = [this] { return gate_.idle() && server_.in_flight() == 0; };
  hooks.status = [this] { return StatusJson(); };
  hooks.on_admin = [this](const auto& exchange) {
    return ServeWeights(&swarm_, exchange);
  };
  daemon_.SetHooks(std::move(hooks));
  // Binding this address is exclusive, so it comes first: only one agent per
  // upstream sends load orders.
  BOOST_OUTCOME_TRY(server_.Listen(daemon_.settings().listen));
  BOOST_OUTCOME_TRY(daemon_.Start());
  AddMetrics();
  charge_timer_ = daemon_.loop()->Every(kLinkChargePeriod, [this] {
    uint64_t total_forwarded = gate_.bytes_forwarded();
    swarm_.ChargeLink(total_forwarded -
                      std::exchange(charged_bytes_, total_forwarded));
  });
  gate_.SetSuspects(
      &daemon_.gossip()->suspects(), [this](uint64_t request, bool as_suspect) {
        daemon_.gossip()->AddCrashObservation(
            {request, RendezvousScore("upstream", daemon_.settings().name),
             as_suspect, WallClockMs() + SuspectTable::kLifetimeMs});
      });
  RecordStart();
  return outcome::success();
}

// An upstream name that has never been used has run nothing, so its empty
// deduplication table is complete at once. After a restart, or if the key-value
// service does not respond, the table is complete when its window has passed.
void Agent::RecordStart() {
  dedup_window_timer_ = daemon_.loop()->After(
      settings_.dedup_window, [this] { gate_.SetDedupTableComplete(true); });
  ConfigKeys keys(daemon_.settings().deployment);
  std::string key = keys.StartKey(daemon_.settings().name);
  KvTransaction first_start;
  first_start.compares.push_back({key, 0});
  first_start.puts.push_back({key, std::to_string(WallClockMs())});
  daemon_.store()->Commit(first_start, [this](const Result<KvCommit>& commit) {
    if (commit && commit.value().succeeded)
      return gate_.SetDedupTableComplete(true);
    PC_INFO(kAgent,
            "the deduplication table is not complete yet; requests with an "
            "idempotency key may be retries");
  });
}

bool Agent::IsEngine() const {
  const Upstream* self = config_->config.FindUpstream(daemon_.settings().name);
  if (self == nullptr) return false;
  const Service* service = config_->config.FindService(self->service);
  return service != nullptr && service->kind == ServiceKind::kEngine;
}

void Agent::OnConfig() {
  auto previous = std::exchange(config_, daemon_.active_config());
  const Configuration& config = config_->config;
  swarm_.SetLinks(config.links.host_bytes_per_second,
                  config.links.origin_bytes_per_second);
  swarm_.SetMembers(FindMembers());
  const Upstream* self = config.FindUpstream(daemon_.settings().name);
  if (self == nullptr) {
    PC_WARN(kAgent, "the configuration does not contain this upstream");
    reconciler_.OnConfig(&config);
    return gate_.Close("the configuration does not name this upstream");
  }
  const Service& service = *config.FindService(self->service);
  gate_.SetLimits({.concurrency = service.concurrency, .queue = service.queue});
  if (!IsEngine()) {
    if (!daemon_.stopping()) gate_.Open({});
    daemon_.gossip()->UpdateSelf(
        [&](HostRecord* it) { it->serving.model = service.name; });
    return;
  }
  reconciler_.OnConfig(&config);
  if (std::exchange(reconciler_started_, true)) return;
  reconciler_.Start();
}

void Agent::OnView() {
  if (config_ == nullptr) return;
  swarm_.SetMembers(FindMembers());
  if (reconciler_started_) reconciler_.OnChange();
}

// Agents of engines of all services exchange chunks.
std::vector<SwarmMember> Agent::FindMembers() const {
  std::vector<SwarmMember> out;
  for (const HostRecord* it : daemon_.view().Live()) {
    const Upstream* upstream = config_->config.FindUpstream(it->name);
    if (it->role != Role::kAgent || upstream == nullptr) continue;
    const Service* service = config_->config.FindService(upstream->service);
    if (service == nullptr || service->kind != ServiceKind::kEngine) continue;
    const Place* place = config_->config.FindPlace(it->place);
    out.push_back(
        {it->name, it->place, place == nullptr ? "" : place->region, it->peer});
  }
  return out;
}

void Agent::OnStop() {
  reconciler_.Stop();
  gate_.Close("the upstream is leaving");
  server_.StopAccepting();
}

std::string Agent::StatusJson() const {
  return nlohmann::json{{"phase", PhaseName(reconciler_.phase())},
                        {"last_error", reconciler_.last_error()},
                        {"running", gate_.running()},
                        {"waiting", gate_.waiting()},
                        {"weights_bytes", swarm_.store().bytes()},
                        {"weights_budget_bytes", swarm_.store().budget_bytes()}}
      .dump();
}

void Agent::AddMetrics() {
  Metrics* metrics = daemon_.metrics();
  struct Entry {
    const char* name;
    const char* help;
    Metrics::Labels labels;
    const uint64_t* value;
  };
  const AdmissionCounters& gate = gate_.counters();
  const SwarmCounters& swarm = swarm_.counters();
  static constexpr char kRequests[] = "primrosecove_requests_total";
  static constexpr char kRequestsHelp[] = "Requests by what became of them.";
  static constexpr char kChunks[] = "primrosecove_chunk_bytes_received_total";
  static constexpr char kChunksHelp[] = "Bytes of chunks received by source.";
  const Entry entries[] = {
      {kRequests, kRequestsHelp, {{"outcome", "answered"}}, &gate.responded},
      {kRequests, kRequestsHelp, {{"outcome", "not-run"}}, &gate.rejected},
      {kRequests,
       kRequestsHelp,
       {{"outcome", "unknown"}},
       &gate.outcome_unknown},
      {kRequests, kRequestsHelp, {{"outcome", "replayed"}}, &gate.replayed},
      {"primrosecove_wrong_version_total",
       "Answers held back.",
       {},
       &gate.wrong_version},
      {kChunks,
       kChunksHelp,
       {{"from", "peers"}},
       &swarm.chunk_bytes_from_peers},
      {kChunks,
       kChunksHelp,
       {{"from", "origin"}},
       &swarm.chunk_bytes_from_origin},
      {"primrosecove_chunk_duplicate_bytes_total",
       "Bytes of chunks received twice.",
       {},
       &swarm.duplicate_bytes},
      {"primrosecove_corrupt_chunks_total",
       "Chunks with another digest.",
       {},
       &swarm.corrupt_chunks},
      {"primrosecove_chunk_busy_total",
       "Requests for chunks that a peer put off.",
       {},
       &swarm.busy_responses},
  };
  for (const Entry& it : entries) {
    metrics->AddCounter(it.name, it.help, it.labels, [value = it.value] {
      return static_cast<double>(*value);
    });
  }
  metrics->AddCounter(
      "primrosecove_chunk_bytes_sent_total", "Bytes of chunks sent to peers.",
      {}, [this] { return static_cast<double>(swarm_.bytes_sent()); });
  metrics->AddCounter(
      "primrosecove_origin_bytes_total", "Bytes of bodies from the origin.", {},
      [this] { return static_cast<double>(origin_->bytes_received()); });
  metrics->AddCounter(
      "primrosecove_orders_total", "Orders given to the engine.", {},
      [this] { return static_cast<double>(reconciler_.orders_sent()); });
  metrics->AddCounter(
      "primrosecove_repairs_total", "Times the engine ran other weights.", {},
      [this] { return static_cast<double>(reconciler_.repairs()); });
}

}  // namespace primrosecove
