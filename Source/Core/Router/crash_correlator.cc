#include "Core/Router/crash_correlator.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "Core/Common/digest.h"
#include "Core/Common/log.h"

namespace primrosecove {
namespace {

// Time for which a crash is remembered. No attempt is in flight for longer.
constexpr Milliseconds kCrashLifetime{SuspectTable::kLifetimeMs};

}  // namespace

CrashCorrelator::CrashCorrelator(Milliseconds max_detection_time,
                                 PromptPartScreen prompt_part_screen)
    : max_detection_time_(max_detection_time),
      prompt_part_screen_(std::move(prompt_part_screen)),
      last_loss_id_(RandomU64()) {}

void CrashCorrelator::OnConnectionLost(const LostAttempt& attempt,
                                       MonotonicTime now) {
  ++counters_.lost_connections;
  LostConnection lost_connection{attempt, now, ++last_loss_id_, false};
  // Such an execution was sound until something else ended its upstream.
  if (attempt.responding_time >= PromptPartScreen::kSoundExecutionTime)
    lost_connection.attempt.prompt_parts.clear();
  if (AddLoss(lost_connection, now))
    new_losses_.push_back(std::move(lost_connection));
}

void CrashCorrelator::AddRemoteLosses(const LossReport& report,
                                      MonotonicTime now) {
  for (const LossReportEntry& it : report.entries) {
    if (remote_losses_.size() >= kMaxLostConnections) return;
    if (!remote_losses_.try_emplace(it.loss_id, now).second) continue;
    ++counters_.reported_losses;
    LostAttempt attempt{
        it.request_fingerprint, it.upstream_id,
        it.as_suspect,          now - Milliseconds(it.sent_ago_ms),
        it.prompt_parts,        std::nullopt};
    if (!it.may_have_been_queued) attempt.responding_time = Milliseconds(0);
    AddLoss({std::move(attempt), now - Milliseconds(it.lost_ago_ms), it.loss_id,
             true},
            now);
  }
}

std::vector<LossReport> CrashCorrelator::PopNewLosses(MonotonicTime now) {
  auto age = [now](MonotonicTime at) {
    return static_cast<uint32_t>(std::max(now - at, Milliseconds(0)).count());
  };
  std::vector<LossReport> out;
  for (const LostConnection& it : std::exchange(new_losses_, {})) {
    if (out.empty() || out.back().entries.size() >= LossReport::kMaxEntries)
      out.emplace_back();
    out.back().entries.push_back(
        {it.id, it.attempt.request, it.attempt.upstream_id,
         it.attempt.as_suspect, age(it.attempt.sent_at), age(it.at),
         it.attempt.prompt_parts, !it.attempt.responding_time});
  }
  return out;
}

bool CrashCorrelator::AddLoss(LostConnection lost_connection,
                              MonotonicTime now) {
  const LostAttempt& attempt = lost_connection.attempt;
  auto crash = last_crashes_.find(attempt.upstream_id);
  // A crash that was detected before the attempt ended another process. One
  // that already counts for the request is an earlier one of an upstream that
  // restarts under its id.
  if (crash != last_crashes_.end() && crash->second.at >= attempt.sent_at &&
      RecordObservation(lost_connection, crash->second.incarnation, now)) {
    return false;
  }
  if (lost_connections_.size() >= kMaxLostConnections) {
    DropLostConnection(lost_connections_.front(), now);
    lost_connections_.pop_front();
  }
  lost_connections_.push_back(std::move(lost_connection));
  return true;
}

void CrashCorrelator::OnUpstreamCrash(const UpstreamCrash& crash,
                                      MonotonicTime now) {
  ++counters_.crashes;
  auto incarnation = static_cast<uint64_t>(crash.start_time_ms);
  last_crashes_[crash.id] = {incarnation, now};
  std::erase_if(lost_connections_, [&](const LostConnection& it) {
    return it.attempt.upstream_id == crash.id &&
           RecordObservation(it, incarnation, now);
  });
}

bool CrashCorrelator::RecordObservation(const LostConnection& lost_connection,
                                        uint64_t incarnation,
                                        MonotonicTime now) {
  const LostAttempt& attempt = lost_connection.attempt;
  CrashObservation observation;
  observation.subject = attempt.request;
  observation.upstream = std::hash<std::string>{}(attempt.upstream_id);
  observation.incarnation = incarnation;
  observation.as_suspect = attempt.as_suspect;
  observation.expires_ms =
      lost_connection.at.count() + SuspectTable::kLifetimeMs;
  bool is_new = AddObservation(observation, now);
  if (!is_new) ++counters_.repeated_observations;
  observation.may_have_been_queued = !attempt.responding_time;
  for (uint64_t part : attempt.prompt_parts) {
    auto sound_at = prompt_part_screen_.LastSoundAt(part);
    if (sound_at && *sound_at >= lost_connection.at) continue;
    observation.subject = part;
    if (!AddObservation(observation, now)) continue;
    PC_WARN(kRouter,
            "event=prompt_part_sighted part="
                << part << " upstream=" << attempt.upstream_id
                << " crashes=" << table_.CountCrashes(part, now.count()).crashes
                << " verdict=" << static_cast<int>(Classify(part, now)));
  }
  if (!is_new && lost_connection.is_remote) return false;
  PC_WARN(kRouter, "event=crash_sighted request="
                       << attempt.request << " upstream=" << attempt.upstream_id
                       << " as_suspect=" << attempt.as_suspect << " new="
                       << is_new << " remote=" << lost_connection.is_remote
                       << " delay_ms=" << (now - lost_connection.at).count()
                       << " verdict="
                       << static_cast<int>(Classify(attempt.request, now)));
  return is_new;
}

bool CrashCorrelator::AddObservation(const CrashObservation& observation,
                                     MonotonicTime now) {
  has_observations_ = true;
  if (!table_.Add(observation, now.count())) return false;
  new_observations_.push_back(observation);
  return true;
}

void CrashCorrelator::OnSoundExecution(std::span<const uint64_t> prompt_parts,
                                       MonotonicTime response_began_at,
                                       MonotonicTime now) {
  // A part crashes its upstream when the response begins. Later time of this
  // execution shows nothing about executions that began meanwhile.
  for (uint64_t part : prompt_parts) {
    prompt_part_screen_.RecordSound(part, response_began_at);
    if (Classify(part, now) != SuspectVerdict::kClear)
      ClearPromptPart(part, response_began_at, now);
  }
}

void CrashCorrelator::ClearPromptPart(uint64_t part, MonotonicTime sound_at,
                                      MonotonicTime now) {
  CrashObservation completion;
  completion.subject = part;
  completion.completed = true;
  completion.expires_ms = sound_at.count() + SuspectTable::kLifetimeMs;
  SuspectVerdict before = Classify(part, now);
  if (!AddObservation(completion, now)) return;
  PC_INFO(kRouter, "event=prompt_part_cleared part="
                       << part << " verdict_before=" << static_cast<int>(before)
                       << " verdict=" << static_cast<int>(Classify(part, now)));
}

void CrashCorrelator::OnCompleted(uint64_t request, MonotonicTime now) {
  if (Classify(request, now) == SuspectVerdict::kClear) return;
  CrashObservation completion;
  completion.subject = request;
  completion.completed = true;
  completion.expires_ms = now.count() + SuspectTable::kLifetimeMs;
  if (!AddObservation(completion, now)) return;
  PC_INFO(kRouter, "event=suspect_cleared request=" << request);
}

void CrashCorrelator::DropLostConnection(const LostConnection& lost_connection,
                                         MonotonicTime now) {
  if (lost_connection.is_remote) return;
  ++counters_.uncorrelated_losses;
  PC_INFO(kRouter, "event=loss_uncorrelated request="
                       << lost_connection.attempt.request
                       << " upstream=" << lost_connection.attempt.upstream_id
                       << " age_ms=" << (now - lost_connection.at).count());
}

void CrashCorrelator::RemoveExpired(
    MonotonicTime now, std::optional<MonotonicTime> store_reachable_since) {
  std::erase_if(last_crashes_, [now](const auto& it) {
    return now - it.second.at > kCrashLifetime;
  });
  std::erase_if(remote_losses_, [&](const auto& it) {
    return now - it.second > max_detection_time_;
  });
  prompt_part_screen_.RemoveExpired(now);
  if (!store_reachable_since) return;
  while (!lost_connections_.empty()) {
    const LostConnection& oldest = lost_connections_.front();
    if (now - std::max(oldest.at, *store_reachable_since) <=
        max_detection_time_) {
      return;
    }
    DropLostConnection(oldest, now);
    lost_connections_.pop_front();
  }
}

std::vector<CrashObservation> CrashCorrelator::PopNewObservations() {
  return std::exchange(new_observations_, {});
}

void CrashCorrelator::AddRemoteObservation(const CrashObservation& observation,
                                           MonotonicTime now) {
  has_observations_ = true;
  if (!table_.Add(observation, now.count())) return;
  PC_INFO(kRouter, "event=crash_heard subject="
                       << observation.subject << " verdict="
                       << static_cast<int>(Classify(observation.subject, now)));
  if (observation.completed) return;
  // The other router may not know of an execution here that clears the part.
  auto sound_at = prompt_part_screen_.LastSoundAt(observation.subject);
  MonotonicTime crash_at(observation.expires_ms - SuspectTable::kLifetimeMs);
  if (sound_at && *sound_at >= crash_at)
    ClearPromptPart(observation.subject, *sound_at, now);
}

void CrashCorrelator::RemoveActiveSuspect(const std::string& upstream_id) {
  auto it = active_suspects_.find(upstream_id);
  if (it != active_suspects_.end() && --it->second <= 0)
    active_suspects_.erase(it);
}

}  // namespace primrosecove
