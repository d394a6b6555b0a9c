#ifndef MARJORAMBEND_FLEET_HOLDSTEP_H
#define MARJORAMBEND_FLEET_HOLDSTEP_H

#include "marjorambend/src/Fleet/FleetStep.h"

namespace marjorambend::internal {

/// Runs on a held worker; see Holder.cpp, HolderAnswers.cpp and
/// HolderLists.cpp.
/// @{
/// The worker if it is held here, or nullptr.
WorkerHold *findHold(FleetInstance &State, const std::string &Worker);
/// The run if the worker has it, or nullptr.
HeldRun *findRun(WorkerHold &Hold, const RunId &Id);
WorkerTarget targetOf(const WorkerHold &Hold);
bool isOpen(const WorkerHold &Hold, Milliseconds Now);
/// Whether all origins of its runs were heard lately, so that its lease may be
/// renewed.
bool canRenewLease(const FleetStepContext &Ctx, const WorkerHold &Hold);
Milliseconds leaseEnd(const FleetStepContext &Ctx, const WorkerHold &Hold);
/// When the lease is over in any case, whoever renewed it last.
Milliseconds latestLeaseEnd(const FleetStepContext &Ctx,
                            const WorkerHold &Hold);
void announceWorker(FleetStepContext &Ctx, WorkerHold &Hold);
void announceIfChanged(FleetStepContext &Ctx, WorkerHold &Hold);
void countFailure(FleetStepContext &Ctx, WorkerHold &Hold,
                  std::string_view Why);
void finishRun(FleetStepContext &Ctx, WorkerHold &Hold, RunId Id, RunEnd End);
void loseAllRuns(FleetStepContext &Ctx, WorkerHold &Hold);

/// \brief Keeps runs whose start is not answered until the worker has answered
/// a look with the next token.
void awaitNextToken(WorkerHold &Hold);

/// \brief The worker's life may be over: ends all runs that had begun, and
/// keeps the others until the next token is known to the worker.
void loseStartedRuns(FleetStepContext &Ctx, WorkerHold &Hold);

/// \brief Ends runs whose start is too old to be carried out any more.
void loseExpiredStarts(FleetStepContext &Ctx, WorkerHold &Hold);

/// Takes the worker's clock from any of its answers.
void updateClockOffset(FleetStepContext &Ctx, WorkerHold &Hold,
                       std::optional<Milliseconds> Clock);
/// Renews the lease as well.
void sendStart(FleetStepContext &Ctx, WorkerHold &Hold, const RunId &Id,
               const HeldRun &Run);
void sendStop(FleetStepContext &Ctx, WorkerHold &Hold, const RunId &Id,
              HeldRun &Run);
void applyPollAnswer(FleetStepContext &Ctx, WorkerHold &Hold,
                     const PollAnswered &Listed);
/// @}

/// Claiming, watching and losing a worker; see Claims.cpp.
/// @{
/// Gives the worker up if the answer to an order says that another holder has
/// it, or that it is another one by now; returns whether it does.
bool handleWorkerLoss(FleetStepContext &Ctx, WorkerHold &Hold,
                      OrderResult Result);
/// Looks at the worker now, unless a look is under way.
void pollSoon(FleetStepContext &Ctx, WorkerHold &Hold);
/// @}

} // namespace marjorambend::internal

#endif // MARJORAMBEND_FLEET_HOLDSTEP_H
