#include "TestMain.h"

#include <marjorambend/Fleet>

using namespace marjorambend;

TEST_GROUP(AClockThatIsShared) {
  SharedClock Clock_;
  int64_t at(int64_t Now) const { return sharedClock(Clock_, {Now}).Count_; }
};

TEST(AClockThatIsShared, IsUnknownUntilItIsTold) { LONGS_EQUAL(0, at(5'000)); }

TEST(AClockThatIsShared, GoesOnFromWhatWasTold) {
  updateSharedClock(Clock_, {100}, {5'000});
  LONGS_EQUAL(100, at(5'000));
  LONGS_EQUAL(350, at(5'250));
}

TEST(AClockThatIsShared, IsNotSetBackByAnAnswerThatCameLate) {
  updateSharedClock(Clock_, {100}, {5'000});
  updateSharedClock(Clock_, {200}, {5'900});
  LONGS_EQUAL(999, at(5'900));
}

TEST(AClockThatIsShared, IsSetForwardByAnAnswerThatCameSooner) {
  updateSharedClock(Clock_, {100}, {5'000});
  updateSharedClock(Clock_, {1'000}, {5'200});
  LONGS_EQUAL(1'000, at(5'200));
}

TEST(AClockThatIsShared, FollowsAClockThatIsSlowerThanOurs) {
  for (int64_t Now = 0; Now <= 100'000; Now += 1'000)
    updateSharedClock(Clock_, {Now - Now / 10'000}, {Now});
  LONGS_EQUAL(99'990, at(100'000));
}
