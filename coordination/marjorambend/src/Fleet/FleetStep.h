#ifndef MARJORAMBEND_FLEET_FLEETSTEP_H
#define MARJORAMBEND_FLEET_FLEETSTEP_H

#include "marjorambend/src/Fleet/Fleet.h"

#include <algorithm>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambend::internal {

/// \brief State and results of one call of step().
struct FleetStepContext {
  FleetInstance &State_;
  Milliseconds Now_;
  FleetActions &Out_;
  std::deque<FleetMessage> SelfMessages_; ///< Handled within the same step.
};

/// Jobs accepted from callers; see Origin.cpp and PlacerChoice.cpp.
/// @{
/// Rejects the job, joins it to the open job of that identity, or asks the
/// placer for workers.
void submitJob(FleetStepContext &Ctx, JobSubmission Submission);
/// Removes the request of a caller that has closed its connection; cancels the
/// job if it was the last one.
void abandonJob(FleetStepContext &Ctx, uint64_t Token);
/// Cancels the job \p Id if it is open here; returns whether it was.
bool cancelJob(FleetStepContext &Ctx, uint64_t Id);
void handlePlaced(FleetStepContext &Ctx, Incarnation From,
                  const Placed &Message);
void handlePlaceRefused(FleetStepContext &Ctx, const PlaceRefused &Refused);
void handleRunEnded(FleetStepContext &Ctx, const RunEnded &Ended);
/// Gives up the jobs whose callers' timeout has expired.
void expireJobs(FleetStepContext &Ctx);
/// Gives up the jobs with tasks at the holder \p Run, whose session has ended.
void handleHolderLoss(FleetStepContext &Ctx, Incarnation Run,
                      std::string_view Name);
/// Moves waiting tasks and reservations if the choice has changed.
void choosePlacer(FleetStepContext &Ctx);
/// Submits the jobs that have waited for the first configuration, or refuses
/// them if it does not arrive.
void reviewEarlyJobs(FleetStepContext &Ctx);
/// Fails jobs whose tasks have crashed too many workers, and requests workers
/// for suspect tasks that are no longer in doubt.
void reviewSuspectJobs(FleetStepContext &Ctx);
void giveUpAllJobs(FleetStepContext &Ctx, std::string_view Why);
/// @}

/// Jobs that are cancelled at another instance than their origin; see
/// Cancels.cpp.
/// @{
void handleCancel(FleetStepContext &Ctx, const JobCancel &Wanted);
void handleCancelRequest(FleetStepContext &Ctx, Incarnation From,
                         const CancelRequest &Wanted);
void handleCancelAnswered(FleetStepContext &Ctx, Incarnation From,
                          const CancelAnswered &Given);
/// Does not await an answer of \p Run, whose session has ended.
void removeInstanceFromCancels(FleetStepContext &Ctx, Incarnation Run);
/// Answers cancels that other instances have not answered in time.
void expireCancels(FleetStepContext &Ctx);
/// @}

/// Workers held by this instance; see Holder.cpp and Claims.cpp.
/// @{
void startRuns(FleetStepContext &Ctx, Incarnation Origin,
               const StartOrder &Order);
void stopRun(FleetStepContext &Ctx, const StopOrder &Order);
void handleStartAnswer(FleetStepContext &Ctx, const StartAnswered &Answer);
void handleStopAnswer(FleetStepContext &Ctx, const StopAnswered &Answer);
void handlePollAnswer(FleetStepContext &Ctx, const PollAnswered &Listed);
/// Updates all held workers at a tick, and releases those that are due.
void tickHolds(FleetStepContext &Ctx);
/// Stops the runs of an origin whose session has ended; its last message was
/// received at \p LastMessage.
void stopRunsOfOrigin(FleetStepContext &Ctx, Incarnation Origin,
                      Milliseconds LastMessage);
void applyWorkerList(FleetStepContext &Ctx, const WorkersRead &Read);
/// Claims workers, and closes those that other instances should hold.
void reviewHolds(FleetStepContext &Ctx);
/// Sends the state of all held workers.
void sendHeldWorkers(FleetStepContext &Ctx, Incarnation To);
/// Which workers' slowness is sent: all, or those whose slowness has changed.
enum class PaceUpdate : uint8_t { Changed, All };
/// Sends the slowness of held workers to the placer.
void sendPaces(FleetStepContext &Ctx, PaceUpdate Which);
/// @}

/// Crashes of workers; see Crashes.cpp.
/// @{
void handleCrashNews(FleetStepContext &Ctx, const CrashNews &News);
void applyStoredCrashes(FleetStepContext &Ctx, const CrashesRead &Read);
/// Sends the crashes that were noticed here.
void sendOwnCrashes(FleetStepContext &Ctx, Incarnation To);
/// Remembers that the run of a task was lost with the holder of its worker.
void addOrphanedRun(FleetStepContext &Ctx, const TaskId &Task,
                    const std::string &Worker);
/// Removes crashes and orphaned runs that are too old.
void expireCrashRecords(FleetStepContext &Ctx);
/// @}

