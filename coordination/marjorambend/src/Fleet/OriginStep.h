#ifndef MARJORAMBEND_FLEET_ORIGINSTEP_H
#define MARJORAMBEND_FLEET_ORIGINSTEP_H

#include "marjorambend/src/Fleet/FleetStep.h"

namespace marjorambend::internal {

/// \brief Returns the job with that number, or nullptr.
OriginJob *findJob(FleetInstance &State, uint64_t Number);

/// \brief Removes a job that has no runs.
void removeJob(FleetStepContext &Ctx, const OriginJob &Job);

/// \brief Answers NotRun or MayHaveRun, and stops the job's runs.
void giveUpJob(FleetStepContext &Ctx, OriginJob &Job, std::string_view Why,
               Milliseconds RetryAfter);

/// \brief Asks the placer for workers for these tasks, but holds suspect ones
/// back until few of the job are active.
void requestWorkers(FleetStepContext &Ctx, OriginJob &Job,
                    const std::vector<uint32_t> &Tasks);

/// \brief Asks the placer for workers for as many of the suspect tasks that
/// are held back as may run now.
void requestHeldBackTasks(FleetStepContext &Ctx, OriginJob &Job);

/// \brief Returns the tasks for which workers were requested.
std::vector<uint32_t> waitingTasks(const OriginJob &Job);

/// \brief Whether there is a session with that instance, or it is this one.
bool isReachable(const FleetInstance &State, Incarnation Run);

} // namespace marjorambend::internal

#endif // MARJORAMBEND_FLEET_ORIGINSTEP_H
