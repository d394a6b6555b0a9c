#ifndef MARJORAMBEND_FLEET_FLEETMESSAGES_H
#define MARJORAMBEND_FLEET_FLEETMESSAGES_H

#include "marjorambend/src/Fleet/Cancels.h"
#include "marjorambend/src/Fleet/CrashLedger.h"
#include "marjorambend/src/Fleet/Evacuation.h"
#include "marjorambend/src/Fleet/FleetTypes.h"

#include <string>
#include <variant>
#include <vector>

namespace marjorambend {

/// \brief Status of an instance, sent with each heartbeat.
struct InstanceStatus {
  bool IsReady_ = false;
  bool IsStopping_ = false;
  /// It holds workers, and may place tasks and read the store for others.
  bool IsCoordinating_ = false;
  uint64_t HighestToken_ = 0; ///< Of all known fencing tokens.
};

/// \brief Held workers whose state has changed.
struct WorkersHeld {
  std::vector<HeldWorker> Workers_;
  uint64_t HighestToken_ = 0; ///< Not below any token that the sender has used.
};

/// \brief Slowness of a held worker.
struct WorkerPace {
  std::string Id_;
  double Slowness_ = 1.0; ///< Learnt ratio of run times to their estimates.
};

/// \brief Changes of the learnt slowness since the last message to the placer.
struct WorkerPaces {
  std::vector<WorkerPace> Workers_;
};

/// \brief Workers that the sender no longer holds.
struct WorkersDropped {
  std::vector<std::string> Ids_;
};

/// \brief Asks the placer for workers for tasks of one job.
struct PlaceRequest {
  uint64_t Job_ = 0; ///< Number of the job at its origin.
  uint64_t Id_ = 0;  ///< The job identity chosen by the caller, for logs.
  std::string Route_;
  std::string Service_;
  std::vector<uint32_t> Tasks_;
  Room Needs_; ///< Of each task.
  Milliseconds Estimate_;
  uint32_t Priority_ = 0;
  Milliseconds ObjectiveIn_; ///< Time left until the answer counts as late.
  Milliseconds GiveUpIn_;    ///< Time left until the answer is of no use.
  std::string Label_;
  std::string DataRack_;
  uint32_t MaxPerWorker_ = 0;
  /// Holders that the origin cannot reach.
  std::vector<Incarnation> Avoid_;
  bool IsStarted_ = false; ///< A task of the job runs or may have run.
  bool IsSuspect_ = false; ///< The tasks may crash workers; \sa isSuspect
};

/// \brief Withdraws the waiting tasks of a job.
struct PlaceWithdraw {
  uint64_t Job_ = 0;
};

/// \brief Releases the reservation of a placed task whose run is over.
struct PlaceRelease {
  uint64_t Job_ = 0;
  uint32_t Task_ = 0;
  RunEnd End_ = RunEnd::Done;
  /// Set if the origin rejects a placement: the task may have another
  /// reservation then, if the placer has changed and changed back. Empty
  /// otherwise, to save bytes between data centres.
  std::string Worker_;
  /// Run time of a completed task in per cent of its estimate; 0 if not
  /// reported. \sa PlacerOptions::LearnsRunTimes_
  uint16_t RanPercent_ = 0;
};

/// \brief Assigns a task to a worker.
struct Placement {
  uint32_t Task_ = 0;
  std::string Worker_;
  Incarnation Holder_;
  int64_t FreeMilliCores_ = 0; ///< Of the worker, before this task.
  Milliseconds ViewAge_;       ///< Time since the holder's last message.
};

/// \brief Placements of tasks of a job.
struct Placed {
  uint64_t Job_ = 0;
  std::vector<Placement> Tasks_;
};

/// \brief The waiting tasks of a job cannot be served in time.
struct PlaceRefused {
  uint64_t Job_ = 0;
  Milliseconds RetryAfter_;
};

/// \brief Hands a placement by another instance over to the new placer.
struct PlaceAdopt {
  uint64_t Job_ = 0;
  uint32_t Task_ = 0;
  std::string Worker_;
  Room Needs_;
  bool IsSuspect_ = false; ///< It should have the worker for itself.
};

/// \brief A run to start on a worker.
struct OrderedRun {
  RunId Run_;
  std::string Worker_;
};

/// \brief Asks the holder of some workers to start runs of one job on them.
struct StartOrder {
  uint64_t Job_ = 0; ///< Number of the job at its origin.
  Room Needs_;       ///< Of each run.
  Milliseconds Estimate_;
  std::string Spec_;
  std::vector<OrderedRun> Runs_;
  uint32_t MaxPerWorker_ = 0; ///< Tasks of the job on one worker; 0: no limit.
};

/// \brief Asks the holder of a worker to stop a run.
struct StopOrder {
  RunId Run_;
  std::string Worker_;
};

/// \brief Reports the end of a run to the origin of its job.
struct RunEnded {
  uint64_t Job_ = 0;
  RunId Run_;
  std::string Worker_;
  RunEnd End_ = RunEnd::Done;
  Milliseconds Ran_;
};

/// \brief Changes in the platform's list of workers, sent by the reader of a
/// data centre.
struct ListNews {
  std::vector<WorkerReport> Changed_; ///< Including new workers.
  std::vector<std::string> Removed_;
  uint64_t Fingerprint_ = 0; ///< Of the whole list.
};

/// \brief Age of the configuration at the reader of a data centre, and the
/// evacuated data centres, which are read with it.
struct ConfigFreshness {
  Milliseconds Age_;     ///< Since the reader last matched the store.
  uint64_t Version_ = 0; ///< In force at the reader.
  uint64_t EvacuationsVersion_ = 0; ///< 0: the sender has not read them.
  DataCentreNames Evacuated_;
};

/// \brief All instances known to the sender.
struct RosterNews {
  std::vector<InstanceInfo> Instances_;
};

/// \brief Asks another instance for its known instances.
struct RosterQuery {};

/// \brief A newer configuration, as the text in the platform's store.
struct ConfigNews {
  uint64_t Version_ = 0;
  std::string Text_;
};

/// \brief Workers that have crashed, or were only silent.
struct CrashNews {
  std::vector<WorkerCrash> Crashes_;
  std::vector<WorkerIncarnation> Withdrawn_;
};

/// \brief Asks an instance to cancel a job if it is open there.
struct CancelRequest {
  uint64_t Id_ = 0; ///< The job identity chosen by the caller.
  /// Whether the sender asks all instances itself; otherwise the recipient
  /// asks them on its behalf.
  bool IsForwarded_ = false;
};

/// \brief Answers a CancelRequest.
struct CancelAnswered {
  uint64_t Id_ = 0;
  CancelResult Result_ = CancelResult::Unknown;
};

/// \brief Any message between instances.
using FleetMessage =
    std::variant<InstanceStatus, WorkersHeld, WorkersDropped, PlaceRequest,
                 PlaceWithdraw, PlaceRelease, PlaceAdopt, Placed, PlaceRefused,
                 StartOrder, StopOrder, RunEnded, ListNews, ConfigNews,
                 ConfigFreshness, WorkerPaces, RosterNews, RosterQuery,
                 CrashNews, CancelRequest, CancelAnswered>;

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_FLEETMESSAGES_H
