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
#include <deque>
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
  Milliseconds HeardAt_; ///< When a message last arrived, or the session began.
  Milliseconds LastSentAt_;   ///< When any message was last sent to it.
  Milliseconds StatusSentAt_; ///< When this instance's status was last sent.
  /// Since when work is shared with it; not set if none is. \sa workSharedSince
  std::optional<Milliseconds> WorkSharedSince_;
};

/// \brief Latency histograms of jobs and runs.
struct FleetTimes {
  /// From the arrival of a job to its answer.
  std::array<Histogram, JobOutcomeCount> Answers_;
  /// The same by route name; only for routes of the configuration.
  std::map<std::string, std::array<Histogram, JobOutcomeCount>> ByRoute_;
  Histogram Placing_; ///< From the arrival of a job to the placement of a task.
  Histogram Starts_;  ///< From a start order to the worker's answer.
  Histogram Runs_;    ///< Of completed tasks.
};

/// \brief Renders the metrics of an instance in the Prometheus text format;
/// ages are relative to \p Now.
std::string renderMetrics(const struct FleetInstance &State, Milliseconds Now);

/// \brief Whether LogLines.def declares the event and fields of a line.
bool isDeclaredLogLine(const LogDecision &Line);

/// \brief State of one instance; step() derives all decisions from it.
///
/// An instance is the origin of the jobs that callers send to it. A coordinator
/// also holds some workers under leases, and may be the placer of all tasks.
struct FleetInstance {
  FleetOptions Options_;
  InstanceInfo Self_;
  Random Generator_;
  Counters Counters_;
  FleetTimes Times_;
  bool HasTicked_ = false;
  Milliseconds StartedAt_;
  Milliseconds LastTick_;
  Milliseconds PauseSettledAt_; ///< Submissions before this may be stale.
  InstanceStatus SentStatus_;   ///< Last status sent to the others.
  bool IsStopping_ = false;
  Milliseconds StoppingSince_;

  FleetConfig Config_; ///< Version 0: no configuration yet.
  std::map<std::string, WorkerReport> ListedWorkers_;
  bool HasWorkerList_ = false;
  bool IsListFresh_ = false;      ///< The last read of the list succeeded.
  Milliseconds KeepMissingUntil_; ///< Workers missing in the list are kept.
  Milliseconds ListNewsAt_;       ///< When another reader last sent the list.
  Milliseconds ListReadAt_;       ///< When this instance last read it.
  Milliseconds ConfigNewsAt_;     ///< When a reader last matched the store.
  Milliseconds ConfigReadAt_;     ///< When this instance last did so.
  /// Newest version received from another instance, perhaps not decoded yet.
  uint64_t ReceivedConfigVersion_ = 0;
  Evacuations Evacuations_; ///< Of the whole fleet, as distributed with that.

  std::map<Incarnation, FleetMember> Members_;
  Roster Roster_;
  std::set<LinkAddress> RequestedLinks_; ///< As in the last LinkInstances.
  Milliseconds NextRosterReview_;
  bool IsCoordinating_ = false;
  Milliseconds CoordinatingChangedAt_; ///< When IsCoordinating_ last changed.
  /// Holders of the workers that other instances hold.
  std::map<std::string, Incarnation> HeldByOthers_;
  Incarnation Placer_; ///< Places the tasks of this instance.

  /// Jobs that wait for the first configuration, with their arrival.
  std::vector<std::pair<Milliseconds, JobSubmission>> EarlyJobs_;
  std::unordered_map<uint64_t, OriginJob> Jobs_; ///< By number.
  /// Numbers of jobs by the token of an open request.
  std::unordered_map<uint64_t, uint64_t> JobByToken_;
  /// Numbers of jobs by the job identity chosen by the caller.
  std::unordered_map<uint64_t, uint64_t> JobById_;
  /// When jobs are given up, with their numbers.
  std::set<std::pair<Milliseconds, uint64_t>> GiveUpTimes_;
  uint64_t NextJobNumber_ = 1;
  PendingCancels Cancels_;

  std::map<std::string, WorkerHold> Holds_;
  /// Until when workers are not claimed again, by worker id.
  /// \sa HolderOptions::ReclaimDelay_
  std::map<std::string, Milliseconds> FencedUntil_;
  /// The highest fencing token created here or received, or the store's clock
  /// as a token if that is higher.
  uint64_t HighestToken_ = 0;
  /// Lower bound of new tokens. Excludes tokens created here since the last
  /// tick, so that a burst of claims does not run ahead of the clock.
  uint64_t TokenBase_ = 0;
  /// When a message last arrived from any instance of a data centre; updated
  /// when a session ends.
  std::map<std::string, Milliseconds> DataCentreHeardAt_;
  Milliseconds NextHoldReview_;
  CrashLedger Crashes_; ///< Of the workers of the whole fleet.
  /// Runs of this origin's jobs; \sa CrashOptions::OrphanWindow_
  std::deque<OrphanedRun> OrphanedRuns_;

  PlacerState Placing_;
};

/// \brief Creates an instance in its initial state.
FleetInstance makeFleetInstance(FleetOptions Options, uint64_t Seed);

/// \brief Handles one event and returns the actions that follow from it.
FleetActions step(FleetInstance &State, FleetEvent Event, Milliseconds Now);

/// \brief Whether this instance is ready for callers.
bool isReady(const FleetInstance &State);

/// \brief Whether no jobs or held workers are left, so that a planned stop can
/// finish.
bool isIdle(const FleetInstance &State);

/// \brief Since when this instance and \p Run share work, which requires
/// frequent heartbeats; not set if they do not.
std::optional<Milliseconds> workSharedSince(const FleetInstance &State,
                                            Incarnation Run);

/// \brief Whether this instance reads the platform's list for its data centre.
bool isReader(const FleetInstance &State, Milliseconds Now);

/// \brief Whether this instance should read the list itself now: it is the
/// reader, or the last message from the reader is too old.
bool shouldReadList(const FleetInstance &State, Milliseconds Now);

/// \brief Whether this instance should read the configuration itself now.
bool shouldFollowConfig(const FleetInstance &State, Milliseconds Now);

/// \brief State of a job as reported to callers.
enum class JobState : uint8_t { Unknown, Queued, Active };

/// \brief State of the job \p Id; Unknown if it is not here or is answered.
JobState stateOf(const FleetInstance &State, uint64_t Id);

/// \brief Number of open jobs of the route \p Name with no task started.
std::size_t countPendingJobs(const FleetInstance &State, std::string_view Name);

/// \brief Finds the route for \p Host with the longest prefix of \p Path;
/// nullptr if there is none.
const Route *findRoute(const FleetConfig &Config, std::string_view Host,
                       std::string_view Path);

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_FLEET_H
