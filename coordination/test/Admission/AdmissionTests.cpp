#include "TestMain.h"

#include <marjorambend/Admission>

using namespace marjorambend;
using namespace marjorambend::literals;

TEST_GROUP(Admitting) {
  Admission State_;
  AdmissionOptions Options_{.MaxQueuedTasks_ = 100, .MaxQueuedBytes_ = 1'000};
  Random Generator_{3};
  JobDemand Demand_{.Team_ = "team",
                    .Tasks_ = 10,
                    .Bytes_ = 100,
                    .TaskMs_ = 100,
                    .Remaining_ = 1'000_ms};
  static constexpr uint32_t Slots_ = 10;

  Reason reason() {
    const auto Admitted = admit(State_, Options_, Demand_, Slots_, Generator_);
    return Admitted ? Reason::None : Admitted.error().Reason_;
  }
};

TEST(Admitting, AcceptsAJobThatCanBeServedInTime) {
  CHECK(reason() == Reason::None);
}

TEST(Admitting, RefusesAJobThatCannotBeServedInTime) {
  Demand_.Remaining_ = 99_ms;
  CHECK(reason() == Reason::DeadlineTooShort);
}

TEST(Admitting, CountsQueuedWork) {
  Demand_.Remaining_ = 500_ms;
  Demand_.AheadMs_ = 3'000;
  CHECK(reason() == Reason::None);
  Demand_.AheadMs_ = 5'000;
  CHECK(reason() == Reason::DeadlineTooShort);
}

TEST(Admitting, RefusesAJobThatWouldWaitTooLong) {
  Options_.MaxWait_ = 200_ms;
  Demand_.Remaining_ = 60'000_ms;
  Demand_.AheadMs_ = 2'000;
  CHECK(reason() == Reason::None);
  Demand_.AheadMs_ = 2'100;
  CHECK(reason() == Reason::QueueFull);
}

TEST(Admitting, BoundsTasksAndBytes) {
  Demand_.Tasks_ = 101;
  Demand_.TaskMs_ = 1;
  CHECK(reason() == Reason::QueueFull);
  Demand_.Tasks_ = 1;
  Demand_.Bytes_ = 1'001;
  CHECK(reason() == Reason::QueueFull);
}

TEST(Admitting, EnforcesTheTeamQuota) {
  Demand_.TeamQuota_ = 15;
  recordAdmitted(State_, Demand_);
  CHECK(reason() == Reason::QuotaExceeded);
  recordDone(State_, "team", 5);
  CHECK(reason() == Reason::None);
}

TEST(Admitting, RefusesWhenThereIsNoWorker) {
  const auto Admitted = admit(State_, Options_, Demand_, 0, Generator_);
  CHECK(Admitted.error().Reason_ == Reason::NoWorker);
}

TEST(Admitting, SpreadsRetryAfterTimes) {
  int64_t Least = INT64_MAX;
  int64_t Most = 0;
  for (int Time = 0; Time < 200; ++Time) {
    const int64_t After =
        spreadRetryAfter(Options_, 1'000_ms, Generator_).Count_;
    Least = std::min(Least, After);
    Most = std::max(Most, After);
  }
  CHECK(Least >= 1'000 && Least < 1'100);
  CHECK(Most <= 2'000 && Most > 1'900);
}

TEST(Admitting, IsEmptyAgainAfterEverythingLeft) {
  recordAdmitted(State_, Demand_);
  recordDequeued(State_, 0, 10, 100, 100);
  recordRequeued(State_, 0, 10, 100);
  recordDequeued(State_, 0, 1, 10, 100);
  recordDone(State_, "team", 10);
  CHECK_EQUAL(0, State_.QueuedTasks_);
  CHECK_EQUAL(0, State_.QueuedBytes_);
  CHECK_TRUE(State_.TeamTasks_.empty());
}

TEST_GROUP(TheRetryBudget) {
  RetryBudget Budget_{.Tokens_ = 1};
  RetryOptions Options_{.ShareOfSuccess_ = 0.5};
};

TEST(TheRetryBudget, IsAShareOfSuccesses) {
  CHECK_TRUE(spendRetry(Budget_, Options_));
  CHECK_FALSE(spendRetry(Budget_, Options_));
  earnRetry(Budget_, Options_);
  CHECK_FALSE(spendRetry(Budget_, Options_));
  earnRetry(Budget_, Options_);
  CHECK_TRUE(spendRetry(Budget_, Options_));
}
