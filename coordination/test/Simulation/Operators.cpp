#include "InstanceSimulationChecks.h"

using namespace marjorambend;
using namespace marjorambend::test;
using namespace marjorambend::literals;

namespace {

/// \brief Drains while the table service is out for good.
WorldOptions drainWorld(uint64_t Seed) {
  return {.Seed_ = Seed,
          .Jobs_ = 80,
          .Arrivals_ = 7'000_ms,
          .Length_ = 12'000_ms,
          .Kills_ = 1,
          .Pauses_ = 0,
          .Cuts_ = 0,
          .Outages_ = 6,
          .Drains_ = 2};
}

/// \brief Operators race each other while everything fails.
WorldOptions operatorWorld(uint64_t Seed) {
  return {.Seed_ = Seed,
          .Jobs_ = 4,
          .Length_ = 16'000_ms,
          .Outages_ = 2,
          .Writes_ = 12};
}

/// \brief Instances are stopped on plan while jobs run.
WorldOptions stopWorld(uint64_t Seed) {
  return {.Seed_ = Seed, .Jobs_ = 40, .Kills_ = 0, .Cuts_ = 1, .Stops_ = 3};
}

} // namespace

TEST_GROUP(ADrainedWorker){};

TEST(ADrainedWorker, GetsNoNewWorkAfterThreeSecondsEvenWithoutTheService) {
  CHECK(rc::check("drains reach every instance", [] {
    const uint64_t Seed = anySeed();
    const WorldReport Report = World(drainWorld(Seed)).run();
    RC_LOG() << "world seed " << Seed << '\n';
    RC_ASSERT(firstViolation(Report) == "");
  }));
}

// The instance that took the order ended 41 and 3 ms later, before any message
// of it had arrived, and the table service was out.
TEST(ADrainedWorker, MayGetWorkWhenTheOrderEndedWithItsOnlyInstance) {
  for (const uint64_t Seed : {145327514733310116U, 1874835951672821951U})
    STRCMP_EQUAL("", firstViolation(World(drainWorld(Seed)).run()).c_str());
}

TEST(ADrainedWorker, PlantedMistakesAreCaught) {
  checkCaught("KeepDrainsToItself", Plant::KeepDrainsToItself, drainWorld(1));
}

TEST_GROUP(TheCatalogueUnderRacesAndFaults){};

TEST(TheCatalogueUnderRacesAndFaults, HasOneWinnerNeverRevertsAndIsInForce) {
  CHECK(rc::check("accepted is in force within 9 s and never reverts", [] {
    const uint64_t Seed = anySeed();
    const WorldReport Report = World(operatorWorld(Seed)).run();
    RC_LOG() << "world seed " << Seed << '\n';
    RC_ASSERT(firstViolation(Report) == "");
  }));
}

TEST(TheCatalogueUnderRacesAndFaults, IsReallyRacedFor) {
  uint64_t Accepted = 0;
  uint64_t Refused = 0;
  for (uint64_t Seed = 1; Seed <= 50; ++Seed) {
    const WorldReport Report = World(operatorWorld(Seed)).run();
    Accepted += Report.Accepted_;
    Refused += Report.Refused_;
  }
  CHECK(Accepted > 50);
  CHECK(Refused > 50);
}

TEST(TheCatalogueUnderRacesAndFaults, PlantedMistakesAreCaught) {
  checkCaught("StepBack", Plant::StepBack, operatorWorld(1));
  checkCaught("ClaimEveryWrite", Plant::ClaimEveryWrite, operatorWorld(1));
}

TEST_GROUP(APlannedStopUnderLoad){};

TEST(APlannedStopUnderLoad, CutsNothingOff) {
  CHECK(rc::check("every submission is answered before the end", [] {
    const uint64_t Seed = anySeed();
    const WorldReport Report = World(stopWorld(Seed)).run();
    RC_LOG() << "world seed " << Seed << '\n';
    RC_ASSERT(firstViolation(Report) == "");
  }));
}

TEST(APlannedStopUnderLoad, ReallyEnds) {
  uint64_t Stops = 0;
  for (uint64_t Seed = 1; Seed <= 50; ++Seed)
    Stops += World(stopWorld(Seed)).run().StopsDone_;
  CHECK(Stops > 50);
}

TEST(APlannedStopUnderLoad, PlantedMistakesAreCaught) {
  checkCaught("StopAtOnce", Plant::StopAtOnce, stopWorld(1));
}