/// Worker list and configuration from the platform's store; see News.cpp.
/// @{
void applyConfig(FleetStepContext &Ctx, ConfigRead Read);
void applyListNews(FleetStepContext &Ctx, const ListNews &News);
void applyConfigNews(FleetStepContext &Ctx, const ConfigNews &News);
void applyConfigFreshness(FleetStepContext &Ctx, Incarnation From,
                          const ConfigFreshness &Given);
/// Sends the age of the configuration and the evacuated data centres.
void sendConfigFreshness(FleetStepContext &Ctx, Incarnation To);
void applyEvacuationsRead(FleetStepContext &Ctx, const EvacuationsRead &Read);
/// Applies a list that this instance has read itself, and sends it to the
/// other instances of its data centre.
void handleWorkersRead(FleetStepContext &Ctx, const WorkersRead &Read);
/// @}

/// Evacuation of data centres; see EvacuationStep.cpp.
/// @{
/// Applies a set of evacuated data centres; returns whether it has changed.
bool updateEvacuations(FleetStepContext &Ctx, uint64_t Version,
                       const DataCentreNames &DataCentres,
                       std::string_view From);
/// Whether the worker may be given tasks.
bool isAdmitted(const FleetStepContext &Ctx, const WorkerReport &Worker);
/// Opens workers for the placer whose data centre returns from an evacuation.
void admitReturningWorkers(FleetStepContext &Ctx);
/// @}

/// Placement of the tasks of all instances; see Placer.cpp and
/// PlacerQueue.cpp.
/// @{
void handleWorkersHeld(FleetStepContext &Ctx, Incarnation Holder,
                       const WorkersHeld &Held);
void handleWorkersDropped(FleetStepContext &Ctx, Incarnation Holder,
                          const WorkersDropped &Dropped);
void handleWorkerPaces(FleetStepContext &Ctx, Incarnation Holder,
                       const WorkerPaces &News);
void handlePlaceRequest(FleetStepContext &Ctx, Incarnation Origin,
                        PlaceRequest Request);
void handlePlaceWithdraw(FleetStepContext &Ctx, Incarnation Origin,
                         const PlaceWithdraw &Job);
void handlePlaceRelease(FleetStepContext &Ctx, Incarnation Origin,
                        const PlaceRelease &Place);
void handlePlaceAdopt(FleetStepContext &Ctx, Incarnation Origin,
                      const PlaceAdopt &Place);
void removeInstanceFromPlacer(FleetStepContext &Ctx, Incarnation Run);
/// Places waiting tasks after the placer's state has changed.
void placeTasks(FleetStepContext &Ctx);
/// Places waiting tasks at a tick, and refuses jobs that cannot be served.
void reviewWaitingJobs(FleetStepContext &Ctx);
/// @}

/// Fencing tokens are times of the shared clock in milliseconds, multiplied by
/// this.
inline constexpr uint64_t FencingTokensPerMs = 1024;
/// Range of the random offset of a new token above the known ones, so that two
/// claims rarely get the same token; 16 ms of the clock, less than a tick.
inline constexpr uint64_t FencingTokenSpread = 16 * FencingTokensPerMs;

/// Ensures that new tokens are above \p Token.
inline void recordToken(FleetInstance &State, uint64_t Token) {
  State.HighestToken_ = std::max(State.HighestToken_, Token);
  State.TokenBase_ = std::max(State.TokenBase_, Token);
}

/// \brief Whether an instance should hold workers, and may place tasks and read
/// the store for others.
inline bool isActiveCoordinator(const InstanceStatus &Status) {
  return Status.IsReady_ && !Status.IsStopping_ && Status.IsCoordinating_;
}

/// Sessions and heartbeats; see Heartbeats.cpp.
/// @{
/// Sends this instance's status to every member to which a heartbeat is due.
void sendHeartbeats(FleetStepContext &Ctx);
void sendStatus(FleetStepContext &Ctx, Incarnation To);
/// Whether the last message from \p Other is recent enough.
bool isAlive(const FleetInstance &State, const FleetMember &Other,
             Milliseconds Now);
void chooseCoordinators(FleetStepContext &Ctx);
void applyInstances(FleetStepContext &Ctx, const InstancesRead &Read);
void applyRosterNews(FleetStepContext &Ctx, const RosterNews &News);
void answerRosterQuery(FleetStepContext &Ctx, Incarnation To);
/// @}

/// \brief Sends a message to an instance, possibly this one.
void sendMessage(FleetStepContext &Ctx, Incarnation To, FleetMessage Message);

/// \brief Sends a message to all other coordinators, and to this instance.
void sendToCoordinators(FleetStepContext &Ctx, const FleetMessage &Message);

/// \brief Adds a log line.
void log(FleetStepContext &Ctx, std::string_view Event, uint64_t Job,
         std::vector<LogField> Fields, bool IsFinal = false);

/// \brief Formats a time or a duration for a log line.
inline std::string toString(Milliseconds Time) {
  return std::to_string(Time.Count_);
}

} // namespace marjorambend::internal

#endif // MARJORAMBEND_FLEET_FLEETSTEP_H
