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

TEST_GROUP(AForecast) {
  OverloadOptions Options_{.ForecastMargin_ = 1.0};

  static ForecastJob job(uint64_t Number, int64_t Slack, double Work) {
    return {.Entry_ = {.Rank_ = {Slack},
                       .Key_ = {Incarnation{1}, Number},
                       .LatestStart_ = {10'000 + Slack}},
            .Work_ = Work};
  }
};

// Load pattern: 2.6 times the load for ten seconds.
TEST(AForecast, NamesJobsThatTheWorkAheadMakesLate) {
  std::vector<ForecastJob> Jobs{job(1, 10, 2'000), job(2, 15, 9'000),
                                job(3, 30, 1'000)};
  const auto Late = forecastLateJobs(Jobs, 100.0, Options_, {10'000});
  LONGS_EQUAL(1, Late.size());
  LONGS_EQUAL(2, Late.front().second); // 20 ms of work are ahead of it
  Jobs[1].IsStarted_ = true; // its work now delays the third job by 110 ms
  const auto Later = forecastLateJobs(Jobs, 100.0, Options_, {10'000});
  LONGS_EQUAL(1, Later.size());
  LONGS_EQUAL(3, Later.front().second);
}

TEST(AForecast, NamesNoneIfItIsOffOrNothingIsAtWork) {
  const std::vector<ForecastJob> Jobs{job(1, 10, 2'000), job(2, 15, 9'000)};
  CHECK(forecastLateJobs(Jobs, 0.0, Options_, {10'000}).empty());
  Options_.Forecasts_ = false;
  CHECK(forecastLateJobs(Jobs, 100.0, Options_, {10'000}).empty());
}
