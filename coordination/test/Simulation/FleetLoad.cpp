/// \file
/// \brief Simulates the users' load in virtual time and prints the outcomes of
/// the jobs by kind.

#include "Simulation/FleetSimulation.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>

using namespace marjorambend;
using namespace marjorambend::test;

static void printResult(const char *Name, double Load,
                        const FleetSimulationResult &Result) {
  std::printf("%-8s load %.2f worth %.3f starts %llu rejected %llu", Name, Load,
              Result.WorthShare_,
              static_cast<unsigned long long>(Result.Starts_),
              static_cast<unsigned long long>(Result.RejectedStarts_));
  for (const auto &[Kind, Got] : Result.Kinds_)
    std::printf(" | %s %.3f refused %llu late %llu unserved %llu of %llu",
                Kind.c_str(), Got.WorthEarned_ / Got.WorthAsked_,
                static_cast<unsigned long long>(Got.Refused_),
                static_cast<unsigned long long>(Got.Late_),
                static_cast<unsigned long long>(Got.Unserved_),
                static_cast<unsigned long long>(Got.Asked_));
  std::printf("\n");
}

// Fleets of unequal workers and the load of the two deployments per 48 workers;
// at load 1 it takes about 0.65 of the capacity of workers of speed 1.
static FleetSimulationOptions unevenFleet(const std::string &Shape, double Load,
                                          uint64_t Seed, int64_t Duration) {
  const bool IsSwinging = Shape.starts_with("swinging");
  const bool IsSpiky = Shape.ends_with("spiky");
  FleetSimulationOptions Options{.Seed_ = Seed,
                                 .Kinds_ = agenciaKinds(1.0),
                                 .LoadUntil_ = {3'000 + Duration},
                                 .Duration_ = {3'000 + Duration + 20'000}};
  const std::array<double, 3> Rates = IsSwinging
                                          ? std::array{181.0, 33.0, 529.0}
                                          : std::array{206.0, 37.5, 600.0};
  const std::array<double, 3> RunTimes = IsSwinging
                                             ? std::array{51.0, 760.0, 170.0}
                                             : std::array{60.0, 900.0, 200.0};
  for (std::size_t Index = 0; Index < Rates.size(); ++Index) {
    LoadKind &Kind = Options.Kinds_[Index];
    Kind.PerSecond_ = Load * Rates[Index] * 48 / 350;
    Kind.MeanRunTime_ = RunTimes[Index];
    Kind.MaxRunTime_ = 4 * RunTimes[Index];
    Kind.MeanMilliCores_ = 32'000;
  }
  if (IsSwinging) {
    Options.DataCentres_ = 8;
    Options.WorkersPerDataCentre_ = 6;
    Options.WorkerSpeeds_ = {1 / 1.3, 1.0, 1.0};
    Options.DataCentreSwing_ = 0.55;
    Options.LongTaskShare_ = 0.03;
  } else {
    Options.WorkerSpeeds_ = {2.0, 1.0, 1.0, 1.0};
  }
  // Half a second in two of three times the load, for which free fast workers
  // could be kept.
  for (int64_t At = 4'000; IsSpiky && At < 3'000 + Duration; At += 2'000)
    Options.Peaks_.push_back({{At}, {At + 500}, 3.0, ""});
  return Options;
}

static void compareOnUnevenFleets(const std::string &Shape,
                                  AdmissionPolicy Policy, uint64_t Seed,
                                  int64_t Duration, uint32_t Racks) {
  for (const double Load : {1.0, 1.43, 1.8, 2.2, 2.6}) {
    FleetSimulationOptions Options = unevenFleet(Shape, Load, Seed, Duration);
    Options.Placer_.Overload_.Policy_ = Policy;
    if (Racks > 0) {
      Options.DataRacks_ = Racks;
      Options.RemoteFactor_ = Options.Placer_.RemoteFactor_;
    }
    printResult("fastest", Load, FleetSimulation(Options).run());
    Options.Placer_.WaitsForData_ = true;
    printResult("waiting", Load, FleetSimulation(Options).run());
  }
}

// Usage: fleet_load [SEED [LENGTH_MS [POLICY [SHAPE [RACKS]]]]]; the policies
// are "latest_start" and "least_cost". The shapes are "quarter", a fleet with a
// quarter of fast workers, and "swinging", one of slow and of large workers
// whose demand swings between data centres; with the suffix "-spiky", the load
// peaks.
int main(int Count, char **Arguments) {
  const uint64_t Seed =
      Count > 1 ? std::strtoull(Arguments[1], nullptr, 10) : 1;
  const int64_t Duration =
      Count > 2 ? std::strtoll(Arguments[2], nullptr, 10) : 15'000;
  const std::string PolicyName = Count > 3 ? Arguments[3] : "latest_start";
  if (PolicyName != "latest_start" && PolicyName != "least_cost") {
    std::fprintf(stderr, "fleet_load: %s is not a policy\n",
                 PolicyName.c_str());
    return 2;
  }
  const auto Policy = PolicyName == "least_cost" ? AdmissionPolicy::LeastCost
                                                 : AdmissionPolicy::LatestStart;
  if (Count > 4) {
    compareOnUnevenFleets(
        Arguments[4], Policy, Seed, Duration,
        Count > 5 ? static_cast<uint32_t>(std::atoi(Arguments[5])) : 0);
    return 0;
  }
  for (const double Load : {0.65, 1.1, 1.43, 1.8, 2.6, 4.0}) {
    FleetSimulationOptions Options{.Seed_ = Seed,
                                   .Kinds_ = agenciaKinds(Load),
                                   .LoadUntil_ = {3'000 + Duration},
                                   .Duration_ = {3'000 + Duration + 20'000}};
    Options.Placer_.Overload_.Policy_ = Policy;
    printResult("steady", Load, FleetSimulation(Options).run());
  }
  FleetSimulationOptions Burst{.Seed_ = Seed,
                               .Kinds_ = agenciaKinds(0.9),
                               .Peaks_ = {{{6'000}, {10'000}, 2.0, "certpeso"}},
                               .LoadUntil_ = {3'000 + Duration},
                               .Duration_ = {3'000 + Duration + 20'000}};
  Burst.Placer_.Overload_.Policy_ = Policy;
  printResult("burst", 0.9, FleetSimulation(Burst).run());
}
