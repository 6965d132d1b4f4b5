#include "Emulator/silence_policy.h"

namespace primrosecove {
namespace {

constexpr Milliseconds kNewRequestSilence{300};
constexpr Milliseconds kEarlySecondAttempt{900};
constexpr Milliseconds kLateSecondAttempt{2000};
// As in FleetRequest::CheckUpstream().
constexpr Milliseconds kSilenceTimeout{900};
constexpr Milliseconds kUnreachableSilenceTimeout{350};
constexpr Milliseconds kUnstartedRequestTimeout{1600};

class KeepAttempts : public SilencePolicy {
 public:
  Action Check(const SilentAttempt&) const override { return Action::kWait; }
  bool GetsNewRequests(Milliseconds) const override { return true; }
  bool is_active() const override { return false; }
};

class AbandonAttempts : public SilencePolicy {
 public:
  Action Check(const SilentAttempt& attempt) const override {
    Milliseconds timeout = attempt.agent_reports_silence
                               ? kUnreachableSilenceTimeout
                               : kSilenceTimeout;
    if (attempt.sent > 1 || attempt.engine_silence <= timeout)
      return Action::kWait;
    return !attempt.response_started &&
                   attempt.own_silence > kUnstartedRequestTimeout
               ? Action::kReplaceOrFail
               : Action::kReplace;
  }
  bool GetsNewRequests(Milliseconds) const override { return true; }
};

class StopNewRequests : public SilencePolicy {
 public:
  Action Check(const SilentAttempt&) const override { return Action::kWait; }
  bool GetsNewRequests(Milliseconds silence) const override {
    return silence <= kNewRequestSilence;
  }
};

class AddSecondAttempt : public StopNewRequests {
 public:
  explicit AddSecondAttempt(Milliseconds after) : after_(after) {}
  Action Check(const SilentAttempt& attempt) const override {
    return attempt.sent == 1 && attempt.engine_silence > after_
               ? Action::kAddSecond
               : Action::kWait;
  }

 private:
  Milliseconds after_;
};

}  // namespace

std::unique_ptr<SilencePolicy> MakeSilencePolicy(std::string_view name) {
  if (name == "none") return std::make_unique<KeepAttempts>();
  if (name == "abandon") return std::make_unique<AbandonAttempts>();
  if (name == "stay") return std::make_unique<StopNewRequests>();
  if (name == "second-900")
    return std::make_unique<AddSecondAttempt>(kEarlySecondAttempt);
  if (name == "second-2000")
    return std::make_unique<AddSecondAttempt>(kLateSecondAttempt);
  return nullptr;
}

}  // namespace primrosecove
