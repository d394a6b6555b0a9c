#ifndef MARJORAMBEND_TRANSPORT_EVENTLOOP_H
#define MARJORAMBEND_TRANSPORT_EVENTLOOP_H

#include "marjorambend/src/Support/Milliseconds.h"

#include <event2/event.h>
#include <functional>
#include <memory>

namespace marjorambend {

/// \brief The event loop of a process; all callbacks run on its thread.
class EventLoop {
public:
  EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;
  /// \brief All objects that use the loop must be destroyed before it.
  ~EventLoop();

  event_base *base() const { return Base_; }

  /// \brief Runs until stop().
  void run();
  void stop();

private:
  event_base *Base_;
};

/// \brief Calls a function once or periodically, until destroyed.
class Timer {
public:
  enum class Mode : uint8_t { Once, Repeat };

  Timer(EventLoop &Loop, Milliseconds After, Mode How,
        std::function<void()> Call);
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;
  ~Timer();

private:
  std::function<void()> Call_;
  event *Event_;
};

/// \brief Calls a function when the process receives a signal.
class SignalWatch {
public:
  SignalWatch(EventLoop &Loop, int Number, std::function<void()> Call);
  SignalWatch(const SignalWatch &) = delete;
  SignalWatch &operator=(const SignalWatch &) = delete;
  ~SignalWatch();

private:
  std::function<void()> Call_;
  event *Event_;
};

/// \brief Current time of the monotonic clock.
Milliseconds monotonicNow();

/// \brief Current time since the Unix epoch; for identities and records only.
Milliseconds wallNow();

/// \brief Converts a duration for libevent.
timeval toTimeval(Milliseconds Time);

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_EVENTLOOP_H
