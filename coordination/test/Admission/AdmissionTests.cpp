#include "TestMain.h"

#include <marjorambend/Admission>

using namespace marjorambend;
using namespace marjorambend::literals;

TEST_GROUP(Admitting) {
  Admission State;
  AdmissionOptions Options{.MaxQueuedTasks_ = 100, .MaxQueuedBytes_ = 1'000};
  Random Generator{3};
  JobDemand Demand{.Team_ = "team",
                   .Tasks_ = 10,
                   .Bytes_ = 100,
                   .TaskMs_ = 100,
                   .Remaining_ = 1'000_ms};
  static constexpr uint32_t Slots = 10;

  Reason verdict() {
    const auto Verdict = admit(State, Options, Demand, Slots, Generator);
    return Verdict ? Reason::None : Verdict.error().Reason_;
  }
};

TEST(Admitting, AcceptsWhatCanBeServedInTime) {
  CHECK(verdict() == Reason::None);
}

TEST(Admitting, RefusesAtOnceWhatCannot) {
  Demand.Remaining_ = 99_ms;
  CHECK(verdict() == Reason::DeadlineTooShort);
}

TEST(Admitting, CountsTheWorkAheadOfTheSameClassOrAMoreUrgentOne) {
  JobDemand Ahead = Demand;
  Ahead.Tasks_ = 90;
  Ahead.Class_ = 1;
  Ahead.Bytes_ = 0;
  noteAdmitted(State, Ahead);
  Demand.Remaining_ = 500_ms;
  CHECK(verdict() == Reason::None);
  Demand.Class_ = 1;
  CHECK(verdict() == Reason::DeadlineTooShort);
}

TEST(Admitting, BoundsTasksAndBytes) {
  Demand.Tasks_ = 101;
  Demand.TaskMs_ = 1;
  CHECK(verdict() == Reason::QueueFull);
  Demand.Tasks_ = 1;
  Demand.Bytes_ = 1'001;
  CHECK(verdict() == Reason::QueueFull);
}

TEST(Admitting, HoldsATeamToItsQuota) {
  Demand.TeamQuota_ = 15;
  noteAdmitted(State, Demand);
  CHECK(verdict() == Reason::QuotaExceeded);
  noteDone(State, "team", 5);
  CHECK(verdict() == Reason::None);
}

TEST(Admitting, RefusesWhenThereIsNoWorker) {
  const auto Verdict = admit(State, Options, Demand, 0, Generator);
  CHECK(Verdict.error().Reason_ == Reason::NoWorker);
}

TEST(Admitting, SpreadsTheComeBackTimes) {
  int64_t Least = INT64_MAX;
  int64_t Most = 0;
  for (int Time = 0; Time < 200; ++Time) {
    const int64_t After = spreadRetryAfter(Options, 1'000_ms, Generator).Count_;
    Least = std::min(Least, After);
    Most = std::max(Most, After);
  }
  CHECK(Least >= 1'000 && Least < 1'100);
  CHECK(Most <= 2'000 && Most > 1'900);
}

TEST(Admitting, IsEmptyAgainAfterEverythingLeft) {
  noteAdmitted(State, Demand);
  noteUnqueued(State, 0, 10, 100, 100);
  noteRequeued(State, 0, 10, 100);
  noteUnqueued(State, 0, 1, 10, 100);
  noteDone(State, "team", 10);
  CHECK_EQUAL(0, State.QueuedTasks_);
  CHECK_EQUAL(0, State.QueuedBytes_);
  CHECK_TRUE(State.TeamTasks_.empty());
}

TEST_GROUP(TheRetryBudget) {
  RetryBudget Budget{.Tokens_ = 1};
  RetryOptions Options{.ShareOfSuccess_ = 0.5};
};

TEST(TheRetryBudget, IsAShareOfSuccesses) {
  CHECK_TRUE(spendRetry(Budget, Options));
  CHECK_FALSE(spendRetry(Budget, Options));
  earnRetry(Budget, Options);
  CHECK_FALSE(spendRetry(Budget, Options));
  earnRetry(Budget, Options);
  CHECK_TRUE(spendRetry(Budget, Options));
}
