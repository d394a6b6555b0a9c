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

/// \brief Where a worker stands in the index of open workers.
struct WorkerIndexKey {
  int SlownessBucket_ = 0; ///< \sa paceClass
  std::string DataCentre_;
  int64_t FreeMilliCores_ = 0;
  std::vector<std::string> Labels_;
};

/// \brief Workers by their free thousandths of a core.
using WorkersByFreeCores = std::set<std::pair<int64_t, std::string>>;

/// \brief Open workers, so that one is chosen without a look at all of them.
struct WorkerIndex {
  /// By class of pace, the fast ones first, then by data centre.
  std::map<int, std::map<std::string, WorkersByFreeCores>> BySlowness_;
  std::map<std::string, WorkersByFreeCores> ByLabel_;
  std::multiset<int64_t> FreeCores_; ///< Thousandths of a core, of each.
};

/// \brief A worker as the placing instance sees it.
struct PlacerWorker {
  HeldWorker Held_;
  Incarnation Holder_;
  Room Reserved_; ///< By placements that were not released.
  Milliseconds BackOffUntil_;
  std::optional<WorkerIndexKey>
      Key_; ///< Its place in the index; nothing: none.
};

/// \brief Room that a placed task takes.
struct Reservation {
  uint32_t Task_ = 0;
  std::string Worker_;
};

/// \brief Names a job among those of all instances.
using PlacerJobKey = std::pair<Incarnation, uint64_t>;

/// \brief A job in the order in which waiting jobs are served.
struct WaitingJob {
  Milliseconds Rank_; ///< Last chance to be in time, less its urgency's lead.
  PlacerJobKey Key_;
  Milliseconds LatestStart_;
  int64_t MilliCores_ = 0; ///< Of each task; here, so that a full fleet is
                           ///< passed over without a look at the job.

  friend bool operator<(const WaitingJob &A, const WaitingJob &B) {
    return std::tie(A.Rank_, A.Key_) < std::tie(B.Rank_, B.Key_);
  }
};

/// \brief A job at the placing instance.
struct PlacerJob {
  PlaceRequest Request_; ///< Its tasks are those that wait.
  Incarnation Origin_;
  std::string OriginDataCentre_;
  Milliseconds ArrivedAt_;
  Milliseconds ObjectiveAt_;
  Milliseconds GiveUpAt_;
  std::vector<Reservation> Reservations_;
  std::optional<WaitingJob> Waiting_; ///< Its entry among those that wait.
};

/// \brief The whole fleet's workers and waiting tasks.
///
/// All of it is soft: it is built anew from what holders and origins tell.
struct PlacerState {
  std::map<std::string, PlacerWorker> Workers_;
  std::map<PlacerJobKey, PlacerJob> Jobs_;
  std::set<WaitingJob> Waiting_; ///< Jobs with tasks that wait.
  WorkerIndex OpenWorkers_;
  double MedianSlowness_ = 1.0;   ///< Of the open workers' middle.
  Milliseconds MedianComputedAt_; ///< When it was computed.
  double Backlog_ = 0; ///< Milliseconds of work for all open workers.
  Milliseconds BacklogComputedAt_; ///< When it was computed.
  bool IsDirty_ = false;           ///< Something may be placeable that was not.
};

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_PLACERSTATE_H
