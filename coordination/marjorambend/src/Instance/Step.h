#ifndef MARJORAMBEND_INSTANCE_STEP_H
#define MARJORAMBEND_INSTANCE_STEP_H

#include "marjorambend/src/Instance/Instance.h"

#include <string>

namespace marjorambend::internal {

/// \brief What every part of a step works on.
struct Turn {
  Instance &State_;
  Milliseconds Now_;
  Actions &Out_;
};

/// Submissions, claims and forwarding; see Submission.cpp.
/// @{
void submitJob(Turn &T, JobRequest Request, Waiter From);
void cancelJob(Turn &T, const JobId &Id, bool IsForwarded);
void forgetCaller(Turn &T, const CallerGone &Gone);
void settleClaims(Turn &T, const ClaimsAnswered &Answered);
void sendClaims(Turn &T);
void sendToHolder(Turn &T, JobRecord &Record);
/// @}

/// Admission of jobs that are held here; see Activation.cpp.
/// @{
void activateJob(Turn &T, JobRecord &Record);
void enqueueJob(Turn &T, const JobRecord &Record);
QueuedJob queuedJob(const JobRecord &Record);
/// @}

/// Tasks of jobs that are held here; see Dispatch.cpp.
/// @{
void dispatchTasks(Turn &T);
void finishTask(Turn &T, const TaskFinished &Finished);
void expireSends(Turn &T);
void abandonTasks(Turn &T, JobRecord &Record);
/// @}

/// Answers and what is kept of them; see Completion.cpp.
/// @{
void completeJob(Turn &T, JobRecord &Record);
void finishRemote(Turn &T, JobRecord &Record, const AnswerPtr &Given);
void failJob(Turn &T, JobRecord &Record, Outcome What, Reason Why,
             Milliseconds RetryAfter);
/// Fails a job; the outcome follows from what may have run.
void failByState(Turn &T, JobRecord &Record, Reason Why,
                 Milliseconds RetryAfter);
void answerWaiter(Turn &T, const Waiter &To, const AnswerPtr &Given,
                  std::string_view Kind);
void refuseUnrecorded(Turn &T, const JobRequest &Request, const Waiter &From,
                      Outcome What, Reason Why, Milliseconds RetryAfter);
void expireJobs(Turn &T);
void forgetJobs(Turn &T);
/// @}

/// Links and messages of other instances; see Peers.cpp.
/// @{
void connectPeer(Turn &T, const PeerConnected &Connected);
void disconnectPeer(Turn &T, Incarnation Run);
void receivePeer(Turn &T, PeerReceived Received);
void beatPeers(Turn &T);
void announceBacklog(Turn &T);
void dropLostPeers(Turn &T);
void sendPeer(Turn &T, Incarnation To, PeerMessage Message);
/// @}

/// Catalogue and drains; see ConfigSync.cpp.
/// @{
void readRow(Turn &T, const RowRead &Row);
void swapRow(Turn &T, const RowSwapped &Row);
void submitCatalogue(Turn &T, CatalogueSubmitted Submitted);
void orderDrain(Turn &T, const DrainOrdered &Ordered);
void adoptFrom(Turn &T, uint64_t Version, std::string_view Text,
               std::string_view Source);
void takeDrains(Turn &T, const DrainMap &Received);
void listWorkers(Turn &T, const WorkersListed &Listed);
void pollRows(Turn &T);
void learnDrains(Turn &T);
void repeatWrite(Turn &T);
/// @}

/// \brief The record of a job, or nullptr.
JobRecord *findJob(Instance &State, const JobId &Id);

/// \brief The come-back time that suits the present load.
Milliseconds comeBackTime(Turn &T);

/// \brief Writes a finished hop to the trace if the trace is sampled.
void recordSpan(Turn &T, const TraceContext &Context, std::string_view Name,
                std::string_view Note, Milliseconds Start);

} // namespace marjorambend::internal

#endif // MARJORAMBEND_INSTANCE_STEP_H
