#ifndef MARJORAMBEND_FLEET_FLEETSTEP_H
#define MARJORAMBEND_FLEET_FLEETSTEP_H

#include "marjorambend/src/Fleet/Fleet.h"

#include <algorithm>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambend::internal {

/// \brief What every part of a step works on.
struct FleetStepContext {
  FleetInstance &State_;
  Milliseconds Now_;
  FleetActions &Out_;
  std::deque<FleetMessage> SelfMessages_; ///< Handled before the step ends.
};

/// Jobs that callers brought here; see Origin.cpp.
/// @{
void submitJob(FleetStepContext &Ctx, JobSubmission Given);
void abandonJob(FleetStepContext &Ctx, uint64_t Token);
void cancelJob(FleetStepContext &Ctx, uint64_t Id);
void handlePlaced(FleetStepContext &Ctx, Incarnation From, const Placed &Given);
void handlePlaceRefused(FleetStepContext &Ctx, const PlaceRefused &Refused);
void handleRunEnded(FleetStepContext &Ctx, const RunEnded &Ended);
void expireJobs(FleetStepContext &Ctx);
void handleHolderLoss(FleetStepContext &Ctx, Incarnation Run,
                      std::string_view Name);
void choosePlacer(FleetStepContext &Ctx);
void giveUpAllJobs(FleetStepContext &Ctx, std::string_view Why);
/// @}

/// Workers that are held here; see Holder.cpp and Claims.cpp.
/// @{
void startRuns(FleetStepContext &Ctx, Incarnation Origin,
               const StartOrder &Order);
void stopRun(FleetStepContext &Ctx, const StopOrder &Order);
void handleStartAnswer(FleetStepContext &Ctx, const StartAnswered &Answer);
void handleStopAnswer(FleetStepContext &Ctx, const StopAnswered &Answer);
void handlePollAnswer(FleetStepContext &Ctx, const PollAnswered &Listed);
void tickHolds(FleetStepContext &Ctx);
void stopRunsOfOrigin(FleetStepContext &Ctx, Incarnation Origin);
void applyWorkerList(FleetStepContext &Ctx, const WorkersRead &Read);
void reviewHolds(FleetStepContext &Ctx);
void sendHeldWorkers(FleetStepContext &Ctx, Incarnation To);
enum class PaceUpdate : uint8_t { Changed, All };
void sendPaces(FleetStepContext &Ctx, PaceUpdate Which);
/// @}

/// What is read in the platform's store and passed on; see News.cpp.
/// @{
void applyConfig(FleetStepContext &Ctx, ConfigRead Read);
void applyListNews(FleetStepContext &Ctx, const ListNews &News);
void applyConfigNews(FleetStepContext &Ctx, const ConfigNews &News);
void applyConfigFreshness(FleetStepContext &Ctx, const ConfigFreshness &Given);
/// Takes what this instance has read itself, and tells the data centre.
void handleWorkersRead(FleetStepContext &Ctx, const WorkersRead &Read);
/// @}

/// Placing for all; see Placer.cpp.
/// @{
void handleWorkersHeld(FleetStepContext &Ctx, Incarnation Holder,
                       const WorkersHeld &Held);
void handleWorkersDropped(FleetStepContext &Ctx, Incarnation Holder,
                          const WorkersDropped &Held);
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
void placeTasks(FleetStepContext &Ctx);
/// @}

/// Fencing tokens are milliseconds of the shared clock with these low bits.
inline constexpr uint64_t FencingTokensPerMs = 1024;
/// Spread of tokens above those known, so that two claims rarely get the same;
/// 16 ms of the clock, less than a tick.
inline constexpr uint64_t FencingTokenSpread = 16 * FencingTokensPerMs;

/// Tokens that are made from now on are above \p Token.
inline void recordToken(FleetInstance &State, uint64_t Token) {
  State.HighestToken_ = std::max(State.HighestToken_, Token);
  State.TokenBase_ = std::max(State.TokenBase_, Token);
}

/// \brief Whether an instance is to hold workers and to place or read for
/// others.
inline bool isActiveCoordinator(const InstanceStatus &Status) {
  return Status.IsReady_ && !Status.IsStopping_ && Status.IsCoordinating_;
}

/// Sessions and heartbeats; see Heartbeats.cpp.
/// @{
/// Tells this instance's status where it is due.
void sendHeartbeats(FleetStepContext &Ctx);
void sendStatus(FleetStepContext &Ctx, Incarnation To);
/// Whether \p Other was heard as lately as it has to be.
bool isAlive(const FleetInstance &State, const FleetMember &Other,
             Milliseconds Now);
void chooseCoordinators(FleetStepContext &Ctx);
void applyInstances(FleetStepContext &Ctx, const InstancesRead &Read);
void applyRosterNews(FleetStepContext &Ctx, const RosterNews &News);
void answerRosterQuery(FleetStepContext &Ctx, Incarnation To);
/// @}

/// \brief Sends a message to an instance, which may be this one.
void sendMessage(FleetStepContext &Ctx, Incarnation To, FleetMessage Message);

/// \brief Sends a message to all other coordinators, and to this instance.
void sendToCoordinators(FleetStepContext &Ctx, const FleetMessage &Message);

/// \brief Adds a log line.
void log(FleetStepContext &Ctx, std::string_view What, uint64_t Job,
         std::vector<LogField> Fields, bool IsFinal = false);

/// \brief An instant or a duration for a log line.
inline std::string toString(Milliseconds Time) {
  return std::to_string(Time.Count_);
}

} // namespace marjorambend::internal

#endif // MARJORAMBEND_FLEET_FLEETSTEP_H
