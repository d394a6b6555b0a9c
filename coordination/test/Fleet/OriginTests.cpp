#include "TestMain.h"

#include "Fleet/InstanceFixture.h"

using namespace marjorambend;
using namespace marjorambend::test;

static JobOutcome outcomeOf(const FleetActions &Actions) {
  const auto Answers = actionsOf<AnswerJob>(Actions);
  CHECK(!Answers.empty());
  return Answers.front().Outcome_;
}

TEST_GROUP(AJobAtItsOrigin) {
  InstanceFixture Instance_;
  void setup() override { Instance_.openWorker(); }

  /// The only answer to a job that arrives while the only worker is draining.
  AnswerJob answerWithoutWorkers() {
    WorkerReport Draining = InstanceFixture::worker();
    Draining.IsDraining_ = true;
    Instance_.handle(WorkersRead{{Draining}});
    Instance_.handle(Instance_.job());
    const auto Answers = actionsOf<AnswerJob>(Instance_.advance(2'100));
    LONGS_EQUAL(1, Answers.size());
    return Answers[0];
  }
};

// Load pattern: all instances restart at once under load.
TEST(AJobAtItsOrigin, WaitsForTheFirstConfigurationForAShortTime) {
  InstanceFixture New;
  CHECK(New.handle(New.job()).empty());
  New.advance(100);
  const FleetActions Read = New.handle(ConfigRead{.Config_ = {.Version_ = 1}});
  CHECK(outcomeOf(Read) == JobOutcome::NoSuchRoute);
}

TEST(AJobAtItsOrigin, IsRefusedAsNotRunWithoutAConfiguration) {
  InstanceFixture New;
  New.handle(New.job());
  CHECK(outcomeOf(New.advance(300)) == JobOutcome::NotRun);
  CHECK(outcomeOf(New.handle(New.job())) == JobOutcome::NotRun);
}

TEST(AJobAtItsOrigin, IsForgottenIfItsCallerLeavesBeforeTheConfiguration) {
  InstanceFixture New;
  New.handle(New.job(7, 1));
  New.handle(New.job(8, 2));
  New.handle(JobAbandoned{1});
  CHECK(outcomeOf(New.handle(JobCancel{8})) == JobOutcome::Cancelled);
  expectCount<AnswerJob>(0, New.advance(400));
}

TEST(AJobAtItsOrigin, HasToHaveARoute) {
  JobSubmission Unroutable = Instance_.job();
  Unroutable.Path_ = "/elsewhere/";
  CHECK(outcomeOf(Instance_.handle(Unroutable)) == JobOutcome::NoSuchRoute);
}

TEST(AJobAtItsOrigin, IsJoinedByItsResubmission) {
  Instance_.handle(Instance_.job(7, 1));
  const FleetActions Again = Instance_.handle(Instance_.job(7, 2));
  LONGS_EQUAL(0, actionsOf<StartRun>(Again).size());
  Instance_.answerStart(OrderResult::Accepted);
  const FleetActions End =
      Instance_.listRuns({}, {{1, {7, 0, 1}, RunEnd::Done}});
  LONGS_EQUAL(2, actionsOf<AnswerJob>(End).size());
}

TEST(AJobAtItsOrigin, IsStoppedAtOnceWhenItsCallerLeaves) {
  Instance_.handle(Instance_.job());
  Instance_.answerStart(OrderResult::Accepted);
  expectCount<StopRun>(1, Instance_.handle(JobAbandoned{1}));
}

TEST(AJobAtItsOrigin, CountsForItsRouteWhileThereIsThatRoute) {
  const std::string Label =
      R"(route_answer_milliseconds_count{route="r",outcome="completed"} 1)";
  Instance_.handle(Instance_.job());
  Instance_.answerStart(OrderResult::Accepted);
  Instance_.listRuns({}, {{1, {7, 0, 1}, RunEnd::Done}});
  CHECK(renderMetrics(Instance_.State_, Instance_.Now_).find(Label) !=
        std::string::npos);
  Instance_.handle(ConfigRead{.Config_ = {.Version_ = 2}});
  CHECK(renderMetrics(Instance_.State_, Instance_.Now_).find("route=") ==
        std::string::npos);
}

TEST(AJobAtItsOrigin, GivenUpBeforeAnyStartIsNotRun) {
  const AnswerJob Answer = answerWithoutWorkers();
  CHECK(Answer.Outcome_ == JobOutcome::NotRun);
  CHECK(Answer.RetryAfter_.Count_ > 0);
}

// Without open workers no retry time follows from the backlog; a worker is
// usually available again soon.
TEST(AJobAtItsOrigin, MayComeBackSoonWhenNoWorkerIsOpen) {
  const AnswerJob Answer = answerWithoutWorkers();
  CHECK(Answer.RetryAfter_ <= Milliseconds{2'000});
}

TEST(AJobAtItsOrigin, GivenUpAfterAStartMayHaveRun) {
  Instance_.handle(Instance_.job());
  Instance_.answerStart(OrderResult::Accepted);
  Instance_.listRuns({{7, 0, 1}});
  const auto Answers = actionsOf<AnswerJob>(Instance_.advance(2'100));
  LONGS_EQUAL(1, Answers.size());
  CHECK(Answers[0].Outcome_ == JobOutcome::MayHaveRun);
}

TEST(AJobAtItsOrigin, GivenUpAfterStartsThatWereAllRejectedIsNotRun) {
  Instance_.handle(Instance_.job());
  Instance_.answerStart(OrderResult::NoRoom);
  const auto Answers =
      actionsOf<AnswerJob>(Instance_.handle(FleetStopForced{}));
  LONGS_EQUAL(1, Answers.size());
  CHECK(Answers[0].Outcome_ == JobOutcome::NotRun);
}

TEST(AJobAtItsOrigin, GivenUpAfterARunThatWasStoppedMayHaveRun) {
  Instance_.handle(Instance_.job());
  Instance_.answerStart(OrderResult::Unknown);
  Instance_.answerStart(OrderResult::Unknown);
  Instance_.handle(StopAnswered{"w", {7, 0, 1}, OrderResult::Accepted, {}});
  Instance_.listRuns({}, {{1, {7, 0, 1}, RunEnd::Stopped}});
  CHECK(outcomeOf(Instance_.handle(FleetStopForced{})) ==
        JobOutcome::MayHaveRun);
}

TEST(AJobAtItsOrigin, FailsWhenATaskHasFailedAsOftenAsItsRouteAllows) {
  Instance_.handle(Instance_.job());
  Instance_.answerStart(OrderResult::Accepted);
  const FleetActions First =
      Instance_.listRuns({}, {{1, {7, 0, 1}, RunEnd::Failed}});
  LONGS_EQUAL(0, actionsOf<AnswerJob>(First).size());
  LONGS_EQUAL(1, actionsOf<StartRun>(First).size());
  Instance_.answerStart(OrderResult::Accepted, {7, 0, 2});
  CHECK(outcomeOf(Instance_.listRuns({}, {{2, {7, 0, 2}, RunEnd::Failed}})) ==
        JobOutcome::Failed);
}

TEST(AJobAtItsOrigin, IsTakenAfterAnOrderToStopForAWhileOnly) {
  Instance_.handle(FleetStop{});
  Instance_.advance(2'000);
  Instance_.handle(Instance_.job(8, 8));
  Instance_.advance(600);
  CHECK(outcomeOf(Instance_.handle(Instance_.job(9, 9))) == JobOutcome::NotRun);
}

TEST(AJobAtItsOrigin, GetsItsAnswerWhenAStopIsForced) {
  Instance_.handle(Instance_.job());
  Instance_.answerStart(OrderResult::Accepted);
  Instance_.handle(FleetStop{});
  CHECK(outcomeOf(Instance_.handle(FleetStopForced{})) ==
        JobOutcome::MayHaveRun);
}

TEST(AJobAtItsOrigin, IsGivenUpByAnyEventAfterAPause) {
  Instance_.handle(Instance_.job());
  Instance_.answerStart(OrderResult::Accepted);
  Instance_.freeze(1'000);
  const FleetActions AfterPause = Instance_.handle(WorkersReadFailed{});
  CHECK(outcomeOf(AfterPause) == JobOutcome::MayHaveRun);
  LONGS_EQUAL(1, actionsOf<StopRun>(AfterPause).size());
}

TEST(AJobAtItsOrigin, IsRefusedJustAfterAPause) {
  Instance_.freeze(1'000);
  CHECK(outcomeOf(Instance_.handle(Instance_.job())) == JobOutcome::NotRun);
  Instance_.advance(120);
  expectCount<AnswerJob>(0, Instance_.handle(Instance_.job(8, 8)));
}

// Load pattern: a data centre is disconnected, but the placer still knows its
// workers and would choose them again and again.
TEST(AJobAtItsOrigin, IsNotPlacedAgainAtAHolderThatCannotBeReached) {
  InstanceFixture Weak{{.Name_ = "w", .DataCentre_ = "dc", .CpuShare_ = 90},
                       InstanceFixture::InstanceList::Unread};
  Weak.openWorker();
  Weak.connectPeer(5);
  Weak.advance(40);
  Weak.handle(Weak.job());
  const auto Sent = actionsOf<SendMessage>(Weak.handle(MessageReceived{
      {5}, Placed{.Job_ = 1, .Tasks_ = {{.Worker_ = "far", .Holder_ = {6}}}}}));
  const auto Again =
      std::find_if(Sent.begin(), Sent.end(), [](const SendMessage &One) {
        return std::holds_alternative<PlaceRequest>(One.Message_);
      });
  CHECK(Again != Sent.end());
  const auto &Request = std::get<PlaceRequest>(Again->Message_);
  LONGS_EQUAL(1, Request.Avoid_.size());
  CHECK(Request.Avoid_[0] == Incarnation{6});
}
