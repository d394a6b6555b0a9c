#ifndef MARJORAMBEND_FLEET_FLEET_H
#define MARJORAMBEND_FLEET_FLEET_H

#include "marjorambend/src/Fleet/FleetActions.h"
#include "marjorambend/src/Fleet/FleetEvents.h"
#include "marjorambend/src/Fleet/FleetOptions.h"
#include "marjorambend/src/Fleet/OriginJob.h"
#include "marjorambend/src/Fleet/PlacerState.h"
#include "marjorambend/src/Fleet/Roster.h"
#include "marjorambend/src/Fleet/WorkerHold.h"
#include "marjorambend/src/Support/Counters.h"
#include "marjorambend/src/Support/Histogram.h"
#include "marjorambend/src/Support/Random.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace marjorambend {

/// \brief Another instance with an open session.
struct FleetMember {
  InstanceInfo Info_;
  InstanceStatus Status_;
  Milliseconds HeardAt_;
  Milliseconds LastSentAt_;   ///< When it was last told anything.
  Milliseconds StatusSentAt_; ///< When it was last told this instance's status.
  /// Since when work is shared with it, if it is. \sa workSharedSince
  std::optional<Milliseconds> WorkSharedSince_;
};

/// \brief Where the time of jobs goes.
struct FleetTimes {
  /// From the arrival of a job to its answer.
  std::array<Histogram, JobOutcomeCount> Answers_;
  /// The same by the name of the route; only of routes that there are.
  std::map<std::string, std::array<Histogram, JobOutcomeCount>> ByRoute_;
  Histogram Placing_; ///< From the arrival of a job to a task's worker.
  Histogram Starts_;  ///< From a start order to the worker's answer.
  Histogram Runs_;    ///< Of tasks that are done.
};

/// \brief The counters and times of an instance in the usual text form; ages
/// are those at \p Now.
std::string renderMetrics(const struct FleetInstance &State, Milliseconds Now);

/// \brief Whether a line has an event and fields of LogLines.def.
bool isDeclaredLogLine(const LogDecision &Line);

/// \brief The whole state of one instance's decisions on a fleet of workers
/// that run tasks under leases.
///
/// An instance is the origin of the jobs that callers bring to it. A
/// coordinator also holds some workers, and at times places tasks for all.
struct FleetInstance {
  FleetOptions Options_;
  InstanceInfo Self_;
  Random Generator_;
  Counters Counters_;
  FleetTimes Times_;
  bool HasTicked_ = false;
  Milliseconds StartedAt_;
  Milliseconds LastTick_;
  Milliseconds PauseSettledAt_; ///< Until then submissions may be stale.
  InstanceStatus SentStatus_;   ///< What the others know.
  bool IsStopping_ = false;
  Milliseconds StoppingSince_;

  FleetConfig Config_; ///< Version 0: none yet.
  std::map<std::string, WorkerReport> ListedWorkers_;
  bool HasWorkerList_ = false;
  bool IsListFresh_ = false;      ///< The last read of the list has succeeded.
  Milliseconds KeepMissingUntil_; ///< Workers that the list lacks stay.
  Milliseconds ListNewsAt_;       ///< Of the last news of another reader.
  Milliseconds ListReadAt_;       ///< When this instance last read it.
  Milliseconds ConfigNewsAt_;     ///< When a reader last followed the store.
  Milliseconds ConfigReadAt_;     ///< When this instance last did.

  std::map<Incarnation, FleetMember> Members_;
  Roster Roster_;
  std::set<LinkAddress> RequestedLinks_; ///< Sessions that were asked for.
  Milliseconds NextRosterReview_;
  bool IsCoordinating_ = false;
  Milliseconds CoordinatingChangedAt_; ///< When that changed.
  /// Workers that other instances hold.
  std::map<std::string, Incarnation> HeldByOthers_;
  Incarnation Placer_; ///< Who places our tasks.

  std::unordered_map<uint64_t, OriginJob> Jobs_; ///< By number.
  std::unordered_map<uint64_t, uint64_t> JobByToken_;
  std::unordered_map<uint64_t, uint64_t> JobById_;
  std::set<std::pair<Milliseconds, uint64_t>> GiveUpTimes_;
  uint64_t NextJobNumber_ = 1;

  std::map<std::string, WorkerHold> Holds_;
  std::map<std::string, Milliseconds> FencedUntil_;
  /// The highest fencing token that was made here or heard of, or the store's
  /// clock as one.
  uint64_t HighestToken_ = 0;
  /// What new tokens are above; without those made here since the last tick, so
  /// that a wave of claims does not run ahead of the clock.
  uint64_t TokenBase_ = 0;
  /// When an instance of a data centre that has none any more was last heard.
  std::map<std::string, Milliseconds> DataCentreHeardAt_;
  Milliseconds NextHoldReview_;

  PlacerState Placing_;
};

/// \brief Makes an instance that knows nothing yet.
FleetInstance makeFleetInstance(FleetOptions Options, uint64_t Seed);

/// \brief Decides what follows from one event.
FleetActions step(FleetInstance &State, FleetEvent Happened, Milliseconds Now);

/// \brief Whether callers may be sent here.
bool isReady(const FleetInstance &State);

/// \brief Whether nothing is left that a planned stop has to wait for.
bool isIdle(const FleetInstance &State);

/// \brief Since when this instance and \p Run share work, so that each has to
/// hear the other often; nothing if they do not.
std::optional<Milliseconds> workSharedSince(const FleetInstance &State,
                                            Incarnation Run);

/// \brief Whether this instance reads the platform's list for its data centre.
bool isReader(const FleetInstance &State, Milliseconds Now);

/// \brief Whether this instance should read the list itself now: it is the
/// reader, or there was no news of one for too long.
bool shouldReadList(const FleetInstance &State, Milliseconds Now);

/// \brief Whether this instance should follow the configuration itself.
bool shouldFollowConfig(const FleetInstance &State, Milliseconds Now);

/// \brief What a caller may be told of a job's state.
enum class JobState : uint8_t { Unknown, Queued, Active };

/// \brief The state of the job \p Id, if it is here and has no answer yet.
JobState stateOf(const FleetInstance &State, uint64_t Id);

/// \brief Jobs of the route \p Name that wait here with no task started.
std::size_t countPendingJobs(const FleetInstance &State, std::string_view Name);

/// \brief The route for \p Host and \p Path with the longest prefix, or
/// nullptr.
const Route *findRoute(const FleetConfig &Config, std::string_view Host,
                       std::string_view Path);

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_FLEET_H
