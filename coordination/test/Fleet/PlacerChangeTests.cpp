#include "TestMain.h"

#include "Fleet/InstanceFixture.h"

using namespace marjorambend;
using namespace marjorambend::test;

/// A new placer knows nothing of the runs that an origin has already started.
/// If it places waiting tasks before it is told, it exceeds the limit of tasks
/// on one worker and the free resources.
TEST_GROUP(ANewPlacer) {
  InstanceFixture Origin_;

  static constexpr Incarnation Before{90};
  static constexpr Incarnation After{91};

  void connect(Incarnation Run, uint32_t CpuShare, std::string Name) {
    Origin_.handle(InstanceUp{{.Run_ = Run,
                               .Name_ = std::move(Name),
                               .DataCentre_ = "dc",
                               .CpuShare_ = CpuShare}});
    report(Run, {.IsReady_ = true, .IsCoordinating_ = true});
  }
  void report(Incarnation Run, InstanceStatus Status) {
    Origin_.handle(MessageReceived{Run, Status});
  }
  FleetActions keepAlive(Incarnation Run, int64_t Time) {
    FleetActions All;
    for (int64_t Passed = 0; Passed < Time; Passed += 100) {
      report(Run, {.IsReady_ = true, .IsCoordinating_ = true});
      for (FleetAction &One : Origin_.advance(100))
        All.push_back(std::move(One));
    }
    return All;
  }
  void placeFirstTaskOf(uint64_t Job) {
    Origin_.handle(MessageReceived{
        Before,
        Placed{.Job_ = Job,
               .Tasks_ = {{.Task_ = 0, .Worker_ = "w", .Holder_ = Before}}}});
  }
  /// Two jobs of which one task is placed and the others wait.
  void submitJobs() {
    Origin_.openWorker();
    connect(Before, 2'000, "before");
    Origin_.advance(20);
    for (uint64_t Id = 1; Id <= 2; ++Id) {
      JobSubmission Job = Origin_.job(Id, Id, 3);
      Job.MaxPerWorker_ = 1;
      Origin_.handle(Job);
    }
    placeFirstTaskOf(1);
    placeFirstTaskOf(2);
  }
  static void expectReservationsFirst(const FleetActions &All) {
    std::size_t Adopted = 0;
    std::size_t Requested = 0;
    for (const SendMessage &One : actionsOf<SendMessage>(All)) {
      if (One.To_ != After)
        continue;
      if (std::holds_alternative<PlaceAdopt>(One.Message_)) {
        ++Adopted;
        LONGS_EQUAL(0, Requested);
      }
      if (std::holds_alternative<PlaceRequest>(One.Message_))
        ++Requested;
    }
    LONGS_EQUAL(2, Adopted);
    LONGS_EQUAL(2, Requested);
  }
};

TEST(ANewPlacer, LearnsWhatIsReservedFirstAfterAPlannedStop) {
  submitJobs();
  connect(After, 1'500, "after");
  report(Before,
         {.IsReady_ = true, .IsStopping_ = true, .IsCoordinating_ = true});
  expectReservationsFirst(Origin_.advance(0));
}

TEST(ANewPlacer, LearnsWhatIsReservedFirstAfterAFreezeOrACut) {
  submitJobs();
  connect(After, 1'500, "after");
  expectReservationsFirst(keepAlive(After, 400));
}

TEST(ANewPlacer, LearnsWhatIsReservedFirstIfAStrongerInstanceJoins) {
  submitJobs();
  connect(After, 3'000, "after");
  expectReservationsFirst(Origin_.advance(0));
}

// The runs are held by a third instance, so that they go on.
TEST(ANewPlacer, LearnsWhatIsReservedFirstAfterAKill) {
  Origin_.openWorker();
  const Incarnation Holder{80};
  connect(Holder, 1'200, "holder");
  connect(Before, 2'000, "before");
  connect(After, 1'500, "after");
  Origin_.advance(20);
  for (uint64_t Id = 1; Id <= 2; ++Id) {
    Origin_.handle(Origin_.job(Id, Id, 3));
    Origin_.handle(MessageReceived{
        Before,
        Placed{.Job_ = Id,
               .Tasks_ = {{.Task_ = 0, .Worker_ = "w", .Holder_ = Holder}}}});
  }
  expectReservationsFirst(Origin_.handle(InstanceDown{Before}));
}

/// If the placer changes and changes back, an answer that was under way is
/// still accepted, and the second placement of the same task is rejected.
/// Guards against a release of the reservation of the running task, after which
/// another task of the job is placed on its worker.
TEST_GROUP(ARejectedPlacement) {
  InstanceFixture Placer_;

  static constexpr Incarnation Origin{80};

  void setup() override {
    Placer_.openWorker();
    Placer_.connectPeer(Origin.Value_);
  }
  FleetActions request(uint32_t Task) {
    return Placer_.handle(
        MessageReceived{Origin, PlaceRequest{.Job_ = 1,
                                             .Id_ = 1,
                                             .Route_ = "r",
                                             .Service_ = "service",
                                             .Tasks_ = {Task},
                                             .Needs_ = {1'000, 64, 0},
                                             .Estimate_ = {100},
                                             .ObjectiveIn_ = {1'000},
                                             .GiveUpIn_ = {2'000},
                                             .MaxPerWorker_ = 1}});
  }
  std::vector<Reservation> reservations() {
    return Placer_.State_.Placing_.Jobs_.at({Origin, 1}).Reservations_;
  }
};

TEST(ARejectedPlacement, LeavesTheReservationOfTheRunningTask) {
  request(0);
  LONGS_EQUAL(1, reservations().size());
  PlacerJob &Job = Placer_.State_.Placing_.Jobs_.at({Origin, 1});
  Job.Reservations_.push_back({0, "other", {1'000, 64, 0}});
  Placer_.handle(
      MessageReceived{Origin, PlaceRelease{1, 0, RunEnd::NotStarted, "other"}});
  LONGS_EQUAL(1, reservations().size());
  STRCMP_EQUAL("w", reservations().front().Worker_.c_str());
}
