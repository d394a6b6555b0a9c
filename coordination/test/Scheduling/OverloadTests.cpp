#include "TestMain.h"

#include <marjorambend/Scheduling>

using namespace marjorambend;

TEST_GROUP(LateJobs) {
  OverloadOptions Options_;
  FleetCapacity Capacity_{.OpenMilliCores_ = 640'000,
                          .ListedMilliCores_ = 640'000,
                          .LastSettledAt_ = {10'000}};
};

TEST(LateJobs, AreRefusedWhileOthersCanBeInTime) {
  CHECK(refusesLateJobs(1, Capacity_, Options_, {10'000}));
  CHECK_FALSE(refusesLateJobs(0, Capacity_, Options_, {10'000}));
}

// Load pattern: all instances restart at once, and claim the workers again.
TEST(LateJobs, WaitWhileMostWorkersHaveNotOpenedYet) {
  for (const int64_t Open : {0, 64'000, 300'000}) {
    Capacity_.OpenMilliCores_ = Open;
    CHECK_FALSE(refusesLateJobs(9, Capacity_, Options_, {10'500}));
  }
  Capacity_.OpenMilliCores_ = 330'000;
  CHECK(refusesLateJobs(9, Capacity_, Options_, {10'500}));
}

TEST(LateJobs, DoNotWaitForeverForWorkers) {
  Capacity_.OpenMilliCores_ = 0;
  CHECK(refusesLateJobs(9, Capacity_, Options_, {12'000}));
}

TEST_GROUP(ARefusedCaller) {
  RetryAfterOptions Options_;
  static constexpr double Work = 64'000.0 * 1'000; // of one worker for 1 s
};

TEST(ARefusedCaller, ReturnsWhenTheBacklogIsDone) {
  const Milliseconds Backlog =
      backlogTime(Work, {.OpenMilliCores_ = 128'000}, false, Options_);
  LONGS_EQUAL(500, Backlog.Count_);
  LONGS_EQUAL(500, retryAfter(Backlog, 0, Options_).Count_);
  LONGS_EQUAL(750, retryAfter(Backlog, 0.5, Options_).Count_);
}

TEST(ARefusedCaller, IsNotSentAwayForLongByTheFirstWorkerThatOpens) {
  const FleetCapacity Opening{.OpenMilliCores_ = 64'000,
                              .ListedMilliCores_ = 640'000};
  LONGS_EQUAL(100, backlogTime(Work, Opening, true, Options_).Count_);
  LONGS_EQUAL(1'000, backlogTime(Work, Opening, false, Options_).Count_);
}

TEST(ARefusedCaller, ReturnsSoonIfNoWorkerIsKnown) {
  LONGS_EQUAL(800, backlogTime(Work, {}, true, Options_).Count_);
  LONGS_EQUAL(5'000, retryAfter({60'000}, 0, Options_).Count_);
  LONGS_EQUAL(200, retryAfter({0}, 0, Options_).Count_);
}
