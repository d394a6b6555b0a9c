#include "TestMain.h"

#include <marjorambend/Transport>

using namespace marjorambend;

TEST_GROUP(AdaptiveTimeouts) {
  static constexpr TimeoutBounds Bounds{{80}, {400}};
  AnswerStats Stats_;
  Random Generator_{20261204};

  int64_t between(int64_t Least, int64_t Most) {
    return Least + static_cast<int64_t>(uniformBelow(
                       Generator_, static_cast<uint64_t>(Most - Least + 1)));
  }
  /// Records a call of this duration; returns whether it timed out.
  bool simulateCall(int64_t Duration) {
    const bool IsTimedOut = Duration > computeTimeout(Stats_, Bounds).Count_;
    if (IsTimedOut)
      recordMissingAnswer(Stats_);
    else
      recordAnswer(Stats_, {Duration});
    return IsTimedOut;
  }
};

TEST(AdaptiveTimeouts, IsAtLowerBoundForFastAnswers) {
  for (int Call = 0; Call < 200; ++Call)
    CHECK_FALSE(simulateCall(between(2, 12)));
  LONGS_EQUAL(80, computeTimeout(Stats_, Bounds).Count_);
}

TEST(AdaptiveTimeouts, IsAtLowerBoundWhenFewAnswersAreLost) {
  for (int Call = 0; Call < 500; ++Call)
    simulateCall(between(1, 10) == 1 ? 10'000 : between(2, 12));
  LONGS_EQUAL(80, computeTimeout(Stats_, Bounds).Count_);
}

// A burst saturates the process's own link for seconds, so that answers take 90
// to 250 ms. With a fixed timeout of 80 ms all calls would be repeated.
TEST(AdaptiveTimeouts, GrowsWhileOwnLinkIsSaturated) {
  for (int Call = 0; Call < 50; ++Call)
    simulateCall(between(2, 12));
  int TimedOut = 0;
  for (int Call = 0; Call < 500; ++Call)
    TimedOut += simulateCall(between(90, 250)) ? 1 : 0;
  CHECK(TimedOut < 25);
  for (int Call = 0; Call < 60; ++Call)
    simulateCall(between(2, 12));
  LONGS_EQUAL(80, computeTimeout(Stats_, Bounds).Count_);
}

TEST(AdaptiveTimeouts, IsAtMostUpperBound) {
  for (int Call = 0; Call < 100; ++Call)
    recordMissingAnswer(Stats_);
  CHECK(computeTimeout(Stats_, Bounds).Count_ <= 400);
  for (int Call = 0; Call < 100; ++Call)
    recordAnswer(Stats_, {2'000});
  LONGS_EQUAL(400, computeTimeout(Stats_, Bounds).Count_);
}
