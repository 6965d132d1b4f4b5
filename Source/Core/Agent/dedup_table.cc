#include "Core/Agent/dedup_table.h"

#include <utility>

namespace primrosecove {

void DedupTable::DropResponse(Entry* entry) {
  if (!entry->response) return;
  response_bytes_ -= entry->response->body.size();
  entry->response.reset();
}

void DedupTable::RemoveExpired(SteadyTime now) {
  while (!changes_.empty() && now - changes_.front().first > options_.window) {
    auto it = entries_.find(changes_.front().second);
    bool current =
        it != entries_.end() && it->second.changed_at == changes_.front().first;
    // A running request is kept for as long as it runs.
    if (current && it->second.state != State::kRunning) {
      DropResponse(&it->second);
      entries_.erase(it);
    }
    changes_.pop_front();
  }
}

void DedupTable::SetState(const std::string& id, Entry* entry, State state,
                          SteadyTime now) {
  entry->state = state;
  entry->changed_at = now;
  changes_.emplace_back(now, id);
}

DedupVerdict DedupTable::TryStart(const std::string& id, SteadyTime now) {
  RemoveExpired(now);
  auto it = entries_.find(id);
  if (it != entries_.end()) {
    switch (it->second.state) {
      case State::kRunning:
        return DedupVerdict::kRunning;
      case State::kFinished:
        return it->second.response ? DedupVerdict::kFinished
                                   : DedupVerdict::kOutcomeLost;
      case State::kOutcomeLost:
        return DedupVerdict::kOutcomeLost;
      case State::kRevoked:
        return DedupVerdict::kRevoked;
    }
  }
  // Removing an id early could let it run twice, so a full table rejects new
  // ids instead.
  if (entries_.size() >= options_.max_entries) return DedupVerdict::kFull;
  SetState(id, &entries_[id], State::kRunning, now);
  return DedupVerdict::kRun;
}

void DedupTable::RecordResponse(const std::string& id, HttpResponse response,
                                SteadyTime now) {
  auto it = entries_.find(id);
  if (it == entries_.end()) return;
  SetState(id, &it->second, State::kFinished, now);
  bool is_recorded =
      response.body.size() <= options_.max_response_bytes &&
      response_bytes_ + response.body.size() <= options_.max_total_bytes;
  if (!is_recorded) return;
  response_bytes_ += response.body.size();
  it->second.response = std::move(response);
}

void DedupTable::RecordOutcomeLost(const std::string& id, SteadyTime now) {
  auto it = entries_.find(id);
  if (it != entries_.end()) SetState(id, &it->second, State::kOutcomeLost, now);
}

void DedupTable::RemoveNotForwarded(const std::string& id) {
  auto it = entries_.find(id);
  if (it != entries_.end() && it->second.state == State::kRunning)
    entries_.erase(it);
}

bool DedupTable::Revoke(const std::string& id, SteadyTime now) {
  RemoveExpired(now);
  auto it = entries_.find(id);
  if (it != entries_.end()) return it->second.state == State::kRevoked;
  if (entries_.size() >= options_.max_entries) return false;
  SetState(id, &entries_[id], State::kRevoked, now);
  return true;
}

const HttpResponse* DedupTable::FindResponse(const std::string& id) const {
  auto it = entries_.find(id);
  return it == entries_.end() || !it->second.response ? nullptr
                                                      : &*it->second.response;
}

}  // namespace primrosecove
