#ifndef MARJORAMBEND_FLEET_ORIGINSTEP_H
#define MARJORAMBEND_FLEET_ORIGINSTEP_H

#include "marjorambend/src/Fleet/FleetStep.h"

namespace marjorambend::internal {

/// \brief Returns the job with that number, or nullptr.
OriginJob *findJob(FleetInstance &State, uint64_t Number);

/// \brief Removes a job that has no runs.
void removeJob(FleetStepContext &Ctx, const OriginJob &Job);

/// \brief Gives the job's callers their final answer.
void answerJob(FleetStepContext &Ctx, OriginJob &Job, JobOutcome Outcome,
               std::string_view Why, Milliseconds RetryAfter = {});

/// \brief Drops the waiting tasks and stops the running ones; the job is
/// removed once all runs have ended.
void stopJob(FleetStepContext &Ctx, OriginJob &Job);

/// \brief Answers NotRun or MayHaveRun, or Failed if a task has crashed too
/// many workers, and stops the job's runs.
void giveUpJob(FleetStepContext &Ctx, OriginJob &Job, std::string_view Why,
               Milliseconds RetryAfter);

/// \brief Asks the placer for workers for these tasks, but holds suspect ones
/// back until few of the job are active.
void requestWorkers(FleetStepContext &Ctx, OriginJob &Job,
                    const std::vector<uint32_t> &Tasks);

/// \brief Asks the placer for workers for these tasks; suspect ones get a
/// worker each for themselves.
void sendPlaceRequest(FleetStepContext &Ctx, OriginJob &Job,
                      std::vector<uint32_t> Tasks, bool IsSuspect);

/// Tasks that may crash workers; see SuspectJobs.cpp.
/// @{
/// Whether a worker may have crashed under the task; \sa isSuspect
bool isSuspect(const FleetInstance &State, const OriginJob &Job, uint32_t Task);
/// The tasks of the job with this identity that are to be given up.
std::vector<uint32_t> tasksOverCrashBudget(const FleetInstance &State,
                                           uint64_t Job);
/// Whether a task of the job that is not done is to be given up.
bool exceedsCrashBudget(const FleetInstance &State, const OriginJob &Job);
/// Answers the job as failed.
void failCrashingJob(FleetStepContext &Ctx, OriginJob &Job);
/// Asks the placer for workers for as many of the suspect tasks that are held
/// back as may run now.
void requestHeldBackTasks(FleetStepContext &Ctx, OriginJob &Job);
/// @}

/// \brief Returns the tasks for which workers were requested.
std::vector<uint32_t> waitingTasks(const OriginJob &Job);

/// \brief Whether there is a session with that instance, or it is this one.
bool isReachable(const FleetInstance &State, Incarnation Run);

} // namespace marjorambend::internal

#endif // MARJORAMBEND_FLEET_ORIGINSTEP_H
