#include "marjorambend/src/Transport/EventLoop.h"

#include <ctime>

namespace marjorambend {
namespace internal {

static void callFunction(evutil_socket_t, short, void *Argument) {
  // Copied, since the call may destroy the owner of the function.
  const auto Call = *static_cast<std::function<void()> *>(Argument);
  Call();
}

static Milliseconds readClock(clockid_t Clock) {
  timespec Time{};
  clock_gettime(Clock, &Time);
  return {static_cast<int64_t>(Time.tv_sec) * 1000 + Time.tv_nsec / 1'000'000};
}

} // namespace internal

EventLoop::EventLoop() : Base_(event_base_new()) {}

// Deferred callbacks of bufferevents keep their buffers alive. A stopped loop
// may have some left; they are run here to free the buffers, whose owners are
// already destroyed.
EventLoop::~EventLoop() {
  event_base_loop(Base_, EVLOOP_NONBLOCK);
  event_base_free(Base_);
}

void EventLoop::run() { event_base_dispatch(Base_); }
void EventLoop::stop() { event_base_loopbreak(Base_); }

Timer::Timer(EventLoop &Loop, Milliseconds After, Mode How,
             std::function<void()> Call)
    : Call_(std::move(Call)) {
  const short Flags = How == Mode::Repeat ? EV_PERSIST : 0;
  Event_ = event_new(Loop.base(), -1, Flags, internal::callFunction, &Call_);
  const timeval Time = toTimeval(After);
  event_add(Event_, &Time);
}
Timer::~Timer() { event_free(Event_); }

SignalWatch::SignalWatch(EventLoop &Loop, int Number,
                         std::function<void()> Call)
    : Call_(std::move(Call)) {
  Event_ = evsignal_new(Loop.base(), Number, internal::callFunction, &Call_);
  event_add(Event_, nullptr);
}
SignalWatch::~SignalWatch() { event_free(Event_); }

// Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME advances while the machine is
// suspended; leases and deadlines continue on other machines in that time.
Milliseconds monotonicNow() { return internal::readClock(CLOCK_BOOTTIME); }

Milliseconds wallNow() { return internal::readClock(CLOCK_REALTIME); }

timeval toTimeval(Milliseconds Time) {
  return {.tv_sec = static_cast<time_t>(Time.Count_ / 1000),
          .tv_usec = static_cast<suseconds_t>(Time.Count_ % 1000 * 1000)};
}

} // namespace marjorambend
