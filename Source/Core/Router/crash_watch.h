// Connects broken connections with the crashes of upstreams, so that a request
// that crashes whatever runs it is found.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Core/Fleet/upstream_registry.h"
#include "Core/Membership/suspect_table.h"

namespace primrosecove {

/// What one router has seen and heard of crashes. A connection may break for
/// many reasons; it counts only when its upstream is known to have crashed at
/// about that time. Pattern: one request that comes again and again and takes
/// an upstream down each time. Not thread safe; time is handed in.
class CrashWatch {
 public:
  /// An attempt ended by its upstream's silence or a broken connection;
  /// `as_suspect` when it ran there as the only suspect of this router.
  void OnBroken(uint64_t request, const std::string& upstream_id,
                bool as_suspect, MonotonicTime now);
  /// An upstream has crashed; connections that broke a little before or after
  /// become sightings.
  void OnCrash(const std::string& upstream_id, MonotonicTime now);
  /// The sightings since the last call, to be told to other routers.
  std::vector<CrashObservation> TakeNews();
  /// Takes a sighting of another router.
  void Learn(const CrashObservation& sighting, MonotonicTime now);

  /// Whether anything has been sighted at all, so that fingerprints matter.
  bool any() const { return any_; }
  SuspectVerdict Judge(uint64_t request, MonotonicTime now) const {
    return table_.Classify(request, now.count());
  }
  /// Time until a blocked request may be tried again.
  Milliseconds BlockedFor(uint64_t request, MonotonicTime now) const {
    return Milliseconds(table_.BlockedUntil(request)) - now;
  }

  /// Counts this router's suspects at work at an upstream.
  void AddSuspectAt(const std::string& upstream_id) {
    ++suspects_at_[upstream_id];
  }
  void RemoveSuspectAt(const std::string& upstream_id);
  bool HasSuspectAt(const std::string& upstream_id) const {
    return suspects_at_.contains(upstream_id);
  }

 private:
  struct Broken {
    uint64_t request = 0;
    std::string upstream_id;
    bool as_suspect = false;
    MonotonicTime at{0};
  };

  void Sight(const Broken& broken, MonotonicTime now);
  void Forget(MonotonicTime now);

  SuspectTable table_;
  bool any_ = false;
  std::vector<Broken> broken_;                    ///< Not yet explained.
  std::map<std::string, MonotonicTime> crashed_;  ///< Lately, by upstream.
  std::map<std::string, int> suspects_at_;        ///< By upstream.
  std::vector<CrashObservation> news_;
};

}  // namespace primrosecove
