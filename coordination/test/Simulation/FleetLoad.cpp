/// \file
/// \brief Simulates the users' load in virtual time and prints the outcomes of
/// the jobs by kind.

#include "Simulation/FleetSimulation.h"

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

// Usage: fleet_load [SEED [LENGTH_MS [latest_start|least_cost]]]
int main(int Count, char **Arguments) {
  const uint64_t Seed =
      Count > 1 ? std::strtoull(Arguments[1], nullptr, 10) : 1;
  const int64_t Duration =
      Count > 2 ? std::strtoll(Arguments[2], nullptr, 10) : 15'000;
  const auto Policy = Count > 3 && std::string(Arguments[3]) == "least_cost"
                          ? AdmissionPolicy::LeastCost
                          : AdmissionPolicy::LatestStart;
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
