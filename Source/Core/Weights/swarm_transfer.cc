#include "Core/Weights/swarm_transfer.h"

#include <algorithm>
#include <utility>

namespace primrosecove {

void SwarmTransfer::SetManifest(Manifest manifest, Bitmap present) {
  manifest_ = std::move(manifest);
  have_ = std::move(present);
  holders_.assign(manifest_->chunks.size(), 0);
}

void SwarmTransfer::RecordShareProgress(uint32_t chunk) {
  if (share_progress_.empty()) return;
  share_progress_[chunk % share_progress_.size()] = EventLoop::Now();
}

void SwarmTransfer::AddNeighbourChunks(const std::string& name, Bitmap chunks) {
  auto it = neighbours_.find(name);
  if (it == neighbours_.end())
    it = neighbours_.emplace(name, Bitmap(have_.size())).first;
  for (uint32_t i = 0; i < chunks.size(); ++i) {
    if (!chunks.Test(i) || !it->second.Set(i)) continue;
    if (holders_[i]++ == 0) RecordShareProgress(i);
  }
}

void SwarmTransfer::AddNeighbourChunk(std::string_view name, uint32_t chunk) {
  auto it = neighbours_.find(name);
  if (it == neighbours_.end() || !it->second.Set(chunk)) return;
  if (holders_[chunk]++ == 0) RecordShareProgress(chunk);
}

void SwarmTransfer::RemoveNeighbour(std::string_view name) {
  auto it = neighbours_.find(name);
  if (it != neighbours_.end()) {
    for (uint32_t i = 0; i < holders_.size(); ++i) {
      if (it->second.Test(i)) --holders_[i];
    }
    neighbours_.erase(it);
  }
  for (auto request = requests_.begin(); request != requests_.end();) {
    open_requests_ -= std::erase_if(
        request->second, [&](const Request& r) { return r.from == name; });
    request =
        request->second.empty() ? requests_.erase(request) : std::next(request);
  }
}

std::vector<std::string> SwarmTransfer::MarkComplete(uint32_t chunk) {
  std::vector<std::string> others;
  if (have_.Set(chunk) && holders_[chunk] == 0) RecordShareProgress(chunk);
  auto it = requests_.find(chunk);
  if (it == requests_.end()) return others;
  for (Request& request : it->second) others.push_back(std::move(request.from));
  open_requests_ -= it->second.size();
  requests_.erase(it);
  return others;
}

void SwarmTransfer::AddRequest(uint32_t chunk, std::string_view from,
                               SteadyTime now) {
  requests_[chunk].push_back({std::string(from), now, false});
  ++open_requests_;
}

bool SwarmTransfer::RemoveRequest(uint32_t chunk, std::string_view from) {
  auto it = requests_.find(chunk);
  if (it == requests_.end()) return false;
  size_t n = std::erase_if(it->second,
                           [&](const Request& r) { return r.from == from; });
  open_requests_ -= n;
  if (it->second.empty()) requests_.erase(it);
  return n > 0;
}

size_t SwarmTransfer::RequestsTo(std::string_view name) const {
  size_t n = 0;
  for (const auto& [chunk, requests] : requests_) {
    for (const Request& it : requests) n += it.from == name ? 1 : 0;
  }
  return n;
}

void SwarmTransfer::MarkStalled(SteadyTime now, Milliseconds limit) {
  for (auto& [chunk, requests] : requests_) {
    for (Request& it : requests) {
      if (now - it.sent_at > limit) it.stalled = true;
    }
  }
}

bool SwarmTransfer::IsRequested(uint32_t chunk) const {
  auto it = requests_.find(chunk);
  if (it == requests_.end()) return false;
  return std::any_of(it->second.begin(), it->second.end(),
                     [](const Request& r) { return !r.stalled; });
}

std::vector<ChunkCandidate> SwarmTransfer::Candidates(
    std::string_view neighbour, size_t start, size_t limit) const {
  std::vector<ChunkCandidate> out;
  auto it = neighbours_.find(neighbour);
  if (it == neighbours_.end()) return out;
  size_t n = have_.size();
  for (size_t step = 0; step < n && out.size() < limit; ++step) {
    auto chunk = static_cast<uint32_t>((start + step) % n);
    if (!it->second.Test(chunk) || have_.Test(chunk) || IsRequested(chunk))
      continue;
    auto open = requests_.find(chunk);
    bool already_requested =
        open != requests_.end() &&
        std::any_of(open->second.begin(), open->second.end(),
                    [&](const Request& r) { return r.from == neighbour; });
    if (!already_requested) out.push_back({chunk, holders_[chunk]});
  }
  return out;
}

bool SwarmTransfer::OnlyAtOrigin(uint32_t chunk) const {
  return !have_.Test(chunk) && holders_[chunk] == 0 && !IsRequested(chunk);
}

void SwarmTransfer::SetShareCount(size_t shares, SteadyTime now) {
  if (shares != share_progress_.size()) share_progress_.assign(shares, now);
}

uint32_t SwarmTransfer::StalledPeriods(uint32_t chunk, SteadyTime now,
                                       Milliseconds period) const {
  if (share_progress_.empty()) return 0;
  SteadyTime last = share_progress_[chunk % share_progress_.size()];
  if (now <= last) return 0;
  return static_cast<uint32_t>((now - last) / period);
}

}  // namespace primrosecove
