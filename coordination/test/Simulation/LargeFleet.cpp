/// \file
/// \brief The users' large deployment: 147 instances of three sizes in five
/// data centres, 1,100 workers.

#include "TestMain.h"

#include "Simulation/FleetSimulation.h"

using namespace marjorambend;
using namespace marjorambend::test;

static constexpr uint32_t Strong = 3; ///< Of each data centre.

static FleetWorldOptions largeFleet(uint64_t Seed) {
  std::vector<uint32_t> CpuShares(Strong, 500);
  CpuShares.resize(Strong + 7, 300);
  CpuShares.resize(29, 90);
  return {.Seed_ = Seed,
          .DataCentres_ = 5,
          .InstancesEach_ = 29,
          .WorkersEach_ = 220,
          .CpuShares_ = CpuShares};
}

TEST_GROUP(ALargeFleet){};

TEST(ALargeFleet, ServesTheStatedLoad) {
  FleetWorldOptions Options = largeFleet(1);
  // The stated rates are nine times those of the deployment of nine instances.
  Options.Kinds_ = agenciaKinds(9);
  Options.LoadUntil_ = {8'000};
  Options.Length_ = {12'000};
  const FleetWorldResult Result = FleetWorld(Options).run();
  CHECK(Result.Violations_.empty());
  CHECK(Result.WorthShare_ > 0.95);
  // Of the starts, the stated bound for those that are rejected is 1%.
  CHECK(Result.RejectedStarts_ * 100 < Result.Starts_);
}

// The stated bound is 6 KB a second; a heartbeat takes 124 bytes with its
// headers.
TEST(ALargeFleet, TellsWeakInstancesLittleWhileItIsIdle) {
  constexpr int64_t Length = 8'000;
  FleetWorldOptions Options = largeFleet(2);
  Options.LoadUntil_ = Options.LoadFrom_;
  Options.Length_ = {Length};
  const FleetWorldResult Result = FleetWorld(Options).run();
  for (uint32_t Centre = 0; Centre < Options.DataCentres_; ++Centre) {
    for (uint32_t Index = Strong; Index < Options.InstancesEach_; ++Index) {
      const uint64_t Messages = Result.Messages_.at(
          "dc" + std::to_string(Centre) + "-i" + std::to_string(Index));
      CHECK(Messages * 124 * 1'000 / Length < 6'000);
    }
  }
}

TEST(ALargeFleet, KeepsItsPromisesWhileCoordinatorsAreLost) {
  FleetWorldOptions Options = largeFleet(3);
  Options.Kinds_ = agenciaKinds(3);
  Options.LoadUntil_ = {4'500};
  Options.Length_ = {8'000};
  Options.Kills_ = 10;
  Options.PowerLosses_ = 10;
  Options.ZoneCuts_ = 1;
  Options.LoseAnswer_ = 0.02;
  const FleetWorldResult Result = FleetWorld(Options).run();
  for (const std::string &One : Result.Violations_)
    UT_PRINT(One.c_str());
  CHECK(Result.Violations_.empty());
}
