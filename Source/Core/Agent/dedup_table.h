// An agent's record of the requests that it has passed to its upstream.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "Core/Net/event_loop.h"
#include "Core/Net/http_types.h"

namespace primrosecove {

/// Bounds of the record.
struct LedgerOptions {
  Milliseconds window{
      600'000};  ///< How long an id is remembered after its last change.
  size_t max_entries = 200'000;
  size_t max_answer_bytes =
      64 << 10;  ///< A larger answer is remembered without its body.
  uint64_t max_total_bytes = 16 << 20;
};

/// What the ledger says about a request that wants to run.
enum class LedgerVerdict {
  kRun,       ///< Never seen here: it may run.
  kRunning,   ///< The same request runs now.
  kFinished,  ///< It has run; its answer is recorded.
  kLost,      ///< It has run, or may have; there is no answer to give.
  kBarred,    ///< It was barred before it ran.
  kFull,      ///< No room for another id; it has not run here.
};

/// Remembers ids so that a request marked to run once is passed on at most
/// once, and so that a router can bar an id whose fate it does not know. Not
/// thread safe.
class RequestLedger {
 public:
  explicit RequestLedger(LedgerOptions options) : options_(options) {}

  /// Asks whether the request may run, and if so notes that it does.
  LedgerVerdict Begin(const std::string& id, SteadyTime now);
  /// The request ended with a whole answer.
  void Finish(const std::string& id, HttpResponse answer, SteadyTime now);
  /// The request was passed on and its end is not known.
  void Lose(const std::string& id, SteadyTime now);
  /// The request was not passed on after all.
  void Withdraw(const std::string& id);
  /// Bars an id; returns false when it has been passed on already.
  bool Bar(const std::string& id, SteadyTime now);
  /// The recorded answer of a finished request, or null when it was too large
  /// to keep.
  const HttpResponse* FindAnswer(const std::string& id) const;
  size_t size() const { return entries_.size(); }

 private:
  enum class State { kRunning, kFinished, kLost, kBarred };
  struct Entry {
    State state = State::kRunning;
    SteadyTime changed;
    std::optional<HttpResponse> answer;
  };
  void Expire(SteadyTime now);
  void Touch(const std::string& id, Entry* entry, State state, SteadyTime now);
  void DropAnswer(Entry* entry);

  LedgerOptions options_;
  std::map<std::string, Entry> entries_;
  std::deque<std::pair<SteadyTime, std::string>>
      order_;  // By time of change, oldest first.
  uint64_t answer_bytes_ = 0;
};

}  // namespace primrosecove
