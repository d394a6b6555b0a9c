#include "TestMain.h"

#include "Fleet/InstanceFixture.h"

using namespace marjorambend;
using namespace marjorambend::test;

/// An instance that holds the workers w (see InstanceFixture), and is the
/// origin and the placer of its jobs.
TEST_GROUP(ATaskThatCrashesItsWorker) {
  InstanceFixture Instance_;
  void setup() override { Instance_.openWorker(); }

  JobSubmission patientJob(uint64_t Token = 1, uint32_t Tasks = 1) {
    JobSubmission Job = Instance_.job(7, Token, Tasks);
    Job.CallerTimeout_ = {60'000};
    return Job;
  }
  /// Lets the worker crash under its runs, and come back in the given
  /// incarnation.
  FleetActions crash(int64_t NextIncarnation) {
    FleetActions All;
    for (int Poll = 0; Poll < 80; ++Poll) {
      for (FleetAction &One : Instance_.advance(20))
        All.push_back(std::move(One));
      const PollAnswered Failed{.Worker_ = "w",
                                .Poll_ = Instance_.LastPoll_.Poll_,
                                .Result_ = OrderResult::NotDelivered};
      for (FleetAction &One : Instance_.handle(Failed))
        All.push_back(std::move(One));
    }
    Instance_.listRestart(NextIncarnation);
    for (int Poll = 0; Poll < 3; ++Poll) {
      for (FleetAction &One : Instance_.listRuns({}, {}, NextIncarnation))
        All.push_back(std::move(One));
      for (FleetAction &One : Instance_.advance(20))
        All.push_back(std::move(One));
    }
    return All;
  }
  std::size_t crashesOf(const TaskId &Task) const {
    const auto Found = Instance_.State_.Crashes_.ByTask_.find(Task);
    return Found == Instance_.State_.Crashes_.ByTask_.end()
               ? 0
               : Found->second.size();
  }
};

TEST(ATaskThatCrashesItsWorker, IsGivenUpAfterTwoCrashes) {
  expectCount<StartRun>(1, Instance_.handle(patientJob()));
  Instance_.answerStart(OrderResult::Accepted);
  const FleetActions First = crash(2);
  LONGS_EQUAL(1, crashesOf({7, 0}));
  expectCount<StartRun>(1, First);
  expectCount<AnswerJob>(0, First);
  Instance_.answerStart(OrderResult::Accepted, {7, 0, 2});
  const FleetActions Second = crash(3);
  expectCount<StartRun>(0, Second);
  const auto Answers = actionsOf<AnswerJob>(Second);
  LONGS_EQUAL(1, Answers.size());
  CHECK(Answers[0].Outcome_ == JobOutcome::Failed);
}

TEST(ATaskThatCrashesItsWorker, IsNotStartedWhenItIsResubmitted) {
  Instance_.handle(patientJob());
  Instance_.answerStart(OrderResult::Accepted);
  crash(2);
  Instance_.answerStart(OrderResult::Accepted, {7, 0, 2});
  crash(3);
  const FleetActions Again = Instance_.handle(patientJob(2));
  expectCount<StartRun>(0, Again);
  const auto Answers = actionsOf<AnswerJob>(Again);
  LONGS_EQUAL(1, Answers.size());
  CHECK(Answers[0].Outcome_ == JobOutcome::Failed);
}

// The crash happens before the worker has confirmed the start.
TEST(ATaskThatCrashesItsWorker, CountsWithAnUnconfirmedStart) {
  Instance_.handle(patientJob());
  Instance_.answerStart(OrderResult::Unknown);
  crash(2);
  LONGS_EQUAL(1, crashesOf({7, 0}));
}

// The failure counts against the route's attempts; another task may have
// crashed the worker.
TEST(ATaskThatCrashesItsWorker, IsNotBlamedOnceItsRunHasFailed) {
  Instance_.handle(Instance_.job());
  Instance_.answerStart(OrderResult::Accepted);
  Instance_.listRuns({}, {{1, {7, 0, 1}, RunEnd::Failed}});
  Instance_.answerStart(OrderResult::Accepted, {7, 0, 2});
  Instance_.listRuns({}, {{2, {7, 0, 2}, RunEnd::Failed}});
  crash(2);
  LONGS_EQUAL(0, crashesOf({7, 0}));
}

// Another worker answers at the address of the one that has crashed.
TEST(ATaskThatCrashesItsWorker, CountsIfTheWorkerIsBackUnderAnotherId) {
  Instance_.handle(patientJob());
  Instance_.answerStart(OrderResult::Accepted);
  Instance_.handle(PollAnswered{.Worker_ = "w",
                                .Poll_ = Instance_.LastPoll_.Poll_,
                                .Result_ = OrderResult::OtherIncarnation});
  LONGS_EQUAL(1, crashesOf({7, 0}));
  CHECK(Instance_.State_.Crashes_.Crashes_.begin()->second.IsConfirmed_);
}

// Two workers are silent at the same time: the task waits until one of them
// answers, or is known to have crashed.
TEST(ATaskThatCrashesItsWorker, WaitsWhileItsCrashesAreInDoubt) {
  Instance_.handle(patientJob());
  Instance_.answerStart(OrderResult::Accepted);
  recordCrash(Instance_.State_.Crashes_,
              {.Worker_ = {"v", 1}, .Tasks_ = {{7, 0}}},
              Instance_.State_.Options_.Crashes_, Instance_.Now_);
  const FleetActions Actions = crash(2);
  expectCount<StartRun>(0, Actions);
  expectCount<AnswerJob>(0, Actions);
  withdrawCrash(Instance_.State_.Crashes_, {"v", 1});
  expectCount<StartRun>(1, Instance_.advance(20));
}

// A late order of a holder that is gone is listed as a run nobody here ordered.
TEST(ATaskThatCrashesItsWorker, CountsWithARunOfAnotherHolder) {
  Instance_.listRuns({{9, 2, 1}});
  crash(2);
  LONGS_EQUAL(1, crashesOf({9, 2}));
}

TEST(ATaskThatCrashesItsWorker, CountsIfTheWorkerIsBackBeforeItIsMissed) {
  Instance_.handle(patientJob());
  Instance_.answerStart(OrderResult::Accepted);
  Instance_.listRuns({}, {}, 2);
  LONGS_EQUAL(1, crashesOf({7, 0}));
}

TEST(ATaskThatCrashesItsWorker, IsNotSuspectIfTheWorkerWasOnlySilent) {
  Instance_.handle(patientJob());
  Instance_.answerStart(OrderResult::Accepted);
  const FleetActions Actions = crash(1);
  LONGS_EQUAL(0, crashesOf({7, 0}));
  expectCount<ForgetCrash>(1, Actions);
}

TEST(ATaskThatCrashesItsWorker, IsNotBlamedIfTheWorkerWasToLeave) {
  Instance_.handle(patientJob());
  Instance_.answerStart(OrderResult::Accepted);
  WorkerReport Draining = InstanceFixture::worker();
  Draining.IsDraining_ = true;
  Instance_.handle(WorkersRead{{Draining}});
  crash(2);
  LONGS_EQUAL(0, crashesOf({7, 0}));
}

TEST(ATaskThatCrashesItsWorker, IsToldToAllInstancesAndTheStore) {
  Instance_.handle(patientJob());
  Instance_.answerStart(OrderResult::Accepted);
  Instance_.connectPeer(5);
  const FleetActions Actions = crash(2);
  // Once when it is silent, and again when it is known to have restarted.
  const auto Stored = actionsOf<StoreCrash>(Actions);
  LONGS_EQUAL(2, Stored.size());
  CHECK((Stored[0].Crash_.Worker_ == WorkerIncarnation{"w", 1}));
  CHECK_FALSE(Stored[0].Crash_.IsConfirmed_);
  CHECK_TRUE(Stored[1].Crash_.IsConfirmed_);
  const auto Sent = actionsOf<SendMessage>(Actions);
  LONGS_EQUAL(2, std::count_if(Sent.begin(), Sent.end(), [](const auto &One) {
                return std::holds_alternative<CrashNews>(One.Message_);
              }));
}

TEST(ATaskThatCrashesItsWorker, IsToldToAnInstanceThatStarts) {
  Instance_.handle(patientJob());
  Instance_.answerStart(OrderResult::Accepted);
  crash(2);
  const auto Sent = actionsOf<SendMessage>(Instance_.connectPeer(6));
  const auto News =
      std::find_if(Sent.begin(), Sent.end(), [](const SendMessage &One) {
        return std::holds_alternative<CrashNews>(One.Message_);
      });
  CHECK(News != Sent.end());
  const auto &Crashes = std::get<CrashNews>(News->Message_).Crashes_;
  LONGS_EQUAL(1, Crashes.size());
  CHECK(Crashes[0].Age_ > Milliseconds{0});
}

/// Crashes that other instances, or the store, report.
TEST_GROUP(ATaskThatHasCrashedWorkers) {
  InstanceFixture Instance_;
  void setup() override {
    Instance_.openWorker();
    Instance_.connectPeer(5);
  }
  static WorkerCrash crashOf(std::string Worker, std::vector<TaskId> Tasks) {
    return {.Worker_ = {std::move(Worker), 1},
            .Tasks_ = std::move(Tasks),
            .IsConfirmed_ = true};
  }
  void hear(std::vector<WorkerCrash> Crashes) {
    Instance_.handle(MessageReceived{{5}, CrashNews{std::move(Crashes), {}}});
  }
};

TEST(ATaskThatHasCrashedWorkers, IsRejectedAtOnceWhereverItArrives) {
  hear({crashOf("x", {{7, 0}}), crashOf("y", {{7, 0}})});
  const auto Answers = actionsOf<AnswerJob>(Instance_.handle(Instance_.job()));
  LONGS_EQUAL(1, Answers.size());
  CHECK(Answers[0].Outcome_ == JobOutcome::Failed);
}

TEST(ATaskThatHasCrashedWorkers, IsRejectedAfterARestartOfAllInstances) {
  Instance_.handle(
      CrashesRead{{crashOf("x", {{7, 0}}), crashOf("y", {{7, 0}})}});
  const auto Answers = actionsOf<AnswerJob>(Instance_.handle(Instance_.job()));
  LONGS_EQUAL(1, Answers.size());
  CHECK(Answers[0].Outcome_ == JobOutcome::Failed);
}

TEST(ATaskThatHasCrashedWorkers, HasTheWorkerForItself) {
  hear({crashOf("x", {{7, 0}})});
  expectCount<StartRun>(1, Instance_.handle(Instance_.job(7, 1)));
  expectCount<StartRun>(0, Instance_.handle(Instance_.job(8, 2)));
  Instance_.answerStart(OrderResult::Accepted);
  const FleetActions End =
      Instance_.listRuns({}, {{1, {7, 0, 1}, RunEnd::Done}});
  expectCount<StartRun>(1, End);
}

TEST(ATaskThatHasCrashedWorkers, RunsBeforeTheNextSuspectOfItsJob) {
  hear({crashOf("x", {{7, 0}, {7, 2}})});
  WorkerReport Other = InstanceFixture::worker("v");
  Other.Incarnation_ = 4;
  // Two other workers of another holder have room.
  WorkersHeld Held{{{.Report_ = Other, .IsOpen_ = true}}, 0};
  Other.Id_ = "u";
  Held.Workers_.push_back({.Report_ = Other, .IsOpen_ = true});
  Instance_.handle(MessageReceived{{5}, Held});
  const FleetActions Actions = Instance_.handle(Instance_.job(7, 1, 3));
  std::set<uint32_t> Started;
  for (const StartRun &One : actionsOf<StartRun>(Actions))
    Started.insert(One.Run_.Task_);
  for (const SendMessage &One : actionsOf<SendMessage>(Actions)) {
    if (const auto *Order = std::get_if<StartOrder>(&One.Message_)) {
      for (const OrderedRun &Run : Order->Runs_)
        Started.insert(Run.Run_.Task_);
    }
  }
  CHECK((Started == std::set<uint32_t>{0, 1}));
}

TEST(ATaskThatHasCrashedWorkers, IsStartedAgainOnceItsCrashesAreWithdrawn) {
  hear({crashOf("x", {{7, 0}}), crashOf("y", {{7, 0}})});
  Instance_.handle(MessageReceived{{5}, CrashNews{{}, {{"y", 1}}}});
  expectCount<StartRun>(1, Instance_.handle(Instance_.job()));
}

// The holder was killed, and the worker crashed as well.
TEST(ATaskThatHasCrashedWorkers, IsSuspectThoughTheHolderIsLost) {
  WorkerReport Worker = InstanceFixture::worker("v");
  Instance_.handle(MessageReceived{
      {5}, WorkersHeld{{{.Report_ = Worker, .IsOpen_ = true}}, 0}});
  Instance_.handle(Instance_.job(7, 1, 3));
  Instance_.handle(InstanceDown{{5}});
  Instance_.connectPeer(6);
  const auto Sent = actionsOf<SendMessage>(Instance_.handle(
      MessageReceived{{6}, CrashNews{{crashOf("v", {})}, {}}}));
  // Two of the three tasks were placed there.
  LONGS_EQUAL(2, Instance_.State_.Crashes_.ByTask_.size());
  LONGS_EQUAL(1, std::count_if(Sent.begin(), Sent.end(), [](const auto &One) {
                return std::holds_alternative<CrashNews>(One.Message_);
              }));
}

TEST(ATaskThatHasCrashedWorkers, IsGivenUpWithItsTimeInsteadOfResubmitted) {
  Instance_.handle(Instance_.job());
  Instance_.answerStart(OrderResult::Accepted);
  hear({crashOf("x", {{7, 0}}), crashOf("y", {{7, 0}})});
  const auto Answers = actionsOf<AnswerJob>(Instance_.advance(2'100));
  LONGS_EQUAL(1, Answers.size());
  CHECK(Answers[0].Outcome_ == JobOutcome::Failed);
}
