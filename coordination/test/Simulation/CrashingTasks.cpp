#include "TestMain.h"

#include "Simulation/FleetSimulation.h"

#include <cstdio>

using namespace marjorambend;
using namespace marjorambend::test;

/// A low load of patient callers; some jobs crash the workers that start them.
static FleetSimulationOptions crashesAlone(uint64_t Seed) {
  FleetSimulationOptions Options{.Seed_ = Seed,
                                 .InstancesPerDataCentre_ = 2,
                                 .WorkersPerDataCentre_ = 6,
                                 .Kinds_ = agenciaKinds(0.1),
                                 .LoadUntil_ = {5'000},
                                 .Duration_ = {26'000},
                                 .FailRun_ = 0,
                                 .CallerAttempts_ = 2};
  Options.Crashes_ = {.CrashingJobs_ = 0.1,
                      .MaxCrashingJobs_ = 2,
                      .RacksPerDataCentre_ = 2,
                      .MinCallerTimeout_ = {8'000},
                      .MaxCallerTimeout_ = {9'000},
                      .IsOnlyFault_ = true};
  return Options;
}

/// Callers that leave before a second crash, and ask again whatever the answer.
static FleetSimulationOptions resubmissions(uint64_t Seed) {
  FleetSimulationOptions Options = crashesAlone(Seed);
  Options.CallerAttempts_ = 6;
  Options.Crashes_.MinCallerTimeout_ = {1'500};
  Options.Crashes_.MaxCallerTimeout_ = {3'000};
  Options.Crashes_.ResubmitsAlways_ = true;
  return Options;
}

static FleetSimulationOptions crashesAmongFaults(uint64_t Seed) {
  FleetSimulationOptions Options = crashesAlone(Seed);
  Options.CallerAttempts_ = 4;
  Options.Crashes_.ResubmitsAlways_ = true;
  Options.Crashes_.IsOnlyFault_ = false;
  return Options;
}

static FleetSimulationOptions killedHolders(uint64_t Seed) {
  FleetSimulationOptions Options = crashesAmongFaults(Seed);
  Options.Crashes_.KillHolderAfter_ = 2;
  return Options;
}

static FleetSimulationOptions restartedInstances(uint64_t Seed) {
  FleetSimulationOptions Options = crashesAmongFaults(Seed);
  Options.Crashes_.RestartAllButOneAfter_ = 2;
  return Options;
}

static FleetSimulationOptions lateStarts(uint64_t Seed) {
  FleetSimulationOptions Options = crashesAmongFaults(Seed);
  Options.Crashes_.DelayStart_ = 0.5;
  return Options;
}

/// Small tasks, of which many share a worker.
static FleetSimulationOptions sharedWorkers(uint64_t Seed) {
  FleetSimulationOptions Options = crashesAlone(Seed);
  Options.Kinds_ = agenciaKinds(0.3);
  for (LoadKind &Kind : Options.Kinds_)
    Kind.MeanMilliCores_ = 8'000;
  Options.Crashes_.CrashingJobs_ = 0.05;
  Options.Crashes_.MaxCrashingJobs_ = 3;
  return Options;
}

static FleetSimulationOptions anyFaults(uint64_t Seed) {
  FleetSimulationOptions Options = crashesAmongFaults(Seed);
  auto UpTo = [Generator =
                   Random(Seed ^ 0x9E3779B97F4A7C15ULL)](uint64_t Max) mutable {
    return static_cast<uint32_t>(uniformBelow(Generator, Max + 1));
  };
  Options.Kills_ = UpTo(3);
  Options.PowerLosses_ = UpTo(2);
  Options.Freezes_ = UpTo(2);
  Options.Stops_ = UpTo(2);
  Options.Partitions_ = UpTo(3);
  Options.ZonePartitions_ = UpTo(1);
  Options.WorkerPartitions_ = UpTo(4);
  Options.WorkerCrashes_ = UpTo(2);
  Options.Drains_ = UpTo(1);
  Options.ListOutages_ = UpTo(1);
  Options.DelayOrder_ = 0.02 * UpTo(3);
  Options.LoseAnswer_ = 0.02 * UpTo(2);
  Options.Crashes_.KillHolderAfter_ = UpTo(3);
  Options.Crashes_.RestartAllButOneAfter_ = UpTo(3);
  Options.Crashes_.DelayStart_ = 0.2 * UpTo(2);
  return Options;
}

/// Long tasks on racks that crash one after the other.
static FleetSimulationOptions rackCrashes(uint64_t Seed) {
  FleetSimulationOptions Options = crashesAlone(Seed);
  Options.Kinds_ = agenciaKinds(0.2);
  for (LoadKind &Kind : Options.Kinds_)
    Kind.MeanRunTime_ = Kind.MaxRunTime_ = 1'000;
  Options.Crashes_.CrashingJobs_ = 0;
  Options.Crashes_.RackCrashes_ = 2;
  return Options;
}

using OptionsMaker = FleetSimulationOptions (*)(uint64_t Seed);

static const std::map<std::string, OptionsMaker> Scenarios{
    {"alone", crashesAlone},    {"resubmissions", resubmissions},
    {"holders", killedHolders}, {"restarts", restartedInstances},
    {"late", lateStarts},       {"shared", sharedWorkers},
    {"any", anyFaults},         {"racks", rackCrashes}};

static std::string violationsIn(const FleetSimulationOptions &Options) {
  std::string Text;
  for (const std::string &Line : FleetSimulation(Options).run().Violations_)
    Text += Line + '\n';
  return Text;
}

static void checkScenario(const std::string &Name) {
  const OptionsMaker MakeOptions = Scenarios.at(Name);
  CHECK(rc::check(Name, [MakeOptions] {
    const auto Seed = *rc::gen::noShrink(
        rc::gen::resize(100, rc::gen::arbitrary<uint64_t>()));
    const std::string Violations = violationsIn(MakeOptions(Seed));
    if (!Violations.empty())
      RC_FAIL("seed " + std::to_string(Seed) + ": " + Violations);
  }));
}

TEST_GROUP(TasksThatCrashWorkers_){};

TEST(TasksThatCrashWorkers_, AreGivenUpAfterTwoCrashes) {
  checkScenario("alone");
}

TEST(TasksThatCrashWorkers_, StayGivenUpWhenResubmitted) {
  checkScenario("resubmissions");
}

TEST(TasksThatCrashWorkers_, StayGivenUpAfterTheirHolderIsKilled) {
  checkScenario("holders");
}

TEST(TasksThatCrashWorkers_, StayGivenUpAfterAllInstancesButOneRestart) {
  checkScenario("restarts");
}

TEST(TasksThatCrashWorkers_, StayGivenUpWhenTheirStartIsCarriedOutLate) {
  checkScenario("late");
}

TEST(TasksThatCrashWorkers_, StayGivenUpUnderAnyFaults) {
  checkScenario("any");
}

TEST(TasksThatCrashWorkers_, DoNotTakeInnocentTasksWithThem) {
  checkScenario("shared");
}

TEST(TasksThatCrashWorkers_, AreFoundWhenCrashesAreNotCounted) {
  for (const char *Name :
       {"alone", "resubmissions", "holders", "restarts", "late", "any"}) {
    bool IsDetected = false;
    for (uint64_t Seed = 1; Seed <= 10 && !IsDetected; ++Seed) {
      FleetSimulationOptions Options = Scenarios.at(Name)(Seed);
      Options.InjectedBug_ = InjectedFleetBug::IgnoreCrashes;
      IsDetected = !violationsIn(Options).empty();
    }
    CHECK(IsDetected);
  }
}

TEST_GROUP(ARackThatDies_){};

TEST(ARackThatDies_, DoesNotCondemnItsTasks) { checkScenario("racks"); }

// One simulation by its seed, or with MARJORAMBEND_COUNT that many from it on,
// with the starts of each crashing task.
TEST(TasksThatCrashWorkers_, OneWorldBySeed) {
  const char *Scenario = std::getenv("MARJORAMBEND_SCENARIO");
  const char *First = std::getenv("MARJORAMBEND_WORLD");
  if (Scenario == nullptr || First == nullptr)
    return;
  const char *Count = std::getenv("MARJORAMBEND_COUNT");
  const uint64_t From = std::strtoull(First, nullptr, 10);
  const uint64_t Until =
      From + (Count == nullptr ? 1 : std::strtoull(Count, nullptr, 10));
  uint64_t Failed = 0;
  for (uint64_t Seed = From; Seed < Until; ++Seed) {
    const FleetSimulationResult Result =
        FleetSimulation(Scenarios.at(Scenario)(Seed)).run();
    for (const auto &[Job, Task] : Result.CrashingTasks_)
      std::printf("seed %llu job %016llx starts %u crashes %u workers %zu "
                  "after the third crash %u failed %d\n",
                  static_cast<unsigned long long>(Seed),
                  static_cast<unsigned long long>(Job), Task.Starts_,
                  Task.Crashes_, Task.CrashedWorkers_.size(),
                  Task.StartsAfterThirdCrash_, Task.FailedAt_ ? 1 : 0);
    for (const std::string &Line : Result.Violations_)
      std::printf("seed %llu: %s\n", static_cast<unsigned long long>(Seed),
                  Line.c_str());
    Failed += Result.Violations_.empty() ? 0 : 1;
  }
  std::printf("%llu of %llu simulations violate a check\n",
              static_cast<unsigned long long>(Failed),
              static_cast<unsigned long long>(Until - From));
  LONGS_EQUAL(0, Failed);
}

int main(int Count, char **Arguments) { return runTests(Count, Arguments, 20); }
