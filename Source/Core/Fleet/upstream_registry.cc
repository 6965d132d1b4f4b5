#include "Core/Fleet/upstream_registry.h"

#include <algorithm>
#include <utility>

#include "Core/Common/log.h"

namespace primrosecove {
namespace {

// An older reported load is not assumed to include the requests that other
// routers have in flight now; their responses take a few seconds at most.
constexpr Milliseconds kLoadReportLifetime{3000};
// Each other router is assumed to have sent this share of the requests that
// this router has sent since the last reported load.
constexpr double kOtherRouterShare = 0.5;
// The hosts that are slow change this often. A statement of age t is from the
// present period with probability 1 - t / kSlowdownPeriod.
constexpr Milliseconds kSlowdownPeriod{600};
// Consecutive failures after which an upstream is ejected for a while, except
// for probes. A single failure may be caused by the request.
constexpr int kFailuresToEject = 3;
constexpr Milliseconds kEjectionTime{1500};
// An engine with running requests sends events several times a second.
constexpr Milliseconds kMaxQuietTime{400};
// A registration outlives a crash by more than this.
constexpr Milliseconds kRecentSuccess{500};
// Registrations without a start time are in the order in which they are seen,
// unless one read of the store may have returned both.
constexpr Milliseconds kMaxReadTime{300};
// The store may execute a write of a process that has ended some seconds later.
// A process that goes on writing is alive.
constexpr Milliseconds kMaxWriteDelay{10'000};
constexpr int kWritesOfLiveProcess = 3;
// An upstream that another process has answered for is tried again after this
// time.
constexpr Milliseconds kAbsence{10'000};
// After a restore, servers write their registrations again within less, and
// those of servers that have ended lapse.
constexpr Milliseconds kRestoreSettleTime{10'000};
// A copy of the store is some seconds old.
constexpr Milliseconds kEndedRegistrationLifetime{60'000};
// A process that is leaving ends within less.
constexpr Milliseconds kLeavingStatementLifetime{600'000};

bool LivesByAgent(const FleetUpstream& upstream, MonotonicTime now) {
  bool same_process =
      upstream.status && upstream.record.start_time_ms != 0 &&
      upstream.status->start_time_ms == upstream.record.start_time_ms;
  return same_process && upstream.status->reachable &&
         upstream.status->responding &&
         now - upstream.status_received_at < UpstreamRegistry::kStatusLifetime;
}

bool LivesByRequests(const FleetUpstream& upstream, MonotonicTime now) {
  return now - upstream.last_success < kRecentSuccess;
}

// Whether an upstream has shown lately that its process runs.
bool IsAlive(const FleetUpstream& upstream, MonotonicTime now) {
  return LivesByAgent(upstream, now) || LivesByRequests(upstream, now);
}

const LoadedWeights* FullyLoadedWeights(const UpstreamRecord& record,
                                        const std::string& model) {
  for (const LoadedWeights& it : record.weights) {
    if (it.model == model && it.fully_loaded) return &it;
  }
  return nullptr;
}

}  // namespace

int FleetUpstream::ExpectedLoad(MonotonicTime now) const {
  // Other routers are assumed to send as much as this one.
  if (now - load_reported_at > kLoadReportLifetime) {
    return local_in_flight * router_count;
  }
  int since = local_in_flight - local_in_flight_at_report;
  if (since <= 0) return std::max(reported_load + since, local_in_flight);
  // All routers see the same free slots at the same time.
  double others = kOtherRouterShare * since * (router_count - 1);
  return std::max(reported_load, local_in_flight_at_report) + since +
         static_cast<int>(others);
}

double FleetUpstream::Slowdown(MonotonicTime now) const {
  constexpr double kUsualPercent = 100;
  double percent = kUsualPercent;
  if (status && now - status_received_at < UpstreamRegistry::kStatusLifetime) {
    percent = status->slowdown_percent;
  }
  double age = static_cast<double>((now - slowdown_stated_at).count());
  double weight =
      std::max(1 - age / static_cast<double>(kSlowdownPeriod.count()), 0.0);
  percent += weight * (stated_slowdown_percent - percent);
  return std::max(percent / kUsualPercent, 1.0);
}

int64_t FleetUpstream::StartTimeMs() const {
  // The agent's status shows a restart sooner than the registration.
  return std::max(record.start_time_ms, status ? status->start_time_ms : 0);
}

void UpstreamRegistry::Apply(const UpstreamChange& change,
                             MonotonicTime reachable_since, MonotonicTime now) {
  ApplyChange(change, reachable_since, now);
  RestoreWithoutSuccessor(now);
}

void UpstreamRegistry::ApplyChange(const UpstreamChange& change,
                                   MonotonicTime reachable_since,
                                   MonotonicTime now) {
  if (!change.record) replaced_.erase(change.id);
  auto it = upstreams_.find(change.id);
  if (change.record) {
    bool is_new = it == upstreams_.end();
    if (IsObsolete(*change.record, now)) {
      PC_INFO(kMembership, "event=registration_obsolete id="
                               << change.id
                               << " write=" << change.record->write_number
                               << " leaving=" << change.record->leaving
                               << " known=" << !is_new);
      return;
    }
    if (is_new) {
      if (IsLateWrite(*change.record, now)) return;
      RemoveReplaced(*change.record, now);
    }
    FleetUpstream& upstream = upstreams_[change.id];
    if (is_new) upstream.registered_at = now;
    bool restarted = !is_new && upstream.record.start_time_ms !=
                                    change.record->start_time_ms;
    bool changed = is_new || restarted ||
                   upstream.record.leaving != change.record->leaving ||
                   upstream.record.weights != change.record->weights ||
                   upstream.registration_expires_at.has_value();
    if (restarted) {
      // The agent's status may be of the new process already.
      if (upstream.status &&
          upstream.status->start_time_ms == change.record->start_time_ms) {
        upstream.status.reset();
      }
      if (!upstream.IsLeaving())
        RecordCrash(upstream, CrashEvidence::kRestarted);
      upstream.status.reset();
      upstream.refuses_connections = false;
    }
    if (restarted || upstream.record.endpoint != change.record->endpoint)
      upstream.absent_until = now;
    upstream.record = *change.record;
    if (restarted) {
      upstream.start_seen_at = now;
      upstream.cold_until = now;
    }
    // A registration may be older than a response that states a later end.
    if (upstream.record.cold_start_remaining) {
      upstream.cold_until = std::max(
          upstream.cold_until, now + *upstream.record.cold_start_remaining);
    }
    upstream.registration_expires_at.reset();
    UpdateStatesLeaving(&upstream);
    if (!changed) return;
    uint64_t version = upstream.record.weights.empty()
                           ? 0
                           : upstream.record.weights[0].version;
    PC_INFO(kMembership,
            "event=upstream_registered id="
                << change.id << " service=" << change.record->service
                << " at=" << change.record->endpoint.ToString() << " zone="
                << change.record->zone << " leaving=" << change.record->leaving
                << " restarted=" << restarted << " weights=" << version);
    return;
  }
  if (it == upstreams_.end()) return;
  MonotonicTime expires_at = reachable_since + kRegistrationGrace;
  bool settled = now >= expires_at;
  PC_INFO(kMembership, "event=upstream_unregistered id="
                           << change.id << " settled=" << settled << " why=\""
                           << change.unusable_reason << "\"");
  if (settled || it->second.IsLeaving()) {
    RecordRegistrationEnd(it->second, now);
    RecordEnded(it->second.record, now);
    upstreams_.erase(it);
  } else {
    it->second.registration_expires_at = expires_at;
  }
}

bool UpstreamRegistry::IsObsolete(const UpstreamRecord& record,
                                  MonotonicTime now) const {
  // Otherwise the store returns registrations in the order of their writes.
  if (!store_restored_at_ || now - *store_restored_at_ > kRestoreSettleTime)
    return false;
  using Order = std::pair<int64_t, int64_t>;
  auto is_ordered = [](int64_t start_time_ms, int64_t write_number) {
    return start_time_ms != 0 && write_number != 0;
  };
  if (!is_ordered(record.start_time_ms, record.write_number)) return false;
  Order order{record.start_time_ms, record.write_number};
  auto it = upstreams_.find(record.id);
  if (it != upstreams_.end()) {
    const UpstreamRecord& known = it->second.record;
    return is_ordered(known.start_time_ms, known.write_number) &&
           order < Order{known.start_time_ms, known.write_number};
  }
  auto ended = ended_registrations_.find(record.id);
  return ended != ended_registrations_.end() &&
         order <=
             Order{ended->second.start_time_ms, ended->second.write_number};
}

void UpstreamRegistry::RecordEnded(const UpstreamRecord& record,
                                   MonotonicTime now) {
  if (record.start_time_ms == 0 || record.write_number == 0) return;
  ended_registrations_[record.id] = {record.start_time_ms, record.write_number,
                                     now};
}

void UpstreamRegistry::SetServices(std::set<std::string> services,
                                   MonotonicTime now) {
  auto before = std::exchange(services_, std::move(services));
  std::vector<UpstreamRecord> added;
  for (const auto& [id, upstream] : upstreams_) {
    const UpstreamRecord& it = upstream.record;
    bool was_named = !before || before->contains(it.service);
    if (!was_named && services_->contains(it.service)) added.push_back(it);
  }
  for (const UpstreamRecord& it : added) {
    if (upstreams_.contains(it.id)) RemoveReplaced(it, now);
  }
  RestoreWithoutSuccessor(now);
}

bool UpstreamRegistry::IsUsableRecord(const UpstreamRecord& record) const {
  return !record.leaving && record.slots > 0 &&
         (!services_ || services_->contains(record.service));
}

void UpstreamRegistry::RemoveReplaced(const UpstreamRecord& record,
                                      MonotonicTime now) {
  if (!IsUsableRecord(record)) return;
  std::erase_if(upstreams_, [&](const auto& it) {
    const UpstreamRecord& other = it.second.record;
    if (other.id == record.id || other.endpoint != record.endpoint)
      return false;
    bool has_start_times =
        other.start_time_ms != 0 && record.start_time_ms != 0;
    bool is_replaced = has_start_times
                           ? other.start_time_ms < record.start_time_ms
                           : now - it.second.registered_at > kMaxReadTime;
    if (!is_replaced) return false;
    if (IsAlive(it.second, now)) {
      PC_WARN(kMembership, "event=address_contested id="
                               << it.first << " by=" << record.id
                               << " at=" << record.endpoint.ToString());
      return false;
    }
    if (!it.second.IsLeaving())
      RecordCrash(it.second, CrashEvidence::kReplaced);
    RecordEnded(other, now);
    // Those that this one has replaced have the same address.
    for (auto& [id, earlier] : replaced_) {
      if (earlier.successor == other.id) earlier.successor = record.id;
    }
    replaced_[it.first] = {it.second, record.id, now, 0};
    return true;
  });
}

void UpstreamRegistry::RestoreWithoutSuccessor(MonotonicTime now) {
  std::vector<std::string> ids;
  for (const auto& [id, replaced] : replaced_) {
    auto it = upstreams_.find(replaced.successor);
    bool has_successor =
        it != upstreams_.end() && now >= it->second.absent_until &&
        IsUsableRecord(it->second.record) &&
        it->second.record.endpoint == replaced.upstream.record.endpoint;
    // The registration of a process that has ended lapses within less.
    bool is_lasting = now - replaced.at > kMaxWriteDelay;
    if (!has_successor || is_lasting) ids.push_back(id);
  }
  for (const std::string& id : ids) Restore(id, "no successor", now);
}

bool UpstreamRegistry::RestoreReplaced(const std::string& service,
                                       MonotonicTime now) {
  std::vector<std::string> ids;
  for (const auto& [id, replaced] : replaced_) {
    if (replaced.upstream.record.service == service) ids.push_back(id);
  }
  for (const std::string& id : ids)
    Restore(id, "its service has no other upstream", now);
  return !ids.empty();
}

void UpstreamRegistry::Restore(const std::string& id, const char* why,
                               MonotonicTime now) {
  auto node = replaced_.extract(id);
  if (node.empty()) return;
  ended_registrations_.erase(id);
  FleetUpstream& upstream = upstreams_[id];
  upstream = std::move(node.mapped().upstream);
  upstream.registered_at = now;
  upstream.status.reset();
  upstream.reload_at.reset();
  // The requests that were in flight have ended meanwhile, or end unnoticed.
  upstream.local_in_flight = 0;
  upstream.local_in_flight_at_report = 0;
  upstream.silent_since.reset();
  UpdateStatesLeaving(&upstream);
  PC_INFO(kMembership, "event=upstream_restored id="
                           << id << " successor=" << node.mapped().successor
                           << " why=\"" << why << "\"");
}

std::optional<std::string> UpstreamRegistry::FindRunning(
    const UpstreamStatus& status, MonotonicTime now) {
  if (!status.reachable || status.start_time_ms == 0) return std::nullopt;
  auto is_running = [&status](const UpstreamRecord& record) {
    return record.endpoint == status.upstream &&
           record.start_time_ms == status.start_time_ms;
  };
  auto replaced = std::ranges::find_if(replaced_, [&](const auto& it) {
    return is_running(it.second.upstream.record);
  });
  if (replaced != replaced_.end()) {
    std::string id = replaced->first;
    Restore(id, "its agent reaches it", now);
    return id;
  }
  for (const auto& [id, upstream] : upstreams_) {
    if (is_running(upstream.record)) return id;
  }
  return std::nullopt;
}

void UpstreamRegistry::MarkAbsent(FleetUpstream* upstream, const char* why,
                                  MonotonicTime now) {
  if (now >= upstream->absent_until) {
    PC_INFO(kMembership, "event=upstream_absent id="
                             << upstream->record.id
                             << " at=" << upstream->record.endpoint.ToString()
                             << " why=\"" << why << "\"");
  }
  upstream->absent_until = now + kAbsence;
}

bool UpstreamRegistry::IsLateWrite(const UpstreamRecord& record,
                                   MonotonicTime now) {
  auto it = replaced_.find(record.id);
  if (it == replaced_.end()) return false;
  ReplacedUpstream& replaced = it->second;
  bool may_be_late = now - replaced.at <= kMaxWriteDelay &&
                     ++replaced.writes < kWritesOfLiveProcess;
  if (may_be_late) {
    replaced.upstream.record = record;
    return true;
  }
  replaced_.erase(it);
  return false;
}

void UpstreamRegistry::RecordStatus(const UpstreamStatus& status,
                                    MonotonicTime now) {
  std::optional<std::string> running = FindRunning(status, now);
  for (auto& [id, upstream] : upstreams_) {
    if (upstream.record.endpoint != status.upstream) continue;
    if (running && id != *running) {
      RecordOtherStatus(&upstream, now);
      continue;
    }
    if (running) upstream.absent_until = now;
    if (upstream.status && upstream.status->sequence >= status.sequence &&
        now - upstream.status_received_at < kStatusLifetime) {
      continue;
    }
    bool was_reachable = upstream.status && upstream.status->reachable;
    bool stopped = was_reachable &&
                   (!status.reachable ||
                    upstream.status->start_time_ms != status.start_time_ms);
    if (stopped && !upstream.IsLeaving()) {
      RecordCrash(upstream, status.reachable ? CrashEvidence::kRestarted
                                             : CrashEvidence::kUnreachable);
    }
    if (upstream.status &&
        (upstream.status->reachable != status.reachable ||
         upstream.status->served_version != status.served_version)) {
      PC_INFO(kMembership, "event=upstream_status id="
                               << id << " reachable=" << status.reachable
                               << " weights=" << status.served_version
                               << " staged=" << status.staged_version);
    }
    upstream.router_count =
        std::max<int>(static_cast<int>(status.active_routers), 1);
    bool responds_again =
        upstream.status && !upstream.status->responding && status.responding;
    if (responds_again) EndSilentFailures(&upstream, now);
    int64_t start_time_ms = upstream.StartTimeMs();
    upstream.status = status;
    if (start_time_ms != 0 && upstream.StartTimeMs() > start_time_ms)
      upstream.start_seen_at = now;
    UpdateStatesLeaving(&upstream);
    upstream.reload_at.reset();
    if (status.reload_in_ms != UpstreamStatus::kNoReloadPlanned) {
      upstream.reload_at = now + Milliseconds(status.reload_in_ms);
    }
    upstream.status_received_at = now;
    upstream.reported_load = static_cast<int>(status.running + status.waiting);
    upstream.local_in_flight_at_report = upstream.local_in_flight;
    upstream.load_reported_at = now;
  }
}

void UpstreamRegistry::RecordOtherStatus(FleetUpstream* upstream,
                                         MonotonicTime now) {
  bool was_running =
      upstream->status && upstream->status->reachable &&
      upstream->record.start_time_ms != 0 &&
      upstream->status->start_time_ms == upstream->record.start_time_ms;
  if (was_running && !upstream->IsLeaving())
    RecordCrash(*upstream, CrashEvidence::kReplaced);
  upstream->status.reset();
  MarkAbsent(upstream, "the agent there reaches another process", now);
}

void UpstreamRegistry::RecordResponseLoad(const std::string& id,
                                          const UpstreamLoad& load,
                                          MonotonicTime now) {
  FleetUpstream* upstream = Find(id);
  if (upstream == nullptr) return;
  if (load.slowdown_percent) {
    upstream->stated_slowdown_percent = *load.slowdown_percent;
    upstream->slowdown_stated_at = now;
  }
  // An agent's status arrives more often and is not delayed by its engine.
  if (upstream->status &&
      now - upstream->status_received_at < kStatusLifetime) {
    return;
  }
  upstream->reported_load = load.running + load.waiting;
  upstream->local_in_flight_at_report = upstream->local_in_flight;
  upstream->load_reported_at = now;
}

void UpstreamRegistry::RecordMalformedLoad(const std::string& id) {
  ++malformed_loads_;
  FleetUpstream* upstream = Find(id);
  if (upstream == nullptr ||
      std::exchange(upstream->has_logged_malformed_load, true)) {
    return;
  }
  PC_WARN(kMembership, "event=upstream_load_malformed id=" << id);
}

void UpstreamRegistry::RecordColdStart(const std::string& id,
                                       int64_t start_time_ms,
                                       Milliseconds remaining,
                                       MonotonicTime now) {
  FleetUpstream* it = Find(id);
  if (it == nullptr) return;
  bool is_earlier_process =
      start_time_ms != 0 && start_time_ms < it->StartTimeMs();
  if (!is_earlier_process)
    it->cold_until = std::max(it->cold_until, now + remaining);
}

void UpstreamRegistry::OnSent(const std::string& id, MonotonicTime now) {
  FleetUpstream* upstream = Find(id);
  if (upstream == nullptr) return;
  if (upstream->local_in_flight++ == 0) upstream->last_progress = now;
}

void UpstreamRegistry::OnProgress(const std::string& id, MonotonicTime now) {
  FleetUpstream* upstream = Find(id);
  if (upstream == nullptr) return;
  upstream->last_progress = now;
  upstream->refuses_connections = false;
  EndSilentFailures(upstream, now);
}

void UpstreamRegistry::EndSilentFailures(FleetUpstream* upstream,
                                         MonotonicTime now) {
  if (!std::exchange(upstream->failed_by_silence, false)) return;
  upstream->consecutive_failures = 0;
  upstream->ejected_until = std::min(upstream->ejected_until, now);
}

void UpstreamRegistry::OnEnded(const std::string& id, bool ok,
                               MonotonicTime now) {
  FleetUpstream* upstream = Find(id);
  if (upstream == nullptr) return;
  upstream->local_in_flight = std::max(upstream->local_in_flight - 1, 0);
  if (!ok) return CountFailure(upstream, now);
  upstream->consecutive_failures = 0;
  upstream->last_success = now;
}

void UpstreamRegistry::OnEndedSilent(const std::string& id, MonotonicTime now) {
  FleetUpstream* upstream = Find(id);
  if (upstream == nullptr) return;
  upstream->local_in_flight = std::max(upstream->local_in_flight - 1, 0);
  upstream->failed_by_silence = true;
  CountFailure(upstream, now);
}

void UpstreamRegistry::OnCancelled(const std::string& id) {
  FleetUpstream* upstream = Find(id);
  if (upstream == nullptr) return;
  upstream->local_in_flight = std::max(upstream->local_in_flight - 1, 0);
}

void UpstreamRegistry::CountFailure(FleetUpstream* upstream,
                                    MonotonicTime now) {
  if (++upstream->consecutive_failures < kFailuresToEject) return;
  upstream->ejected_until = now + kEjectionTime;
  PC_WARN(kMembership, "event=upstream_ejected id="
                           << upstream->record.id
                           << " failures=" << upstream->consecutive_failures
                           << " by_silence=" << upstream->failed_by_silence);
}

void UpstreamRegistry::OnConnectionRefused(const std::string& id) {
  FleetUpstream* upstream = Find(id);
  // A leaving upstream refuses connections before it ends.
  if (upstream == nullptr || upstream->IsLeaving()) return;
  if (std::exchange(upstream->refuses_connections, true)) return;
  RecordCrash(*upstream, CrashEvidence::kRefusesConnections);
}

void UpstreamRegistry::OnStatedLeaving(const std::string& id,
                                       int64_t start_time_ms,
                                       MonotonicTime now) {
  LeavingStatement& statement = leaving_statements_[id];
  statement.start_time_ms = std::max(statement.start_time_ms, start_time_ms);
  statement.made_at = now;
  FleetUpstream* upstream = Find(id);
  bool was_known = upstream != nullptr && upstream->states_leaving;
  if (upstream != nullptr) UpdateStatesLeaving(upstream);
  if (was_known) return;
  PC_INFO(kMembership, "event=upstream_states_leaving id="
                           << id << " started=" << statement.start_time_ms
                           << " registered=" << (upstream != nullptr));
}

void UpstreamRegistry::UpdateStatesLeaving(FleetUpstream* upstream) const {
  auto it = leaving_statements_.find(upstream->record.id);
  if (it == leaving_statements_.end()) {
    upstream->states_leaving = false;
    return;
  }
  int64_t stated = it->second.start_time_ms;
  int64_t present = upstream->StartTimeMs();
  upstream->states_leaving = stated == 0 || present == 0 || stated >= present;
}

void UpstreamRegistry::OnRefused(const std::string& id, MonotonicTime now) {
  FleetUpstream* upstream = Find(id);
  if (upstream == nullptr) return;
  upstream->local_in_flight = std::max(upstream->local_in_flight - 1, 0);
  // The refusal shows that it is full, whatever load was reported.
  upstream->reported_load =
      std::max(upstream->reported_load, upstream->record.slots);
  upstream->local_in_flight_at_report = upstream->local_in_flight;
  upstream->load_reported_at = now;
}

void UpstreamRegistry::OnMisdirected(const std::string& id, MonotonicTime now) {
  FleetUpstream* upstream = Find(id);
  if (upstream == nullptr) return;
  upstream->local_in_flight = std::max(upstream->local_in_flight - 1, 0);
  MarkAbsent(upstream, "another process has answered", now);
  RestoreWithoutSuccessor(now);
}

void UpstreamRegistry::RecordRegistrationEnd(const FleetUpstream& upstream,
                                             MonotonicTime now) {
  if (upstream.IsLeaving()) return;
  // An upstream that the store has lost while it answers has not crashed: its
  // writes are lost on the way, or another process writes its entry.
  bool lives_by_agent = LivesByAgent(upstream, now);
  bool lives_by_requests = LivesByRequests(upstream, now);
  if (!lives_by_agent && !lives_by_requests)
    return RecordCrash(upstream, CrashEvidence::kRegistrationEnded);
  PC_INFO(kMembership, "event=upstream_lost_by_store id="
                           << upstream.record.id
                           << " lives_by_agent=" << lives_by_agent
                           << " lives_by_requests=" << lives_by_requests);
}

void UpstreamRegistry::RecordCrash(const FleetUpstream& upstream,
                                   CrashEvidence evidence) {
  static constexpr const char* kNames[] = {
      "registration ended", "restarted", "unreachable to its agent",
      "refuses connections", "replaced at its address"};
  int64_t start_time_ms = upstream.StartTimeMs();
  PC_INFO(kMembership, "event=upstream_crashed id="
                           << upstream.record.id << " started=" << start_time_ms
                           << " why=\"" << kNames[static_cast<size_t>(evidence)]
                           << "\"");
  crashes_.push_back({upstream.record.id, start_time_ms, evidence});
}

std::vector<UpstreamCrash> UpstreamRegistry::PopCrashes() {
  return std::exchange(crashes_, {});
}

void UpstreamRegistry::Expire(MonotonicTime now) {
  RestoreWithoutSuccessor(now);
  std::erase_if(upstreams_, [this, now](const auto& it) {
    bool expired = it.second.registration_expires_at &&
                   now >= *it.second.registration_expires_at;
    if (expired) {
      PC_INFO(kMembership, "event=upstream_expired id=" << it.first);
      RecordRegistrationEnd(it.second, now);
      RecordEnded(it.second.record, now);
    }
    return expired;
  });
  std::erase_if(leaving_statements_, [now](const auto& it) {
    return now - it.second.made_at > kLeavingStatementLifetime;
  });
  std::erase_if(ended_registrations_, [now](const auto& it) {
    return now - it.second.ended_at > kEndedRegistrationLifetime;
  });
}

void UpstreamRegistry::UpdateSilence(MonotonicTime now) {
  for (auto& [id, upstream] : upstreams_) {
    // Requests of a plain service may take long without data.
    bool is_engine = upstream.status || !upstream.record.weights.empty();
    bool by_requests = is_engine && upstream.local_in_flight > 0 &&
                       now - upstream.last_progress > kMaxQuietTime;
    bool by_agent = upstream.status && !upstream.status->responding &&
                    now - upstream.status_received_at < kStatusLifetime;
    bool is_silent = by_requests || by_agent;
    if (is_silent == upstream.silent_since.has_value()) continue;
    if (is_silent) {
      ++silences_;
      upstream.silent_since =
          by_requests ? upstream.last_progress : upstream.status_received_at;
      PC_INFO(kMembership, "event=upstream_silent id="
                               << id << " quiet_ms="
                               << (now - upstream.last_progress).count()
                               << " in_flight=" << upstream.local_in_flight
                               << " by_agent=" << by_agent);
      continue;
    }
    PC_INFO(kMembership,
            "event=upstream_silence_over id="
                << id << " silent_ms=" << (now - *upstream.silent_since).count()
                << " in_flight=" << upstream.local_in_flight << " responds="
                << (upstream.last_progress > *upstream.silent_since));
    upstream.silent_since.reset();
  }
}

void UpstreamRegistry::ExcuseSilence(Milliseconds time, MonotonicTime now) {
  for (auto& [id, upstream] : upstreams_) {
    upstream.last_progress = std::min(upstream.last_progress + time, now);
  }
}

double UpstreamRegistry::SilentShare(const std::string& service) const {
  int all = 0;
  int silent = 0;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.record.service != service) continue;
    ++all;
    if (upstream.silent_since) ++silent;
  }
  return all == 0 ? 0 : static_cast<double>(silent) / all;
}

const char* UpstreamRegistry::WhyNotAccepting(const FleetUpstream& upstream,
                                              MonotonicTime now) {
  if (upstream.IsLeaving()) return "leaving";
  if (now < upstream.absent_until) return "not at its address";
  bool has_status =
      upstream.status && now - upstream.status_received_at < kStatusLifetime;
  if (!has_status) return nullptr;
  if (!upstream.status->reachable) return "unreachable";
  // A loading engine accepts no requests until its running ones have ended.
  return upstream.status->loading ? "loading" : nullptr;
}

std::vector<FleetUpstream*> UpstreamRegistry::Accepting(
    const std::string& service, MonotonicTime now) {
  std::vector<FleetUpstream*> out;
  for (auto& [id, upstream] : upstreams_) {
    if (upstream.record.service != service) continue;
    if (WhyNotAccepting(upstream, now) == nullptr) out.push_back(&upstream);
  }
  return out;
}

void UpstreamRegistry::PreferSound(std::vector<FleetUpstream*>* upstreams,
                                   MonotonicTime now) {
  auto rank = [now](const FleetUpstream* it) {
    enum { kSound, kEjected, kSilent };
    if (it->silent_since) return kSilent;
    return now < it->ejected_until ? kEjected : kSound;
  };
  // If all upstreams fail, the requests are the likelier cause.
  auto best =
      std::min_element(upstreams->begin(), upstreams->end(),
                       [&](auto* a, auto* b) { return rank(a) < rank(b); });
  if (best == upstreams->end()) return;
  auto best_rank = rank(*best);
  std::erase_if(*upstreams,
                [&](const auto* it) { return rank(it) != best_rank; });
}

std::vector<FleetUpstream*> UpstreamRegistry::Usable(const std::string& service,
                                                     MonotonicTime now) {
  std::vector<FleetUpstream*> out = Accepting(service, now);
  PreferSound(&out, now);
  return out;
}

FleetUpstream* UpstreamRegistry::Find(const std::string& id) {
  auto it = upstreams_.find(id);
  return it == upstreams_.end() ? nullptr : &it->second;
}

uint64_t UpstreamRegistry::ServedVersion(const FleetUpstream& upstream,
                                         const std::string& model,
                                         MonotonicTime now) {
  if (upstream.status && now - upstream.status_received_at < kStatusLifetime) {
    return upstream.status->served_version;
  }
  const LoadedWeights* weights = FullyLoadedWeights(upstream.record, model);
  return weights == nullptr ? 0 : weights->version;
}

}  // namespace primrosecove
