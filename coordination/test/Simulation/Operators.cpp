#include "InstanceSimulationChecks.h"

using namespace marjorambend;
using namespace marjorambend::test;
using namespace marjorambend::literals;

namespace {

/// \brief Operators drain workers during outages of the table service.
InstanceSimulationOptions withDrains(uint64_t Seed) {
  return {.Seed_ = Seed,
          .Jobs_ = 80,
          .ArrivalPeriod_ = 7'000_ms,
          .Duration_ = 12'000_ms,
          .Kills_ = 1,
          .Pauses_ = 0,
          .Partitions_ = 0,
          .StoreOutages_ = 6,
          .Drains_ = 2};
}

/// \brief Operators submit catalogues concurrently during faults.
InstanceSimulationOptions withCatalogueWrites(uint64_t Seed) {
  return {.Seed_ = Seed,
          .Jobs_ = 4,
          .Duration_ = 16'000_ms,
          .StoreOutages_ = 2,
          .CatalogueWrites_ = 12};
}

/// \brief Planned stops while jobs run.
InstanceSimulationOptions withPlannedStops(uint64_t Seed) {
  return {
      .Seed_ = Seed, .Jobs_ = 40, .Kills_ = 0, .Partitions_ = 1, .Stops_ = 3};
}

} // namespace

TEST_GROUP(ADrainedWorker){};

TEST(ADrainedWorker, GetsNoNewWorkAfterThreeSecondsEvenWithoutTheService) {
  CHECK(rc::check("drains reach every instance", [] {
    const uint64_t Seed = randomSeed();
    const InstanceSimulationReport Report =
        InstanceSimulation(withDrains(Seed)).run();
    RC_LOG() << "simulation seed " << Seed << '\n';
    RC_ASSERT(firstViolation(Report) == "");
  }));
}

// In these seeds the instance that took the drain order was killed 41 ms and 3
// ms later, during an outage of the table service and before any other instance
// had received the order.
TEST(ADrainedWorker, MayGetWorkWhenTheOrderEndedWithItsOnlyInstance) {
  for (const uint64_t Seed : {145327514733310116U, 1874835951672821951U})
    STRCMP_EQUAL(
        "", firstViolation(InstanceSimulation(withDrains(Seed)).run()).c_str());
}

TEST(ADrainedWorker, PlantedMistakesAreCaught) {
  checkBugIsDetected("DropDrainUpdates", InjectedBug::DropDrainUpdates,
                     withDrains(1));
}

TEST_GROUP(TheCatalogueUnderRacesAndFaults){};

TEST(TheCatalogueUnderRacesAndFaults, HasOneWinnerNeverRevertsAndIsInForce) {
  CHECK(rc::check(
      "an accepted catalogue is in force within 9 s and never reverts", [] {
        const uint64_t Seed = randomSeed();
        const InstanceSimulationReport Report =
            InstanceSimulation(withCatalogueWrites(Seed)).run();
        RC_LOG() << "simulation seed " << Seed << '\n';
        RC_ASSERT(firstViolation(Report) == "");
      }));
}

TEST(TheCatalogueUnderRacesAndFaults, HasConcurrentWrites) {
  uint64_t Accepted = 0;
  uint64_t Refused = 0;
  for (uint64_t Seed = 1; Seed <= 50; ++Seed) {
    const InstanceSimulationReport Report =
        InstanceSimulation(withCatalogueWrites(Seed)).run();
    Accepted += Report.AcceptedWrites_;
    Refused += Report.RefusedWrites_;
  }
  CHECK(Accepted > 50);
  CHECK(Refused > 50);
}

TEST(TheCatalogueUnderRacesAndFaults, PlantedMistakesAreCaught) {
  checkBugIsDetected("AdoptOlderCatalogue", InjectedBug::AdoptOlderCatalogue,
                     withCatalogueWrites(1));
  checkBugIsDetected("AcceptLostWrites", InjectedBug::AcceptLostWrites,
                     withCatalogueWrites(1));
}

TEST_GROUP(APlannedStopUnderLoad){};

TEST(APlannedStopUnderLoad, AnswersEverySubmission) {
  CHECK(rc::check("every submission is answered before the end", [] {
    const uint64_t Seed = randomSeed();
    const InstanceSimulationReport Report =
        InstanceSimulation(withPlannedStops(Seed)).run();
    RC_LOG() << "simulation seed " << Seed << '\n';
    RC_ASSERT(firstViolation(Report) == "");
  }));
}

TEST(APlannedStopUnderLoad, Terminates) {
  uint64_t Stops = 0;
  for (uint64_t Seed = 1; Seed <= 50; ++Seed)
    Stops += InstanceSimulation(withPlannedStops(Seed)).run().StopsDone_;
  CHECK(Stops > 50);
}

TEST(APlannedStopUnderLoad, PlantedMistakesAreCaught) {
  checkBugIsDetected("StopImmediately", InjectedBug::StopImmediately,
                     withPlannedStops(1));
}
