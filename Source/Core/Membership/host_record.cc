#include "Core/Membership/host_record.h"

namespace primrosecove {

HostRecord MergeRecords(const HostRecord& a, const HostRecord& b) {
  if (a.incarnation != b.incarnation)
    return a.incarnation > b.incarnation ? a : b;
  HostRecord out = a.counter >= b.counter ? a : b;
  bool dead = a.liveness == Liveness::kDead || b.liveness == Liveness::kDead;
  bool same_counter = a.counter == b.counter;
  bool suspected = same_counter && (a.liveness == Liveness::kSuspect ||
                                    b.liveness == Liveness::kSuspect);
  if (suspected) out.liveness = Liveness::kSuspect;
  if (dead) out.liveness = Liveness::kDead;
  out.leaving = a.leaving || b.leaving;
  return out;
}

}  // namespace primrosecove
