#include "TestMain.h"

#include <algorithm>
#include <marjorambend/Fleet>
#include <string>

using namespace marjorambend;

TEST_GROUP(CrashesUnderATask) {
  CrashLedger Ledger_;
  CrashOptions Options_;
  Milliseconds Now_{200'000};
  const TaskId Task_{7, 0};

  WorkerCrash crashOf(const std::string &Worker, std::vector<TaskId> Tasks,
                      std::string Rack = "") const {
    return {.Worker_ = {Worker, 1},
            .Tasks_ = std::move(Tasks),
            .IsConfirmed_ = true,
            .Rack_ = std::move(Rack),
            .RackSize_ = 8};
  }
  bool record(const WorkerCrash &Crash) {
    return recordCrash(Ledger_, Crash, Options_, Now_);
  }
  bool isSuspect() const {
    return marjorambend::isSuspect(Ledger_, Task_, Options_);
  }
  bool isGivenUp() const {
    return exceedsCrashBudget(Ledger_, Task_, Options_);
  }
};

TEST(CrashesUnderATask, MakeItSuspectAndThenUseUpItsBudget) {
  CHECK(!isSuspect());
  CHECK(record(crashOf("a", {Task_, {8, 0}})));
  CHECK(isSuspect());
  CHECK(!isGivenUp());
  CHECK(record(crashOf("b", {Task_})));
  CHECK(isGivenUp());
  CHECK(!exceedsCrashBudget(Ledger_, {8, 0}, Options_));
}

// A worker that is cut off looks like one that has crashed.
TEST(CrashesUnderATask, OnlyHoldItBackUntilTheyAreConfirmed) {
  WorkerCrash First = crashOf("a", {Task_});
  First.IsConfirmed_ = false;
  WorkerCrash Second = crashOf("b", {Task_});
  Second.IsConfirmed_ = false;
  record(First);
  record(Second);
  CHECK(!isGivenUp());
  CHECK(isInDoubt(Ledger_, Task_, Options_, Now_));
  CHECK(!isInDoubt(Ledger_, Task_, Options_,
                   Now_ + Options_.DoubtTime_ + Milliseconds{1}));
  LONGS_EQUAL(1, unconfirmedCrashesBefore(Ledger_, {"a", 2}).size());
  confirmCrash(Ledger_, {"a", 1});
  CHECK(!isGivenUp());
  confirmCrash(Ledger_, {"b", 1});
  CHECK(isGivenUp());
}

// A start without an answer may have reached no worker.
TEST(CrashesUnderATask, DoNotCountIfItMayNotHaveRun) {
  for (const char *Worker : {"a", "b", "c"}) {
    WorkerCrash Crash = crashOf(Worker, {});
    Crash.PossibleTasks_ = {Task_};
    record(Crash);
  }
  CHECK(isSuspect());
  CHECK(!isGivenUp());
}

TEST(CrashesUnderATask, CountOnceForEachIncarnationOfAWorker) {
  record(crashOf("a", {Task_}));
  CHECK(!record(crashOf("a", {Task_})));
  CHECK(!isGivenUp());
  WorkerCrash Next = crashOf("a", {Task_});
  Next.Worker_.Incarnation_ = 2;
  CHECK(record(Next));
  CHECK(isGivenUp());
}

TEST(CrashesUnderATask, AreWithdrawnIfTheWorkerWasOnlySilent) {
  record(crashOf("a", {Task_}));
  CHECK(withdrawCrash(Ledger_, {"a", 1}));
  CHECK(!withdrawCrash(Ledger_, {"a", 1}));
  CHECK(!isSuspect());
  CHECK(Ledger_.ByTask_.empty());
  CHECK(Ledger_.ByAge_.empty());
}

TEST(CrashesUnderATask, DoNotCountIfTheWholeRackHasFailed) {
  for (const char *Idle : {"b", "c", "d", "e", "f"})
    record(crashOf(Idle, {}, "r1"));
  record(crashOf("a", {Task_}, "r1"));
  CHECK(!isSuspect());
  Now_ = Now_ + Milliseconds{3'000};
  record(crashOf("z", {Task_}, "r2"));
  CHECK(isSuspect());
  CHECK(!isGivenUp());
}

TEST(CrashesUnderATask, CountIfMostWorkersOfTheRackLiveOn) {
  record(crashOf("b", {}, "r1"));
  record(crashOf("c", {}, "r1"));
  record(crashOf("a", {Task_}, "r1"));
  CHECK(isSuspect());
}

// A rack that fails again and again must not lead to endless restarts.
TEST(CrashesUnderATask, AreLimitedWhateverTheirCause) {
  for (int Round = 0; Round < 3; ++Round) {
    CHECK(!isGivenUp());
    for (const char *Worker : {"b", "c", "d", "e", "f", "g"}) {
      WorkerCrash Crash = crashOf(Worker, {}, "r1");
      Crash.Worker_.Incarnation_ = Round + 1;
      if (Crash.Worker_.Worker_ == "b")
        Crash.Tasks_ = {Task_};
      record(Crash);
    }
    Now_ = Now_ + Milliseconds{5'000};
  }
  CHECK(isGivenUp());
}

TEST(CrashesUnderATask, AreForgottenAfterTheirRetention) {
  record(crashOf("a", {Task_}));
  WorkerCrash Old = crashOf("b", {Task_});
  Old.Age_ = Options_.Retention_ + Milliseconds{1};
  CHECK(!record(Old));
  expireCrashes(Ledger_, Options_, Now_ + Options_.Retention_);
  CHECK(isSuspect());
  expireCrashes(Ledger_, Options_,
                Now_ + Options_.Retention_ + Milliseconds{1});
  CHECK(!isSuspect());
}

TEST(CrashesUnderATask, AreKeptInBoundedNumber) {
  Options_.MaxKept_ = 10;
  for (int Index = 0; Index < 30; ++Index) {
    record(crashOf(std::to_string(Index), {Task_}));
    Now_ = Now_ + Milliseconds{1};
  }
  LONGS_EQUAL(10, Ledger_.Crashes_.size());
  LONGS_EQUAL(10, Ledger_.ByAge_.size());
  LONGS_EQUAL(10, Ledger_.ByTask_.at(Task_).size());
}

// Instances learn of crashes in different orders, some of them twice.
TEST(CrashesUnderATask, AreCountedAlikeInAnyOrderOfTheNews) {
  CHECK(rc::check("ledgers agree", [this] {
    std::vector<WorkerCrash> News;
    const auto Count = *rc::gen::inRange(1, 12);
    for (int Index = 0; Index < Count; ++Index) {
      WorkerCrash Crash = crashOf(
          std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 4))),
          {{7, static_cast<uint32_t>(*rc::gen::inRange(0, 3))}});
      Crash.Worker_.Incarnation_ = *rc::gen::inRange(1, 3);
      News.push_back(Crash);
    }
    CrashLedger Forward;
    CrashLedger Backward;
    for (const WorkerCrash &Crash : News)
      recordCrash(Forward, Crash, Options_, Now_);
    std::reverse(News.begin(), News.end());
    for (const WorkerCrash &Crash : News) {
      recordCrash(Backward, Crash, Options_, Now_);
      recordCrash(Backward, Crash, Options_, Now_);
    }
    for (uint32_t Task = 0; Task < 3; ++Task)
      RC_ASSERT(exceedsCrashBudget(Forward, {7, Task}, Options_) ==
                exceedsCrashBudget(Backward, {7, Task}, Options_));
  }));
}
