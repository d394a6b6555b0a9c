/// \file
/// \brief Which waiting jobs are too large for all workers.

#include "marjorambend/src/Fleet/PlacerStep.h"

#include <algorithm>

namespace marjorambend::internal {

// Whether the worker may get tasks of the job if it is large enough.
static bool isMeantFor(const PlacerJob &Job, const WorkerReport &Worker) {
  const std::string &Label = Job.Request_.Label_;
  return Worker.Service_ == Job.Request_.Service_ && !Worker.IsDraining_ &&
         (Label.empty() ||
          std::find(Worker.Labels_.begin(), Worker.Labels_.end(), Label) !=
              Worker.Labels_.end());
}

// The holders' reports may be newer than the list, and the list's capacity is
// not limited by a rejected start; so a worker counts by the greater of both.
bool exceedsAllWorkers(const FleetInstance &State, const PlacerJob &Job) {
  // While the list cannot be read, larger workers may have opened.
  if (!State.HasWorkerList_ || !State.IsListFresh_)
    return false;
  bool HasCandidates = false;
  const auto IsLargeEnough = [&](const WorkerReport &Worker) {
    const bool IsCandidate = isMeantFor(Job, Worker);
    HasCandidates = HasCandidates || IsCandidate;
    return IsCandidate && fits(Job.Request_.Needs_, Worker.Capacity_) &&
           !isEvacuated(State.Evacuations_, Worker.DataCentre_);
  };
  for (const auto &[Id, Worker] : State.ListedWorkers_) {
    if (IsLargeEnough(Worker))
      return false;
  }
  for (const auto &[Id, Worker] : State.Placing_.Workers_) {
    if (IsLargeEnough(Worker.Held_.Report_))
      return false;
  }
  return HasCandidates;
}

std::string_view whyExceedsAllWorkers(const FleetInstance &State) {
  return State.Evacuations_.DataCentres_.empty()
             ? "no worker is large enough"
             : "no worker outside evacuated data centres is large enough";
}

} // namespace marjorambend::internal
