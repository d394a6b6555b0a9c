#include "TestMain.h"

#include "Fleet/InstanceFixture.h"

using namespace marjorambend;
using namespace marjorambend::test;

TEST_GROUP(AnEvacuation) {
  Evacuations Known_;
  EvacuationOptions Options_{.ReturnTime_ = {1'000}, .FirstShare_ = 0.1};

  int countAdmitted(Milliseconds Now) {
    int Count = 0;
    for (int Number = 0; Number < 1'000; ++Number)
      Count += isAdmitted(
          Known_, Options_,
          {.Id_ = "worker-" + std::to_string(Number), .DataCentre_ = "dc"},
          Now);
    return Count;
  }
};

// Guards against a stale answer of the store that withdraws an evacuation.
TEST(AnEvacuation, IsNotWithdrawnByAnOlderRead) {
  CHECK((applyEvacuations(Known_, 7, {"dc"}, {0}).Begun_ ==
         std::vector<std::string>{"dc"}));
  CHECK(applyEvacuations(Known_, 6, {}, {0}).isEmpty());
  CHECK(isEvacuated(Known_, "dc"));
  CHECK_FALSE(isEvacuated(Known_, "other"));
}

// Guards against a load spike on workers that may be cold.
TEST(AnEvacuation, IsFollowedByAGradualReturn) {
  applyEvacuations(Known_, 1, {"dc"}, {0});
  LONGS_EQUAL(0, countAdmitted({9'000}));
  applyEvacuations(Known_, 2, {}, {10'000});
  const int AtFirst = countAdmitted({10'000});
  const int Halfway = countAdmitted({10'500});
  CHECK(AtFirst > 60 && AtFirst < 140);
  CHECK(Halfway > 500 && Halfway < 600);
  LONGS_EQUAL(1'000, countAdmitted({11'000}));
  expireReturns(Known_, Options_, {11'000});
  CHECK(Known_.Returning_.empty());
}

// Guards against a return that outlasts the next evacuation.
TEST(AnEvacuation, EndsTheReturnFromTheLastOne) {
  applyEvacuations(Known_, 1, {"dc"}, {0});
  applyEvacuations(Known_, 2, {}, {100});
  applyEvacuations(Known_, 3, {"dc"}, {200});
  LONGS_EQUAL(0, countAdmitted({5'000}));
  CHECK(Known_.Returning_.empty());
}

TEST_GROUP(AnEvacuatedDataCentre) {
  InstanceFixture Instance_;
  uint64_t Version_ = 10;
  void setup() override { Instance_.openWorker(); }

  FleetActions evacuate(DataCentreNames Names) {
    return Instance_.handle(EvacuationsRead{++Version_, std::move(Names)});
  }
  /// A start order of another instance's placer.
  FleetActions order() {
    Instance_.connectPeer(5);
    return Instance_.handle(
        MessageReceived{{5},
                        StartOrder{.Job_ = 1,
                                   .Needs_ = {27'000, 64, 0},
                                   .Runs_ = {{{7, 0, 1}, "w"}}}});
  }
  FleetActions submit() { return Instance_.handle(Instance_.job()); }
  uint64_t refusedStarts() {
    return valueOf(Instance_.State_.Counters_, Counter::StartsRefused);
  }
};

// Guards against starts by a placer that does not know yet, or was killed.
TEST(AnEvacuatedDataCentre, GetsNoStartFromItsHolders) {
  evacuate({"dc"});
  const FleetActions Actions = order();
  expectCount<StartRun>(0, Actions);
  const auto Sent = actionsOf<SendMessage>(Actions);
  CHECK(std::any_of(Sent.begin(), Sent.end(), [](const SendMessage &One) {
    const auto *Ended = std::get_if<RunEnded>(&One.Message_);
    return Ended != nullptr && Ended->End_ == RunEnd::NotStarted;
  }));
}

TEST(AnEvacuatedDataCentre, DoesNotHaveAnUnansweredStartRepeated) {
  expectCount<StartRun>(1, order());
  evacuate({"dc"});
  expectCount<StartRun>(0, Instance_.answerStart(OrderResult::Unknown));
}

TEST(AnEvacuatedDataCentre, IsAvoidedByThePlacer) {
  evacuate({"dc"});
  Instance_.connectPeer(5, "other");
  HeldWorker Far{.Report_ = InstanceFixture::worker("far"), .IsOpen_ = true};
  Far.Report_.DataCentre_ = "other";
  Instance_.handle(MessageReceived{{5}, WorkersHeld{{Far}}});
  const auto Sent = actionsOf<SendMessage>(submit());
  CHECK(std::any_of(Sent.begin(), Sent.end(), [](const SendMessage &One) {
    const auto *Order = std::get_if<StartOrder>(&One.Message_);
    return Order != nullptr && Order->Runs_[0].Worker_ == "far";
  }));
  LONGS_EQUAL(0, refusedStarts());
}

// Guards against jobs that wait for workers which will not be used.
TEST(AnEvacuatedDataCentre, HasItsJobsRefusedIfThereIsNoOther) {
  evacuate({"dc"});
  expectCount<AnswerJob>(0, submit());
  const auto Answers = actionsOf<AnswerJob>(Instance_.advance(40));
  LONGS_EQUAL(1, Answers.size());
  CHECK(Answers[0].Outcome_ == JobOutcome::NotRun);
  CHECK(Answers[0].RetryAfter_.Count_ > 0);
  LONGS_EQUAL(0, refusedStarts());
}

TEST(AnEvacuatedDataCentre, DoesNotCountAsCapacity) {
  Instance_.advance(120);
  const FleetCapacity &Capacity = Instance_.State_.Placing_.Capacity_;
  LONGS_EQUAL(64'000, Capacity.ListedMilliCores_);
  evacuate({"dc"});
  Instance_.advance(120);
  LONGS_EQUAL(0, Capacity.ListedMilliCores_);
  LONGS_EQUAL(0, Capacity.OpenMilliCores_);
}

TEST(AnEvacuatedDataCentre, FinishesWhatItRuns) {
  submit();
  Instance_.answerStart(OrderResult::Accepted);
  FleetActions All = evacuate({"dc"});
  for (FleetAction &One : Instance_.advance(60))
    All.push_back(std::move(One));
  expectCount<StopRun>(0, All);
  const auto Answers = actionsOf<AnswerJob>(
      Instance_.listRuns({}, {{1, {7, 0, 1}, RunEnd::Done}}));
  LONGS_EQUAL(1, Answers.size());
  CHECK(Answers[0].Outcome_ == JobOutcome::Completed);
}

// Guards against an outage of the store that ends an evacuation.
TEST(AnEvacuatedDataCentre, StaysSoWhileTheStoreIsUnreachable) {
  evacuate({"dc"});
  Instance_.handle(WorkersReadFailed{});
  Instance_.advance(10'000);
  expectCount<StartRun>(0, order());
}

TEST(AnEvacuatedDataCentre, IsUsedAgainOnceItReturns) {
  Instance_.State_.Options_.Evacuation_ = {.ReturnTime_ = {1'000},
                                           .FirstShare_ = 0};
  evacuate({"dc"});
  evacuate({});
  JobSubmission Patient = Instance_.job();
  Patient.Estimate_ = {2'000};
  Patient.CallerTimeout_ = {20'000};
  expectCount<StartRun>(0, Instance_.handle(Patient));
  FleetActions All = Instance_.advance(1'200);
  expectCount<StartRun>(1, All);
}

TEST_GROUP(TheNewsOfAnEvacuation) {
  InstanceFixture Reader_{
      {.Name_ = "a", .DataCentre_ = "dc", .CpuShare_ = 500}};
  InstanceFixture Other_{{.Name_ = "b", .DataCentre_ = "dc", .CpuShare_ = 100}};

  void setup() override {
    Reader_.openWorker();
    Other_.openWorker();
    connect(Reader_, Other_);
    connect(Other_, Reader_);
  }
  static FleetActions connect(InstanceFixture & One,
                              InstanceFixture & Another) {
    FleetActions Actions = One.handle(InstanceUp{Another.State_.Self_});
    One.handle(MessageReceived{
        Another.State_.Self_.Run_,
        InstanceStatus{.IsReady_ = true, .IsCoordinating_ = true}});
    return Actions;
  }
  void deliver(const FleetActions &Actions) {
    for (const SendMessage &One : actionsOf<SendMessage>(Actions)) {
      if (One.To_ == Other_.State_.Self_.Run_)
        Other_.handle(MessageReceived{Reader_.State_.Self_.Run_, One.Message_});
    }
  }
  bool isKnown() { return isEvacuated(Other_.State_.Evacuations_, "dc"); }
};

TEST(TheNewsOfAnEvacuation, ReachesTheDataCentreAtOnce) {
  deliver(Reader_.handle(EvacuationsRead{11, {"dc"}}));
  CHECK(isKnown());
  deliver(Reader_.handle(EvacuationsRead{12, {}}));
  CHECK_FALSE(isKnown());
}

// Guards against a reader whose calls to the store are not answered while those
// of another instance are.
TEST(TheNewsOfAnEvacuation, IsSentByWhoeverReadsItFirst) {
  const Incarnation To = Reader_.State_.Self_.Run_;
  for (const SendMessage &One :
       actionsOf<SendMessage>(Other_.handle(EvacuationsRead{11, {"dc"}}))) {
    if (One.To_ == To)
      Reader_.handle(MessageReceived{Other_.State_.Self_.Run_, One.Message_});
  }
  CHECK(isEvacuated(Reader_.State_.Evacuations_, "dc"));
}

// Guards against a reader that gets no answers from the store while another
// instance has learnt of the evacuation from a third data centre.
TEST(TheNewsOfAnEvacuation, IsPassedOnIfItIsFromAnotherDataCentre) {
  Reader_.connectPeer(9, "far");
  deliver(Reader_.handle(MessageReceived{
      {9}, ConfigFreshness{.EvacuationsVersion_ = 11, .Evacuated_ = {"dc"}}}));
  CHECK(isKnown());
}

TEST(TheNewsOfAnEvacuation, ReachesAnInstanceWithANewSession) {
  Reader_.handle(EvacuationsRead{11, {"dc"}});
  deliver(connect(Reader_, Other_));
  CHECK(isKnown());
}

// Guards against a message that was lost with its session.
TEST(TheNewsOfAnEvacuation, IsRepeatedWithTheAgeOfTheConfiguration) {
  Reader_.handle(EvacuationsRead{11, {"dc"}});
  deliver(Reader_.handle(WorkersRead{{InstanceFixture::worker()}}));
  CHECK(isKnown());
}

// Guards against a frozen reader: the others read the store themselves.
TEST(TheNewsOfAnEvacuation, IsReadByTheOthersIfTheReaderIsSilent) {
  Reader_.handle(ConfigConfirmed{});
  deliver(Reader_.handle(WorkersRead{{InstanceFixture::worker()}}));
  CHECK_FALSE(shouldFollowConfig(Other_.State_, Other_.Now_));
  CHECK(shouldFollowConfig(Other_.State_, Other_.Now_ + Milliseconds{1'300}));
}

// Guards against a reader of an earlier version, which confirms the
// configuration without having read the evacuations.
TEST(TheNewsOfAnEvacuation, IsNotConfirmedByAnInstanceWithoutIt) {
  Other_.handle(EvacuationsRead{11, {}});
  Reader_.handle(ConfigConfirmed{});
  deliver(Reader_.handle(WorkersRead{{InstanceFixture::worker()}}));
  CHECK(shouldFollowConfig(Other_.State_, Other_.Now_));
}

TEST(TheNewsOfAnEvacuation, IsVisibleInMetrics) {
  Reader_.handle(EvacuationsRead{11, {"dc"}});
  CHECK(renderMetrics(Reader_.State_, Reader_.Now_)
            .find("\nmarjorambend_data_centres_evacuated 1\n") !=
        std::string::npos);
}
