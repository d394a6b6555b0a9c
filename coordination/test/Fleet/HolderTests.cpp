#include "TestMain.h"

#include "Fleet/Story.h"

using namespace marjorambend;
using namespace marjorambend::test;

TEST_GROUP(AWorkerThatIsHeld) {
  Story S_;
  const RunId Run_{7, 0, 1};
  void setup() override { S_.prepare(); }

  /// What another instance asks for.
  static StartOrder orderOf(const RunId &Run) {
    return {.Job_ = 1,
            .Needs_ = {27'000, 64, 0},
            .Estimate_ = {1'000},
            .Spec_ = "spec",
            .Runs_ = {{Run, "w"}}};
  }
  /// A job of one task that runs on the worker.
  void startTask() {
    expectCount<StartRun>(1, S_.give(S_.job()));
    S_.startAnswered(OrderResult::Accepted);
  }
};

TEST(AWorkerThatIsHeld, RunsATaskToItsEnd) {
  startTask();
  const auto Answers = only<AnswerJob>(S_.list({}, {{1, Run_, RunEnd::Done}}));
  LONGS_EQUAL(1, Answers.size());
  CHECK(Answers[0].Outcome_ == JobOutcome::Completed);
  LONGS_EQUAL(1, S_.LastPoll_.AckedThrough_);
}

TEST(AWorkerThatIsHeld, IsFencedOffAndEmptiedBeforeItTakesWork) {
  Story Other;
  Other.give(WorkersRead{{Story::worker()}});
  Other.pass(700);
  const RunId Stranger{9, 0, 1};
  const auto Stops = only<StopRun>(Other.list({Stranger}));
  LONGS_EQUAL(1, Stops.size());
  CHECK(Stops[0].Run_ == Stranger);
  CHECK(Other.State_.Holds_.at("w").Phase_ == HoldPhase::Claiming);
  Other.pass(40);
  Other.list({});
  CHECK(Other.State_.Holds_.at("w").Phase_ == HoldPhase::Open);
}

TEST(AWorkerThatIsHeld, HasAStartWithoutAnswerOrderedOnceMore) {
  S_.give(S_.job());
  const auto Again = only<StartRun>(S_.startAnswered(OrderResult::Unknown));
  LONGS_EQUAL(1, Again.size());
  CHECK(Again[0].Run_ == Run_);
  STRCMP_EQUAL("spec", Again[0].Spec_.c_str());
  S_.startAnswered(OrderResult::Accepted);
  const auto Answers = only<AnswerJob>(S_.list({}, {{1, Run_, RunEnd::Done}}));
  LONGS_EQUAL(1, Answers.size());
}

// The job was given up, and its caller may have come back elsewhere.
TEST(AWorkerThatIsHeld, HasAStartWithoutAnswerNotRepeatedAfterAPause) {
  S_.give(S_.job());
  S_.freeze(1'000);
  expectCount<StartRun>(0, S_.startAnswered(OrderResult::Unknown));
}

// The first order was carried out, though its answer was lost.
TEST(AWorkerThatIsHeld, HasARunThatIsOverAlreadyNotStartedAgain) {
  S_.give(S_.job());
  S_.startAnswered(OrderResult::Unknown);
  expectCount<StartRun>(0, S_.startAnswered(OrderResult::Superseded));
  const auto Answers = only<AnswerJob>(S_.list({}, {{1, Run_, RunEnd::Done}}));
  LONGS_EQUAL(1, Answers.size());
  CHECK(Answers[0].Outcome_ == JobOutcome::Completed);
}

TEST(AWorkerThatIsHeld, HasAStartWithoutAnswerStoppedBeforeItStartsAgain) {
  S_.give(S_.job());
  S_.startAnswered(OrderResult::Unknown);
  const FleetActions Then = S_.startAnswered(OrderResult::Unknown);
  LONGS_EQUAL(1, only<StopRun>(Then).size());
  LONGS_EQUAL(0, only<StartRun>(Then).size());
  // The stop is confirmed; a look sent after it does not list the run.
  S_.give(StopAnswered{"w", Run_, OrderResult::Accepted, std::nullopt});
  S_.list({});
  const auto Starts = only<StartRun>(S_.list({}));
  LONGS_EQUAL(1, Starts.size());
  LONGS_EQUAL(2, Starts[0].Run_.Attempt_);
}

TEST(AWorkerThatIsHeld, IsNotRenewedForAnOriginThatIsSilent) {
  S_.meet(2);
  S_.give(MessageReceived{{2}, orderOf(Run_)});
  S_.startAnswered(OrderResult::Accepted);
  S_.list({Run_});
  CHECK(S_.LastPoll_.LeaseEnd_.Count_ != 0);
  S_.pass(300);
  S_.list({Run_});
  LONGS_EQUAL(0, S_.LastPoll_.LeaseEnd_.Count_);
}

// The order waited in the socket; its origin has long given the job up.
TEST(AWorkerThatIsHeld, TakesNoOrderThatIsReadJustAfterAPause) {
  S_.meet(2);
  S_.freeze(1'000);
  expectCount<StartRun>(0, S_.give(MessageReceived{{2}, orderOf({7, 0, 1})}));
  S_.pass(120);
  expectCount<StartRun>(1, S_.give(MessageReceived{{2}, orderOf({7, 0, 2})}));
}

TEST(AWorkerThatIsHeld, StopsTheRunsOfAnOriginThatIsGone) {
  S_.meet(2);
  S_.give(MessageReceived{{2}, orderOf(Run_)});
  S_.startAnswered(OrderResult::Accepted);
  const auto Stops = only<StopRun>(S_.give(InstanceDown{{2}}));
  LONGS_EQUAL(1, Stops.size());
}

TEST(AWorkerThatIsHeld, TakesAHigherTokenInItsNextLife) {
  const uint64_t Before = S_.State_.Holds_.at("w").FencingToken_;
  S_.pass(100);
  S_.list({}, {}, 2);
  CHECK(S_.State_.Holds_.at("w").FencingToken_ > Before);
  CHECK(S_.LastPoll_.Worker_.FencingToken_ > Before);
}

// The clock of its last holder may have been ahead of ours.
TEST(AWorkerThatIsHeld, TakesATokenAboveAllThatWereHeardOf) {
  const uint64_t FarAhead =
      S_.State_.Holds_.at("w").FencingToken_ + (1ULL << 40U);
  S_.meet(9);
  S_.give(MessageReceived{{9}, InstanceStatus{.HighestToken_ = FarAhead}});
  S_.pass(100);
  S_.list({}, {}, 2);
  CHECK(S_.State_.Holds_.at("w").FencingToken_ > FarAhead);
}

TEST(AWorkerThatIsHeld, HasATokenOfTheSharedClock) {
  S_.freeze(300);
  S_.give(FleetTick{{900'000}});
  S_.list({}, {}, 2);
  CHECK(S_.State_.Holds_.at("w").FencingToken_ >> 10U >= 900'000);
  CHECK(S_.State_.Holds_.at("w").FencingToken_ >> 10U < 901'000);
}

// Whoever comes next may know the clock alone.
TEST(AWorkerThatIsHeld, HasATokenNearTheClockInAWaveOfClaims) {
  std::vector<WorkerReport> Many;
  for (int Index = 0; Index < 200; ++Index)
    Many.push_back(Story::worker("w" + std::to_string(Index)));
  S_.give(WorkersRead{Many});
  S_.pass(700);
  LONGS_EQUAL(200, S_.State_.Holds_.size());
  for (const auto &[Id, Hold] : S_.State_.Holds_)
    CHECK(static_cast<int64_t>(Hold.FencingToken_ >> 10U) <=
          480'000 + S_.Now_.Count_ + 40);
}

TEST(AWorkerThatIsHeld, HasItsTokenToldToAll) {
  S_.meet(9);
  S_.pass(100);
  uint64_t Told = 0;
  for (const SendMessage &One : only<SendMessage>(S_.list({}, {}, 2))) {
    if (const auto *Held = std::get_if<WorkersHeld>(&One.Message_))
      Told = Held->HighestToken_;
  }
  const uint64_t Own = S_.State_.Holds_.at("w").FencingToken_;
  CHECK(Told >= Own);
  uint64_t Beaten = 0;
  for (const SendMessage &One : only<SendMessage>(S_.pass(200))) {
    if (const auto *Status = std::get_if<InstanceStatus>(&One.Message_))
      Beaten = Status->HighestToken_;
  }
  CHECK(Beaten >= Own);
}

// Whoever has fenced it off may have renewed the lease of what runs there.
TEST(AWorkerThatIsHeld, KeepsRunsForAWholeLeaseOnceItIsFencedOff) {
  startTask();
  S_.pass(700);
  S_.startAnswered(OrderResult::Fenced);
  expectCount<AnswerJob>(0, S_.pass(1'000));
  LONGS_EQUAL(1, S_.State_.Holds_.at("w").Runs_.size());
  S_.pass(200);
  CHECK_FALSE(S_.State_.Holds_.contains("w"));
}

TEST(AWorkerThatIsHeld, KeepsARunThatItsNextLifeLists) {
  startTask();
  expectCount<StartRun>(0, S_.list({Run_}, {}, 2));
  CHECK(S_.State_.Holds_.at("w").Runs_.contains(Run_));
}

// The order may still reach the next life, until that knows the next token.
TEST(AWorkerThatIsHeld, HasAStartWithoutAnswerAwaitedInItsNextLife) {
  S_.give(S_.job());
  S_.startAnswered(OrderResult::Unknown);
  S_.startAnswered(OrderResult::Unknown);
  S_.give(StopAnswered{"w", Run_, OrderResult::Accepted, std::nullopt});
  const uint64_t Before = S_.State_.Holds_.at("w").FencingToken_;
  S_.list({});
  expectCount<StartRun>(0, S_.list({}, {}, 2));
  CHECK(S_.LastPoll_.Worker_.FencingToken_ > Before);
  expectCount<StartRun>(1, S_.list({}, {}, 2));
}

// The look that finds the run gone may be under way already.
TEST(AWorkerThatIsHeld, HasAStartToItsOldLifeNotRepeatedInItsNextLife) {
  S_.give(S_.job());
  S_.pass(40);
  S_.list({}, {}, 2);
  expectCount<StartRun>(0, S_.startAnswered(OrderResult::Unknown));
}

TEST(AWorkerThatIsHeld, KeepsAStartWithoutAnswerWhileItIsSilent) {
  S_.give(S_.job());
  S_.startAnswered(OrderResult::Unknown);
  S_.startAnswered(OrderResult::Unknown);
  const uint64_t Before = S_.State_.Holds_.at("w").FencingToken_;
  const auto FailLooks = [this](int64_t Time) {
    for (int64_t Passed = 0; Passed < Time; Passed += 120) {
      S_.give(PollAnswered{.Worker_ = "w", .Poll_ = S_.LastPoll_.Poll_});
      S_.pass(120);
    }
  };
  FailLooks(1'600);
  LONGS_EQUAL(1, S_.State_.Holds_.at("w").Runs_.size());
  CHECK(S_.LastPoll_.Worker_.FencingToken_ > Before);
  FailLooks(12'000);
  LONGS_EQUAL(0, S_.State_.Holds_.at("w").Runs_.size());
}

TEST(AWorkerThatIsHeld, GetsNoNewWorkOnceItDrains) {
  WorkerReport Draining = Story::worker();
  Draining.IsDraining_ = true;
  S_.give(WorkersRead{{Draining}});
  expectCount<StartRun>(0, S_.give(S_.job()));
}

TEST(AWorkerThatIsHeld, ThatGoesSilentLosesItsRunsOnlyAfterTheirLease) {
  startTask();
  const uint32_t Looks = S_.State_.Options_.Holder_.SuspectAfter_;
  for (uint32_t Failure = 0; Failure < Looks; ++Failure) {
    S_.give(PollAnswered{.Worker_ = "w", .Poll_ = S_.LastPoll_.Poll_});
    S_.pass(120);
  }
  CHECK(S_.State_.Holds_.at("w").Phase_ == HoldPhase::Suspect);
  S_.pass(400);
  LONGS_EQUAL(1, S_.State_.Holds_.at("w").Runs_.size());
  S_.pass(600);
  LONGS_EQUAL(0, S_.State_.Holds_.at("w").Runs_.size());
}

TEST(AWorkerThatIsHeld, IsEjectedAfterFailuresOfDifferentJobs) {
  for (uint64_t Id = 1; Id <= 3; ++Id) {
    S_.give(S_.job(Id, Id));
    S_.startAnswered(OrderResult::Accepted, {Id, 0, 1});
    S_.list({}, {{Id, {Id, 0, 1}, RunEnd::Failed}});
    S_.give(JobCancel{Id});
    S_.startAnswered(OrderResult::NotDelivered, {Id, 0, 2});
    S_.pass(60);
  }
  CHECK(S_.State_.Holds_.at("w").EjectedUntil_ > S_.Now_);
}

TEST(AWorkerThatIsHeld, IsNotEjectedByOneJobThatAlwaysFails) {
  S_.give(S_.job(5, 5, 4));
  for (uint32_t Task = 0; Task < 2; ++Task) {
    S_.startAnswered(OrderResult::Accepted, {5, Task, 1});
    S_.list({}, {{Task + 1, {5, Task, 1}, RunEnd::Failed}});
  }
  LONGS_EQUAL(1, S_.State_.Holds_.at("w").ConsecutiveFailures_);
}

TEST(AWorkerThatIsHeld, HasARunWithoutProgressStopped) {
  startTask();
  PollAnswered Lists{.Worker_ = "w",
                     .Result_ = OrderResult::Accepted,
                     .Incarnation_ = 1,
                     .Running_ = {{Run_, 40}}};
  FleetActions Last;
  for (int Round = 0; Round < 4; ++Round) {
    Lists.Poll_ = S_.LastPoll_.Poll_;
    Last = S_.give(Lists);
    S_.pass(200);
  }
  CHECK(S_.State_.Holds_.at("w").Runs_.at(Run_).Phase_ == RunPhase::Stopping);
}

// Load pattern: a slow instance took all workers for itself while it heard
// nobody, and cannot serve them.
TEST_GROUP(AnInstanceThatHoldsTooMany) {
  Story S_;
  void setup() override {
    WorkersRead Read;
    for (int Index = 0; Index < 40; ++Index)
      Read.Workers_.push_back(Story::worker("w" + std::to_string(Index)));
    S_.give(Read);
    S_.pass(700);
  }
  std::size_t closing() const {
    std::size_t Count = 0;
    for (const auto &[Id, Hold] : S_.State_.Holds_)
      Count += Hold.IsClosing_ ? 1 : 0;
    return Count;
  }
};

TEST(AnInstanceThatHoldsTooMany, KeepsThemWhileItIsAlone) {
  S_.pass(2'000);
  LONGS_EQUAL(40, S_.State_.Holds_.size());
  LONGS_EQUAL(0, closing());
}

TEST(AnInstanceThatHoldsTooMany, HandsSomeOverAFewAtATime) {
  for (uint64_t Other = 2; Other <= 4; ++Other)
    S_.meet(Other);
  S_.pass(100);
  LONGS_EQUAL(S_.State_.Options_.Holder_.MaxHandovers_, closing());
  S_.pass(5'000);
  // A fair share is 10.
  CHECK(S_.State_.Holds_.size() <= 17);
  CHECK(S_.State_.Holds_.size() >= 10);
}

TEST_GROUP(AWorkerOfAnotherDataCentre) {
  Story S_;
  void setup() override {
    WorkerReport Far = Story::worker("far");
    Far.DataCentre_ = "dc2";
    S_.meet(2, "dc2");
    S_.give(WorkersRead{{Far}});
    S_.pass(1'000);
  }
};

// Load pattern: a data centre is cut off for seconds, and heals.
TEST(AWorkerOfAnotherDataCentre, IsLeftToInstancesThatAreOnlyCutOff) {
  S_.give(InstanceDown{{2}});
  S_.pass(7'000);
  CHECK(S_.State_.Holds_.empty());
}

TEST(AWorkerOfAnotherDataCentre, IsClaimedOnceNobodyIsThereForLong) {
  S_.give(InstanceDown{{2}});
  S_.pass(11'000);
  CHECK(S_.State_.Holds_.contains("far"));
}

TEST(AWorkerOfAnotherDataCentre, IsLetGoIfItCannotBeReached) {
  S_.give(InstanceDown{{2}});
  S_.pass(11'000);
  S_.give(PollAnswered{.Worker_ = "far", .Poll_ = S_.LastPoll_.Poll_});
  S_.pass(40);
  CHECK(S_.State_.Holds_.empty());
}
