/// \file
/// \brief Chooses the instance that places the tasks of this one.

#include "marjorambend/src/Fleet/OriginStep.h"

#include <utility>

namespace marjorambend::internal {

static void moveReservations(FleetStepContext &Ctx, OriginJob &Job) {
  for (uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
    OriginTask &Task = Job.Tasks_[Index];
    if (Task.Phase_ != OriginTaskPhase::Dispatched)
      continue;
    if (isReachable(Ctx.State_, Task.Placer_))
      sendMessage(Ctx, Task.Placer_,
                  PlaceRelease{Job.Number_, Index, RunEnd::Done});
    Task.Placer_ = Ctx.State_.Placer_;
    const TaskId Id{Job.Submission_.Id_, Index};
    sendMessage(
        Ctx, Task.Placer_,
        PlaceAdopt{.Job_ = Job.Number_,
                   .Task_ = Index,
                   .Worker_ = Task.Worker_,
                   .Needs_ = Job.Submission_.Needs_,
                   .IsSuspect_ = isSuspect(Ctx.State_.Crashes_, Id,
                                           Ctx.State_.Options_.Crashes_)});
  }
}

static void moveWaitingTasks(FleetStepContext &Ctx, OriginJob &Job,
                             Incarnation Previous) {
  const std::vector<uint32_t> Waiting = waitingTasks(Job);
  if (Waiting.empty())
    return;
  if (isReachable(Ctx.State_, Previous))
    sendMessage(Ctx, Previous, PlaceWithdraw{Job.Number_});
  requestWorkers(Ctx, Job, Waiting);
}

// Sends the reservations of all jobs before the first request: the new placer
// places tasks on receipt of a request, and would otherwise exceed the limit of
// tasks on one worker and the free resources.
static void moveToNewPlacer(FleetStepContext &Ctx, Incarnation Previous) {
  for (auto &[Number, Job] : Ctx.State_.Jobs_)
    moveReservations(Ctx, Job);
  for (auto &[Number, Job] : Ctx.State_.Jobs_)
    moveWaitingTasks(Ctx, Job, Previous);
}

void choosePlacer(FleetStepContext &Ctx) {
  FleetInstance &State = Ctx.State_;
  const InstanceInfo *Best =
      State.IsCoordinating_ && isReady(State) ? &State.Self_ : nullptr;
  for (const auto &[Run, Other] : State.Members_) {
    const bool IsEligible =
        isActiveCoordinator(Other.Status_) && isAlive(State, Other, Ctx.Now_);
    if (IsEligible && (Best == nullptr || isPreferred(Other.Info_, *Best)))
      Best = &Other.Info_;
  }
  const Incarnation Chosen = Best == nullptr ? State.Self_.Run_ : Best->Run_;
  if (Chosen == State.Placer_)
    return;
  const Incarnation Previous = State.Placer_;
  State.Placer_ = Chosen;
  log(Ctx, "placer", 0,
      {{"other", Best == nullptr ? State.Self_.Name_ : Best->Name_}});
  moveToNewPlacer(Ctx, Previous);
  sendPaces(Ctx, PaceUpdate::All);
}

} // namespace marjorambend::internal
