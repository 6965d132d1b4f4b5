#include "Core/Router/crash_watch.h"

#include <functional>
#include <utility>

#include "Core/Common/log.h"

namespace primrosecove {
namespace {

// A crash is noticed by a lost registration, a new start or missed answers,
// each within a few seconds of the broken connections.
constexpr Milliseconds kTogether{4000};

}  // namespace

void CrashWatch::OnBroken(uint64_t request, const std::string& upstream_id,
                          bool as_suspect, MonotonicTime now) {
  Forget(now);
  Broken broken{request, upstream_id, as_suspect, now};
  if (crashed_.contains(upstream_id)) return Sight(broken, now);
  broken_.push_back(std::move(broken));
}

void CrashWatch::OnCrash(const std::string& upstream_id, MonotonicTime now) {
  Forget(now);
  crashed_[upstream_id] = now;
  for (const Broken& it : broken_) {
    if (it.upstream_id == upstream_id) Sight(it, now);
  }
  std::erase_if(broken_, [&upstream_id](const Broken& it) {
    return it.upstream_id == upstream_id;
  });
}

void CrashWatch::Sight(const Broken& broken, MonotonicTime now) {
  CrashObservation sighting;
  sighting.request = broken.request;
  sighting.upstream = std::hash<std::string>{}(broken.upstream_id);
  sighting.as_suspect = broken.as_suspect;
  sighting.expires_ms = now.count() + SuspectTable::kLifetimeMs;
  any_ = true;
  if (!table_.Add(sighting, now.count())) return;
  news_.push_back(sighting);
  PC_WARN(kRouter, "event=crash_sighted request="
                       << broken.request << " upstream=" << broken.upstream_id
                       << " as_suspect=" << broken.as_suspect << " verdict="
                       << static_cast<int>(Judge(broken.request, now)));
}

void CrashWatch::Forget(MonotonicTime now) {
  std::erase_if(broken_,
                [now](const Broken& it) { return now - it.at > kTogether; });
  std::erase_if(crashed_,
                [now](const auto& it) { return now - it.second > kTogether; });
}

std::vector<CrashObservation> CrashWatch::TakeNews() {
  return std::exchange(news_, {});
}

void CrashWatch::Learn(const CrashObservation& sighting, MonotonicTime now) {
  any_ = true;
  if (!table_.Add(sighting, now.count())) return;
  PC_INFO(kRouter, "event=crash_heard request="
                       << sighting.request << " verdict="
                       << static_cast<int>(Judge(sighting.request, now)));
}

void CrashWatch::RemoveSuspectAt(const std::string& upstream_id) {
  auto it = suspects_at_.find(upstream_id);
  if (it != suspects_at_.end() && --it->second <= 0) suspects_at_.erase(it);
}

}  // namespace primrosecove
