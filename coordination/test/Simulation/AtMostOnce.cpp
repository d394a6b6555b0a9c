#include "InstanceSimulationChecks.h"

using namespace marjorambend;
using namespace marjorambend::test;

namespace {

/// \brief Instances keep few records, so that these are evicted early.
InstanceSimulationOptions withFewRecords(uint64_t Seed) {
  return {.Seed_ = Seed, .Jobs_ = 60, .MaxRecords_ = 10};
}

} // namespace

TEST_GROUP(WithoutFaults){};

TEST(WithoutFaults, EverySubmissionIsAnsweredComplete) {
  uint64_t Submissions = 0;
  uint64_t Complete = 0;
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    const InstanceSimulationReport Report =
        InstanceSimulation(noFaults(Seed)).run();
    STRCMP_EQUAL("", firstViolation(Report).c_str());
    Submissions += Report.Submissions_;
    Complete += Report.Complete_;
  }
  CHECK(Submissions > 500);
  // A job with a deadline of 0.5 s may time out in the queue.
  CHECK(Complete * 100 >= Submissions * 95);
}

TEST_GROUP(InAnyOrderOfEventsAndFaults){};

TEST(InAnyOrderOfEventsAndFaults, NoTaskStartsTwiceAndNoAnswerIsFalse) {
  CHECK(rc::check(
      "at most one start per task, complete answers, correct refusals", [] {
        const uint64_t Seed = randomSeed();
        const InstanceSimulationReport Report =
            InstanceSimulation({.Seed_ = Seed}).run();
        RC_LOG() << "simulation seed " << Seed << '\n';
        RC_ASSERT(firstViolation(Report) == "");
      }));
}

TEST(InAnyOrderOfEventsAndFaults, EvenWhenRecordsAreForgottenEarly) {
  CHECK(rc::check("guarantees hold when records are evicted early", [] {
    const uint64_t Seed = randomSeed();
    const InstanceSimulationReport Report =
        InstanceSimulation(withFewRecords(Seed)).run();
    RC_LOG() << "simulation seed " << Seed << '\n';
    RC_ASSERT(firstViolation(Report) == "");
  }));
}

TEST(InAnyOrderOfEventsAndFaults, EvenWhenTheTableServiceIsOutForMinutes) {
  for (uint64_t SeedOffset = 0; SeedOffset < 20; ++SeedOffset) {
    const InstanceSimulationReport Report =
        InstanceSimulation({.Seed_ = baseSeed() + SeedOffset,
                            .Jobs_ = 60,
                            .ArrivalPeriod_ = Milliseconds{120'000},
                            .Duration_ = Milliseconds{130'000},
                            .StoreOutages_ = 2,
                            .MaxOutage_ = Milliseconds{180'000}})
            .run();
    STRCMP_EQUAL("", firstViolation(Report).c_str());
    CHECK(Report.Starts_ > 0);
  }
}

TEST_GROUP(AnInjectedBugIsDetected){};

TEST(AnInjectedBugIsDetected, StartingWithoutAClaim) {
  checkBugIsDetected("StartWithoutClaim", InjectedBug::StartWithoutClaim);
}
TEST(AnInjectedBugIsDetected, AssumingAnUnansweredClaimIsHeld) {
  checkBugIsDetected("AssumeUnansweredClaimHeld",
                     InjectedBug::AssumeUnansweredClaimHeld);
}
TEST(AnInjectedBugIsDetected, StartingInAnOutage) {
  checkBugIsDetected("AssumeHeldInOutage", InjectedBug::AssumeHeldInOutage);
}
TEST(AnInjectedBugIsDetected, TakingOverFromAnUnreachableHolder) {
  checkBugIsDetected("TakeOverClaim", InjectedBug::TakeOverClaim);
}
TEST(AnInjectedBugIsDetected, OverwritingAClaim) {
  checkBugIsDetected("OverwriteClaim", InjectedBug::OverwriteClaim);
}
TEST(AnInjectedBugIsDetected, TrustingTheRowOfAForgottenRecord) {
  checkBugIsDetected("IgnoreNonce", InjectedBug::IgnoreNonce,
                     withFewRecords(1));
}
TEST(AnInjectedBugIsDetected, ReusingAnIncarnation) {
  checkBugIsDetected("ReuseIncarnation", InjectedBug::ReuseIncarnation);
}
TEST(AnInjectedBugIsDetected, SendingALostTaskAgain) {
  checkBugIsDetected("RetryLostTask", InjectedBug::RetryLostTask);
}
TEST(AnInjectedBugIsDetected, SwappingAnswers) {
  checkBugIsDetected("SwapAnswers", InjectedBug::SwapAnswers);
}
TEST(AnInjectedBugIsDetected, ReportingEveryFailureAsNotRun) {
  checkBugIsDetected("ReportAllAsNotRun", InjectedBug::ReportAllAsNotRun);
}

int main(int Count, char **Arguments) {
  return runTests(Count, Arguments, 300);
}
