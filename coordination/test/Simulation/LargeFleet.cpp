/// \file
/// \brief The users' large deployment: 147 instances of three sizes in five
/// data centres, 1,100 workers.

#include "TestMain.h"

#include "Simulation/FleetSimulation.h"

using namespace marjorambend;
using namespace marjorambend::test;

static constexpr uint32_t StrongPerDataCentre =
    3; ///< Strong instances in each data centre.

static FleetSimulationOptions largeFleet(uint64_t Seed) {
  std::vector<uint32_t> CpuShares(StrongPerDataCentre, 500);
  CpuShares.resize(StrongPerDataCentre + 7, 300);
  CpuShares.resize(29, 90);
  return {.Seed_ = Seed,
          .DataCentres_ = 5,
          .InstancesPerDataCentre_ = 29,
          .WorkersPerDataCentre_ = 220,
          .CpuShares_ = CpuShares};
}

TEST_GROUP(ALargeFleet){};

TEST(ALargeFleet, ServesTheStatedLoad) {
  FleetSimulationOptions Options = largeFleet(1);
  // The stated rates are nine times those of the nine-instance deployment.
  Options.Kinds_ = agenciaKinds(9);
  Options.LoadUntil_ = {8'000};
  Options.Duration_ = {12'000};
  const FleetSimulationResult Result = FleetSimulation(Options).run();
  CHECK(Result.Violations_.empty());
  CHECK(Result.WorthShare_ > 0.95);
  // The stated bound for rejected starts is 1% of all starts.
  CHECK(Result.RejectedStarts_ * 100 < Result.Starts_);
}

// The stated bound for messages is 6 KB per second. A heartbeat takes 124 bytes
// with its headers.
TEST(ALargeFleet, SendsFewMessagesToWeakInstancesWhileIdle) {
  constexpr int64_t Duration = 8'000;
  FleetSimulationOptions Options = largeFleet(2);
  Options.LoadUntil_ = Options.LoadFrom_;
  Options.Duration_ = {Duration};
  const FleetSimulationResult Result = FleetSimulation(Options).run();
  for (uint32_t Centre = 0; Centre < Options.DataCentres_; ++Centre) {
    for (uint32_t Index = StrongPerDataCentre;
         Index < Options.InstancesPerDataCentre_; ++Index) {
      const uint64_t Messages = Result.Messages_.at(
          "dc" + std::to_string(Centre) + "-i" + std::to_string(Index));
      CHECK(Messages * 124 * 1'000 / Duration < 6'000);
    }
  }
}

TEST(ALargeFleet, KeepsItsPromisesWhileCoordinatorsAreLost) {
  FleetSimulationOptions Options = largeFleet(3);
  Options.Kinds_ = agenciaKinds(3);
  Options.LoadUntil_ = {4'500};
  Options.Duration_ = {8'000};
  Options.Kills_ = 10;
  Options.PowerLosses_ = 10;
  Options.ZonePartitions_ = 1;
  Options.LoseAnswer_ = 0.02;
  const FleetSimulationResult Result = FleetSimulation(Options).run();
  for (const std::string &One : Result.Violations_)
    UT_PRINT(One.c_str());
  CHECK(Result.Violations_.empty());
}
