#include "TestMain.h"

#include "CallerLoad.h"

#include <csignal>
#include <sys/socket.h>
#include <unistd.h>

using namespace marjorambend::test;

static constexpr uint16_t CallerPort = 8161;
// More than the events that one poll of the loop returns.
static constexpr std::size_t Callers = 100;
// The instance exits this long after SIGTERM if no request is open, after it
// was without any for 200 ms.
static constexpr useconds_t ExitMs = 2'700;
// The path has no identity: the instance answers 404.
static const std::string Request =
    "POST /a/b HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";

static void sleepMs(useconds_t Time) { usleep(Time * 1'000); }

TEST_GROUP(StoppingInstance) {
  InstanceProcess Instance_{128, 2'048};
  std::vector<int> Sockets_;

  void setup() override {
    for (std::size_t Count = 0; Count < Callers; ++Count)
      Sockets_.push_back(Instance_.connectTo(CallerPort));
  }
  void teardown() override {
    for (const int One : Sockets_)
      close(One);
  }

  void sendAll() {
    for (const int One : Sockets_)
      send(One, Request.data(), Request.size(), MSG_NOSIGNAL);
  }

  std::size_t answered() {
    std::size_t Count = 0;
    for (const int One : Sockets_) {
      std::string Text(4'096, '\0');
      const ssize_t Bytes = recv(One, Text.data(), Text.size(), MSG_DONTWAIT);
      Count += Bytes > 0 && Text.starts_with("HTTP/1.1 404") ? 1 : 0;
    }
    return Count;
  }
};

// Guards against requests that get neither an answer nor a refusal, since the
// process exits while they are unread. The instance is suspended just before
// its exit, as by a machine that is short of processor time.
TEST(StoppingInstance, AnswersRequestsThatArriveBeforeItsExit) {
  sendAll();
  sleepMs(300);
  LONGS_EQUAL(Callers, answered());
  Instance_.signal(SIGTERM);
  sleepMs(ExitMs - 170);
  Instance_.signal(SIGSTOP);
  CHECK(Instance_.isRunning());
  sendAll();
  sleepMs(500);
  Instance_.signal(SIGCONT);
  sleepMs(200);
  LONGS_EQUAL(Callers, answered());
}

// Guards against an exit that clients can put off.
TEST(StoppingInstance, ExitsBesideConnectionsThatStayOpen) {
  Instance_.signal(SIGTERM);
  sleepMs(ExitMs + 1'000);
  CHECK_FALSE(Instance_.isRunning());
}
