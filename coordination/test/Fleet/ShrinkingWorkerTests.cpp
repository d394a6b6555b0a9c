#include "TestMain.h"

#include "Fleet/InstanceFixture.h"

using namespace marjorambend;
using namespace marjorambend::test;

TEST_GROUP(AWorkerThatShrinks) {
  InstanceFixture Instance_;
  void setup() override { Instance_.openWorker(); }

  FleetActions list(int64_t MilliCores) {
    WorkerReport Report = InstanceFixture::worker();
    Report.Capacity_.MilliCores_ = MilliCores;
    return Instance_.handle(WorkersRead{{Report}});
  }
  /// Submits a job of one task with 27 cores.
  FleetActions submit(uint64_t Id) {
    return Instance_.handle(Instance_.job(Id, Id));
  }
  /// A job whose objective is far enough that it can wait.
  JobSubmission patientJob(uint64_t Id) {
    JobSubmission Job = Instance_.job(Id, Id);
    Job.Estimate_ = {1'000};
    Job.CallerTimeout_ = {20'000};
    return Job;
  }
};

TEST(AWorkerThatShrinks, GetsNoStartBeyondTheListedCapacity) {
  expectCount<StartRun>(1, submit(7));
  list(40'000);
  expectCount<StartRun>(0, submit(8));
}

TEST(AWorkerThatShrinks, CountsWhatIsBeingStopped) {
  expectCount<StartRun>(1, submit(7));
  Instance_.answerStart(OrderResult::Accepted);
  list(40'000);
  expectCount<StopRun>(1, Instance_.handle(JobAbandoned{7}));
  expectCount<StartRun>(0, submit(8));
  const FleetActions Then =
      Instance_.listRuns({}, {{1, {7, 0, 1}, RunEnd::Stopped}});
  expectCount<StartRun>(1, Then);
}

TEST(AWorkerThatShrinks, GetsWhatWaitsOnceItGrows) {
  list(20'000);
  Instance_.handle(WorkersRead{{InstanceFixture::worker()}});
  list(30'000);
  expectCount<StartRun>(1, submit(7));
  expectCount<StartRun>(0, Instance_.handle(patientJob(8)));
  expectCount<StartRun>(1, list(64'000));
}

TEST(AWorkerThatShrinks, MayLoseAllCapacity) {
  list(0);
  expectCount<StartRun>(0, submit(7));
  expectCount<StartRun>(1, [this] {
    list(64'000);
    return submit(8);
  }());
}
