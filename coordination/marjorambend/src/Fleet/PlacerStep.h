#ifndef MARJORAMBEND_FLEET_PLACERSTEP_H
#define MARJORAMBEND_FLEET_PLACERSTEP_H

#include "marjorambend/src/Fleet/FleetStep.h"

#include <string>

namespace marjorambend::internal {

/// \brief Changes what is reserved on a worker, if it is known.
void addReservation(PlacerState &Placer, const std::string &Id,
                    const Room &More);

/// \brief The queue that the job's entry belongs to.
inline WaitingQueue &queueOf(PlacerState &Placer, const PlacerJob &Job) {
  if (Job.IsLate_)
    return Placer.Late_;
  return Job.IsAdmitted_ ? Placer.InTime_ : Placer.Unreviewed_;
}

/// \brief Work of the waiting tasks, in thousandths of a core times
/// milliseconds.
inline double waitingWork(const PlacerJob &Job) {
  const PlaceRequest &Request = Job.Request_;
  return static_cast<double>(Request.Tasks_.size()) *
         static_cast<double>(Request.Needs_.MilliCores_) *
         static_cast<double>(Request.Estimate_.Count_);
}

/// \brief What a task reserves on a worker: its needs, or all that is free for
/// a suspect task.
Room amountToReserve(const PlacerState &Placer, const std::string &Worker,
                     const Room &Needs, bool IsSuspect);

/// \brief Removes a job without waiting tasks from its queue, and altogether if
/// nothing is reserved for it.
void removeIfDone(PlacerState &Placer, const PlacerJobKey &Key);

/// \brief Whether workers that could run the job are listed, and all of them
/// are too small, even when idle, or in evacuated data centres.
bool exceedsAllWorkers(const FleetInstance &State, const PlacerJob &Job);

/// \brief Reason for the refusal of such a job.
std::string_view whyExceedsAllWorkers(const FleetInstance &State);

/// \brief Updates the times promised to refused callers; called in each tick.
void reviewReturns(FleetStepContext &Ctx);

/// \brief Chooses when the caller of a refused job returns.
/// \param Work of its waiting tasks, in thousandths of a core times
/// milliseconds.
Milliseconds returnDelay(FleetStepContext &Ctx, const PlacerJob &Job,
                         double Work, Milliseconds MinRetryAfter);

/// \brief Whether a task of the job runs or has run.
inline bool isStarted(const PlacerJob &Job) {
  return Job.Request_.IsStarted_ || !Job.Reservations_.empty();
}

/// \brief Latest start at which a task of the estimated run time meets the
/// objective.
inline Milliseconds latestStart(const PlacerJob &Job) {
  return Job.ObjectiveAt_ - Job.Request_.Estimate_;
}

} // namespace marjorambend::internal

#endif // MARJORAMBEND_FLEET_PLACERSTEP_H
