#include "TestMain.h"

#include <marjorambend/Routing>

using namespace marjorambend;
using namespace marjorambend::literals;

TEST_GROUP(Routing_) {
  WorkerTable Table_;
  RoutingOptions Options_;
  Random Generator_{3};

  void setup() override { list(5); }
  void list(int Count) {
    std::vector<WorkerSpec> Listed;
    for (int Index = 0; Index < Count; ++Index)
      Listed.push_back({.Name_ = "w" + std::to_string(Index), .Slots_ = 2});
    updateWorkers(Table_, Listed);
  }
  std::optional<uint32_t> choose(Milliseconds Now = 0_ms) {
    return chooseWorker(Table_, Options_, 100, 1, Generator_, Now);
  }
  void fail(uint32_t Index, int Times, Milliseconds Now = 0_ms,
            double Rate = 1.0) {
    for (int Time = 0; Time < Times; ++Time)
      recordFailure(Table_, Options_, Index, Rate, Now);
  }
};

TEST(Routing_, TakesTheFastestWorkerWithAFreeSlot) {
  Table_.Workers_[3].Speed_.Slowness_ = 0.5;
  CHECK_EQUAL(3, *choose());
  Table_.Workers_[3].Outstanding_ = 2;
  CHECK(choose() != 3);
}

TEST(Routing_, WaitsRatherThanOverfillOrUseAMuchSlowerWorker) {
  for (Worker &Each : Table_.Workers_)
    Each.Outstanding_ = 2;
  CHECK_FALSE(choose().has_value());
  Table_.Workers_[4].Outstanding_ = 0;
  Table_.Workers_[4].Speed_.Slowness_ = 10;
  CHECK_FALSE(choose().has_value());
}

TEST(Routing_, SkipsLeavingDrainedAndUnlistedWorkers) {
  Table_.Workers_[0].IsDrained_ = true;
  Table_.Workers_[1].LeavingUntil_ = 60'000_ms;
  Table_.Workers_[2].Spec_.Leaving_ = true;
  list(4);
  Table_.Workers_[2].Spec_.Leaving_ = true;
  for (int Time = 0; Time < 10; ++Time)
    CHECK_EQUAL(3, *choose());
}

TEST(Routing_, EjectsAWorkerThatFailsEverythingAndProbesIt) {
  fail(0, 5);
  CHECK_FALSE(isEligible(Table_.Workers_[0], 1'999_ms));
  CHECK_TRUE(isEligible(Table_.Workers_[0], 2'000_ms));
  Table_.Workers_[0].Outstanding_ = 1;
  CHECK_FALSE(isEligible(Table_.Workers_[0], 2'000_ms));
  Table_.Workers_[0].Outstanding_ = 0;
  fail(0, 1, 2'000_ms);
  CHECK_FALSE(isEligible(Table_.Workers_[0], 5'999_ms));
  recordSuccess(Table_, 0);
  CHECK_EQUAL(0, Table_.Workers_[0].Ejections_);
}

TEST(Routing_, LimitsTheShareOfEjectedWorkers) {
  for (uint32_t Index = 0; Index < 5; ++Index)
    fail(Index, 20);
  int Ejected = 0;
  for (const Worker &Each : Table_.Workers_)
    Ejected += isEligible(Each, 0_ms) ? 0 : 1;
  CHECK_EQUAL(1, Ejected);
}

TEST(Routing_, DoesNotEjectAWorkerForAKindThatFailsEverywhere) {
  fail(0, 50, 0_ms, 0.1);
  CHECK_TRUE(isEligible(Table_.Workers_[0], 0_ms));
}

TEST(Routing_, LowersAndRaisesTheConcurrencyLimit) {
  Worker &Full = Table_.Workers_[0];
  Full.Outstanding_ = 1;
  lowerConcurrencyLimit(Full);
  CHECK_EQUAL(1, slotLimit(Full));
  recordSuccess(Table_, 0);
  CHECK_EQUAL(2, slotLimit(Full));
}

TEST_GROUP(Estimation) {
  Estimator Learned_;
  RoutingOptions Options_;
};

TEST(Estimation, LearnsRunTimesDespiteAWrongHint) {
  SpeedEstimate Fast;
  SpeedEstimate Slow;
  for (int Time = 0; Time < 300; ++Time) {
    observeRun(Learned_, Options_, "kind", Fast, 50_ms);
    observeRun(Learned_, Options_, "kind", Slow, 200_ms);
  }
  const double Kind = expectedRunMs(Learned_, "kind", 5'000_ms);
  CHECK(Kind * Fast.Slowness_ > 45 && Kind * Fast.Slowness_ < 55);
  CHECK(Kind * Slow.Slowness_ > 180 && Kind * Slow.Slowness_ < 220);
}

TEST(Estimation, LimitsTheEffectOfAnOutlier) {
  SpeedEstimate Speed;
  for (int Time = 0; Time < 50; ++Time)
    observeRun(Learned_, Options_, "kind", Speed, 100_ms);
  observeRun(Learned_, Options_, "kind", Speed, 100'000_ms);
  CHECK(expectedRunMs(Learned_, "kind", 1_ms) < 140);
}
