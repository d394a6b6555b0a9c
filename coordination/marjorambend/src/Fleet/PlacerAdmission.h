#ifndef MARJORAMBEND_FLEET_PLACERADMISSION_H
#define MARJORAMBEND_FLEET_PLACERADMISSION_H

#include "marjorambend/src/Fleet/FleetStep.h"
#include "marjorambend/src/Scheduling/LeastCost.h"

#include <vector>

namespace marjorambend::internal {

/// \brief Whether AdmissionPolicy::LeastCost is in force.
bool admitsByLeastCost(const FleetStepContext &Ctx);

/// \brief Rank of a job among those that wait.
Milliseconds queueRank(const FleetStepContext &Ctx, const PlacerJob &Job);

/// \brief Records a job that was not known; it awaits a review unless it has
/// started or the policy admits all.
void beginAdmission(FleetStepContext &Ctx, PlacerJob &Job);

/// \brief Admits a job of which a task was placed, and moves it ahead.
void recordPlacement(FleetStepContext &Ctx, PlacerJob &Job);

/// \brief Records a job that is about to be refused, for any cause.
void recordRefusal(FleetStepContext &Ctx, const PlacerJob &Job);

/// \brief Whether so much is reserved that jobs wait for want of capacity, and
/// not for a worker with a label or other property.
bool isFleetBusy(const FleetStepContext &Ctx);

/// \brief Reviews all waiting jobs: admits those that fit, and returns those to
/// refuse.
std::vector<AdmissionRefusal> admitWaitingJobs(FleetStepContext &Ctx);

} // namespace marjorambend::internal

#endif // MARJORAMBEND_FLEET_PLACERADMISSION_H
