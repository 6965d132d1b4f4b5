#include "Core/Net/event_loop.h"

#include <cstdlib>
#include <utility>

namespace primrosecove {
namespace {

timeval ToTimeval(Milliseconds ms) {
  constexpr int64_t kMsPerSecond = 1000;
  constexpr int64_t kUsPerMs = 1000;
  return {static_cast<time_t>(ms.count() / kMsPerSecond),
          static_cast<suseconds_t>(ms.count() % kMsPerSecond * kUsPerMs)};
}

}  // namespace

struct Timer::State {
  event* ev = nullptr;
  bool repeat = false;
  std::function<void()> callback;
  ~State() {
    if (ev != nullptr) event_free(ev);
  }
};

bool Timer::pending() const {
  return state_ != nullptr &&
         event_pending(state_->ev, EV_TIMEOUT, nullptr) != 0;
}

void Timer::Cancel() { state_.reset(); }

struct EventLoop::SignalHandler {
  event* ev = nullptr;
  std::function<void()> callback;
  ~SignalHandler() {
    if (ev != nullptr) event_free(ev);
  }
};

EventLoop::EventLoop() : base_(event_base_new()) {
  if (base_ == nullptr) std::abort();
  auto run = [](evutil_socket_t, short, void* arg) {
    static_cast<EventLoop*>(arg)->RunPosted();
  };
  posted_event_ = event_new(base_, -1, 0, run, this);
}

EventLoop::~EventLoop() {
  // Destroying a callback may post another one.
  while (!posted_.empty()) {
    auto discarded = std::exchange(posted_, {});
    discarded.clear();
  }
  signals_.clear();
  event_free(posted_event_);
  event_base_free(base_);
}

void EventLoop::Run() { event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY); }

void EventLoop::RunOnce(Milliseconds limit) {
  Timer limit_timer = After(limit, [] {});
  event_base_loop(base_, EVLOOP_ONCE);
}

void EventLoop::Stop() { event_base_loopbreak(base_); }

void EventLoop::Post(std::function<void()> callback) {
  posted_.push_back(std::move(callback));
  if (posted_.size() == 1) event_active(posted_event_, EV_TIMEOUT, 0);
}

void EventLoop::RunPosted() {
  auto batch = std::exchange(posted_, {});
  while (!batch.empty()) {
    std::function<void()> callback = std::move(batch.front());
    batch.pop_front();
    callback();
  }
}

Timer EventLoop::Schedule(Milliseconds delay, bool repeat,
                          std::function<void()> callback) {
  Timer out;
  out.state_ = std::make_shared<Timer::State>();
  Timer::State* state = out.state_.get();
  state->repeat = repeat;
  state->callback = std::move(callback);
  auto run = [](evutil_socket_t, short, void* arg) {
    // The callback may destroy its own timer, so it runs from a copy. A
    // one-shot callback is moved out, because it may own its timer.
    auto* state = static_cast<Timer::State*>(arg);
    auto callback =
        state->repeat ? state->callback : std::move(state->callback);
    callback();
  };
  state->ev = event_new(base_, -1, repeat ? EV_PERSIST : 0, run, state);
  timeval tv = ToTimeval(delay);
  event_add(state->ev, &tv);
  return out;
}

Timer EventLoop::After(Milliseconds delay, std::function<void()> callback) {
  return Schedule(delay, false, std::move(callback));
}

Timer EventLoop::Every(Milliseconds period, std::function<void()> callback) {
  return Schedule(period, true, std::move(callback));
}

void EventLoop::OnSignal(int signal_number, std::function<void()> callback) {
  auto handler = std::make_unique<SignalHandler>();
  handler->callback = std::move(callback);
  auto run = [](evutil_socket_t, short, void* arg) {
    static_cast<SignalHandler*>(arg)->callback();
  };
  handler->ev = evsignal_new(base_, signal_number, run, handler.get());
  event_add(handler->ev, nullptr);
  signals_.push_back(std::move(handler));
}

int64_t WallClockMs() {
  auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(since_epoch).count();
}

}  // namespace primrosecove
