#include "TestMain.h"

#include "Fleet/InstanceFixture.h"

using namespace marjorambend;
using namespace marjorambend::test;

TEST_GROUP(AWorkerThatShrinks) {
  InstanceFixture Instance_;
  void setup() override { Instance_.openWorker(); }

  FleetActions list(int64_t MilliCores) {
    WorkerReport Report = InstanceFixture::worker();
    Report.Capacity_.MilliCores_ = MilliCores;
    return Instance_.handle(WorkersRead{{Report}});
  }
  /// Submits a job of one task with 27 cores.
  FleetActions submit(uint64_t Id) {
    return Instance_.handle(Instance_.job(Id, Id));
  }
  /// A job whose objective is far enough that it can wait.
  JobSubmission patientJob(uint64_t Id) {
    JobSubmission Job = Instance_.job(Id, Id);
    Job.Estimate_ = {1'000};
    Job.CallerTimeout_ = {20'000};
    return Job;
  }
};

TEST(AWorkerThatShrinks, GetsNoStartBeyondTheListedCapacity) {
  expectCount<StartRun>(1, submit(7));
  list(40'000);
  expectCount<StartRun>(0, submit(8));
}

TEST(AWorkerThatShrinks, CountsWhatIsBeingStopped) {
  expectCount<StartRun>(1, submit(7));
  Instance_.answerStart(OrderResult::Accepted);
  list(40'000);
  expectCount<StopRun>(1, Instance_.handle(JobAbandoned{7}));
  expectCount<StartRun>(0, submit(8));
  const FleetActions Then =
      Instance_.listRuns({}, {{1, {7, 0, 1}, RunEnd::Stopped}});
  expectCount<StartRun>(1, Then);
}

TEST(AWorkerThatShrinks, GetsWhatWaitsOnceItGrows) {
  list(20'000);
  Instance_.handle(WorkersRead{{InstanceFixture::worker()}});
  list(30'000);
  expectCount<StartRun>(1, submit(7));
  expectCount<StartRun>(0, Instance_.handle(patientJob(8)));
  expectCount<StartRun>(1, list(64'000));
}

TEST(AWorkerThatShrinks, MayLoseAllCapacity) {
  list(0);
  expectCount<StartRun>(0, submit(7));
  expectCount<StartRun>(1, [this] {
    list(64'000);
    return submit(8);
  }());
}

TEST_GROUP_BASE(AWorkerThatRejectsForWantOfRoom,
                TEST_GROUP_CppUTestGroupAWorkerThatShrinks){
    /// Starts job 7, and has the start of job 8 rejected.
    FleetActions rejectSecond(){submit(7);
Instance_.answerStart(OrderResult::Accepted);
expectCount<StartRun>(1, Instance_.handle(patientJob(8)));
return Instance_.answerStart(OrderResult::NoRoom, {8, 0, 1});
}
}
;

TEST(AWorkerThatRejectsForWantOfRoom, IsNotAskedAgainForEachBackOff) {
  FleetActions All = rejectSecond();
  for (const FleetAction &One : Instance_.advance(440))
    All.push_back(One);
  expectCount<StartRun>(0, All);
}

TEST(AWorkerThatRejectsForWantOfRoom, StillRunsWhatItRanBefore) {
  rejectSecond();
  Instance_.advance(40);
  expectCount<StartRun>(1,
                        Instance_.listRuns({}, {{1, {7, 0, 1}, RunEnd::Done}}));
}

TEST(AWorkerThatRejectsForWantOfRoom, IsStillAskedForLess) {
  rejectSecond();
  JobSubmission Smaller = patientJob(9);
  Smaller.Needs_.MilliCores_ = 20'000;
  Instance_.advance(40);
  expectCount<StartRun>(1, Instance_.handle(Smaller));
}

TEST(AWorkerThatRejectsForWantOfRoom, IsAskedAgainAfterABoundedTime) {
  rejectSecond();
  expectCount<StartRun>(1, Instance_.advance(600));
}

TEST(AWorkerThatRejectsForWantOfRoom, HasItsNextReportBelieved) {
  rejectSecond();
  expectCount<StartRun>(0, Instance_.advance(100));
  expectCount<StartRun>(1, list(60'000));
}

// Its row is written again and again without a change.
TEST(AWorkerThatRejectsForWantOfRoom, DoesNotHaveAnOldReportBelieved) {
  rejectSecond();
  FleetActions All = list(64'000);
  for (const FleetAction &One : Instance_.advance(100))
    All.push_back(One);
  expectCount<StartRun>(0, All);
}

TEST(AWorkerThatRejectsForWantOfRoom, MayHaveRoomAfterARestart) {
  rejectSecond();
  Instance_.listRestart(2);
  Instance_.listRuns({}, {}, 2);
  Instance_.advance(40);
  FleetActions All = Instance_.listRuns({}, {}, 2);
  for (const FleetAction &One : Instance_.advance(100))
    All.push_back(One);
  CHECK(!actionsOf<StartRun>(All).empty());
}

TEST_GROUP_BASE(AJobThatFitsNoWorker,
                TEST_GROUP_CppUTestGroupAWorkerThatShrinks){
    static bool isRefused(const FleetActions &All){
        const auto Answers = actionsOf<AnswerJob>(All);
return Answers.size() == 1 && Answers[0].Outcome_ == JobOutcome::NotRun;
}
}
;

TEST(AJobThatFitsNoWorker, IsRefusedAtTheNextTick) {
  list(20'000);
  Instance_.handle(patientJob(7));
  const FleetActions Then = Instance_.advance(20);
  CHECK(isRefused(Then));
  CHECK(actionsOf<AnswerJob>(Then)[0].RetryAfter_ >= Milliseconds{2'000});
}

TEST(AJobThatFitsNoWorker, IsRefusedOnceTheWorkerShrinks) {
  submit(7);
  Instance_.answerStart(OrderResult::Accepted);
  submit(8);
  Instance_.answerStart(OrderResult::Accepted, {8, 0, 1});
  Instance_.handle(patientJob(9));
  expectCount<AnswerJob>(0, Instance_.advance(20));
  list(20'000);
  CHECK(isRefused(Instance_.advance(20)));
}

// Larger workers may have opened since.
TEST(AJobThatFitsNoWorker, WaitsWhileTheListCannotBeRead) {
  list(20'000);
  Instance_.handle(WorkersReadFailed{});
  Instance_.handle(patientJob(7));
  expectCount<AnswerJob>(0, Instance_.advance(100));
}

TEST(AJobThatFitsNoWorker, WaitsIfAWorkerIsOnlyFull) {
  submit(7);
  submit(8);
  Instance_.handle(patientJob(9));
  expectCount<AnswerJob>(0, Instance_.advance(100));
}

TEST(AJobThatFitsNoWorker, WaitsIfAWorkerIsOnlyClosed) {
  WorkerReport Large = InstanceFixture::worker("x");
  WorkerReport Small = InstanceFixture::worker();
  Small.Capacity_.MilliCores_ = 20'000;
  Instance_.handle(WorkersRead{{Large, Small}});
  Instance_.handle(patientJob(9));
  expectCount<AnswerJob>(0, Instance_.advance(100));
}

TEST(AJobThatFitsNoWorker, IsNotRefusedForARejectedStart) {
  Instance_.handle(patientJob(7));
  Instance_.answerStart(OrderResult::NoRoom, {7, 0, 1});
  expectCount<AnswerJob>(0, Instance_.advance(500));
}

// Its work would be lost; the worker may grow again in time.
TEST(AJobThatFitsNoWorker, WaitsOnceATaskHasStarted) {
  JobSubmission Job = patientJob(7);
  Job.Tasks_ = 3;
  expectCount<StartRun>(2, Instance_.handle(Job));
  list(20'000);
  expectCount<AnswerJob>(0, Instance_.advance(100));
}

// What it still runs beyond its capacity does not serve the queue.
TEST(AWorkerThatShrinks, CountsInTheForecastWithTheNewCapacity) {
  submit(7);
  submit(8);
  list(30'000);
  Instance_.advance(120); // The fleet's capacity is computed at intervals.
  for (uint64_t Id = 9; Id < 12; ++Id) {
    JobSubmission Job = Instance_.job(Id, Id);
    Job.Estimate_ = {400};
    Instance_.handle(Job);
  }
  expectCount<AnswerJob>(1, Instance_.advance(20));
}
