#ifndef MARJORAMBEND_FLEET_PLACEMENT_H
#define MARJORAMBEND_FLEET_PLACEMENT_H

#include "marjorambend/src/Fleet/FleetOptions.h"
#include "marjorambend/src/Fleet/PlacerState.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace marjorambend {

/// \brief What one task wants of a worker.
struct TaskRequirements {
  const PlacerJob &Job_;
  /// Latest end of the run, or nothing if any end will do.
  std::optional<Milliseconds> LatestEnd_;
  double MedianSlowness_ = 1.0; ///< Of the fleet's faster half.
};

/// \brief Expected run time of a task of \p Job on \p Worker.
Milliseconds expectedRunTime(const PlacerJob &Job, const PlacerWorker &Worker,
                             double UsualSlowness);

/// \brief Chooses a worker with room: the shortest expected run, among similar
/// ones a worker of the caller's data centre, among those the tightest fit.
///
/// Of each class of pace and data centre only the tightest fit is looked at, so
/// that the cost does not grow with the workers.
///
/// \returns the worker's entry, or the end of the workers if none will do.
/// \sa PlacerOptions::SimilarRunTime_
std::map<std::string, PlacerWorker>::iterator
chooseWorker(PlacerState &Placing, const TaskRequirements &Wish,
             const PlacerOptions &Options, Milliseconds Now);

/// \brief Class of workers of about the same pace; greater ones are slower.
int slownessBucket(double Slowness);

/// \brief Gives the worker its place in the index, or takes it out if it is
/// closed; to be called after each change of it.
void updateWorkerIndex(PlacerState &Placing, const std::string &Id,
                       PlacerWorker &Worker);

/// \brief Forgets a worker.
void removeWorker(PlacerState &Placing, const std::string &Id);

/// \brief Whether \p Worker could run tasks of \p Job when it is empty.
bool isEligible(const PlacerJob &Job, const PlacerWorker &Worker);

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_PLACEMENT_H
