#include "Core/Agent/dedup_table.h"

#include <utility>

namespace primrosecove {

void RequestLedger::DropAnswer(Entry* entry) {
  if (!entry->answer) return;
  answer_bytes_ -= entry->answer->body.size();
  entry->answer.reset();
}

void RequestLedger::Expire(SteadyTime now) {
  while (!order_.empty() && now - order_.front().first > options_.window) {
    auto it = entries_.find(order_.front().second);
    bool current =
        it != entries_.end() && it->second.changed == order_.front().first;
    // A running request is kept however long it runs.
    if (current && it->second.state != State::kRunning) {
      DropAnswer(&it->second);
      entries_.erase(it);
    }
    order_.pop_front();
  }
}

void RequestLedger::Touch(const std::string& id, Entry* entry, State state,
                          SteadyTime now) {
  entry->state = state;
  entry->changed = now;
  order_.emplace_back(now, id);
}

LedgerVerdict RequestLedger::Begin(const std::string& id, SteadyTime now) {
  Expire(now);
  auto it = entries_.find(id);
  if (it != entries_.end()) {
    switch (it->second.state) {
      case State::kRunning:
        return LedgerVerdict::kRunning;
      case State::kFinished:
        return it->second.answer ? LedgerVerdict::kFinished
                                 : LedgerVerdict::kLost;
      case State::kLost:
        return LedgerVerdict::kLost;
      case State::kBarred:
        return LedgerVerdict::kBarred;
    }
  }
  // Forgetting an id early could let it run twice, so a full ledger refuses new
  // ones instead.
  if (entries_.size() >= options_.max_entries) return LedgerVerdict::kFull;
  Touch(id, &entries_[id], State::kRunning, now);
  return LedgerVerdict::kRun;
}

void RequestLedger::Finish(const std::string& id, HttpResponse answer,
                           SteadyTime now) {
  auto it = entries_.find(id);
  if (it == entries_.end()) return;
  Touch(id, &it->second, State::kFinished, now);
  bool fits = answer.body.size() <= options_.max_answer_bytes &&
              answer_bytes_ + answer.body.size() <= options_.max_total_bytes;
  if (!fits) return;
  answer_bytes_ += answer.body.size();
  it->second.answer = std::move(answer);
}

void RequestLedger::Lose(const std::string& id, SteadyTime now) {
  auto it = entries_.find(id);
  if (it != entries_.end()) Touch(id, &it->second, State::kLost, now);
}

void RequestLedger::Withdraw(const std::string& id) {
  auto it = entries_.find(id);
  if (it != entries_.end() && it->second.state == State::kRunning)
    entries_.erase(it);
}

bool RequestLedger::Bar(const std::string& id, SteadyTime now) {
  Expire(now);
  auto it = entries_.find(id);
  if (it != entries_.end()) return it->second.state == State::kBarred;
  if (entries_.size() >= options_.max_entries) return false;
  Touch(id, &entries_[id], State::kBarred, now);
  return true;
}

const HttpResponse* RequestLedger::FindAnswer(const std::string& id) const {
  auto it = entries_.find(id);
  return it == entries_.end() || !it->second.answer ? nullptr
                                                    : &*it->second.answer;
}

}  // namespace primrosecove
