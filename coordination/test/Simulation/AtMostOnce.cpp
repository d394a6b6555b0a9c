#include "InstanceSimulationChecks.h"

using namespace marjorambend;
using namespace marjorambend::test;

namespace {

/// \brief A world whose instances have room for few records.
WorldOptions crowdedWorld(uint64_t Seed) {
  return {.Seed_ = Seed, .Jobs_ = 60, .MaxRecords_ = 10};
}

} // namespace

TEST_GROUP(InACalmWorld){};

TEST(InACalmWorld, EverySubmissionIsAnsweredComplete) {
  uint64_t Submissions = 0;
  uint64_t Complete = 0;
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    const WorldReport Report = World(calmWorld(Seed)).run();
    STRCMP_EQUAL("", firstViolation(Report).c_str());
    Submissions += Report.Submissions_;
    Complete += Report.Complete_;
  }
  CHECK(Submissions > 500);
  // A job may meet a deadline of half a second behind a queue.
  CHECK(Complete * 100 >= Submissions * 95);
}

TEST_GROUP(InAnyOrderOfEventsAndFaults){};

TEST(InAnyOrderOfEventsAndFaults, NoTaskStartsTwiceAndNoAnswerIsFalse) {
  CHECK(rc::check("at most once, whole answers, true refusals", [] {
    const uint64_t Seed = anySeed();
    const WorldReport Report = World({.Seed_ = Seed}).run();
    RC_LOG() << "world seed " << Seed << '\n';
    RC_ASSERT(firstViolation(Report) == "");
  }));
}

TEST(InAnyOrderOfEventsAndFaults, EvenWhenRecordsAreForgottenEarly) {
  CHECK(rc::check("with room for few records", [] {
    const uint64_t Seed = anySeed();
    const WorldReport Report = World(crowdedWorld(Seed)).run();
    RC_LOG() << "world seed " << Seed << '\n';
    RC_ASSERT(firstViolation(Report) == "");
  }));
}

TEST(InAnyOrderOfEventsAndFaults, EvenWhenTheTableServiceIsOutForMinutes) {
  for (uint64_t World_ = 0; World_ < 20; ++World_) {
    const WorldReport Report = World({.Seed_ = baseSeed() + World_,
                                      .Jobs_ = 60,
                                      .Arrivals_ = Milliseconds{120'000},
                                      .Length_ = Milliseconds{130'000},
                                      .Outages_ = 2,
                                      .LongestOutage_ = Milliseconds{180'000}})
                                   .run();
    STRCMP_EQUAL("", firstViolation(Report).c_str());
    CHECK(Report.Starts_ > 0);
  }
}

TEST_GROUP(APlantedMistakeIsCaught){};

TEST(APlantedMistakeIsCaught, StartingWithoutAClaim) {
  checkCaught("StartWithoutClaim", Plant::StartWithoutClaim);
}
TEST(APlantedMistakeIsCaught, TakingAClaimWithoutAnswerForHeld) {
  checkCaught("AssumeLostClaimHeld", Plant::AssumeLostClaimHeld);
}
TEST(APlantedMistakeIsCaught, StartingInAnOutage) {
  checkCaught("AssumeHeldInOutage", Plant::AssumeHeldInOutage);
}
TEST(APlantedMistakeIsCaught, TakingOverFromAnUnreachableHolder) {
  checkCaught("TakeOverClaim", Plant::TakeOverClaim);
}
TEST(APlantedMistakeIsCaught, OverwritingAClaim) {
  checkCaught("OverwriteClaim", Plant::OverwriteClaim);
}
TEST(APlantedMistakeIsCaught, TrustingTheRowOfAForgottenRecord) {
  checkCaught("IgnoreNonce", Plant::IgnoreNonce, crowdedWorld(1));
}
TEST(APlantedMistakeIsCaught, ReusingAnIncarnation) {
  checkCaught("ReuseIncarnation", Plant::ReuseIncarnation);
}
TEST(APlantedMistakeIsCaught, SendingALostTaskAgain) {
  checkCaught("RetryLostTask", Plant::RetryLostTask);
}
TEST(APlantedMistakeIsCaught, CrossingAnswers) {
  checkCaught("CrossAnswers", Plant::CrossAnswers);
}
TEST(APlantedMistakeIsCaught, CallingEveryFailureNotRun) {
  checkCaught("SayNotRun", Plant::SayNotRun);
}

int main(int Count, char **Arguments) {
  return runTests(Count, Arguments, 300);
}
