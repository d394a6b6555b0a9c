#ifndef MARJORAMBEND_INSTANCE_STEP_H
#define MARJORAMBEND_INSTANCE_STEP_H

#include "marjorambend/src/Instance/Instance.h"

#include <string>

namespace marjorambend::internal {

/// \brief State and output shared by all functions of a step.
struct StepContext {
  Instance &State_;
  Milliseconds Now_;
  Actions &Out_;
};

/// Submissions, claims and forwarding; see Submission.cpp.
/// @{
void submitJob(StepContext &Ctx, JobRequest Request, Waiter From);
void cancelJob(StepContext &Ctx, const JobId &Id, bool IsForwarded);
void removeCaller(StepContext &Ctx, const CallerGone &Gone);
void resolveClaims(StepContext &Ctx, const ClaimsAnswered &Answered);
void sendClaims(StepContext &Ctx);
void forwardToHolder(StepContext &Ctx, JobRecord &Record);
/// @}

/// Admission of jobs that are held here; see Activation.cpp.
/// @{
void activateJob(StepContext &Ctx, JobRecord &Record);
void enqueueJob(StepContext &Ctx, const JobRecord &Record);
QueuedJob queuedJob(const JobRecord &Record);
/// @}

/// Tasks of jobs that are held here; see Dispatch.cpp.
/// @{
void dispatchTasks(StepContext &Ctx);
void finishTask(StepContext &Ctx, const TaskFinished &Finished);
void expireSends(StepContext &Ctx);
void abandonTasks(StepContext &Ctx, JobRecord &Record);
/// @}

/// Answers and finished records; see Completion.cpp.
/// @{
void completeJob(StepContext &Ctx, JobRecord &Record);
void finishRemote(StepContext &Ctx, JobRecord &Record, const AnswerPtr &Reply);
void failJob(StepContext &Ctx, JobRecord &Record, Outcome FinalOutcome,
             Reason Cause, Milliseconds RetryAfter);
/// Fails a job as not run if no task can have started, else as may have run.
void failByState(StepContext &Ctx, JobRecord &Record, Reason Cause,
                 Milliseconds RetryAfter);
void answerWaiter(StepContext &Ctx, const Waiter &To, const AnswerPtr &Reply,
                  std::string_view Kind);
void refuseUnrecorded(StepContext &Ctx, const JobRequest &Request,
                      const Waiter &From, Outcome FinalOutcome, Reason Cause,
                      Milliseconds RetryAfter);
void expireJobs(StepContext &Ctx);
void evictRecords(StepContext &Ctx);
/// @}

/// Links and messages of other instances; see Peers.cpp.
/// @{
void connectPeer(StepContext &Ctx, const PeerConnected &Connected);
void disconnectPeer(StepContext &Ctx, Incarnation Run);
void receivePeer(StepContext &Ctx, PeerReceived Received);
void sendHeartbeats(StepContext &Ctx);
void announceBacklog(StepContext &Ctx);
void dropLostPeers(StepContext &Ctx);
void sendPeer(StepContext &Ctx, Incarnation To, PeerMessage Message);
/// @}

/// Catalogue and drains; see ConfigSync.cpp.
/// @{
void handleRowRead(StepContext &Ctx, const RowRead &Row);
void handleRowSwapped(StepContext &Ctx, const RowSwapped &Row);
void submitCatalogue(StepContext &Ctx, CatalogueSubmitted Submitted);
void orderDrain(StepContext &Ctx, const DrainOrdered &Ordered);
void adoptCatalogueFrom(StepContext &Ctx, uint64_t Version,
                        std::string_view Text, std::string_view Source);
void mergeReceivedDrains(StepContext &Ctx, const DrainMap &Received);
void handleWorkersListed(StepContext &Ctx, const WorkersListed &Listed);
void pollRows(StepContext &Ctx);
void updateKnowsDrains(StepContext &Ctx);
void retryWrite(StepContext &Ctx);
/// @}

/// \brief The record of a job, or nullptr.
JobRecord *findJob(Instance &State, const JobId &Id);

/// \brief The Retry-After time for the current load.
Milliseconds computeRetryAfter(StepContext &Ctx);

/// \brief Writes a finished span to the trace if the trace is sampled.
void recordSpan(StepContext &Ctx, const TraceContext &Context,
                std::string_view Name, std::string_view Note,
                Milliseconds Start);

} // namespace marjorambend::internal

#endif // MARJORAMBEND_INSTANCE_STEP_H
