#ifndef MARJORAMBEND_CTL_INSTANCEVIEWS_H
#define MARJORAMBEND_CTL_INSTANCEVIEWS_H

#include "Commands.h"

#include <functional>
#include <string>
#include <vector>

namespace marjorambend {

/// \brief Interval between two polls of an awaited condition.
inline constexpr Milliseconds PollInterval{200};

/// \brief One listed instance and the status it reports.
struct InstanceView {
  std::string Name_;
  std::string DataCentre_;
  Endpoint Operators_;
  bool IsReached_ = false;
  nlohmann::json Status_;
};

/// \brief How many of the listed instances have applied a change.
struct Propagation {
  std::vector<InstanceView> Views_;
  std::size_t Missing_ = 0;
};

/// \brief Queries every instance that the addressed one lists.
tl::expected<std::vector<InstanceView>, OperatorFailure>
viewInstances(const CommandContext &C);

/// \brief The catalogue version that an instance has in force; 0 if unknown.
uint64_t versionOf(const InstanceView &View);

/// \brief Prints a line for each instance.
void printInstances(const std::vector<InstanceView> &Views);

/// \brief The instances as JSON.
nlohmann::json toJson(const std::vector<InstanceView> &Views);

/// \brief Polls until \p IsApplied holds for every listed instance, for at most
/// CommandContext::Wait_.
tl::expected<Propagation, OperatorFailure>
awaitPropagation(const CommandContext &C,
                 const std::function<bool(const InstanceView &)> &IsApplied);

/// \brief Prints how many instances have applied a change.
/// \returns ExitDone or ExitNotEverywhere.
int reportPropagation(const CommandContext &C, const Propagation &Reached,
                      const std::string &What, nlohmann::json Details);

} // namespace marjorambend

#endif // MARJORAMBEND_CTL_INSTANCEVIEWS_H
