#ifndef MARJORAMBEND_FLEET_HOLDSTEP_H
#define MARJORAMBEND_FLEET_HOLDSTEP_H

#include "marjorambend/src/Fleet/FleetStep.h"

namespace marjorambend::internal {

/// Handling of runs on a held worker; see Holder.cpp, HolderAnswers.cpp and
/// HolderLists.cpp.
/// @{
/// Returns the worker if this instance holds it, or nullptr.
WorkerHold *findHold(FleetInstance &State, const std::string &Worker);
/// Returns the run if the worker has it, or nullptr.
HeldRun *findRun(WorkerHold &Hold, const RunId &Id);
WorkerTarget targetOf(const WorkerHold &Hold);
bool isOpen(const WorkerHold &Hold, Milliseconds Now);
/// Whether the worker's lease may be renewed: each of its runs was needed by
/// its origin recently, or has received its stop.
bool canRenewLease(const FleetStepContext &Ctx, const WorkerHold &Hold);
Milliseconds leaseEnd(const FleetStepContext &Ctx, const WorkerHold &Hold);
/// Returns the time left of the lease as it was last renewed.
Milliseconds leaseLeft(const FleetStepContext &Ctx, const WorkerHold &Hold);
/// Returns the time by which the lease has ended in any case, whichever holder
/// renewed it last.
Milliseconds latestLeaseEnd(const FleetStepContext &Ctx,
                            const WorkerHold &Hold);
void announceWorker(FleetStepContext &Ctx, WorkerHold &Hold);
void announceIfChanged(FleetStepContext &Ctx, WorkerHold &Hold);
void countFailure(FleetStepContext &Ctx, WorkerHold &Hold,
                  std::string_view Why);
void finishRun(FleetStepContext &Ctx, WorkerHold &Hold, RunId Id, RunEnd End);
void loseAllRuns(FleetStepContext &Ctx, WorkerHold &Hold);

/// \brief Keeps runs with an unconfirmed start until the worker has answered a
/// poll with the next token.
void awaitNextToken(WorkerHold &Hold);

/// \brief Handles a possible restart of the worker: ends all runs that had
/// started, and keeps the others until the worker has seen the next token.
void loseStartedRuns(FleetStepContext &Ctx, WorkerHold &Hold);

/// \brief Ends runs with an unconfirmed start that is too old to be carried
/// out.
void loseExpiredStarts(FleetStepContext &Ctx, WorkerHold &Hold);

/// Updates the clock offset from any answer of the worker.
void updateClockOffset(FleetStepContext &Ctx, WorkerHold &Hold,
                       std::optional<Milliseconds> Clock);
/// Sends the order to start a run, which also renews the lease.
void sendStart(FleetStepContext &Ctx, WorkerHold &Hold, const RunId &Id,
               const HeldRun &Run);
void sendStop(FleetStepContext &Ctx, WorkerHold &Hold, const RunId &Id,
              HeldRun &Run);
void applyPollAnswer(FleetStepContext &Ctx, WorkerHold &Hold,
                     const PollAnswered &Listed);
/// @}

/// The capacity at which a worker is used; see HolderCapacity.cpp.
/// @{
/// The reported capacity, or less while a limit is in force.
Room usableCapacity(const WorkerHold &Hold);
/// The worker as it is reported to other instances.
HeldWorker describeWorker(const WorkerHold &Hold, Milliseconds Now);
/// Logs the usable capacity if it differs from \p Before.
void logCapacityChange(FleetStepContext &Ctx, const WorkerHold &Hold,
                       const Room &Before, std::string_view Why);
/// Limits the capacity to less than the worker's runs take, including one whose
/// start it has just rejected for want of room: it has shrunk, and its report
/// is older than that.
void limitCapacity(FleetStepContext &Ctx, WorkerHold &Hold);
/// Ends the limit when its time is over.
void expireCapacityLimit(FleetStepContext &Ctx, WorkerHold &Hold);
/// @}

/// Crashes of workers; see Crashes.cpp.
/// @{
/// Records that the worker has crashed, or is silent as if it had, under its
/// runs but for \p Survivors; sends this to all instances.
void noteCrash(FleetStepContext &Ctx, WorkerHold &Hold,
               const std::vector<ListedRun> &Survivors = {});
/// The same for a worker that is known to have restarted.
void noteRestart(FleetStepContext &Ctx, WorkerHold &Hold);
/// Whether the worker runs a task under which another worker has crashed: a
/// single failed poll is a likely crash then.
bool hasSuspectRun(const FleetStepContext &Ctx, const WorkerHold &Hold);
/// Handles an answer of the worker: withdraws a crash of this incarnation, as
/// it was only silent, and confirms those of earlier ones.
void settleCrashes(FleetStepContext &Ctx, WorkerHold &Hold);
/// @}

/// Claiming, polling and losing a worker; see Claims.cpp.
/// @{
/// Handles an answer which shows that another holder has claimed the worker, or
/// that the worker has restarted; returns whether it does.
bool handleWorkerLoss(FleetStepContext &Ctx, WorkerHold &Hold,
                      OrderResult Result);
/// Polls the worker now, unless a poll is in flight.
void pollSoon(FleetStepContext &Ctx, WorkerHold &Hold);
/// @}

} // namespace marjorambend::internal

#endif // MARJORAMBEND_FLEET_HOLDSTEP_H
