#include "../TestMain.h"
#include "Session.h"

#include <marjorambend/Configuration>

using namespace marjorambend;
using namespace marjorambend::test;
using namespace marjorambend::literals;

namespace {

constexpr Incarnation Other{0x1234};

PeerConnected otherConnected() {
  return {.Run_ = Other, .Name_ = "other", .DataCentre_ = "far"};
}

/// \brief The answer to a claim that names \p Holder as the holder.
ClaimsAnswered claimed(const Actions &Requested, Incarnation Holder) {
  ClaimsAnswered Answered;
  for (const Action &One : Requested) {
    const auto *Insert = std::get_if<InsertClaims>(&One);
    if (Insert == nullptr)
      continue;
    Answered.Batch_ = Insert->Batch_.Number_;
    for (const Claim &Claimed : Insert->Batch_.Claims_)
      Answered.Rows_.push_back(
          {.Id_ = Claimed.Id_, .Holder_ = Holder, .Nonce_ = Claimed.Nonce_});
  }
  return Answered;
}

ClaimsFailed failed(const Actions &Requested) {
  return {claimed(Requested, {}).Batch_};
}

TaskFinished succeeded(uint64_t Send) {
  return {.Send_ = Send, .Result_ = TaskResult::Succeeded, .Body_ = "done"};
}

/// \brief Submits a job and lets this instance win its claim.
JobRequest submitHeld(Session &S, uint32_t Number, uint32_t Tasks) {
  const JobRequest Job = S.job(Number, Tasks);
  const Actions Requested = S.deliver(JobSubmitted{Number, Job}, 50_ms);
  S.deliver(claimed(Requested, S.state().Self_), 5_ms);
  return Job;
}

void checkGolden(const Session &S) { STRCMP_EQUAL("", S.compare().c_str()); }

} // namespace

TEST_GROUP(AJob){};

TEST(AJob, IsClaimedThenRunThenAnsweredWhole) {
  Session S("complete");
  S.prepare();
  S.comment("a job of two tasks is claimed, run and answered");
  const JobRequest Job = submitHeld(S, 1, 2);
  S.deliver(succeeded(S.findSend(Job.Id_, 0)), 50_ms);
  S.deliver(succeeded(S.findSend(Job.Id_, 1)), 10_ms);
  S.comment("a resubmission gets the same answer and starts nothing");
  S.deliver(JobSubmitted{2, Job}, 100_ms);
  checkGolden(S);
}

TEST(AJob, RecordsASpanForEachHop) {
  Session S("traced");
  S.prepare();
  JobRequest Job = S.job(1, 1);
  Job.TraceParent_ = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  const Actions Requested = S.deliver(JobSubmitted{1, Job}, 50_ms);
  const Actions Sent = S.deliver(claimed(Requested, S.state().Self_), 5_ms);
  for (const Action &One : Sent) {
    if (const auto *Send = std::get_if<SendTask>(&One))
      CHECK_EQUAL(0, Send->TraceParent_.find(Job.TraceParent_.substr(0, 35)));
  }
  S.deliver(succeeded(S.findSend(Job.Id_, 0)), 50_ms);
  checkGolden(S);
}

TEST(AJob, IsJoinedByAResubmissionWhileItRuns) {
  Session S("joined");
  S.prepare();
  const JobRequest Job = submitHeld(S, 1, 1);
  S.comment("the second copy arrives while the first runs");
  S.deliver(JobSubmitted{2, Job}, 20_ms);
  S.deliver(succeeded(S.findSend(Job.Id_, 0)), 20_ms);
  S.comment("the same identity with other tasks is refused");
  JobRequest Different = Job;
  Different.Tasks_[0] = "something else";
  S.deliver(JobSubmitted{3, Different}, 20_ms);
  checkGolden(S);
}

TEST(AJob, FailsAsAWholeWhenOneTaskFails) {
  Session S("one-task-fails");
  S.prepare();
  S.comment("six tasks, four slots: four run, two wait");
  const JobRequest Job = submitHeld(S, 1, 6);
  S.comment("one fails: the job fails at once, the others are dropped");
  S.deliver(TaskFinished{.Send_ = S.findSend(Job.Id_, 1),
                         .Result_ = TaskResult::Failed},
            30_ms);
  S.comment("a late answer changes nothing");
  S.deliver(succeeded(S.findSend(Job.Id_, 0)), 30_ms);
  S.comment("a resubmission is told the same");
  S.deliver(JobSubmitted{2, Job}, 30_ms);
  checkGolden(S);
}

