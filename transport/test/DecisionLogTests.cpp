#include "TestMain.h"

#include <fcntl.h>
#include <marjorambend/Transport>
#include <unistd.h>

using namespace marjorambend;

TEST_GROUP(DecisionLogging) {
  EventLoop Loop_;
  int Ends_[2] = {-1, -1};
  void setup() override {
    CHECK_EQUAL(0, pipe(Ends_));
    fcntl(Ends_[0], F_SETFL, O_NONBLOCK);
  }
  void teardown() override {
    ::close(Ends_[0]);
    ::close(Ends_[1]);
  }
  std::string read() {
    std::string Text(1U << 20U, '\0');
    const ssize_t Bytes = ::read(Ends_[0], Text.data(), Text.size());
    Text.resize(Bytes > 0 ? static_cast<std::size_t>(Bytes) : 0);
    return Text;
  }
};

TEST(DecisionLogging, WritesOneJsonObjectPerLine) {
  {
    DecisionLog Log(Loop_, {.Descriptor_ = Ends_[1], .Instance_ = "a"});
    Log.write({.What_ = "answer",
               .Job_ = 0xaa,
               .Fields_ = {{"why", "a \"quoted\"\nreason"}}});
  }
  const std::string Text = read();
  CHECK(Text.find(R"("instance":"a","event":"answer",)"
                  R"("job":"00000000000000aa","why":"a \"quoted\" reason"})") !=
        std::string::npos);
  LONGS_EQUAL('\n', Text.back());
}

TEST(DecisionLogging, DropsLinesWhenBufferIsFull) {
  DecisionLog Log(Loop_, {.Descriptor_ = Ends_[1], .MaxBuffered_ = 10'000});
  for (int Line = 0; Line < 10'000; ++Line)
    Log.write({.What_ = "pause", .Fields_ = {{"gap_ms", "1"}}});
  CHECK(Log.dropped() > 9'000);
}

TEST(DecisionLogging, SamplesWholeJobsAboveByteRate) {
  DecisionLog Log(Loop_, {.Descriptor_ = Ends_[1],
                          .MaxBuffered_ = 1U << 20U,
                          .BytesPerSecond_ = 100});
  const auto Write = [&Log](uint64_t Job, bool IsFinal) {
    Log.write({.What_ = "answer", .Job_ = Job, .IsFinal_ = IsFinal});
  };
  for (uint64_t Job = 1; Job <= 100; ++Job)
    Write(Job, false);
  Timer Pause(Loop_, {1'100}, Timer::Mode::Once, [this] { Loop_.stop(); });
  Loop_.run();
  (void)read();
  const uint64_t Before = Log.sampledOut();
  Write(2, false);
  Write(3, false);
  Write(3, true);
  LONGS_EQUAL(1, Log.sampledOut() - Before);
}
