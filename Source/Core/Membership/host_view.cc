#include "Core/Membership/host_view.h"

#include "Core/Common/digest.h"

namespace primrosecove {
namespace {

// The content is a function of (name, incarnation, counter), so it is
// sufficient to hash these and the fields that other processes may set.
uint32_t HashOf(const HostRecord& it) {
  std::string state =
      std::to_string(it.incarnation) + "/" + std::to_string(it.counter) + "/" +
      std::to_string(static_cast<int>(it.liveness)) + (it.leaving ? "l" : "");
  return static_cast<uint32_t>(RendezvousScore(it.name, state));
}

}  // namespace

bool HostView::Merge(const HostRecord& record) {
  auto it = records_.find(record.name);
  if (it == records_.end()) {
    records_.emplace(record.name, record);
    return true;
  }
  HostRecord merged = MergeRecords(it->second, record);
  if (merged == it->second) return false;
  it->second = std::move(merged);
  return true;
}

void HostView::Remove(std::string_view name) {
  auto it = records_.find(name);
  if (it != records_.end()) records_.erase(it);
}

const HostRecord* HostView::Find(std::string_view name) const {
  auto it = records_.find(name);
  return it == records_.end() ? nullptr : &it->second;
}

std::vector<const HostRecord*> HostView::Live() const {
  std::vector<const HostRecord*> out;
  for (const auto& [name, record] : records_) {
    if (record.liveness != Liveness::kDead) out.push_back(&record);
  }
  return out;
}

size_t HostView::BucketOf(std::string_view name) {
  return RendezvousScore(name, "") % kBuckets;
}

HostView::BucketHashes HostView::Hashes() const {
  BucketHashes out{};
  for (const auto& [name, record] : records_)
    out[BucketOf(name)] ^= HashOf(record);
  return out;
}

}  // namespace primrosecove
