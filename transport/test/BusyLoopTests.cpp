#include "TestMain.h"

#include "RawConnection.h"

#include <deque>
#include <marjorambend/Transport>
#include <unistd.h>

using namespace marjorambend;
using marjorambend::test::RawConnection;

// More than the events that one poll of the loop returns, so that some requests
// are still in their sockets when the timers run.
static constexpr std::size_t Callers = 100;
static constexpr std::size_t MaxConnections = 60;
static constexpr Milliseconds Idle{200};

static const std::string Request =
    "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";

// A callback that takes long, such as reading a large configuration, delays
// all others. What arrives meanwhile is older than the timers that are then
// due.
TEST_GROUP(BusyLoop) {
  EventLoop Loop_;
  std::size_t Served_ = 0;
  std::size_t ClosedOverInput_ = 0;
  HttpServer Server_{Loop_,
                     {.RequestTimeout_ = Idle, .IdleTimeout_ = Idle},
                     [this](HttpRequest &&) {
                       ++Served_;
                       return HttpReply{.Status_ = 200};
                     },
                     nullptr,
                     [this](CloseCause Cause) {
                       if (Cause == CloseCause::InputUnread)
                         ++ClosedOverInput_;
                     }};
  std::deque<RawConnection> Callers_;

  void setup() override {
    CHECK(Server_.listen().has_value());
    for (std::size_t Count = 0; Count < Callers; ++Count)
      Callers_.emplace_back(Server_.port());
  }

  void sendAll(const std::string &Text) { sendFrom(Callers, Text); }

  void sendFrom(std::size_t Count, const std::string &Text) {
    for (std::size_t Number = 0; Number < Count; ++Number)
      Callers_[Number].send(Text);
  }

  // A new connection arrives together with the requests of some callers, while
  // no more than MaxConnections are allowed.
  void exceedBudget(std::size_t Senders) {
    sendAll(Request);
    runFor(Milliseconds{100});
    LONGS_EQUAL(Callers, answered());
    std::optional<RawConnection> New;
    const Timer Block(Loop_, Milliseconds{20}, Timer::Mode::Once, [&] {
      Server_.setBudget({.MaxConnections_ = MaxConnections});
      sendFrom(Senders, Request);
      New.emplace(Server_.port());
      usleep(10'000);
    });
    runFor(Milliseconds{150});
  }

  void runFor(Milliseconds Time) {
    const Timer End(Loop_, Time, Timer::Mode::Once, [this] { Loop_.stop(); });
    Loop_.run();
  }

  // Lets the loop run, then keeps it busy beyond the idle timeout.
  void runThenBlock(Milliseconds Before, const std::string &ArrivingMeanwhile) {
    const Timer Block(Loop_, Before, Timer::Mode::Once, [&] {
      sendAll(ArrivingMeanwhile);
      usleep(static_cast<useconds_t>(2 * Idle.Count_ * 1'000));
    });
    runFor(Before + Idle * 4);
  }

  std::size_t answered(std::string_view Status = "200") {
    const std::string Start = "HTTP/1.1 " + std::string(Status);
    std::size_t Count = 0;
    for (const RawConnection &One : Callers_)
      Count += One.read().starts_with(Start) ? 1 : 0;
    return Count;
  }
};

// Guards against LOST: a request that arrived on an idle connection got neither
// an answer nor a refusal, since the connection expired before it was read.
TEST(BusyLoop, AnswersRequestsOnIdleConnections) {
  sendAll(Request);
  runFor(Milliseconds{100});
  LONGS_EQUAL(Callers, answered());
  runThenBlock(Milliseconds{20}, Request);
  LONGS_EQUAL(Callers, answered());
  LONGS_EQUAL(2 * Callers, Served_);
  LONGS_EQUAL(0, ClosedOverInput_);
}

// Guards against connections that stay open because nothing arrives on them.
TEST(BusyLoop, StillClosesIdleConnections) {
  sendAll(Request);
  runThenBlock(Milliseconds{20}, "");
  LONGS_EQUAL(Callers, answered());
  LONGS_EQUAL(0, Server_.load().Idle_);
}

// Guards against a connection that expires before its first request is read.
TEST(BusyLoop, AnswersFirstRequestsOfConnections) {
  runThenBlock(Milliseconds{20}, Request);
  LONGS_EQUAL(Callers, answered());
  LONGS_EQUAL(0, ClosedOverInput_);
}

// Guards against 408 for a request that arrived in time.
TEST(BusyLoop, AnswersRequestsWhoseRestHasArrived) {
  const std::size_t Half = Request.size() / 2;
  sendAll(Request.substr(0, Half));
  runThenBlock(Milliseconds{20}, Request.substr(Half));
  LONGS_EQUAL(Callers, answered());
  LONGS_EQUAL(0, ClosedOverInput_);
}

// Guards against clients that extend the time with a byte now and then.
TEST(BusyLoop, StillRefusesRequestsThatStayIncomplete) {
  sendAll(Request.substr(0, 10));
  runThenBlock(Milliseconds{20}, Request.substr(10, 5));
  LONGS_EQUAL(Callers, answered("408"));
  LONGS_EQUAL(0, Served_);
  LONGS_EQUAL(0, ClosedOverInput_);
}

// Guards against closing a connection over a request while others are idle.
TEST(BusyLoop, ClosesIdleConnectionsBeforeThoseWithRequests) {
  exceedBudget(Callers / 2);
  LONGS_EQUAL(Callers / 2, answered());
  LONGS_EQUAL(0, ClosedOverInput_);
}

// Guards against a request that gets neither an answer nor a refusal, since its
// connection is closed for another one.
TEST(BusyLoop, RefusesRequestsThatExceedTheBudget) {
  exceedBudget(Callers);
  std::size_t Served = 0;
  std::size_t Refused = 0;
  for (const RawConnection &One : Callers_) {
    const std::string Text = One.read();
    Served += Text.starts_with("HTTP/1.1 200") ? 1 : 0;
    Refused += Text.starts_with("HTTP/1.1 503") ? 1 : 0;
  }
  CHECK(Refused > 0);
  LONGS_EQUAL(Callers, Served + Refused);
  LONGS_EQUAL(Callers + Served, Served_);
}
