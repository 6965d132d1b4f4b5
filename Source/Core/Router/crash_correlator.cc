#include "Core/Router/crash_correlator.h"

#include <functional>
#include <utility>

#include "Core/Common/log.h"

namespace primrosecove {
namespace {

// A crash is detected by an expired registration, a restart or missed
// responses, each within a few seconds of the connection losses.
constexpr Milliseconds kCorrelationWindow{4000};

}  // namespace

void CrashCorrelator::OnConnectionLost(uint64_t request,
                                       const std::string& upstream_id,
                                       bool as_suspect, MonotonicTime now) {
  RemoveExpired(now);
  ++counters_.lost_connections;
  LostConnection lost_connection{request, upstream_id, as_suspect, now};
  if (recent_crashes_.contains(upstream_id))
    return RecordObservation(lost_connection, now);
  lost_connections_.push_back(std::move(lost_connection));
}

void CrashCorrelator::OnUpstreamCrash(const std::string& upstream_id,
                                      MonotonicTime now) {
  RemoveExpired(now);
  ++counters_.crashes;
  recent_crashes_[upstream_id] = now;
  for (const LostConnection& it : lost_connections_) {
    if (it.upstream_id == upstream_id) RecordObservation(it, now);
  }
  std::erase_if(lost_connections_, [&upstream_id](const LostConnection& it) {
    return it.upstream_id == upstream_id;
  });
}

void CrashCorrelator::RecordObservation(const LostConnection& lost_connection,
                                        MonotonicTime now) {
  CrashObservation observation;
  observation.request = lost_connection.request;
  observation.upstream = std::hash<std::string>{}(lost_connection.upstream_id);
  observation.as_suspect = lost_connection.as_suspect;
  observation.expires_ms = now.count() + SuspectTable::kLifetimeMs;
  has_observations_ = true;
  bool is_new = table_.Add(observation, now.count());
  if (is_new) {
    new_observations_.push_back(observation);
  } else {
    ++counters_.repeated_observations;
  }
  PC_WARN(
      kRouter,
      "event=crash_sighted request="
          << lost_connection.request
          << " upstream=" << lost_connection.upstream_id
          << " as_suspect=" << lost_connection.as_suspect << " new=" << is_new
          << " delay_ms=" << (now - lost_connection.at).count() << " verdict="
          << static_cast<int>(ClassifyRequest(lost_connection.request, now)));
}

void CrashCorrelator::RemoveExpired(MonotonicTime now) {
  std::erase_if(lost_connections_, [this, now](const LostConnection& it) {
    bool expired = now - it.at > kCorrelationWindow;
    if (expired) {
      ++counters_.uncorrelated_losses;
      PC_INFO(kRouter, "event=loss_uncorrelated request="
                           << it.request << " upstream=" << it.upstream_id
                           << " age_ms=" << (now - it.at).count());
    }
    return expired;
  });
  std::erase_if(recent_crashes_, [now](const auto& it) {
    return now - it.second > kCorrelationWindow;
  });
}

std::vector<CrashObservation> CrashCorrelator::PopNewObservations() {
  return std::exchange(new_observations_, {});
}

void CrashCorrelator::AddRemoteObservation(const CrashObservation& observation,
                                           MonotonicTime now) {
  has_observations_ = true;
  if (!table_.Add(observation, now.count())) return;
  PC_INFO(kRouter,
          "event=crash_heard request="
              << observation.request << " verdict="
              << static_cast<int>(ClassifyRequest(observation.request, now)));
}

void CrashCorrelator::RemoveActiveSuspect(const std::string& upstream_id) {
  auto it = active_suspects_.find(upstream_id);
  if (it != active_suspects_.end() && --it->second <= 0)
    active_suspects_.erase(it);
}

}  // namespace primrosecove
