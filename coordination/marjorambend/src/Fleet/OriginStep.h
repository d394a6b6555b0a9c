#ifndef MARJORAMBEND_FLEET_ORIGINSTEP_H
#define MARJORAMBEND_FLEET_ORIGINSTEP_H

#include "marjorambend/src/Fleet/FleetStep.h"

namespace marjorambend::internal {

/// \brief The job of that number, or nullptr.
OriginJob *findJob(FleetInstance &State, uint64_t Number);

/// \brief Removes a job of which nothing runs.
void removeJob(FleetStepContext &Ctx, const OriginJob &Job);

/// \brief Answers that the job was not run, or may have run; stops its runs.
void giveUpJob(FleetStepContext &Ctx, OriginJob &Job, std::string_view Why,
               Milliseconds RetryAfter);

/// \brief Asks the placer for workers for some tasks.
void requestWorkers(FleetStepContext &Ctx, OriginJob &Job,
                    std::vector<uint32_t> Tasks);

/// \brief Its tasks that wait for a worker.
std::vector<uint32_t> waitingTasks(const OriginJob &Job);

/// \brief Whether messages to that instance arrive.
bool isReachable(const FleetInstance &State, Incarnation Run);

} // namespace marjorambend::internal

#endif // MARJORAMBEND_FLEET_ORIGINSTEP_H
