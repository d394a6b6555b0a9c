#ifndef MARJORAMBEND_FLEET_PLACERSTATE_H
#define MARJORAMBEND_FLEET_PLACERSTATE_H

#include "marjorambend/src/Fleet/FleetMessages.h"
#include "marjorambend/src/Scheduling/Overload.h"
#include "marjorambend/src/Scheduling/ReturnTimes.h"
#include "marjorambend/src/Scheduling/RunTimes.h"
#include "marjorambend/src/Scheduling/WaitingQueue.h"
#include "marjorambend/src/Scheduling/WorkerChoice.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace marjorambend {

/// \brief Position of a worker in the index of open workers.
struct WorkerIndexKey {
  int SlownessBucket_ = 0; ///< \sa slownessBucket
  std::string DataCentre_;
  int64_t FreeMilliCores_ = 0;
  std::vector<std::string> Labels_;
};

/// \brief Worker ids, ordered by their free thousandths of a core.
using WorkersByFreeCores = std::set<std::pair<int64_t, std::string>>;

/// \brief Index of open workers; saves a scan of all workers per choice.
struct WorkerIndex {
  /// By slowness bucket, the fastest first, then by data centre.
  std::map<int, std::map<std::string, WorkersByFreeCores>> BySlowness_;
  std::map<std::string, WorkersByFreeCores> ByLabel_;
  std::multiset<int64_t> FreeCores_; ///< Thousandths of a core per worker.
};

/// \brief A worker as known to the placer.
struct PlacerWorker {
  HeldWorker Held_;
  Incarnation Holder_;
  Room Reserved_; ///< By placements that are not released yet.
  Milliseconds BackOffUntil_;
  /// The holder reports it as open; Held_.IsOpen_ also requires that its data
  /// centre admits tasks. \sa isAdmitted
  bool IsReportedOpen_ = false;
  std::optional<WorkerIndexKey> Key_; ///< Not set if it is not indexed.
};

/// \brief The resources that a placed task reserves on a worker.
struct Reservation {
  uint32_t Task_ = 0;
  std::string Worker_;
  Room Amount_; ///< What the task needs; all that was free for a suspect task.
};

/// \brief A job as known to the placer.
struct PlacerJob {
  PlaceRequest Request_; ///< Lists only the tasks that still wait.
  Incarnation Origin_;
  std::string OriginDataCentre_;
  Milliseconds ArrivedAt_;
  Milliseconds ObjectiveAt_;
  Milliseconds GiveUpAt_;
  std::vector<Reservation> Reservations_;
  std::set<uint32_t> Suspects_;       ///< Waiting tasks that may crash workers.
  std::optional<WaitingJob> Waiting_; ///< Its entry in a queue.
  bool IsLate_ = false;               ///< The entry is in PlacerState::Late_.
  JobSize Size_;            ///< On arrival; set by AdmissionPolicy::LeastCost.
  bool IsAdmitted_ = false; ///< Otherwise in PlacerState::Unreviewed_, or late.
};

/// \brief Workers and waiting tasks of the whole fleet.
///
/// This is soft state: a new placer rebuilds it from the messages of holders
/// and origins.
struct PlacerState {
  std::map<std::string, PlacerWorker> Workers_;
  std::map<PlacerJobKey, PlacerJob> Jobs_;
  /// Waiting jobs that can meet their objective or have started.
  WaitingQueue InTime_;
  /// Jobs in time that have arrived since the last review, which admits or
  /// refuses them; only with AdmissionPolicy::LeastCost.
  WaitingQueue Unreviewed_;
  FairShares Shares_;
  Milliseconds SharesLoggedAt_;
  WaitingQueue Late_; ///< The other waiting jobs; moved there by ticks.
  WorkerIndex OpenWorkers_;
  double MedianSlowness_ = 1.0; ///< Of the open workers.
  FleetCapacity Capacity_;
  int64_t ReservedMilliCores_ = 0; ///< On open workers.
  /// Of all waiting tasks, in thousandths of a core times milliseconds.
  double WaitingWork_ = 0;
  Milliseconds SummarizedAt_; ///< When these were computed.
  bool IsDirty_ = false;      ///< Any waiting task may have become placeable.
  std::vector<PlacerJobKey> NewJobs_; ///< Not tried since their request.
  ReturnLedger Returns_;              ///< Used with AdmissionPolicy::LeastCost.
  RunTimes RunTimes_;
  /// By label of the worker; only if PlacerOptions::WaitsForData_ is set.
  std::map<std::string, ReleaseRate> Releases_;
};

/// \brief Number of jobs with waiting tasks.
inline std::size_t countWaitingJobs(const PlacerState &Placer) {
  return Placer.InTime_.Size_ + Placer.Unreviewed_.Size_ + Placer.Late_.Size_;
}

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_PLACERSTATE_H
