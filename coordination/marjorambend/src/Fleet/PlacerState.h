#ifndef MARJORAMBEND_FLEET_PLACERSTATE_H
#define MARJORAMBEND_FLEET_PLACERSTATE_H

#include "marjorambend/src/Fleet/FleetMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
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
  std::optional<WorkerIndexKey> Key_; ///< Not set if it is not indexed.
};

/// \brief The resources that a placed task reserves on a worker.
struct Reservation {
  uint32_t Task_ = 0;
  std::string Worker_;
};

/// \brief Identifies a job by its origin and its number there.
using PlacerJobKey = std::pair<Incarnation, uint64_t>;

/// \brief Entry of a job in the queue of waiting jobs.
struct WaitingJob {
  Milliseconds Rank_; ///< Latest start; later for less urgent jobs.
  PlacerJobKey Key_;
  Milliseconds LatestStart_;
  /// Need of each task; copied here so that jobs are skipped without a lookup
  /// if no worker has as many cores free.
  int64_t MilliCores_ = 0;

  friend bool operator<(const WaitingJob &A, const WaitingJob &B) {
    return std::tie(A.Rank_, A.Key_) < std::tie(B.Rank_, B.Key_);
  }
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
  std::optional<WaitingJob> Waiting_; ///< Its entry in the queue.
};

/// \brief Workers and waiting tasks of the whole fleet.
///
/// This is soft state: a new placer rebuilds it from the messages of holders
/// and origins.
struct PlacerState {
  std::map<std::string, PlacerWorker> Workers_;
  std::map<PlacerJobKey, PlacerJob> Jobs_;
  std::set<WaitingJob> Waiting_; ///< Queue of jobs with waiting tasks.
  WorkerIndex OpenWorkers_;
  double MedianSlowness_ = 1.0;   ///< Of the open workers.
  Milliseconds MedianComputedAt_; ///< When it was computed.
  double Backlog_ = 0; ///< Time for the open workers to do all waiting
                       ///< work, in milliseconds.
  Milliseconds BacklogComputedAt_; ///< When it was computed.
  bool IsDirty_ = false; ///< A waiting task may have become placeable.
};

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_PLACERSTATE_H
