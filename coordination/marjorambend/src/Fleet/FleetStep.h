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
struct FleetTurn {
  FleetInstance &State_;
  Milliseconds Now_;
  FleetActions &Out_;
  std::deque<FleetMessage> ToSelf_; ///< Handled before the step ends.
};

/// Jobs that callers brought here; see Origin.cpp.
/// @{
void submitJob(FleetTurn &T, JobSubmission Given);
void abandonJob(FleetTurn &T, uint64_t Token);
void cancelJob(FleetTurn &T, uint64_t Id);
void takePlacements(FleetTurn &T, Incarnation From, const Placed &Given);
void takeRefusal(FleetTurn &T, const PlaceRefused &Refused);
void takeRunEnd(FleetTurn &T, const RunEnded &Ended);
void expireJobs(FleetTurn &T);
void loseHolder(FleetTurn &T, Incarnation Run, std::string_view Name);
void choosePlacer(FleetTurn &T);
void giveUpAllJobs(FleetTurn &T, std::string_view Why);
/// @}

/// Workers that are held here; see Holder.cpp and Claims.cpp.
/// @{
void startRuns(FleetTurn &T, Incarnation Origin, const StartOrder &Order);
void stopRun(FleetTurn &T, const StopOrder &Order);
void handleStartAnswer(FleetTurn &T, const StartAnswered &Answer);
void handleStopAnswer(FleetTurn &T, const StopAnswered &Answer);
void handlePollAnswer(FleetTurn &T, const PollAnswered &Listed);
void tickHolds(FleetTurn &T);
void stopRunsOfOrigin(FleetTurn &T, Incarnation Origin);
void applyWorkerList(FleetTurn &T, const WorkersRead &Read);
void reviewHolds(FleetTurn &T);
void sendHeldWorkers(FleetTurn &T, Incarnation To);
enum class PaceUpdate : uint8_t { Changed, All };
void sendPaces(FleetTurn &T, PaceUpdate Which);
/// @}

/// What is read in the platform's store and passed on; see News.cpp.
/// @{
void applyConfig(FleetTurn &T, ConfigRead Read);
void applyListNews(FleetTurn &T, const ListNews &News);
void applyConfigNews(FleetTurn &T, const ConfigNews &News);
void applyConfigFreshness(FleetTurn &T, const ConfigFreshness &Given);
/// Takes what this instance has read itself, and tells the data centre.
void handleWorkersRead(FleetTurn &T, const WorkersRead &Read);
/// @}

/// Placing for all; see Placer.cpp.
/// @{
void viewWorkers(FleetTurn &T, Incarnation Holder, const WorkersHeld &Held);
void dropWorkers(FleetTurn &T, Incarnation Holder, const WorkersDropped &Held);
void takePaces(FleetTurn &T, Incarnation Holder, const WorkerPaces &News);
void requestPlaces(FleetTurn &T, Incarnation Origin, PlaceRequest Request);
void withdrawPlaces(FleetTurn &T, Incarnation Origin, const PlaceWithdraw &Job);
void releasePlace(FleetTurn &T, Incarnation Origin, const PlaceRelease &Place);
void adoptPlace(FleetTurn &T, Incarnation Origin, const PlaceAdopt &Place);
void forgetInstance(FleetTurn &T, Incarnation Run);
void placeTasks(FleetTurn &T);
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
void sendHeartbeats(FleetTurn &T);
void sendStatus(FleetTurn &T, Incarnation To);
/// Whether \p Other was heard as lately as it has to be.
bool isAlive(const FleetInstance &State, const FleetMember &Other,
             Milliseconds Now);
void chooseCoordinators(FleetTurn &T);
void applyInstances(FleetTurn &T, const InstancesRead &Read);
void applyRosterNews(FleetTurn &T, const RosterNews &News);
void answerRosterQuery(FleetTurn &T, Incarnation To);
/// @}

/// \brief Sends a message to an instance, which may be this one.
void tell(FleetTurn &T, Incarnation To, FleetMessage Message);

/// \brief Sends a message to all other coordinators, and to this instance.
void tellCoordinators(FleetTurn &T, const FleetMessage &Message);

/// \brief Adds a log line.
void log(FleetTurn &T, std::string_view What, uint64_t Job,
         std::vector<LogField> Fields, bool IsFinal = false);

/// \brief An instant or a duration for a log line.
inline std::string text(Milliseconds Time) {
  return std::to_string(Time.Count_);
}

} // namespace marjorambend::internal

#endif // MARJORAMBEND_FLEET_FLEETSTEP_H
