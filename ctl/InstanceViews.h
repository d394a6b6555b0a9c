#ifndef MARJORAMBEND_CTL_INSTANCEVIEWS_H
#define MARJORAMBEND_CTL_INSTANCEVIEWS_H

#include "Commands.h"

#include <functional>
#include <string>
#include <vector>

namespace marjorambend {

/// \brief How often something that is awaited is looked at.
inline constexpr Milliseconds PollInterval{200};

/// \brief One listed instance and what it says of itself.
struct InstanceView {
  std::string Name_;
  std::string DataCentre_;
  Endpoint Operators_;
  bool IsReached_ = false;
  nlohmann::json Status_;
};

/// \brief How far something has spread over the listed instances.
struct Spread {
  std::vector<InstanceView> Views_;
  std::size_t Missing_ = 0;
};

/// \brief Asks every instance that the addressed one has on its list.
tl::expected<std::vector<InstanceView>, OperatorFailure>
viewInstances(const CommandContext &C);

/// \brief The catalogue version that an instance has in force; 0 if unknown.
uint64_t versionOf(const InstanceView &View);

/// \brief Prints a line for each instance.
void printInstances(const std::vector<InstanceView> &Views);

/// \brief The same for scripts.
nlohmann::json toJson(const std::vector<InstanceView> &Views);

/// \brief Waits until every listed instance has something, or until the time
/// of the context is over.
tl::expected<Spread, OperatorFailure>
awaitEverywhere(const CommandContext &C,
                const std::function<bool(const InstanceView &)> &HasIt);

/// \brief Says how far it has spread.
/// \returns ExitDone or ExitNotEverywhere.
int reportSpread(const CommandContext &C, const Spread &Reached,
                 const std::string &What, nlohmann::json Details);

} // namespace marjorambend

#endif // MARJORAMBEND_CTL_INSTANCEVIEWS_H
