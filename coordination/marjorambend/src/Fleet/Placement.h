#ifndef MARJORAMBEND_FLEET_PLACEMENT_H
#define MARJORAMBEND_FLEET_PLACEMENT_H

#include "marjorambend/src/Fleet/FleetOptions.h"
#include "marjorambend/src/Fleet/PlacerState.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace marjorambend {

/// \brief Constraints on the worker for one task.
struct TaskRequirements {
  const PlacerJob &Job_;
  /// Latest expected end of the run; no limit if not set.
  std::optional<Milliseconds> LatestEnd_;
  double MedianSlowness_ = 1.0; ///< Of all open workers.
};

/// \brief Expected run time of a task of \p Job on \p Worker.
/// \param RemoteFactor \sa PlacerOptions::RemoteFactor_
Milliseconds expectedRunTime(const PlacerJob &Job, const PlacerWorker &Worker,
                             double MedianSlowness, double RemoteFactor);

/// \brief Whether the data of \p Job is in another rack than \p Worker.
bool isRemote(const PlacerJob &Job, const PlacerWorker &Worker);

/// \brief Expected run time of a task of \p Job on \p Worker, relative to the
/// estimate.
double runTimeFactor(const PlacerJob &Job, const PlacerWorker &Worker,
                     double MedianSlowness, double RemoteFactor);

/// \brief Chooses a worker with enough free resources: the shortest expected
/// run time first, among similar ones a worker in the caller's data centre,
/// among those the best fit.
///
/// Only the best fit of each slowness bucket and data centre is considered, so
/// that the cost does not grow with the number of workers.
///
/// \returns the worker's entry, or the end of the workers if none qualifies.
/// \sa PlacerOptions::RunTimeTolerance_
std::map<std::string, PlacerWorker>::iterator
chooseWorker(PlacerState &Placer, const TaskRequirements &Requirements,
             const PlacerOptions &Options, Milliseconds Now);

/// \brief Chooses the eligible worker with the least other work, for a task
/// that may crash it, if possible with none of the labels \p Avoid.
///
/// \returns the worker's entry, or the end of the workers if none has room.
std::map<std::string, PlacerWorker>::iterator
chooseIsolatedWorker(PlacerState &Placer, const PlacerJob &Job,
                     const std::set<std::string> &Avoid, Milliseconds Now);

/// \brief Bucket of workers of similar slowness; higher buckets are slower.
int slownessBucket(double Slowness);

/// \brief Updates the index entry of a worker, or removes it if the worker is
/// closed. Must be called after each change of the worker.
void updateWorkerIndex(PlacerState &Placer, const std::string &Id,
                       PlacerWorker &Worker);

/// \brief Removes a worker and its index entry.
void removeWorker(PlacerState &Placer, const std::string &Id);

/// \brief Whether \p Worker could run a task of \p Job if it were idle.
bool isEligible(const PlacerJob &Job, const PlacerWorker &Worker);

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_PLACEMENT_H
