#include "TestMain.h"

#include "Fleet/InstanceFixture.h"

using namespace marjorambend;
using namespace marjorambend::test;

static FleetOptions withPolicy(AdmissionPolicy Policy) {
  FleetOptions Options{.Name_ = "a", .DataCentre_ = "dc"};
  Options.Placer_.Overload_.Policy_ = Policy;
  return Options;
}

TEST_GROUP(APlacerThatAdmitsByLeastCost) {
  InstanceFixture Instance_{withPolicy(AdmissionPolicy::LeastCost)};
  InstanceFixture Today_{withPolicy(AdmissionPolicy::LatestStart)};

  static JobSubmission job(uint64_t Id, int64_t Estimate) {
    InstanceFixture Any;
    JobSubmission Job = Any.job(Id, Id);
    Job.Estimate_ = {Estimate};
    Job.CallerTimeout_ = {60'000};
    return Job;
  }
  // Two runs fill the worker.
  static void fill(InstanceFixture & Instance) {
    Instance.openWorker();
    Instance.handle(job(1, 1'000));
    Instance.handle(job(2, 1'000));
    Instance.listRuns({{1, 0, 1}, {2, 0, 1}});
    Instance.advance(100); // the summary of the fleet
  }
  static std::set<std::string> causes(const FleetActions &All) {
    std::set<std::string> Found;
    for (const LogDecision &Line : actionsOf<LogDecision>(All)) {
      for (const LogField &Field : Line.Fields_) {
        if (Line.What_ == "place_refused" && Field.first == "why")
          Found.insert(Field.second);
      }
    }
    return Found;
  }
};

// Load pattern: 2.6 times the load. Without admission, a job that fits only
// without those before it waits for its slack before it is refused.
TEST(APlacerThatAdmitsByLeastCost, RefusesInTheFirstReviewAndNamesTheCause) {
  fill(Instance_);
  Instance_.handle(job(3, 1'000));
  CHECK(causes(Instance_.advance(20)).empty()); // it is the first to wait
  for (uint64_t Id = 4; Id <= 9; ++Id)
    Instance_.handle(job(Id, 1'000));
  const FleetActions Actions = Instance_.advance(20);
  expectCount<AnswerJob>(6, Actions);
  CHECK(
      (causes(Actions) == std::set<std::string>{"others cost more to refuse"}));
  CHECK(renderMetrics(Instance_.State_, Instance_.Now_)
            .find("admission_core_seconds_total{priority=\"0\",result="
                  "\"refused\"} 162\n") != std::string::npos);
}

// A new job that needs less would otherwise take each core that becomes free,
// and the admitted one would start late.
TEST(APlacerThatAdmitsByLeastCost, KeepsFreeCoresFromUnreviewedJobs) {
  for (InstanceFixture *Instance : {&Instance_, &Today_}) {
    fill(*Instance);
    JobSubmission Wide = job(3, 1'000);
    Wide.Needs_.MilliCores_ = 40'000;
    Instance->handle(Wide);
    Instance->advance(20);
    Instance->handle(job(4, 100));
    const FleetActions Actions =
        Instance->listRuns({{2, 0, 1}}, {{1, {1, 0, 1}, RunEnd::Done}});
    expectCount<StartRun>(Instance == &Instance_ ? 0 : 1, Actions);
  }
}

// While cores are free, jobs that wait for something else delay no others.
TEST(APlacerThatAdmitsByLeastCost, DoesNotLetAJobWaitWhileTheFleetIsNotBusy) {
  Instance_.openWorker();
  JobSubmission Spread = job(1, 1'000);
  Spread.Tasks_ = 2;
  Spread.MaxPerWorker_ = 1;
  Instance_.handle(Spread);
  Instance_.advance(100);
  expectCount<StartRun>(1, Instance_.handle(job(2, 1'000)));
}
