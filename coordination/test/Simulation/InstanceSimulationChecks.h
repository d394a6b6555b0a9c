#ifndef MARJORAMBEND_TEST_SIMULATION_INSTANCESIMULATIONCHECKS_H
#define MARJORAMBEND_TEST_SIMULATION_INSTANCESIMULATIONCHECKS_H

#include "../TestMain.h"
#include "InstanceSimulation.h"

namespace marjorambend::test {

/// \brief Most worlds in which a planted mistake may stay unseen.
inline constexpr uint64_t MostWorlds = 400;

/// \brief A seed drawn by RapidCheck; to be called within a property.
inline uint64_t anySeed() {
  return *rc::gen::noShrink(rc::gen::inRange<uint64_t>(1, uint64_t{1} << 62U));
}

/// \brief The first violation of a world, or an empty text.
inline std::string firstViolation(const WorldReport &Report) {
  return Report.Violations_.empty() ? std::string{}
                                    : Report.Violations_.front();
}

/// \brief Number of worlds until one shows a violation; nothing if none does.
inline std::optional<uint64_t> worldsUntilCaught(WorldOptions Options) {
  for (uint64_t Tried = 0; Tried < MostWorlds; ++Tried) {
    Options.Seed_ = baseSeed() + Tried;
    if (!World(Options).run().Violations_.empty())
      return Tried + 1;
  }
  return std::nullopt;
}

/// \brief Checks that a planted mistake is seen.
inline void checkCaught(const char *Name, Plant Mistake,
                        WorldOptions Options = {}) {
  Options.Plant_ = Mistake;
  const auto Worlds = worldsUntilCaught(Options);
  std::cout << "planted " << Name << ": "
            << (Worlds ? "caught in world " + std::to_string(*Worlds)
                       : "not caught")
            << std::endl;
  CHECK_TRUE_TEXT(Worlds.has_value(), Name);
}

} // namespace marjorambend::test

#endif // MARJORAMBEND_TEST_SIMULATION_INSTANCESIMULATIONCHECKS_H
