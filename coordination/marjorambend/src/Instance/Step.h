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
void submitJob(StepContext &C, JobRequest Request, Waiter From);
void cancelJob(StepContext &C, const JobId &Id, bool IsForwarded);
void removeCaller(StepContext &C, const CallerGone &Gone);
void resolveClaims(StepContext &C, const ClaimsAnswered &Answered);
void sendClaims(StepContext &C);
void forwardToHolder(StepContext &C, JobRecord &Record);
/// @}

/// Admission of jobs that are held here; see Activation.cpp.
/// @{
void activateJob(StepContext &C, JobRecord &Record);
void enqueueJob(StepContext &C, const JobRecord &Record);
QueuedJob queuedJob(const JobRecord &Record);
/// @}

/// Tasks of jobs that are held here; see Dispatch.cpp.
/// @{
void dispatchTasks(StepContext &C);
void finishTask(StepContext &C, const TaskFinished &Finished);
void expireSends(StepContext &C);
void abandonTasks(StepContext &C, JobRecord &Record);
/// @}

/// Answers and finished records; see Completion.cpp.
/// @{
void completeJob(StepContext &C, JobRecord &Record);
void finishRemote(StepContext &C, JobRecord &Record, const AnswerPtr &Reply);
void failJob(StepContext &C, JobRecord &Record, Outcome FinalOutcome,
             Reason Cause, Milliseconds RetryAfter);
/// Fails a job as not run if no task can have started, else as may have run.
void failByState(StepContext &C, JobRecord &Record, Reason Cause,
                 Milliseconds RetryAfter);
void answerWaiter(StepContext &C, const Waiter &To, const AnswerPtr &Reply,
                  std::string_view Kind);
void refuseUnrecorded(StepContext &C, const JobRequest &Request,
                      const Waiter &From, Outcome FinalOutcome, Reason Cause,
                      Milliseconds RetryAfter);
void expireJobs(StepContext &C);
void evictRecords(StepContext &C);
/// @}

/// Links and messages of other instances; see Peers.cpp.
/// @{
void connectPeer(StepContext &C, const PeerConnected &Connected);
void disconnectPeer(StepContext &C, Incarnation Run);
void receivePeer(StepContext &C, PeerReceived Received);
void sendHeartbeats(StepContext &C);
void announceBacklog(StepContext &C);
void dropLostPeers(StepContext &C);
void sendPeer(StepContext &C, Incarnation To, PeerMessage Message);
/// @}

/// Catalogue and drains; see ConfigSync.cpp.
/// @{
void handleRowRead(StepContext &C, const RowRead &Row);
void handleRowSwapped(StepContext &C, const RowSwapped &Row);
void submitCatalogue(StepContext &C, CatalogueSubmitted Submitted);
void orderDrain(StepContext &C, const DrainOrdered &Ordered);
void adoptCatalogueFrom(StepContext &C, uint64_t Version, std::string_view Text,
                        std::string_view Source);
void mergeReceivedDrains(StepContext &C, const DrainMap &Received);
void handleWorkersListed(StepContext &C, const WorkersListed &Listed);
void pollRows(StepContext &C);
void updateKnowsDrains(StepContext &C);
void retryWrite(StepContext &C);
/// @}

/// \brief The record of a job, or nullptr.
JobRecord *findJob(Instance &State, const JobId &Id);

/// \brief The Retry-After time for the current load.
Milliseconds computeRetryAfter(StepContext &C);

/// \brief Writes a finished span to the trace if the trace is sampled.
void recordSpan(StepContext &C, const TraceContext &Context,
                std::string_view Name, std::string_view Note,
                Milliseconds Start);

} // namespace marjorambend::internal

#endif // MARJORAMBEND_INSTANCE_STEP_H
