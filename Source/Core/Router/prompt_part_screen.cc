#include "Core/Router/prompt_part_screen.h"

#include <algorithm>
#include <string>

#include "Core/Common/digest.h"

namespace primrosecove {
namespace {

// From the crash that blocks a part to its first test; each further crash
// multiplies it, up to a bound below the lifetime of the observations.
constexpr Milliseconds kFirstTestDelay{1000};
constexpr int kTestDelayFactor = 5;
constexpr Milliseconds kMaxTestDelay{300'000};
static_assert(kMaxTestDelay.count() < SuspectTable::kLifetimeMs);
// A part that was sound lately may have been running beside the cause of many
// crashes: its test is not put off by their number.
constexpr size_t kMaxCountedCrashesIfSound = SuspectTable::kCrashesToBlock + 1;
// The tests of different routers are spread over this share of the delay, for
// each router.
constexpr double kSpreadPerRouter = 0.25;
// A sound execution that becomes known this long after a crash is of no use:
// the crash has been detected by then.
constexpr Milliseconds kSoundLifetime{15'000};
constexpr Milliseconds kExpiryPeriod{1000};
// From a crash to its observation, unless it shows only by the end of the
// upstream's registration.
constexpr Milliseconds kTestOutcomeTime{3000};

}  // namespace

PromptPartDecision PromptPartScreen::Check(const SuspectTable& table,
                                           std::span<const uint64_t> parts,
                                           MonotonicTime now) const {
  PromptPartDecision out;
  size_t blocked_parts = 0;
  for (uint64_t part : parts) {
    SuspectVerdict verdict = table.Classify(part, now.count());
    if (verdict == SuspectVerdict::kClear) continue;
    if (out.action == PromptPartAction::kRun)
      out.action = PromptPartAction::kRunAsSuspect;
    if (verdict != SuspectVerdict::kBlocked) continue;
    ++blocked_parts;
    CrashCount count = table.CountCrashes(part, now.count());
    MonotonicTime test_at =
        MonotonicTime(count.last_at_ms) + TestDelay(part, count.crashes);
    auto test = test_ends_.find(part);
    bool is_tested = test != test_ends_.end() && now < test->second;
    bool may_test = now >= test_at && !is_tested;
    auto retry_after = std::clamp<Milliseconds>(
        test_at - now, kSoundExecutionTime, kMaxTestDelay);
    bool decides = blocked_parts == 1 || retry_after > out.retry_after;
    if (decides) {
      out.part = part;
      out.crashes = count.crashes;
      out.retry_after = retry_after;
    }
    out.action = may_test && blocked_parts == 1 ? PromptPartAction::kTest
                                                : PromptPartAction::kRefuse;
  }
  // A crash in a test of several blocked parts would show none of them.
  if (blocked_parts > 1) out.action = PromptPartAction::kRefuse;
  return out;
}

Milliseconds PromptPartScreen::TestDelay(uint64_t part, size_t crashes) const {
  Milliseconds delay = kFirstTestDelay;
  size_t counted = LastSoundAt(part)
                       ? std::min(crashes, kMaxCountedCrashesIfSound)
                       : crashes;
  for (size_t n = SuspectTable::kCrashesToBlock;
       n < counted && delay < kMaxTestDelay; ++n) {
    delay *= kTestDelayFactor;
  }
  delay = std::min(delay, kMaxTestDelay);
  constexpr uint64_t kSteps = 1000;
  uint64_t score =
      RendezvousScore(std::to_string(router_id_),
                      std::to_string(part) + "/" + std::to_string(crashes));
  double position = static_cast<double>(score % kSteps) / kSteps;
  double spread = kSpreadPerRouter * router_count_.value() *
                  static_cast<double>(delay.count());
  return delay + Milliseconds(static_cast<int64_t>(position * spread));
}

void PromptPartScreen::EndTest(uint64_t part, bool may_have_crashed,
                               MonotonicTime now) {
  if (may_have_crashed) {
    test_ends_[part] = now + kTestOutcomeTime;
  } else {
    test_ends_.erase(part);
  }
}

void PromptPartScreen::RecordSound(uint64_t part, MonotonicTime at) {
  auto it = sound_at_.find(part);
  if (it != sound_at_.end()) {
    it->second = std::max(it->second, at);
  } else if (sound_at_.size() < kMaxSoundParts) {
    sound_at_.emplace(part, at);
  }
}

std::optional<MonotonicTime> PromptPartScreen::LastSoundAt(
    uint64_t part) const {
  auto it = sound_at_.find(part);
  if (it == sound_at_.end()) return std::nullopt;
  return it->second;
}

void PromptPartScreen::RemoveExpired(MonotonicTime now) {
  if (now - expired_at_ < kExpiryPeriod) return;
  expired_at_ = now;
  std::erase_if(test_ends_, [now](const auto& it) { return now > it.second; });
  std::erase_if(sound_at_, [now](const auto& it) {
    return now - it.second > kSoundLifetime;
  });
}

}  // namespace primrosecove
