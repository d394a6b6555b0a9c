#include "TestMain.h"

#include <marjorambend/Transport>

using namespace marjorambend;

TEST_GROUP(PatienceWithAnswers) {
  static constexpr TimeoutBounds Bounds{{80}, {400}};
  AnswerStats Known_;
  Random Generator_{20261204};

  int64_t between(int64_t Least, int64_t Most) {
    return Least + static_cast<int64_t>(uniformBelow(
                       Generator_, static_cast<uint64_t>(Most - Least + 1)));
  }
  /// Gives up the call or takes its answer; returns whether it was given up.
  bool play(int64_t Takes) {
    const bool IsGivenUp = Takes > computeTimeout(Known_, Bounds).Count_;
    if (IsGivenUp)
      recordMissingAnswer(Known_);
    else
      recordAnswer(Known_, {Takes});
    return IsGivenUp;
  }
};

TEST(PatienceWithAnswers, IsShortWhileAnswersComeSoon) {
  for (int Call = 0; Call < 200; ++Call)
    CHECK_FALSE(play(between(2, 12)));
  LONGS_EQUAL(80, computeTimeout(Known_, Bounds).Count_);
}

TEST(PatienceWithAnswers, StaysShortWhileSomeAnswersAreLost) {
  for (int Call = 0; Call < 500; ++Call)
    play(between(1, 10) == 1 ? 10'000 : between(2, 12));
  LONGS_EQUAL(80, computeTimeout(Known_, Bounds).Count_);
}

// Load pattern: a burst fills the process's own link for seconds, so that each
// answer takes 90 to 250 ms. All were given up after 80 ms and sent again.
TEST(PatienceWithAnswers, GrowsWhileTheOwnLinkIsFull) {
  for (int Call = 0; Call < 50; ++Call)
    play(between(2, 12));
  int GivenUp = 0;
  for (int Call = 0; Call < 500; ++Call)
    GivenUp += play(between(90, 250)) ? 1 : 0;
  CHECK(GivenUp < 25);
  for (int Call = 0; Call < 60; ++Call)
    play(between(2, 12));
  LONGS_EQUAL(80, computeTimeout(Known_, Bounds).Count_);
}

TEST(PatienceWithAnswers, HasABound) {
  for (int Call = 0; Call < 100; ++Call)
    recordMissingAnswer(Known_);
  CHECK(computeTimeout(Known_, Bounds).Count_ <= 400);
  for (int Call = 0; Call < 100; ++Call)
    recordAnswer(Known_, {2'000});
  LONGS_EQUAL(400, computeTimeout(Known_, Bounds).Count_);
}
