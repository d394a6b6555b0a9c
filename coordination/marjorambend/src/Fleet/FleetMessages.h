#ifndef MARJORAMBEND_FLEET_FLEETMESSAGES_H
#define MARJORAMBEND_FLEET_FLEETMESSAGES_H

#include "marjorambend/src/Fleet/FleetTypes.h"

#include <string>
#include <variant>
#include <vector>

namespace marjorambend {

/// \brief Sent at each heartbeat: what the others need to know of an instance.
struct InstanceStatus {
  bool IsReady_ = false;
  bool IsStopping_ = false;
  /// It takes workers, and may place and read for others.
  bool IsCoordinating_ = false;
  uint64_t HighestToken_ = 0; ///< Of all fencing tokens that it knows of.
};

/// \brief Workers whose state at their holder has changed.
struct WorkersHeld {
  std::vector<HeldWorker> Workers_;
  uint64_t HighestToken_ = 0; ///< None that the sender has used is above it.
};

/// \brief How fast a held worker is.
struct WorkerPace {
  std::string Id_;
  double Slowness_ = 1.0; ///< Learnt run time by the estimates.
};

/// \brief What was learnt of held workers since the placer was last told.
struct WorkerPaces {
  std::vector<WorkerPace> Workers_;
};

/// \brief Workers that the sender holds no longer.
struct WorkersDropped {
  std::vector<std::string> Ids_;
};

/// \brief Asks the placing instance for workers for tasks of one job.
struct PlaceRequest {
  uint64_t Job_ = 0; ///< Number of the job at its origin.
  uint64_t Id_ = 0;  ///< The caller's identity, for logs.
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
};

/// \brief The tasks of a job that still wait are not wanted any more.
struct PlaceWithdraw {
  uint64_t Job_ = 0;
};

/// \brief The run of a placed task is over; its room is free again.
struct PlaceRelease {
  uint64_t Job_ = 0;
  uint32_t Task_ = 0;
  RunEnd End_ = RunEnd::Done;
};

/// \brief A task may start on a worker.
struct Placement {
  uint32_t Task_ = 0;
  std::string Worker_;
  Incarnation Holder_;
  int64_t FreeMilliCores_ = 0; ///< Of the worker, before this.
  Milliseconds ViewAge_;       ///< Since the holder's last word.
};

/// \brief Workers for some tasks of a job.
struct Placed {
  uint64_t Job_ = 0;
  std::vector<Placement> Tasks_;
};

/// \brief The waiting tasks of a job cannot be served in time.
struct PlaceRefused {
  uint64_t Job_ = 0;
  Milliseconds RetryAfter_;
};

/// \brief Tells a new placing instance of a placement by another one.
struct PlaceAdopt {
  uint64_t Job_ = 0;
  uint32_t Task_ = 0;
  std::string Worker_;
  Room Needs_;
};

/// \brief A run that is to start on a worker.
struct OrderedRun {
  RunId Run_;
  std::string Worker_;
};

/// \brief Asks the holder of some workers to start runs of one job there.
struct StartOrder {
  uint64_t Job_ = 0; ///< Number of the job at its origin.
  Room Needs_;       ///< Of each run.
  Milliseconds Estimate_;
  std::string Spec_;
  std::vector<OrderedRun> Runs_;
};

/// \brief Asks the holder of a worker to stop a run.
struct StopOrder {
  RunId Run_;
  std::string Worker_;
};

/// \brief A run is over, as its holder tells the origin of the job.
struct RunEnded {
  uint64_t Job_ = 0;
  RunId Run_;
  std::string Worker_;
  RunEnd End_ = RunEnd::Done;
  Milliseconds Ran_;
};

/// \brief What the reader of a data centre has found in the platform's list.
struct ListNews {
  std::vector<WorkerReport> Changed_; ///< New ones too.
  std::vector<std::string> Removed_;
  uint64_t Fingerprint_ = 0; ///< Of the whole list.
};

/// \brief How recent the configuration of a data centre's reader is.
struct ConfigFreshness {
  Milliseconds Age_;     ///< Since the reader last followed the store.
  uint64_t Version_ = 0; ///< What the reader has in force.
};

/// \brief All instances that the sender knows of.
struct RosterNews {
  std::vector<InstanceInfo> Instances_;
};

/// \brief Asks another instance which instances it knows of.
struct RosterQuery {};

/// \brief A newer configuration, as the platform's store has it.
struct ConfigNews {
  uint64_t Version_ = 0;
  std::string Text_;
};

/// \brief Everything that instances say to each other.
using FleetMessage =
    std::variant<InstanceStatus, WorkersHeld, WorkersDropped, PlaceRequest,
                 PlaceWithdraw, PlaceRelease, PlaceAdopt, Placed, PlaceRefused,
                 StartOrder, StopOrder, RunEnded, ListNews, ConfigNews,
                 ConfigFreshness, WorkerPaces, RosterNews, RosterQuery>;

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_FLEETMESSAGES_H
