#include "TestMain.h"

#include "Fleet/InstanceFixture.h"

using namespace marjorambend;
using namespace marjorambend::test;

static FleetOptions learning(bool Learns) {
  FleetOptions Options{.Name_ = "a", .DataCentre_ = "dc"};
  Options.Placer_.LearnsRunTimes_ = Learns;
  return Options;
}

// Lets the placer place a task, and releases it after 200 times the estimate in
// per cent on a worker that is slower than the median by \p Slowness.
static RunTimes learnedFrom(bool Learns, double Slowness) {
  constexpr Incarnation Origin{80};
  InstanceFixture Placer(learning(Learns));
  Placer.openWorker();
  Placer.connectPeer(Origin.Value_);
  Placer.handle(MessageReceived{Origin, PlaceRequest{.Job_ = 1,
                                                     .Id_ = 1,
                                                     .Route_ = "r",
                                                     .Service_ = "service",
                                                     .Tasks_ = {0},
                                                     .Needs_ = {1'000, 64, 0},
                                                     .Estimate_ = {100},
                                                     .ObjectiveIn_ = {1'000},
                                                     .GiveUpIn_ = {2'000}}});
  Placer.State_.Placing_.Workers_.at("w").Held_.Slowness_ = Slowness;
  Placer.handle(MessageReceived{
      Origin, PlaceRelease{.Job_ = 1, .Task_ = 0, .RanPercent_ = 200}});
  return Placer.State_.Placing_.RunTimes_;
}

TEST_GROUP(RunTimesOfARoute){};

// Guards against the slowness of a worker that is taken for a wrong estimate.
TEST(RunTimesOfARoute, AreLearnedFromReleasesRelativeToTheWorker) {
  DOUBLES_EQUAL(2.0, learnedFrom(true, 1.0).at("r").Largest_, 1e-9);
  DOUBLES_EQUAL(1.25, learnedFrom(true, 1.6).at("r").Largest_, 1e-9);
  CHECK(learnedFrom(false, 1.0).empty());
}

// Guards against an origin that does not report, or reports by default.
TEST(RunTimesOfARoute, AreReportedByTheOriginIfEnabled) {
  for (const bool Learns : {true, false}) {
    InstanceFixture Origin(learning(Learns));
    Origin.openWorker();
    Origin.handle(Origin.job());
    Origin.answerStart(OrderResult::Accepted);
    Origin.advance(140);
    Origin.listRuns({}, {{1, {7, 0, 1}, RunEnd::Done}});
    CHECK_EQUAL(Learns, Origin.State_.Placing_.RunTimes_.contains("r"));
    CHECK_EQUAL(Learns, renderMetrics(Origin.State_, Origin.Now_)
                                .find("run_ratio_percent_bucket{route=\"r\"") !=
                            std::string::npos);
  }
}
