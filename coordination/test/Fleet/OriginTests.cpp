#include "TestMain.h"

#include "Fleet/Story.h"

using namespace marjorambend;
using namespace marjorambend::test;

static JobOutcome outcomeOf(const FleetActions &Wanted) {
  const auto Answers = only<AnswerJob>(Wanted);
  CHECK(!Answers.empty());
  return Answers.front().Outcome_;
}

TEST_GROUP(AJobAtItsOrigin) {
  Story S_;
  void setup() override { S_.prepare(); }

  /// The one answer to a job that comes while the only worker drains.
  AnswerJob answerWithoutWorkers() {
    WorkerReport Draining = Story::worker();
    Draining.IsDraining_ = true;
    S_.give(WorkersRead{{Draining}});
    S_.give(S_.job());
    const auto Answers = only<AnswerJob>(S_.pass(2'100));
    LONGS_EQUAL(1, Answers.size());
    return Answers[0];
  }
};

TEST(AJobAtItsOrigin, IsRefusedAsNotRunBeforeThereIsAConfiguration) {
  Story New;
  CHECK(outcomeOf(New.give(New.job())) == JobOutcome::NotRun);
}

TEST(AJobAtItsOrigin, HasToHaveARoute) {
  JobSubmission Lost = S_.job();
  Lost.Path_ = "/elsewhere/";
  CHECK(outcomeOf(S_.give(Lost)) == JobOutcome::NoSuchRoute);
}

TEST(AJobAtItsOrigin, IsJoinedByItsResubmission) {
  S_.give(S_.job(7, 1));
  const FleetActions Again = S_.give(S_.job(7, 2));
  LONGS_EQUAL(0, only<StartRun>(Again).size());
  S_.startAnswered(OrderResult::Accepted);
  const FleetActions End = S_.list({}, {{1, {7, 0, 1}, RunEnd::Done}});
  LONGS_EQUAL(2, only<AnswerJob>(End).size());
}

TEST(AJobAtItsOrigin, IsStoppedAtOnceWhenItsCallerLeaves) {
  S_.give(S_.job());
  S_.startAnswered(OrderResult::Accepted);
  expectCount<StopRun>(1, S_.give(JobAbandoned{1}));
}

TEST(AJobAtItsOrigin, CountsForItsRouteWhileThereIsThatRoute) {
  const std::string Label =
      R"(route_answer_milliseconds_count{route="r",outcome="completed"} 1)";
  S_.give(S_.job());
  S_.startAnswered(OrderResult::Accepted);
  S_.list({}, {{1, {7, 0, 1}, RunEnd::Done}});
  CHECK(renderMetrics(S_.State_, S_.Now_).find(Label) != std::string::npos);
  S_.give(ConfigRead{.Config_ = {.Version_ = 2}});
  CHECK(renderMetrics(S_.State_, S_.Now_).find("route=") == std::string::npos);
}

TEST(AJobAtItsOrigin, GivenUpBeforeAnyStartIsNotRun) {
  const AnswerJob Answer = answerWithoutWorkers();
  CHECK(Answer.Outcome_ == JobOutcome::NotRun);
  CHECK(Answer.RetryAfter_.Count_ > 0);
}

// With no open worker the backlog says nothing; workers come back soon.
TEST(AJobAtItsOrigin, MayComeBackSoonWhenNoWorkerIsOpen) {
  const AnswerJob Answer = answerWithoutWorkers();
  CHECK(Answer.RetryAfter_ <= Milliseconds{2'000});
}

TEST(AJobAtItsOrigin, GivenUpAfterAStartMayHaveRun) {
  S_.give(S_.job());
  S_.startAnswered(OrderResult::Accepted);
  S_.list({{7, 0, 1}});
  const auto Answers = only<AnswerJob>(S_.pass(2'100));
  LONGS_EQUAL(1, Answers.size());
  CHECK(Answers[0].Outcome_ == JobOutcome::MayHaveRun);
}

TEST(AJobAtItsOrigin, GivenUpAfterStartsThatWereAllRejectedIsNotRun) {
  S_.give(S_.job());
  S_.startAnswered(OrderResult::NoRoom);
  const auto Answers = only<AnswerJob>(S_.give(FleetStopForced{}));
  LONGS_EQUAL(1, Answers.size());
  CHECK(Answers[0].Outcome_ == JobOutcome::NotRun);
}

TEST(AJobAtItsOrigin, GivenUpAfterARunThatWasStoppedMayHaveRun) {
  S_.give(S_.job());
  S_.startAnswered(OrderResult::Unknown);
  S_.startAnswered(OrderResult::Unknown);
  S_.give(StopAnswered{"w", {7, 0, 1}, OrderResult::Accepted, {}});
  S_.list({}, {{1, {7, 0, 1}, RunEnd::Stopped}});
  CHECK(outcomeOf(S_.give(FleetStopForced{})) == JobOutcome::MayHaveRun);
}

TEST(AJobAtItsOrigin, FailsWhenATaskHasFailedAsOftenAsItsRouteAllows) {
  S_.give(S_.job());
  S_.startAnswered(OrderResult::Accepted);
  const FleetActions First = S_.list({}, {{1, {7, 0, 1}, RunEnd::Failed}});
  LONGS_EQUAL(0, only<AnswerJob>(First).size());
  LONGS_EQUAL(1, only<StartRun>(First).size());
  S_.startAnswered(OrderResult::Accepted, {7, 0, 2});
  CHECK(outcomeOf(S_.list({}, {{2, {7, 0, 2}, RunEnd::Failed}})) ==
        JobOutcome::Failed);
}

TEST(AJobAtItsOrigin, IsTakenAfterAnOrderToStopForAWhileOnly) {
  S_.give(FleetStop{});
  S_.pass(2'000);
  S_.give(S_.job(8, 8));
  S_.pass(600);
  CHECK(outcomeOf(S_.give(S_.job(9, 9))) == JobOutcome::NotRun);
}

TEST(AJobAtItsOrigin, GetsItsAnswerWhenAStopIsForced) {
  S_.give(S_.job());
  S_.startAnswered(OrderResult::Accepted);
  S_.give(FleetStop{});
  CHECK(outcomeOf(S_.give(FleetStopForced{})) == JobOutcome::MayHaveRun);
}

TEST(AJobAtItsOrigin, IsGivenUpByAnyEventAfterAPause) {
  S_.give(S_.job());
  S_.startAnswered(OrderResult::Accepted);
  S_.freeze(1'000);
  const FleetActions Woken = S_.give(WorkersReadFailed{});
  CHECK(outcomeOf(Woken) == JobOutcome::MayHaveRun);
  LONGS_EQUAL(1, only<StopRun>(Woken).size());
}

TEST(AJobAtItsOrigin, IsRefusedJustAfterAPause) {
  S_.freeze(1'000);
  CHECK(outcomeOf(S_.give(S_.job())) == JobOutcome::NotRun);
  S_.pass(120);
  expectCount<AnswerJob>(0, S_.give(S_.job(8, 8)));
}

// Load pattern: a data centre is cut off, and the placer still has its workers
// in view.
TEST(AJobAtItsOrigin, IsNotPlacedAgainAtAHolderThatCannotBeReached) {
  Story Weak{{.Name_ = "w", .DataCentre_ = "dc", .CpuShare_ = 90},
             Story::Instances::Unread};
  Weak.prepare();
  Weak.meet(5);
  Weak.pass(40);
  Weak.give(Weak.job());
  const auto Told = only<SendMessage>(Weak.give(MessageReceived{
      {5}, Placed{.Job_ = 1, .Tasks_ = {{.Worker_ = "far", .Holder_ = {6}}}}}));
  const auto Again =
      std::find_if(Told.begin(), Told.end(), [](const SendMessage &One) {
        return std::holds_alternative<PlaceRequest>(One.Message_);
      });
  CHECK(Again != Told.end());
  const auto &Request = std::get<PlaceRequest>(Again->Message_);
  LONGS_EQUAL(1, Request.Avoid_.size());
  CHECK(Request.Avoid_[0] == Incarnation{6});
}