TEST(AJob, WhoseTaskWasRefusedRunsElsewhere) {
  Session S("refused-task");
  S.prepare();
  const JobRequest Job = submitHeld(S, 1, 1);
  S.comment("the worker says that it has not run the task");
  S.deliver(TaskFinished{.Send_ = S.findSend(Job.Id_, 0),
                         .Result_ = TaskResult::Refused},
            5_ms);
  S.deliver(succeeded(S.findSend(Job.Id_, 0)), 50_ms);
  checkGolden(S);
}

TEST(AJob, WhoseConnectionGoesSilentIsNeverSentAgain) {
  Session S("silent-connection");
  S.prepare();
  submitHeld(S, 1, 1);
  S.comment("no answer arrives until the task counts as lost");
  S.advance(2'100_ms);
  checkGolden(S);
}

TEST(AJob, CanBeCancelledAndStaysCancelled) {
  Session S("cancelled");
  S.prepare();
  const JobRequest Job = submitHeld(S, 1, 1);
  S.deliver(JobCancelled{Job.Id_}, 10_ms);
  S.deliver(JobSubmitted{2, Job}, 10_ms);
  checkGolden(S);
}

TEST(AJob, ThatWasRefusedIsNotStartedBeforeItsRetryTime) {
  // Found by simulation: while a refusal is on its way to its caller, a start
  // of the job would make it false.
  Session S("refusal-holds");
  S.prepare();
  S.deliver(DrainOrdered{"data-centre/data-centre", true}, 10_ms);
  const JobRequest Job = submitHeld(S, 1, 1);
  S.deliver(DrainOrdered{"data-centre/data-centre", false}, 10_ms);
  S.comment("a worker is there again, but the refusal still holds");
  S.deliver(JobSubmitted{2, Job}, 10_ms);
  S.comment("after the come-back time the same identity runs");
  S.deliver(JobSubmitted{3, Job}, 200_ms);
  checkGolden(S);
}

TEST(AJob, WhoseDeadlineHasPassedIsRefusedOnceItsClaimIsSettled) {
  Session S("deadline-in-the-past");
  S.prepare();
  JobRequest Job = S.job(1);
  Job.Timeout_ = 0_ms;
  const Actions Requested = S.deliver(JobSubmitted{1, Job}, 50_ms);
  S.advance(30_ms);
  S.deliver(claimed(Requested, S.state().Self_), 5_ms);
  checkGolden(S);
}

TEST(AJob, OfAnUnknownKindStaysRefused) {
  Session S("unknown-kind");
  S.prepare();
  JobRequest Job = S.job(1);
  Job.Kind_ = "unheard-of";
  const Actions Requested = S.deliver(JobSubmitted{1, Job}, 50_ms);
  S.deliver(claimed(Requested, S.state().Self_), 5_ms);
  S.deliver(JobSubmitted{2, Job}, 5'000_ms);
  checkGolden(S);
}

TEST_GROUP(AJobOfAThousandTasks) {
  static constexpr uint32_t Tasks_ = 1'000;
  Session S_{"thousand"};
  JobRequest Job_;
  std::vector<AnswerPtr> Answers_;

  void setup() override {
    S_.prepare();
    Job_ = S_.job(1, Tasks_);
    Job_.Timeout_ = 100'000_ms;
    const Actions Requested = S_.deliver(JobSubmitted{1, Job_}, 50_ms);
    collect(S_.deliver(claimed(Requested, S_.state().Self_), 5_ms));
  }
  void collect(const Actions &Requested) {
    for (const Action &One : Requested) {
      if (const auto *Reply = std::get_if<AnswerCaller>(&One))
        Answers_.push_back(Reply->Answer_);
    }
  }
  void finish(uint32_t Task, TaskResult Result) {
    collect(S_.deliver(TaskFinished{.Send_ = S_.findSend(Job_.Id_, Task),
                                    .Result_ = Result,
                                    .Body_ = std::to_string(Task)}));
  }
};

TEST(AJobOfAThousandTasks, IsAnsweredWithAllResultsInOrder) {
  for (uint32_t Task = 0; Task < Tasks_; ++Task) {
    CHECK_TRUE(Answers_.empty());
    finish(Task, TaskResult::Succeeded);
  }
  CHECK_EQUAL(1, Answers_.size());
  CHECK_EQUAL(Tasks_, Answers_[0]->Results_.size());
  STRCMP_EQUAL("999", Answers_[0]->Results_[999].c_str());
}

TEST(AJobOfAThousandTasks, FailsAtOnceWhenOneFails) {
  for (uint32_t Task = 0; Task < 500; ++Task)
    finish(Task, TaskResult::Succeeded);
  finish(500, TaskResult::Failed);
  CHECK_EQUAL(1, Answers_.size());
  CHECK(Answers_[0]->Outcome_ == Outcome::MayHaveRun);
  CHECK(Answers_[0]->Reason_ == Reason::TaskFailed);
  CHECK_TRUE(Answers_[0]->Results_.empty());
  CHECK_EQUAL(0, S_.state().Admission_.QueuedTasks_);
  CHECK_TRUE(S_.state().Sends_.empty());
}

TEST(AJobOfAThousandTasks, FailsWhenOneHangs) {
  const uint64_t Hanging = S_.findSend(Job_.Id_, 0);
  for (uint32_t Task = 1; Task < 900; ++Task)
    finish(Task, TaskResult::Succeeded);
  CHECK_TRUE(Answers_.empty());
  S_.advance(2'000_ms);
  CHECK_EQUAL(0, S_.state().Sends_.count(Hanging));
  CHECK_TRUE(isIdle(S_.state()));
  collect(S_.deliver(JobSubmitted{2, Job_}));
  CHECK(Answers_.back()->Outcome_ == Outcome::MayHaveRun);
  CHECK(Answers_.back()->Reason_ == Reason::TaskLost);
}

TEST(AJobOfAThousandTasks, IsCompletedByTheOthersWhenAWorkerIsGone) {
  // Worker 1 refuses every connection from the start.
  for (uint32_t Task = 0; Task < Tasks_; ++Task) {
    for (int Try = 0; Try < 20; ++Try) {
      const uint64_t Send = S_.findSend(Job_.Id_, Task);
      const auto Sent = S_.state().Sends_.find(Send);
      if (Sent == S_.state().Sends_.end())
        break;
      const bool IsGone = Sent->second.Worker_ == 1;
      finish(Task, IsGone ? TaskResult::NotConnected : TaskResult::Succeeded);
      if (IsGone)
        S_.advance(100_ms);
    }
  }
  S_.advance(1'100_ms);
  for (uint32_t Task = 0; Task < Tasks_ && Answers_.empty(); ++Task) {
    if (S_.state().Sends_.count(S_.findSend(Job_.Id_, Task)) > 0)
      finish(Task, TaskResult::Succeeded);
  }
  CHECK_EQUAL(1, Answers_.size());
  CHECK(Answers_[0]->Outcome_ == Outcome::Complete);
  CHECK_EQUAL(Tasks_, Answers_[0]->Results_.size());
}

TEST_GROUP(WhenTheTableServiceIsOut){};

TEST(WhenTheTableServiceIsOut, AnIdentityOfTheCallersOwnIsNotStarted) {
  Session S("store-out-own-identity");
  S.prepare();
  const JobRequest Job = S.job(1);
  Actions Requested = S.deliver(JobSubmitted{1, Job}, 50_ms);
  S.comment("no answer; the claim is repeated until it is given up");
  S.deliver(failed(Requested), 800_ms);
  S.advance(1'300_ms);
  S.comment("the service is back: the same identity runs");
  Requested = S.deliver(JobSubmitted{2, Job}, 1'000_ms);
  S.deliver(claimed(Requested, S.state().Self_), 5_ms);
  S.deliver(succeeded(S.findSend(Job.Id_, 0)), 50_ms);
  checkGolden(S);
}

TEST(WhenTheTableServiceIsOut, AReservedIdentityRunsWithoutIt) {
  Session S("store-out-reserved-identity");
  S.prepare();
  JobRequest Job = S.job(1);
  Job.Id_ = reserveJobIds(S.state(), 1).front();
  S.comment("no claim is needed: only this instance may start the job");
  S.deliver(JobSubmitted{1, Job}, 50_ms);
  S.deliver(succeeded(S.findSend(Job.Id_, 0)), 50_ms);
  checkGolden(S);
}

TEST(WhenTheTableServiceIsOut, ALostAnswerIsSettledByTheNextTry) {
  Session S("store-answer-lost");
  S.prepare();
  const JobRequest Job = S.job(1);
  Actions Requested = S.deliver(JobSubmitted{1, Job}, 50_ms);
  S.comment("the write took effect, its answer was lost");
  Requested = S.deliver(failed(Requested), 800_ms);
  S.deliver(claimed(Requested, S.state().Self_), 5_ms);
  checkGolden(S);
}

TEST_GROUP(WhenAnotherInstanceHoldsTheJob){};

TEST(WhenAnotherInstanceHoldsTheJob, TheSubmissionIsForwardedToIt) {
  Session S("forwarded");
  S.prepare();
  S.deliver(otherConnected());
  const JobRequest Job = S.job(1);
  const Actions Requested = S.deliver(JobSubmitted{1, Job}, 50_ms);
  const Actions Forwarded = S.deliver(claimed(Requested, Other), 5_ms);
  uint64_t Token = 0;
  for (const Action &One : Forwarded) {
    if (const auto *Sent = std::get_if<SendPeer>(&One))
      Token = std::get<ForwardedJob>(Sent->Message_).Token_;
  }
  S.comment("an answer to nobody is dropped, the right one is passed on");
  const auto FinalAnswer = std::make_shared<const Answer>(
      Answer{.Id_ = Job.Id_, .Outcome_ = Outcome::Complete, .Results_ = {"r"}});
  S.deliver(PeerReceived{Other, ForwardedAnswer{Token + 7, FinalAnswer}},
            20_ms);
  S.deliver(PeerReceived{Other, ForwardedAnswer{Token, FinalAnswer}}, 20_ms);
  checkGolden(S);
}

TEST(WhenAnotherInstanceHoldsTheJob, ItsRefusalIsNotPassedOnWhenItMayBeStale) {
  Session S("stale-refusal");
  S.prepare();
  S.deliver(otherConnected());
  const JobRequest Job = S.job(1);
  const Actions Requested = S.deliver(JobSubmitted{1, Job}, 50_ms);
  S.deliver(claimed(Requested, Other), 5_ms);
  const auto Refused =
      std::make_shared<const Answer>(Answer{.Id_ = Job.Id_,
                                            .Outcome_ = Outcome::NotRun,
                                            .Reason_ = Reason::QueueFull,
                                            .RetryAfter_ = 100_ms});
  S.comment("the refusal holds for 100 ms, and was on its way for longer");
  const uint64_t Token = S.state().Jobs_.at(Job.Id_).Attempt_;
  S.deliver(PeerReceived{Other, ForwardedAnswer{Token, Refused}}, 150_ms);
  checkGolden(S);
}

TEST(WhenAnotherInstanceHoldsTheJob, AndIsGoneTheAnswerIsThatItMayHaveRun) {
  Session S("holder-gone");
  S.prepare();
  S.deliver(otherConnected());
  const JobRequest Job = S.job(1);
  const Actions Requested = S.deliver(JobSubmitted{1, Job}, 50_ms);
  S.deliver(claimed(Requested, Other), 5_ms);
  S.deliver(PeerDisconnected{Other}, 20_ms);
  S.comment("the link has a second to return");
  S.advance(1'100_ms);
  checkGolden(S);
}

TEST(WhenAnotherInstanceHoldsTheJob, AndIsSilentItsLinkIsReplaced) {
  Session S("holder-silent");
  S.prepare();
  S.deliver(otherConnected());
  S.advance(3'100_ms);
  S.comment("a new connection works: the instance is back");
  S.deliver(otherConnected(), 200_ms);
  checkGolden(S);
}

TEST_GROUP(AnInstanceThatWasPaused){};

TEST(AnInstanceThatWasPaused, ExaminesDeadlinesBeforeItStartsAnything) {
  Session S("paused");
  S.prepare();
  const JobRequest Job = S.job(1);
  const Actions Requested = S.deliver(JobSubmitted{1, Job}, 50_ms);
  S.comment("paused for five seconds between the claim and the start");
  S.advanceWithoutTicks(5'000_ms);
  S.deliver(claimed(Requested, S.state().Self_), 0_ms);
  S.advance(10_ms);
  checkGolden(S);
}

TEST_GROUP(TheCatalogue){};

TEST(TheCatalogue, NeverRevertsToAnOlderVersion) {
  Session S("catalogue-never-steps-back");
  S.prepare();
  const std::string Text = S.state().Config_.Text_;
  S.deliver(RowRead{"catalogue", 3, packCatalogue(1, Text)}, 100_ms);
  S.comment("a stale read and a stale instance change nothing");
  S.deliver(RowRead{"catalogue", 2, packCatalogue(1, Text)}, 100_ms);
  S.deliver(otherConnected());
  S.deliver(PeerReceived{Other, CatalogueUpdate{2, Text}}, 100_ms);
  S.comment("a newer one that fails its checks is not adopted");
  S.deliver(PeerReceived{Other, CatalogueUpdate{4, "nonsense"}}, 100_ms);
  CHECK_EQUAL(3, S.state().Config_.Version_);
  checkGolden(S);
}

TEST(TheCatalogue, HasOneWinnerWhenOperatorsRace) {
  Session S("catalogue-race");
  S.prepare();
  const std::string Text = S.state().Config_.Text_;
  S.deliver(CatalogueSubmitted{1, 1, Text}, 100_ms);
  S.comment("the row in force afterwards is another writer's");
  S.deliver(RowSwapped{"catalogue", 2, packCatalogue(99, Text)}, 5_ms);
  checkGolden(S);
}

TEST(TheCatalogue, SettlesAWriteWhoseAnswerWasLost) {
  Session S("catalogue-answer-lost");
  S.prepare();
  const std::string Text = S.state().Config_.Text_;
  const Actions Requested = S.deliver(CatalogueSubmitted{1, 1, Text}, 100_ms);
  const auto &Swap = std::get<SwapRow>(Requested.front());
  S.deliver(RowSwapFailed{"catalogue"}, 600_ms);
  S.comment("the same write is repeated and finds its own nonce");
  S.advance(200_ms);
  S.deliver(RowSwapped{"catalogue", 2, Swap.Value_}, 5_ms);
  checkGolden(S);
}

TEST(TheCatalogue, ReachesANewInstanceWhileTheTableServiceIsOut) {
  Session S("catalogue-from-an-instance");
  S.advance(10_ms);
  CHECK_FALSE(isReady(S.state()));
  S.deliver(RowReadFailed{"catalogue"}, 800_ms);
  S.deliver(otherConnected(), 10_ms);
  S.deliver(PeerReceived{Other, Heartbeat{.CatalogueVersion_ = 5,
                                          .KnowsDrains_ = true}},
            10_ms);
  S.deliver(
      PeerReceived{Other, CatalogueUpdate{5, R"({"teams":[],"kinds":[]})"}},
      10_ms);
  CHECK_TRUE(isReady(S.state()));
  checkGolden(S);
}

TEST_GROUP(ALeavingWorker){};

TEST(ALeavingWorker, GetsNoNewWorkWhoeverSaysSoFirst) {
  Session S("leaving-worker");
  S.prepare();
  S.comment("the operator drains one, the other says so itself");
  S.deliver(DrainOrdered{"worker/w0", true}, 100_ms);
  const JobRequest Job = submitHeld(S, 1, 1);
  S.deliver(TaskFinished{.Send_ = S.findSend(Job.Id_, 0),
                         .Result_ = TaskResult::RefusedLeaving},
            5_ms);
  S.comment("no worker is left; the job waits until one is");
  S.advance(100_ms);
  S.deliver(DrainOrdered{"worker/w0", false}, 100_ms);
  checkGolden(S);
}

TEST(ALeavingWorker, IsLearntFromAnotherInstanceWhileTheServiceIsOut) {
  Session S("drain-from-an-instance");
  S.prepare();
  S.deliver(otherConnected());
  DrainMap Map;
  orderDrain(Map, "worker/w0", true, Other);
  orderDrain(Map, "worker/w1", true, Other);
  S.deliver(PeerReceived{Other, DrainUpdate{Map}}, 50_ms);
  S.comment("no slot is left: a new job is refused at once");
  submitHeld(S, 1, 1);
  checkGolden(S);
}

TEST_GROUP(APlannedStop){};

TEST(APlannedStop, FinishesWhatIsInFlight) {
  Session S("planned-stop");
  S.prepare();
  const JobRequest Job = submitHeld(S, 1, 1);
  S.deliver(StopOrdered{}, 10_ms);
  CHECK_FALSE(isReady(S.state()));
  CHECK_FALSE(isIdle(S.state()));
  CHECK_TRUE(reserveJobIds(S.state(), 1).empty());
  S.deliver(succeeded(S.findSend(Job.Id_, 0)), 50_ms);
  CHECK_TRUE(isIdle(S.state()));
  checkGolden(S);
}

TEST(APlannedStop, ThatIsForcedAnswersWhatIsLeft) {
  Session S("forced-stop");
  S.prepare();
  submitHeld(S, 1, 1);
  S.deliver(StopOrdered{}, 10_ms);
  S.deliver(StopForced{}, 100_ms);
  CHECK_TRUE(isIdle(S.state()));
  checkGolden(S);
}

int main(int Count, char **Arguments) { return runTests(Count, Arguments, 1); }
