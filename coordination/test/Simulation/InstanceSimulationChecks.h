#ifndef MARJORAMBEND_TEST_SIMULATION_INSTANCESIMULATIONCHECKS_H
#define MARJORAMBEND_TEST_SIMULATION_INSTANCESIMULATIONCHECKS_H

#include "../TestMain.h"
#include "InstanceSimulation.h"

namespace marjorambend::test {

/// \brief Simulations in which an injected bug must be detected.
inline constexpr uint64_t MaxSimulations = 400;

/// \brief A seed drawn by RapidCheck. Call it within a property.
inline uint64_t randomSeed() {
  return *rc::gen::noShrink(rc::gen::inRange<uint64_t>(1, uint64_t{1} << 62U));
}

/// \brief The first violation of a simulation, or an empty text.
inline std::string firstViolation(const InstanceSimulationReport &Report) {
  return Report.Violations_.empty() ? std::string{}
                                    : Report.Violations_.front();
}

/// \brief Number of simulations up to the first with a violation, or nullopt.
inline std::optional<uint64_t>
simulationsUntilDetected(InstanceSimulationOptions Options) {
  for (uint64_t Tried = 0; Tried < MaxSimulations; ++Tried) {
    Options.Seed_ = baseSeed() + Tried;
    if (!InstanceSimulation(Options).run().Violations_.empty())
      return Tried + 1;
  }
  return std::nullopt;
}

/// \brief Checks that an injected bug is detected.
inline void checkBugIsDetected(const char *Name, InjectedBug Bug,
                               InstanceSimulationOptions Options = {}) {
  Options.InjectedBug_ = Bug;
  const auto Simulations = simulationsUntilDetected(Options);
  std::cout << "injected bug " << Name << ": "
            << (Simulations
                    ? "detected in simulation " + std::to_string(*Simulations)
                    : "not detected")
            << std::endl;
  CHECK_TRUE_TEXT(Simulations.has_value(), Name);
}

} // namespace marjorambend::test

#endif // MARJORAMBEND_TEST_SIMULATION_INSTANCESIMULATIONCHECKS_H
